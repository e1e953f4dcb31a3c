package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/admission"
	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/poison"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/upstream"
)

// Tables gives the configuration in force.
type Tables interface {
	// Current returns nil while no configuration is known. fresh is false while
	// a newer one may be in force of which this process has not heard.
	Current() (table *routetable.Table, fresh bool)
}

// Runs counts requests that began to run, for usage.
type Runs interface{ Began(team string) }

// Fleet is what is known of the entry hosts.
type Fleet interface {
	// Advertised is how many hosts callers are told.
	Advertised() int
	// Share is the part of a bound on all hosts together that this one may use.
	Share() float64
	// Sharing is how many hosts may serve, those that are not heard too.
	Sharing() int
}

// Clock tells the time that decisions are taken with.
type Clock func() time.Time

// Forwarder is the handler of callers' requests. It is safe for concurrent use.
type Forwarder struct {
	protocol Protocol
	tables   Tables
	router   *route.Router
	limits   *limit.Shared
	budget   *retry.Window
	pool     *upstream.Pool
	runs     Runs
	fleet    Fleet
	rollouts *rollout.Switch
	poison   *poison.Watch
	clock    Clock
	metrics  *Metrics
	log      *log.Logger
	lines    *lineBudget
	phase    func() Phase
}

// Phase is how far the process is on its way to its end.
type Phase int

// The phases.
const (
	// Serving is all the time before a stop.
	Serving Phase = iota
	// Leaving asks callers to leave their connections, and serves.
	Leaving
	// Ending turns streams away: they would not be whole before the end.
	Ending
	// Starting is until the process knows all that it needs to serve.
	Starting
)

// New returns a forwarder.
func New(protocol Protocol, tables Tables, router *route.Router, limits *limit.Shared, budget *retry.Window, pool *upstream.Pool,
	runs Runs, fleet Fleet, rollouts *rollout.Switch, watch *poison.Watch, phase func() Phase, clock Clock, metrics *Metrics, logger *log.Logger,
) *Forwarder {
	return &Forwarder{
		protocol: protocol, tables: tables, router: router, limits: limits, budget: budget, pool: pool,
		runs: runs, fleet: fleet, rollouts: rollouts, poison: watch, phase: phase, clock: clock, metrics: metrics, log: logger, lines: newLineBudget(clock()),
	}
}

// Times callers are told to come back after.
const (
	// comeBackSoon is where a place or an endpoint is expected within moments.
	comeBackSoon = 300 * time.Millisecond
	// comeBackElsewhere is where another host takes the request at once.
	comeBackElsewhere = 20 * time.Millisecond
	// comeBackConfigured is where this process has no configuration yet.
	comeBackConfigured = 500 * time.Millisecond
	// defaultBody bounds a body where the configuration does not.
	defaultBody = 4 << 20
)

// call is one request of a caller.
type call struct {
	f        *Forwarder
	w        http.ResponseWriter
	in       *http.Request
	meta     Meta
	table    *routetable.Table
	route    *routetable.Route
	team     *routetable.Team
	service  *routetable.Service
	priority int
	started  time.Time
	deadline time.Time
	header   http.Header
	body     []byte
	hasBody  bool
	// fingerprint is set once the body has been read.
	fingerprint poison.Fingerprint
	// offered says that an endpoint was sent the request and could run it.
	offered bool
	// sentAt is when it was sent last.
	sentAt time.Time
	// avoid lists endpoints it failed at.
	avoid []endpoint.Ref
	// side is the versions of endpoints that it goes to, kind what its answers show of
	// them.
	side     rollout.Side
	kind     rollout.Kind
	attempts int
	// comeBack is when the caller is told to return, above 0 once it is refused for
	// what is queued.
	comeBack time.Duration
	trail    trail
}

// ServeHTTP answers one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{f: f, w: w, in: r, started: f.clock()}
	f.awaitStart(r.Context())
	if phase := f.phase(); phase == Leaving || phase == Ending {
		w.Header().Set("Connection", "close")
	}
	err := c.serve()
	c.finish(err)
	if errors.Is(err, errCut) {
		// The answer can't be completed: the caller must see it break off.
		panic(http.ErrAbortHandler)
	}
}

// Times of a start.
const (
	// startWait is how long a request waits for a process that has just started to know
	// what it needs: 60 ms as a rule, and refused its caller comes back later than that.
	// After a loss of all hosts 166 of 280 requests of the first second were refused so.
	startWait = 400 * time.Millisecond
	startLook = 5 * time.Millisecond
)

// awaitStart waits until the process can serve, for startWait at most.
func (f *Forwarder) awaitStart(ctx context.Context) {
	for waited := time.Duration(0); f.phase() == Starting && waited < startWait; waited += startLook {
		if !pause.For(ctx, startLook) {
			return
		}
	}
}

// errCut says that the answer had begun and can't be completed.
var errCut = errors.New("the answer broke off")

func (c *call) serve() error {
	var err error
	if c.meta, err = c.f.protocol.Decode(c.in.Header); err != nil {
		return c.refuse(code.New(code.BadHeader, err.Error()), 0)
	}
	c.f.metrics.reserved.Add(float64(c.meta.Reserved))
	if err = c.findRoute(); err != nil {
		return c.refuse(err, comeBackConfigured)
	}
	if err = c.authorize(); err != nil {
		return c.refuse(err, comeBackSoon)
	}
	if c.route.Kind == routetable.Stream && c.f.phase() == Ending {
		return c.refuse(code.New(code.Stopping, "this host stops before the stream would end"), comeBackElsewhere)
	}
	c.deadline = time.Now().Add(c.route.Timeout)
	if c.meta.HasWait {
		c.deadline = time.Now().Add(min(c.route.Timeout, c.meta.Wait))
	}
	if err = c.readBody(); err != nil {
		return c.refuse(err, 0)
	}
	c.fingerprint = poison.FingerprintOf(c.in.Method, c.in.RequestURI, c.teamName(), c.body)
	if left, held := c.held(); held {
		return c.refuse(errQuarantined, left)
	}
	if wait, ok := c.admit(); !ok {
		return c.refuse(code.New(code.OverRate, "the team is over its rate"), wait)
	}
	ctx, cancel := context.WithDeadline(c.in.Context(), c.deadline)
	defer cancel()
	return c.run(ctx)
}

// Choice where many hosts take callers: from staleFleet of them on, loads heard of
// others are older than the time between two of their choices.
const (
	staleFleet  = 24
	staleSample = 3
)

// query is what the router needs to know.
func (c *call) query() route.Query {
	q := route.Query{
		Target:       route.Target{Service: c.service.Name},
		PromptTokens: c.meta.PromptTokens,
		AnswerTokens: max(c.meta.ExpectedTokens, 1),
		Avoid:        c.avoid,
		Rule:         c.f.rollouts.Rule(c.service.Name, c.side),
		Connected:    c.connected,
	}
	if c.f.fleet.Advertised() >= staleFleet {
		q.Sample = staleSample
	}
	covered := 0
	for _, part := range c.meta.Prefix {
		covered += part.Tokens
		q.Prefix = append(q.Prefix, part.Hash)
		q.PrefixTokens = append(q.PrefixTokens, covered)
	}
	q.Shared = max(len(q.Prefix)-1, 0)
	return q
}

// connected reports whether the request can use a kept connection to an endpoint.
func (c *call) connected(address string) bool {
	return c.f.pool.HasIdle(address, c.maxIdle())
}

// maxIdle is how long a connection for the request may have rested.
func (c *call) maxIdle() time.Duration {
	if c.route.MayRepeat() {
		return 0
	}
	return onceIdle
}

// run sends the request until it is answered or given up.
func (c *call) run(ctx context.Context) error {
	c.f.budget.Sent(c.service.Name, c.f.clock())
	c.pickSide()
	var last result = notRun{err: errors.New("no endpoint takes work")}
	for {
		choice, ok := c.choose(ctx)
		if c.comeBack > 0 {
			return c.refuse(code.New(code.Overloaded, "the first token would come too late"), c.comeBack)
		}
		if !ok {
			return c.giveUp(ctx, last)
		}
		sent := c.f.clock()
		last = c.attempt(ctx, choice)
		if s, isStream := last.(streaming); isStream {
			return c.relayStream(ctx, choice, s, c.f.clock().Sub(sent))
		}
		if a, isAnswer := last.(answered); isAnswer && (a.status < http.StatusInternalServerError || !c.mayResend(ctx, last)) {
			return c.relay(a)
		}
		if !c.mayResend(ctx, last) {
			return c.giveUp(ctx, last)
		}
		if a, isAnswer := last.(answered); isAnswer && a.rest != nil {
			a.rest.Close()
		}
		if n, isNotRun := last.(notRun); isNotRun && !n.arrived {
			// Nothing came to an endpoint, so that the next send is the first.
			continue
		}
		if !c.f.budget.Take(c.service.Name, c.f.fleet.Sharing(), c.f.clock()) {
			c.trail.note("budget-empty")
			if a, isAnswer := last.(answered); isAnswer && a.rest == nil {
				return c.relay(a)
			}
			return c.giveUp(ctx, last)
		}
	}
}

// choose picks the next endpoint, of another version where none takes it of the one
// that was meant.
func (c *call) choose(ctx context.Context) (route.Choice, bool) {
	if ctx.Err() != nil {
		return route.Choice{}, false
	}
	choice, ok := c.chooseOf()
	if ok {
		return choice, true
	}
	instead, may := c.f.rollouts.Instead(c.service.Name, c.side, c.f.clock())
	if !may || c.comeBack > 0 && c.side != rollout.Target {
		return choice, false
	}
	c.side = instead
	c.comeBack = 0
	return c.chooseOf()
}

// chooseOf picks an endpoint of the versions that are meant.
func (c *call) chooseOf() (route.Choice, bool) {
	q := c.query()
	q.Accepts = c.accepts
	return c.f.router.Choose(q, route.Expected, c.f.clock())
}

// accepts reports whether a choice is used: not where a stream's first event would
// be late for what is queued before it at the best endpoint. Then comeBack is set.
func (c *call) accepts(choice route.Choice) bool {
	if c.route.Kind != routetable.Stream || c.sends() > 0 {
		return true
	}
	stream := admission.Stream{Objective: c.route.Objective, Priority: c.priority}
	comeBack, late := stream.Late(admission.ExpectedOf(choice))
	c.comeBack = comeBack
	return !late
}

// attempt makes one send and tells the router how it ended. A stream's choice
// is ended by the relay.
func (c *call) attempt(ctx context.Context, choice route.Choice) result {
	sent := c.f.clock()
	tracked := c.track(choice)
	r := c.send(ctx, choice, "")
	c.noteAttempt(choice, r, c.f.clock().Sub(sent))
	c.noteRun(ctx, choice, r)
	c.showAnswer(ctx, tracked, r)
	switch r := r.(type) {
	case streaming:
		c.began()
		c.f.router.Started(choice)
		r.tracked = tracked
		return r
	case answered:
		c.began()
	case unclear:
		c.offered = true
	case notRun:
		c.offered = c.offered || r.reached
	}
	c.done(choice, tracked, ending(r))
	c.avoid = append(c.avoid, refOf(choice))
	return r
}

func (c *call) began() {
	c.offered = true
	c.f.runs.Began(c.teamName())
}

// mayResend reports whether the request may go to another endpoint after a
// result: within the route's attempts, and only what may run again or has
// provably not run.
func (c *call) mayResend(ctx context.Context, last result) bool {
	if ctx.Err() != nil {
		return false
	}
	if _, held := c.held(); held {
		return false
	}
	if _, isUnclear := last.(unclear); isUnclear && c.f.poison.LastTry(c.fingerprint) {
		return false
	}
	n, isNotRun := last.(notRun)
	if isNotRun && !n.reached {
		// Nothing reached an endpoint; this is bounded by the endpoints to avoid.
		return true
	}
	c.attempts = c.sends()
	return c.attempts < c.route.Attempts && (isNotRun || c.route.MayRepeat())
}

// giveUp answers a request that got no answer, at once.
func (c *call) giveUp(ctx context.Context, last result) error {
	if c.in.Context().Err() != nil {
		return errCallerLeft
	}
	switch r := last.(type) {
	case notRun:
		if left, held := c.held(); held {
			return c.refuse(errQuarantined, left)
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return c.refuse(code.New(code.NoEndpoint, "its time passed before an endpoint took it"), comeBackSoon)
		}
		return c.refuse(code.New(code.NoEndpoint, r.err.Error()), comeBackSoon)
	case unclear:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return c.refuse(code.New(code.DeadlinePassed, "its time passed while an endpoint had it"), 0)
		}
		return c.refuse(code.New(code.CallUnknown, r.err.Error()), 0)
	case answered:
		return c.relay(r)
	default:
		return c.refuse(code.New(code.Internal, "no result"), 0)
	}
}

var errCallerLeft = errors.New("the caller left")

// refuse answers with an error of the system's own. Codes that say "not run"
// are final: nothing is sent after them.
func (c *call) refuse(err error, comeBack time.Duration) error {
	found := code.Of(err)
	status := found.Status()
	if c.offered && found.Outcome() == code.NotRun && c.everUnclear() {
		// An earlier send may have run: the promise can't be given.
		found, status = code.CallUnknown, code.CallUnknown.Status()
	}
	h := c.w.Header()
	c.f.protocol.EncodeRefusal(h, c.meta.ID)
	h.Set("Content-Type", "application/json")
	if comeBack > 0 && found.Outcome() == code.NotRun && status != http.StatusNotFound && status != http.StatusUnauthorized {
		h.Set("Retry-After", strconv.FormatFloat(comeBack.Seconds(), 'f', 3, 64))
	}
	body := `{"code":` + strconv.Itoa(found.Number()) + `,"name":` + strconv.Quote(found.Name()) + `,"outcome":` + strconv.Quote(string(found.Outcome())) + "}\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.trail.status = status
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, body)
	return err
}
