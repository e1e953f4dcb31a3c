package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/upstream"
)

// Detours forwards requests to other hosts while this host does not reach endpoints, and counts
// those that this host takes on for others. It is safe for concurrent use.
type Detours struct {
	// hosts returns the peer addresses of the other hosts that reach endpoints.
	hosts func() []string
	// pool holds the connections to other hosts.
	pool *upstream.Pool
	// inTouch is done while this host is cut off.
	inTouch atomic.Pointer[cancelable]
	// taken is the number of requests in progress that this host has taken on, takenBytes the size of
	// their bodies.
	taken, takenBytes atomic.Int64
	passedOn          *prometheus.CounterVec
	takenOn           *prometheus.CounterVec
}

// NewDetours returns detours. hosts returns the peer addresses of the other hosts that report no cut.
func NewDetours(hosts func() []string, pool *upstream.Pool, registry prometheus.Registerer) *Detours {
	d := &Detours{
		hosts: hosts, pool: pool,
		passedOn: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ironhollow_requests_passed_on_total", Help: "Requests forwarded to another host, by outcome of the attempt.",
		}, []string{"outcome"}),
		takenOn: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ironhollow_requests_taken_on_total", Help: "Requests that other hosts forwarded to this one, by whether they were accepted.",
		}, []string{"accepted"}),
	}
	d.inTouch.Store(newCancelable())
	registry.MustRegister(d.passedOn, d.takenOn)
	return d
}

type cancelable struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newCancelable() *cancelable {
	ctx, cancel := context.WithCancel(context.Background())
	return &cancelable{ctx, cancel}
}

// SetCut records that this host has lost its links to endpoints, or has them again. Attempts in
// progress that may be repeated then end, so that they are made through another host.
func (d *Detours) SetCut(cut bool) {
	if cut {
		d.inTouch.Load().cancel()
		return
	}
	d.inTouch.Store(newCancelable())
}

// errCutOff is the cause of the end of an attempt whose host has lost its links to endpoints.
var errCutOff = errors.New("this host has lost its links to endpoints")

// untilCut returns the contexts of an attempt and of the opening of its connection. The second ends when
// this host loses its links to endpoints, the first too if the request may then be sent again.
func (c *call) untilCut(ctx context.Context) (attempt, dial context.Context) {
	if c.f.detours == nil || c.f.links.IsCut() {
		return ctx, ctx
	}
	inTouch := c.f.detours.inTouch.Load().ctx
	if inTouch.Err() != nil {
		// The cut has just ended, and SetCut was not called yet.
		return ctx, ctx
	}
	dial, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(inTouch, func() { cancel(errCutOff) })
	c.atEnd = append(c.atEnd, func() {
		stop()
		cancel(nil)
	})
	// The list of hosts is not read here, since it is costly in a large fleet.
	hasOtherHost := c.detour != nil || c.f.fleet.Advertised() > 1
	if c.mayRepeat() && c.deliveredAttempts()+1 < c.route.MaxAttempts && hasOtherHost {
		return dial, dial
	}
	return ctx, dial
}

// UseDetours makes the forwarder forward requests and accept those that other hosts forward. It must
// be called before the first request.
func (f *Forwarder) UseDetours(d *Detours) { f.detours = d }

// Bounds of detours.
const (
	// maxDetourHosts is how many hosts a request is forwarded to in turn, if they do not run it.
	maxDetourHosts = 3
	// unreachableEndpoints is the number of endpoints that a request could not be sent to for want of
	// a connection after which it is forwarded, although this host does not count as cut off.
	unreachableEndpoints = 2
	// maxTakenOn is how many requests of other hosts this host runs at once. A request needs some
	// 100 KB with its buffers, and the host's own callers come first.
	maxTakenOn = 400
	// maxTakenOnBytes bounds the bodies of these requests, which are held in memory.
	maxTakenOnBytes = 32 << 20
)

// refusedByHost means that the host to which the request was forwarded has not run it and gives the
// answer of the whole system.
type refusedByHost struct {
	code       code.Code
	retryAfter time.Duration
}

func (refusedByHost) result() {}

// takesDetour reports whether the next attempt is made through another host. A request takes one
// detour, so that hosts never forward it in a circle.
func (c *call) takesDetour() bool {
	if c.f.detours == nil || c.detour != nil || len(c.detourHosts) >= maxDetourHosts {
		return false
	}
	if isUnreachable := c.unreachable >= unreachableEndpoints || c.unreachable > 0 && c.hasNoEndpoint; !isUnreachable && !c.f.links.IsCut() {
		return false
	}
	_, ok := c.nextDetourHost()
	return ok
}

// nextDetourHost returns a host to forward the request to, one that it was not sent to yet if there is
// any. Of two random ones it is the one to which this host has fewer connections in use.
func (c *call) nextDetourHost() (string, bool) {
	hosts := slices.DeleteFunc(slices.Clone(c.f.detours.hosts()), func(h string) bool { return slices.Contains(c.detourHosts, h) })
	if unused := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return slices.Contains(c.usedHosts, h) }); len(unused) > 0 {
		hosts = unused
	}
	if len(hosts) == 0 {
		return "", false
	}
	first, second := hosts[rand.IntN(len(hosts))], hosts[rand.IntN(len(hosts))]
	if c.f.detours.pool.InUse(second) < c.f.detours.pool.InUse(first) {
		return second, true
	}
	return first, true
}

// attemptDetour makes one attempt through another host, or through a further one if the first cannot
// take the request on.
func (c *call) attemptDetour(ctx context.Context, isResume bool, lastEventID string) result {
	last := result(notRun{err: errors.New("no host takes the request on")})
	for c.takesDetour() {
		host, _ := c.nextDetourHost()
		sentAt := c.f.clock()
		r, attempts := c.sendDetour(ctx, host, isResume, lastEventID)
		c.recordDetour(host, r, attempts, c.f.clock().Sub(sentAt))
		last = r
		c.usedHosts = append(c.usedHosts, host)
		if _, isNotRun := r.(notRun); !isNotRun || ctx.Err() != nil {
			break
		}
		c.detourHosts = append(c.detourHosts, host)
	}
	return last
}

// sendDetour sends the request to another host once. attempts is how many endpoints have received it
// there, 0 if unknown.
func (c *call) sendDetour(ctx context.Context, host string, isResume bool, lastEventID string) (r result, attempts int) {
	h := make(http.Header, len(c.header)+1)
	for name, values := range c.header {
		h[name] = values
	}
	d := detour{
		configVersion: c.table.Version(), attempts: c.deliveredAttempts(), isBudgeted: c.isBudgeted, remaining: time.Until(c.deadline),
		isResume: isResume, lastEventID: lastEventID, origin: c.origin, mayRepeat: c.mayRepeat(),
	}
	if runs := c.openRuns(); len(runs) > 0 {
		d.openRun = runs[len(runs)-1].endpoint.ID
	}
	for _, ref := range c.avoid {
		d.avoid = append(d.avoid, ref.ID)
	}
	h.Set(headerDetour, d.encode())
	request := upstream.Request{
		Method: c.incoming.Method, Target: c.incoming.RequestURI, Host: c.incoming.Host, Header: h, Body: c.body, HasBody: c.hasBody, MaxIdle: c.maxIdle(),
	}
	c.f.progress.sentTo(c, "host "+host)
	switch o := c.f.detours.pool.Send(ctx, host, 0, request).(type) {
	case upstream.NotSent:
		return notRun{err: fmt.Errorf("host %s: %w", host, o.Err)}, 0
	case upstream.MaybeSent:
		return unclear{fmt.Errorf("host %s: %w", host, o.Err)}, 0
	case upstream.Answered:
		// A missing or malformed number counts as one endpoint.
		attempts, _ = strconv.Atoi(o.Exchange.Header().Get(headerDetourAttempts))
		return c.classifyDetour(o.Exchange), attempts
	default:
		return unclear{fmt.Errorf("unexpected outcome %T", o)}, 0
	}
}

// classifyDetour turns the head of a response from another host into a result and reads its body. A
// response without headerDetourRefusal is that of an endpoint.
func (c *call) classifyDetour(e *upstream.Exchange) result {
	meta := c.f.protocol.DecodeResponse(e.Status(), e.Header())
	refusal := e.Header().Get(headerDetourRefusal)
	isUnsigned := e.Status()/100 == 2 && !meta.Signed
	switch {
	case meta.RequestID != c.meta.ID || refusal == "" && isUnsigned:
		e.DisableReuse()
		e.Close()
		if isUnsigned {
			return unclear{errUnsigned}
		}
		return unclear{errWrongRequestID}
	case refusal != "":
		drainBody(e)
		e.Close()
		return refusalOf(refusal, httpx.RetryAfter(e.Header()))
	case e.Status()/100 == 2 && strings.HasPrefix(e.Header().Get("Content-Type"), "text/event-stream"):
		c.avoidLater(e)
		return streaming{exchange: e, isDetour: true}
	default:
		c.avoidLater(e)
		r, hasBegun := readResponse(noChoice, e)
		c.hasBegun = hasBegun
		return r
	}
}

// avoidLater lets further attempts avoid the endpoint that answered through another host.
func (c *call) avoidLater(e *upstream.Exchange) {
	if id := e.Header().Get(headerDetourEndpoint); id != "" {
		c.avoid = append(c.avoid, endpoint.Ref{ID: id})
	}
}

// refusalOf returns the result for a response that another host generated.
func refusalOf(number string, retryAfter time.Duration) result {
	// A malformed number is that of no code.
	n, _ := strconv.Atoi(number)
	refused, ok := code.ByNumber(n)
	switch {
	case !ok:
		return unclear{fmt.Errorf("the other host answered with the unknown code %q", number)}
	case refused == code.CutOff || refused == code.HostBusy || refused == code.Stopping || refused == code.NotReady || refused == code.NoMemory:
		return notRun{err: fmt.Errorf("the other host answered %s", refused.Name())}
	case refused.Outcome() == code.NotRun:
		return refusedByHost{refused, retryAfter}
	default:
		return unclear{fmt.Errorf("the other host answered %s", refused.Name())}
	}
}

// recordDetour records an attempt through another host for the log and the metrics. What it shows of
// endpoints and for usage is recorded there.
func (c *call) recordDetour(host string, r result, attempts int, duration time.Duration) {
	a := attemptRecord{endpoint: "host " + host, duration: duration, delivered: true, endpoints: attempts}
	switch r := r.(type) {
	case notRun:
		a.outcome = "not run: " + r.err.Error()
		a.delivered = false
	case refusedByHost:
		a.outcome = "refused: " + r.code.Name()
		a.delivered = false
	case unclear:
		a.outcome = "unclear: " + r.err.Error()
		a.mayHaveRun = true
	case answered:
		a.outcome, a.framing = strconv.Itoa(r.status), r.framing.String()
		a.mayHaveRun = true
	case streaming:
		a.outcome, a.framing = "stream", r.exchange.Framing().String()
		a.mayHaveRun = true
	}
	if a.mayHaveRun {
		// The other host has ended the run that was open.
		c.open = nil
	}
	c.delivered = c.delivered || a.delivered
	c.isBudgeted = c.isBudgeted || a.delivered
	c.logEntry.attempts = append(c.logEntry.attempts, a)
	c.f.detours.passedOn.WithLabelValues(outcomeLabel(r)).Inc()
}

// adoptDetour continues the request where the host that forwards it has stopped.
func (c *call) adoptDetour() {
	if c.detour.isResume {
		c.meta.LastEventID = c.detour.lastEventID
	}
	c.adoptOpenRun(c.detour.openRun)
	for _, id := range c.detour.avoid {
		if info, ok := c.f.router.Lookup(id); ok {
			c.avoid = append(c.avoid, info.Ref())
		}
	}
}

// IsDetour reports whether another host forwards a request.
func IsDetour(r *http.Request) bool { return r.Header.Get(headerDetour) != "" }

// ServeDetour answers a request that another host forwards. That host has charged it to the team's
// limit; this one counts its runs.
func (f *Forwarder) ServeDetour(w http.ResponseWriter, r *http.Request) {
	c := &call{f: f, w: w, incoming: r, started: f.clock()}
	d, err := decodeDetour(r.Header.Get(headerDetour))
	c.detour = &d
	length := max(r.ContentLength, 0)
	taken, takenBytes := f.detours.taken.Add(1), f.detours.takenBytes.Add(length)
	defer f.detours.taken.Add(-1)
	defer f.detours.takenBytes.Add(-length)
	phase := f.lifecycle.Phase()
	switch {
	case err != nil:
		c.detourError = code.New(code.BadHeader, "malformed detour: "+err.Error())
	case f.links.IsCut() || f.links.NoneReachable():
		c.detourError = code.New(code.CutOff, "this host does not reach endpoints either")
	case phase == Draining || phase == Stopping:
		c.detourError = code.New(code.Stopping, "this host is stopping")
	case taken > maxTakenOn || takenBytes > maxTakenOnBytes && taken > 1:
		c.detourError = code.New(code.HostBusy, "too many requests of other hosts")
	}
	f.detours.takenOn.WithLabelValues(strconv.FormatBool(c.detourError == nil)).Inc()
	f.answer(c)
}

// idlePollInterval is the time between two checks of AwaitIdle.
const idlePollInterval = 10 * time.Millisecond

// AwaitIdle waits until no request that this host has taken on is in progress, or until ctx ends.
func (d *Detours) AwaitIdle(ctx context.Context) {
	for d.taken.Load() > 0 {
		if !pause.For(ctx, idlePollInterval) {
			return
		}
	}
}
