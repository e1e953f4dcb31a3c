package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"ironhollow/platform/standin"
)

// Cut separates hosts from endpoints. Callers, the store and the other hosts still reach these hosts.
type Cut struct {
	Hosts []int
	// Endpoints are the endpoints from which the hosts are cut, nil for all, later ones too.
	Endpoints []int
	// Mode is Hang, Disconnect or Refuse.
	Mode     Mode
	Duration time.Duration
}

// Tries counts first tries.
type Tries struct {
	Sent, Served int
	// Refused counts those refused as not run, SlowestRefusal is the longest time that one took.
	Refused        int
	SlowestRefusal time.Duration
	// Failures counts the failed ones by kind and result.
	Failures map[string]int
}

// CutOutcome is what callers got at the cut hosts and at the others.
type CutOutcome struct {
	// During counts tries sent later than contactTime after the cut began and before its end.
	During, DuringElsewhere Tries
	// After counts tries sent later than healTime after the cut ended.
	After, AfterElsewhere Tries
}

// Timing of a run with a cut.
const (
	// contactTime is the time from the beginning of a cut after which tries are counted, healTime
	// that from its end.
	contactTime = 3 * time.Second
	healTime    = 2 * time.Second
	// tryInterval is the mean time between two tries at a host.
	tryInterval = 50 * time.Millisecond
	// usageTimeout is how long after the last request its usage may be reported, usageTolerance
	// the share by which reports may be off.
	usageTimeout   = 12 * time.Second
	usageTolerance = 0.05
)

// cutTry is the result of one try.
type cutTry struct {
	host   int
	kind   standin.RequestKind
	sent   time.Time
	took   time.Duration
	served bool
	status int
	err    error
}

// cutCallers send requests to all hosts at a constant rate, whatever the responses, over connections
// that they keep open.
type cutCallers struct {
	run *run

	mu    sync.Mutex
	tries []cutTry
}

// RunCut cuts hosts from endpoints for some time while callers keep using all hosts.
func RunCut(ctx context.Context, o Options, cut Cut) (Outcome, CutOutcome, error) {
	r := newRun(o)
	r.separateLinks = true
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, CutOutcome{}, err
	}
	callers := &cutCallers{run: r}
	stopCallers := callers.start(ctx)
	r.wait(ctx, warmUpTime)
	begin := time.Now()
	r.cutOff(cut)
	r.wait(ctx, cut.Duration)
	end := time.Now()
	r.heal(cut.Hosts)
	r.wait(ctx, healTime+calmTime)
	stopCallers()
	r.checkInvariants()
	r.checkUsage(ctx)
	if orders := r.cloud.Orders(); orders > 0 {
		r.report.addViolation("got %d orders of endpoints, want none for a cut", orders)
	}
	return r.outcome(), callers.outcome(cut, begin, end), ctx.Err()
}

const (
	// cutStream is the stream of random numbers that determines the cuts of a run, maxCuts their
	// maximum number.
	cutStream = 1 << 36
	maxCuts   = 2
	// minCutDuration and maxCutDuration bound the duration of a cut.
	minCutDuration, maxCutDuration = 500 * time.Millisecond, 6 * time.Second
)

// randomCuts returns the cuts of a run and when they begin; they do not overlap. It uses a separate
// random number generator, so that cuts do not change the other faults of a seed.
func randomCuts(o Options, nodes, endpoints int) (cuts []Cut, after []time.Duration) {
	random := rand.New(rand.NewPCG(o.Seed, cutStream))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	modes := []Mode{Hang, Disconnect, Refuse}
	var free time.Duration
	for range random.IntN(maxCuts + 1) {
		cut := Cut{
			Hosts: random.Perm(nodes)[:1+random.IntN(nodes)], Mode: modes[random.IntN(len(modes))],
			Duration: minCutDuration + upTo(maxCutDuration-minCutDuration),
		}
		if random.IntN(2) == 0 {
			cut.Endpoints = random.Perm(endpoints)[:1+random.IntN(endpoints)]
		}
		begin := free + upTo(o.Length/maxCuts)
		free = begin + cut.Duration
		cuts, after = append(cuts, cut), append(after, begin)
	}
	return cuts, after
}

// startCuts schedules the cuts of a run.
func (r *run) startCuts() {
	cuts, after := randomCuts(r.options, len(r.nodes), len(r.endpoints))
	for i, cut := range cuts {
		r.schedule(after[i], func() {
			for _, host := range cut.Hosts {
				r.nodes[host].markFaulty(time.Now().Add(cut.Duration + residualEffectTime))
			}
			r.markUnreachable(cut.Duration)
			r.cutOff(cut)
			time.Sleep(cut.Duration)
			r.heal(cut.Hosts)
		})
	}
}

// cutOff begins a cut.
func (r *run) cutOff(cut Cut) {
	r.log("hosts %v cut from endpoints %v: %v for %v", cut.Hosts, cut.Endpoints, cut.Mode, cut.Duration)
	var only map[string]bool
	if cut.Endpoints != nil {
		only = map[string]bool{}
		for _, i := range cut.Endpoints {
			only[r.endpointProxy(i).Address()] = true
		}
	}
	r.setLinks(cut.Hosts, cut.Mode, only)
}

// heal ends a cut of hosts.
func (r *run) heal(hosts []int) {
	r.log("cut of hosts %v ended", hosts)
	r.setLinks(hosts, Pass, nil)
}

func (r *run) setLinks(hosts []int, mode Mode, only map[string]bool) {
	var changing sync.WaitGroup
	for _, host := range hosts {
		changing.Go(func() { r.nodes[host].links.setMode(mode, only) })
	}
	changing.Wait()
}

// start starts the callers of all hosts and returns a function that stops them and waits until all
// requests have ended.
func (c *cutCallers) start(ctx context.Context) (stop func()) {
	sendCtx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for host := range c.run.nodes {
		callers.Go(func() { c.sendAll(sendCtx, host) })
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// sendAll sends requests to a host until ctx is canceled.
func (c *cutCallers) sendAll(ctx context.Context, host int) {
	random := rand.New(rand.NewPCG(c.run.options.Seed, uint64(host)))
	transports := make([]*http.Transport, max(c.run.options.Callers, 1))
	for i := range transports {
		transports[i] = newTransport()
		defer transports[i].CloseIdleConnections()
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		kind := requestKinds[random.IntN(len(requestKinds))]
		transport := transports[random.IntN(len(transports))]
		requests.Go(func() { c.send(host, number, kind, transport) })
		c.run.wait(ctx, time.Duration(random.Int64N(int64(2*tryInterval))))
	}
}

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
}

// send sends one request and records the result.
func (c *cutCallers) send(host, number int, kind standin.RequestKind, transport *http.Transport) {
	try := &singleTry{transport: transport}
	one := caller{name: fmt.Sprintf("h%d-%d", host, number), report: newReport(), client: &http.Client{Transport: try}}
	sent := time.Now()
	one.send(kind, c.run.nodes[host].settings.Callers)
	took := time.Since(sent)
	served, _ := one.report.totals()
	c.run.report.merge(one.report)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, cutTry{host, kind, sent, took, served > 0, try.status, try.err})
}

// singleTry makes a request fail that net/http sends again after its connection was closed, because
// that hides a failed try. It records the status or the error of its one request.
type singleTry struct {
	transport *http.Transport
	status    int
	err       error
}

var errClosedUnread = errors.New("connection closed before the request was read")

// RoundTrip sends the request.
func (t *singleTry) RoundTrip(r *http.Request) (*http.Response, error) {
	var conns atomic.Int32
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { conns.Add(1) }}
	response, err := t.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil && conns.Load() > 1 {
		err = errors.Join(errClosedUnread, response.Body.Close())
	}
	t.err = err
	if err != nil {
		return nil, err
	}
	t.status = response.StatusCode
	return response, nil
}

// merge adds the content of another report, which must not change any more.
func (r *report) merge(other *report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind, n := range other.served {
		r.served[kind] += n
	}
	for kind, n := range other.failed {
		r.failed[kind] += n
	}
	r.atMostOnce = append(r.atMostOnce, other.atMostOnce...)
	r.reportedNotRun = append(r.reportedNotRun, other.reportedNotRun...)
	r.violations = append(r.violations, other.violations...)
	r.overdue = append(r.overdue, other.overdue...)
}

// outcome counts the tries of a run whose cut began and ended at the given times.
func (c *cutCallers) outcome(cut Cut, begin, end time.Time) CutOutcome {
	var o CutOutcome
	isCut := map[int]bool{}
	for _, host := range cut.Hosts {
		isCut[host] = true
	}
	for _, try := range c.tries {
		switch {
		case try.sent.After(begin.Add(contactTime)) && try.sent.Before(end) && isCut[try.host]:
			o.During.add(try)
		case try.sent.After(begin.Add(contactTime)) && try.sent.Before(end):
			o.DuringElsewhere.add(try)
		case try.sent.After(end.Add(healTime)) && isCut[try.host]:
			o.After.add(try)
		case try.sent.After(end.Add(healTime)):
			o.AfterElsewhere.add(try)
		}
	}
	return o
}

func (t *Tries) add(try cutTry) {
	t.Sent++
	if try.served {
		t.Served++
		return
	}
	if standin.MeansNotRun(try.status) {
		t.Refused++
		t.SlowestRefusal = max(t.SlowestRefusal, try.took)
	}
	if t.Failures == nil {
		t.Failures = map[string]int{}
	}
	result := fmt.Sprintf("%s: status %d", try.kind, try.status)
	if try.err != nil {
		result = fmt.Sprintf("%s: %v", try.kind, errors.Unwrap(try.err))
	}
	t.Failures[result]++
}

// Failed returns the number of failed tries.
func (t Tries) Failed() int { return t.Sent - t.Served }

// Plus returns the sum of two counts.
func (t Tries) Plus(other Tries) Tries {
	sum := Tries{t.Sent + other.Sent, t.Served + other.Served, t.Refused + other.Refused, max(t.SlowestRefusal, other.SlowestRefusal), maps.Clone(t.Failures)}
	for result, n := range other.Failures {
		if sum.Failures == nil {
			sum.Failures = map[string]int{}
		}
		sum.Failures[result] += n
	}
	return sum
}

// checkUsage checks that the usage reports count each request that ran once. Callers must have stopped,
// and no host may have been stopped in this run.
func (r *run) checkUsage(ctx context.Context) {
	ran := r.requestLog.TotalRuns()
	within := func(reported int) bool {
		return float64(max(reported-ran, ran-reported)) <= usageTolerance*float64(ran)
	}
	deadline := time.Now().Add(usageTimeout)
	for !within(r.cloud.ReportedRequests()) && time.Now().Before(deadline) && ctx.Err() == nil {
		r.wait(ctx, 100*time.Millisecond)
	}
	if reported := r.cloud.ReportedRequests(); !within(reported) {
		r.report.addViolation("usage: got %d requests reported, want %d that ran", reported, ran)
	}
}
