package policybench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.opentelemetry.io/otel/trace/noop"

	"ironhollow/pkg/capacity"
	"ironhollow/pkg/chat"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/measure"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/route"
	"ironhollow/pkg/standin/engines"
	"ironhollow/pkg/stream"
)

// Policy is which mechanisms are on.
type Policy struct {
	Name     string
	Strategy route.Strategy
	// Affinity, Risk, Move and Gate switch mechanisms on.
	Affinity, Risk, Move, Gate bool
	// Capacity chooses the plan of hosts.
	Capacity CapacityPlan
}

// CapacityPlan names a plan of hosts.
type CapacityPlan int

// The plans.
const (
	Planned CapacityPlan = iota
	SpreadEvenly
	CheapestFirst
)

func (p Policy) plan(offers []capacity.Offer, d capacity.Demand, now time.Time) []capacity.HostCount {
	switch p.Capacity {
	case SpreadEvenly:
		return capacity.SpreadEvenly(offers, d)
	case CheapestFirst:
		return capacity.CheapestFirst(offers, d)
	}
	return capacity.Plan(offers, d, capacity.Costs{PerReclaim: lossPerReclaim}, now)
}

// lossPerReclaim prices one host's reclaim: the 40 s in which its successor
// starts and some computing again.
const lossPerReclaim = 0.02

// Scenario is what happens beside the arrivals.
type Scenario struct {
	Name  string
	Waves []Wave
	// Load scales the arrivals, Margin the hosts bought for them.
	Load, Margin float64
	ReportLag    time.Duration
	Lasts        time.Duration
}

// Outcome is what came of a run.
type Outcome struct {
	// CostPerThousand is the hosts' price for 1,000 requests answered.
	CostPerThousand float64
	// Recomputed is tokens computed again as a share of those generated.
	Recomputed                   float64
	FirstP50, FirstP95, FirstP99 time.Duration
	GapP95                       time.Duration
	Requests, Failed, Broken     int
	Hosts                        int
	SentRatio                    float64
	// Moved, BrokenOff and Yielded count attempts that did not finish.
	Moved, BrokenOff, Yielded float64
}

// entries is how many entry hosts share the load: the users' number today.
const entries = 9

// run is one run of a policy.
type run struct {
	fleet   Fleet
	policy  Policy
	seed    uint64
	direct  *engines.MemoryClient
	entries []*entry
	cloud   *fakeCloud
	until   time.Time

	mu      sync.Mutex
	firsts  []float64
	gaps    []float64
	failed  int
	broken  int
	answers int
	wait    sync.WaitGroup
}

// entry is one entry host's decisions.
type entry struct {
	directory *endpoint.Directory
	hazard    *hazard.Estimator
	router    *route.Router
	runner    *stream.Runner
	gates     *limit.ConcurrencyLimiters
	budget    *retry.Budget
	counters  *stream.Counters
}

func (r *run) live() bool { return time.Now().Before(r.until) }

// tell passes news of an endpoint to all entries.
func (r *run) tell(info endpoint.Info) {
	for _, e := range r.entries {
		e.directory.Merge(info)
	}
}

func (r *run) newEntry(number int) *entry {
	registry := prometheus.NewRegistry()
	e := &entry{
		directory: endpoint.NewDirectory(), hazard: hazard.New(), gates: limit.NewConcurrencyLimiters(), budget: retry.New(0.1, time.Now()),
		counters: stream.NewCounters(registry),
	}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	watch := quarantine.NewWatch(registry, logger)
	home := route.Location{Node: fmt.Sprintf("n%d", number), DataCenter: r.fleet.Centres[number%len(r.fleet.Centres)]}
	e.router = route.New(e.directory, e.hazard, home, r.seed+uint64(number))
	board := notice.New(e.directory, e.router, logger)
	e.runner = stream.New(e.router, r.direct, e.budget, e.hazard, e.counters, watch, board, noop.NewTracerProvider().Tracer(""))
	for _, centre := range r.fleet.Centres {
		e.hazard.SetPrior(hazard.Pool{DataCenter: centre, Class: "standard"}, priorHazard, time.Now())
	}
	e.directory.OnLeaving(func(info endpoint.Info) {
		e.hazard.RecordReclaim(hazard.Pool{DataCenter: info.DataCenter, Class: info.Class}, 1, time.Now())
		e.runner.MigrateStreams(context.Background(), info, !r.policy.Move)
	})
	return e
}

// priorHazard is the operators' figure: reclaims for one host an hour.
const priorHazard = 0.1

// Run runs a policy through a scenario. It must be called in a bubble of
// virtual time.
func Run(f Fleet, p Policy, s Scenario, seed uint64) Outcome {
	r := &run{fleet: f, policy: p, seed: seed, direct: engines.NewMemoryClient(), until: time.Now().Add(s.Lasts)}
	r.cloud = &fakeCloud{run: r, refused: map[string]time.Time{}}
	for i := range entries {
		r.entries = append(r.entries, r.newEntry(i))
	}
	counter, waiting := f.TokensPerSecond()
	demand := capacity.Demand{Interactive: counter * s.Load * s.Margin, Deferrable: waiting * s.Load * s.Margin}
	offers := r.offers()
	for _, n := range p.plan(offers, demand, time.Now()) {
		for range n.Hosts {
			r.cloud.buy(n.Offer, 0)
		}
	}
	hosts := len(r.cloud.hosts)
	time.Sleep(time.Millisecond)
	for _, w := range s.Waves {
		time.AfterFunc(w.At, func() { r.cloud.reclaim(w) })
	}
	r.wait.Go(func() { r.cloud.keepUp(p, offers, demand) })
	for i, e := range r.entries {
		r.wait.Go(func() { r.reports(e, s.ReportLag, time.Duration(i)*s.ReportLag/entries) })
	}
	begun := time.Now()
	for i, a := range Arrivals(f, s.Lasts, s.Load, seed) {
		time.Sleep(time.Until(begun.Add(a.At)))
		r.wait.Go(func() { r.serve(r.entries[i%entries], a, i) })
	}
	r.wait.Wait()
	return r.outcome(hosts)
}

func (r *run) offers() []capacity.Offer {
	var offers []capacity.Offer
	for i, centre := range r.fleet.Centres {
		offers = append(
			offers,
			capacity.Offer{DataCenter: centre, Class: "standard", Reclaimable: true, HourlyPrice: r.fleet.Prices[i], TokenRate: RatePerHost, Max: 12, HazardPerHour: priorHazard},
			capacity.Offer{DataCenter: centre, Class: "standard", HourlyPrice: r.fleet.OnDemand, TokenRate: RatePerHost, Max: 12},
		)
	}
	return offers
}

// reports gives an entry each engine's load, as late as the scenario says, and
// keeps its gates in step, as the entry process does.
func (r *run) reports(e *entry, lag, phase time.Duration) {
	time.Sleep(phase)
	target := route.Target{Model: "m", Version: "1"}
	for r.live() {
		for _, info := range e.router.Endpoints() {
			if report, err := r.direct.Load(context.Background(), info.Address); err == nil {
				e.router.ApplyReport(info.Ref(), report)
			}
		}
		e.gates.Resize(func(route.Target) int {
			return int(math.Ceil(limit.PermitsPerSlot * float64(e.router.TotalSlots(target)) / entries))
		})
		time.Sleep(lag)
	}
}

// watch is a sink that notes when tokens come.
type watch struct {
	*chat.Collector
	begun, first, last time.Time
	count              int
}

// Token notes a token.
func (w *watch) Token(t stream.Token) error {
	now := time.Now()
	if w.count == 0 {
		w.first = now
	}
	w.last = now
	w.count++
	return w.Collector.Token(t)
}

// Deadlines of the two kinds of request.
const (
	counterDeadline = 30 * time.Second
	waitingDeadline = 30 * time.Minute
)

// serve serves one request as an entry does: gate, then stream.
func (r *run) serve(e *entry, a Arrival, number int) {
	begun := time.Now()
	deadline := begun.Add(counterDeadline)
	if a.Class.MayWait {
		deadline = begun.Add(waitingDeadline)
	}
	ask := limit.PermitRequest{
		Team: fmt.Sprint(a.Team), Weight: 1, Priority: a.Class.Priority, MayWait: a.Class.MayWait, Deadline: deadline,
	}
	if a.Class.MayWait {
		ask.Yield = func() bool { return e.runner.Preempt(requestID(number)) }
	}
	place := limit.NewPermitHolder(e.gates.For(route.Target{Model: "m", Version: "1"}), ask)
	if r.policy.Gate {
		if err := place.Acquire(context.Background()); err != nil {
			r.note(a, nil, err)
			return
		}
		defer place.Release()
	}
	w := &watch{Collector: chat.NewCollector("1", nil), begun: begun}
	request := r.request(a, number, deadline)
	if r.policy.Gate && a.Class.MayWait {
		request.Requeue = place.Reacquire
		request.MayWait = true
	}
	_, err := e.runner.Run(context.Background(), request, w)
	if err == nil && w.Text() != r.want(a, request) {
		err = errBroken
	}
	r.note(a, w, err)
}

// errBroken marks an answer that is not whole: a promise broken.
var errBroken = errors.New("policybench: the answer is not whole")

func requestID(number int) string { return fmt.Sprintf("%08d", number) }

func (r *run) request(a Arrival, number int, deadline time.Time) stream.Request {
	request := stream.Request{
		Prompt: engine.Prompt{
			RequestID: requestID(number), Model: "m", Version: "1", Messages: []byte(a.Messages), MaxTokens: a.Answer,
			Seed: int64(number), Deadline: deadline,
		},
		Service: a.Class.Name, PromptTokens: len(a.Messages) / bytesPerToken, EndpointTimeout: time.Until(deadline), Strategy: r.policy.Strategy,
	}
	if r.policy.Gate {
		request.Prompt.Priority = a.Class.Priority
	}
	if r.policy.Affinity {
		request.PrefixHashes = route.HashPrefixes(nil, []byte(a.Messages))
	}
	if r.policy.Risk {
		request.RiskWeight = 4
		if a.Class.MayWait {
			request.RiskWeight = 1
		}
	}
	return request
}

func (r *run) want(a Arrival, request stream.Request) string {
	text := ""
	for _, token := range engines.Completion(engines.ModelRef{Model: "m", Version: "1"}, a.Messages, request.Prompt.Seed, a.Answer) {
		text += token
	}
	return text
}

func (r *run) note(a Arrival, w *watch, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case errors.Is(err, errBroken):
		r.broken++
		return
	case err != nil:
		r.failed++
		if !a.Class.MayWait {
			// An answer that never came counts as the latest of all.
			r.firsts = append(r.firsts, counterDeadline.Seconds())
		}
		return
	}
	r.answers++
	if !a.Class.MayWait {
		r.firsts = append(r.firsts, w.first.Sub(w.begun).Seconds())
	}
	if w.count > 1 {
		r.gaps = append(r.gaps, w.last.Sub(w.first).Seconds()/float64(w.count-1))
	}
}

func (r *run) outcome(hosts int) Outcome {
	o := Outcome{Requests: r.answers + r.failed + r.broken, Failed: r.failed, Broken: r.broken, Hosts: hosts}
	o.CostPerThousand = 1000 * r.cloud.cost() / float64(max(r.answers, 1))
	var generated, again int64
	for _, h := range r.cloud.hosts {
		g, a := h.engine.Counts()
		generated += g
		again += a
	}
	o.Recomputed = float64(again) / float64(max(generated, 1))
	var first, retries int64
	for _, e := range r.entries {
		f, a := e.budget.Counts()
		first += f
		retries += a
		o.Moved += testutil.ToFloat64(e.counters.Moved)
		o.BrokenOff += testutil.ToFloat64(e.counters.Broken)
		o.Yielded += testutil.ToFloat64(e.counters.Preempted)
	}
	o.SentRatio = float64(first+retries) / float64(max(first, 1))
	sort.Float64s(r.firsts)
	o.FirstP50 = seconds(measure.Quantile(r.firsts, 0.5))
	o.FirstP95 = seconds(measure.Quantile(r.firsts, 0.95))
	o.FirstP99 = seconds(measure.Quantile(r.firsts, 0.99))
	o.GapP95 = seconds(measure.Quantile(r.gaps, 0.95))
	return o
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
