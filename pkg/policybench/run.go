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

// Policy selects the mechanisms that are enabled.
type Policy struct {
	Name     string
	Strategy route.Strategy
	// PrefixAffinity, ReclaimRisk, StreamMigration and ConcurrencyLimits each enable one
	// mechanism.
	PrefixAffinity, ReclaimRisk, StreamMigration, ConcurrencyLimits bool
	// Capacity selects the capacity plan.
	Capacity CapacityPlan
}

// CapacityPlan selects a capacity plan.
type CapacityPlan int

// Planned is the production capacity plan; the others are baselines.
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
	return capacity.Plan(offers, d, capacity.Costs{PerReclaim: costPerReclaim}, now)
}

// costPerReclaim is the cost of the reclaim of one host: the 40 s in which its replacement
// starts, and some recomputed tokens.
const costPerReclaim = 0.02

// Scenario describes the load, the reclaims and the delay of load reports of a run.
type Scenario struct {
	Name     string
	Reclaims []Reclaim
	// LoadFactor scales the request rate, CapacityMargin the demand that hosts are bought
	// for.
	LoadFactor, CapacityMargin float64
	ReportLag                  time.Duration
	Duration                   time.Duration
}

// Outcome is the result of a run.
type Outcome struct {
	// CostPerThousand is the cost of the hosts per 1,000 answered requests.
	CostPerThousand float64
	// RecomputedShare is the recomputed tokens as a fraction of the generated ones.
	RecomputedShare                             float64
	FirstTokenP50, FirstTokenP95, FirstTokenP99 time.Duration
	TokenGapP95                                 time.Duration
	Requests, Failed, Corrupted                 int
	InitialHosts                                int
	AttemptRatio                                float64
	// Migrated, Interrupted and Preempted count attempts that did not finish.
	Migrated, Interrupted, Preempted float64
}

// entryCount is the number of entry hosts that share the load: the users' current number.
const entryCount = 9

// run is the state of one run of a policy.
type run struct {
	fleet   Fleet
	policy  Policy
	seed    uint64
	direct  *engines.MemoryClient
	entries []*entry
	cloud   *fakeCloud
	endsAt  time.Time

	mu                sync.Mutex
	firstTokenSeconds []float64
	tokenGapSeconds   []float64
	failed            int
	corrupted         int
	completed         int
	tasks             sync.WaitGroup
}

// entry holds the components of one entry host.
type entry struct {
	directory *endpoint.Directory
	hazard    *hazard.Estimator
	router    *route.Router
	runner    *stream.Runner
	limiters  *limit.ConcurrencyLimiters
	budget    *retry.Budget
	counters  *stream.Counters
}

func (r *run) active() bool { return time.Now().Before(r.endsAt) }

// announce merges the state of an endpoint into the directories of all entries.
func (r *run) announce(info endpoint.Info) {
	for _, e := range r.entries {
		e.directory.Merge(info)
	}
}

func (r *run) newEntry(index int) *entry {
	registry := prometheus.NewRegistry()
	e := &entry{
		directory: endpoint.NewDirectory(), hazard: hazard.New(), limiters: limit.NewConcurrencyLimiters(), budget: retry.New(0.1, time.Now()),
		counters: stream.NewCounters(registry),
	}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	watch := quarantine.NewWatch(registry, logger)
	location := route.Location{Node: fmt.Sprintf("n%d", index), DataCenter: r.fleet.DataCenters[index%len(r.fleet.DataCenters)]}
	e.router = route.New(e.directory, e.hazard, location, r.seed+uint64(index))
	tracker := notice.New(e.directory, e.router, logger)
	e.runner = stream.New(e.router, r.direct, e.budget, e.hazard, e.counters, watch, tracker, noop.NewTracerProvider().Tracer(""))
	for _, dataCenter := range r.fleet.DataCenters {
		e.hazard.SetPrior(hazard.Pool{DataCenter: dataCenter, Class: "standard"}, priorHazardPerHour, time.Now())
	}
	e.directory.OnLeaving(func(info endpoint.Info) {
		e.hazard.RecordReclaim(hazard.Pool{DataCenter: info.DataCenter, Class: info.Class}, 1, time.Now())
		e.runner.MigrateStreams(context.Background(), info, !r.policy.StreamMigration)
	})
	return e
}

// priorHazardPerHour is the operators' estimate of the reclaims per host and hour.
const priorHazardPerHour = 0.1

// Run runs a policy through a scenario. It must be called in a synctest bubble, whose time
// is virtual.
func Run(f Fleet, p Policy, s Scenario, seed uint64) Outcome {
	r := &run{fleet: f, policy: p, seed: seed, direct: engines.NewMemoryClient(), endsAt: time.Now().Add(s.Duration)}
	r.cloud = &fakeCloud{run: r, refusedUntil: map[string]time.Time{}}
	for i := range entryCount {
		r.entries = append(r.entries, r.newEntry(i))
	}
	interactive, deferrable := f.TokensPerSecond()
	demand := capacity.Demand{Interactive: interactive * s.LoadFactor * s.CapacityMargin, Deferrable: deferrable * s.LoadFactor * s.CapacityMargin}
	offers := r.offers()
	for _, n := range p.plan(offers, demand, time.Now()) {
		for range n.Hosts {
			r.cloud.startHost(n.Offer, 0)
		}
	}
	initialHosts := len(r.cloud.hosts)
	time.Sleep(time.Millisecond)
	for _, event := range s.Reclaims {
		time.AfterFunc(event.At, func() { r.cloud.reclaim(event) })
	}
	r.tasks.Go(func() { r.cloud.replaceReclaimed(p, offers, demand) })
	for i, e := range r.entries {
		r.tasks.Go(func() { r.pollReports(e, s.ReportLag, time.Duration(i)*s.ReportLag/entryCount) })
	}
	start := time.Now()
	for i, a := range GenerateArrivals(f, s.Duration, s.LoadFactor, seed) {
		time.Sleep(time.Until(start.Add(a.At)))
		r.tasks.Go(func() { r.serve(r.entries[i%entryCount], a, i) })
	}
	r.tasks.Wait()
	return r.outcome(initialHosts)
}

func (r *run) offers() []capacity.Offer {
	var offers []capacity.Offer
	for i, dataCenter := range r.fleet.DataCenters {
		offers = append(
			offers,
			capacity.Offer{DataCenter: dataCenter, Class: "standard", Reclaimable: true, HourlyPrice: r.fleet.ReclaimablePrices[i], TokenRate: TokenRatePerHost, Max: 12, HazardPerHour: priorHazardPerHour},
			capacity.Offer{DataCenter: dataCenter, Class: "standard", HourlyPrice: r.fleet.OnDemandPrice, TokenRate: TokenRatePerHost, Max: 12},
		)
	}
	return offers
}

// pollReports applies the load report of each engine to an entry at intervals of lag, and
// resizes the entry's concurrency limiters, as the entry process does.
func (r *run) pollReports(e *entry, lag, phase time.Duration) {
	time.Sleep(phase)
	target := route.Target{Model: "m", Version: "1"}
	for r.active() {
		for _, info := range e.router.Endpoints() {
			if report, err := r.direct.Load(context.Background(), info.Address); err == nil {
				e.router.ApplyReport(info.Ref(), report)
			}
		}
		e.limiters.Resize(func(route.Target) int {
			return int(math.Ceil(limit.PermitsPerSlot * float64(e.router.TotalSlots(target)) / entryCount))
		})
		time.Sleep(lag)
	}
}

// tokenTimer is a sink that records when tokens arrive.
type tokenTimer struct {
	*chat.Collector
	start, firstToken, lastToken time.Time
	tokens                       int
}

// Token records the arrival of a token.
func (timer *tokenTimer) Token(t stream.Token) error {
	now := time.Now()
	if timer.tokens == 0 {
		timer.firstToken = now
	}
	timer.lastToken = now
	timer.tokens++
	return timer.Collector.Token(t)
}

// Deadlines of interactive and of deferrable requests.
const (
	interactiveDeadline = 30 * time.Second
	deferrableDeadline  = 30 * time.Minute
)

// serve runs one request as an entry does: it acquires a permit, then streams the answer.
func (r *run) serve(e *entry, a Arrival, index int) {
	start := time.Now()
	deadline := start.Add(interactiveDeadline)
	if a.Class.MayWait {
		deadline = start.Add(deferrableDeadline)
	}
	permitRequest := limit.PermitRequest{
		Team: fmt.Sprint(a.Team), Weight: 1, Priority: a.Class.Priority, MayWait: a.Class.MayWait, Deadline: deadline,
	}
	if a.Class.MayWait {
		permitRequest.Yield = func() bool { return e.runner.Preempt(requestID(index)) }
	}
	permit := limit.NewPermitHolder(e.limiters.For(route.Target{Model: "m", Version: "1"}), permitRequest)
	if r.policy.ConcurrencyLimits {
		if err := permit.Acquire(context.Background()); err != nil {
			r.record(a, nil, err)
			return
		}
		defer permit.Release()
	}
	timer := &tokenTimer{Collector: chat.NewCollector("1", nil), start: start}
	request := r.request(a, index, deadline)
	if r.policy.ConcurrencyLimits && a.Class.MayWait {
		request.Requeue = permit.Reacquire
		request.MayWait = true
	}
	_, err := e.runner.Run(context.Background(), request, timer)
	if err == nil && timer.Text() != r.expectedAnswer(a, request) {
		err = errWrongAnswer
	}
	r.record(a, timer, err)
}

// errWrongAnswer marks an answer that is not the expected one, which violates the guarantee
// of complete answers.
var errWrongAnswer = errors.New("policybench: answer differs from the expected answer")

func requestID(index int) string { return fmt.Sprintf("%08d", index) }

func (r *run) request(a Arrival, index int, deadline time.Time) stream.Request {
	request := stream.Request{
		Prompt: engine.Prompt{
			RequestID: requestID(index), Model: "m", Version: "1", Messages: []byte(a.Messages), MaxTokens: a.AnswerTokens,
			Seed: int64(index), Deadline: deadline,
		},
		Service: a.Class.Name, PromptTokens: len(a.Messages) / bytesPerToken, EndpointTimeout: time.Until(deadline), Strategy: r.policy.Strategy,
	}
	if r.policy.ConcurrencyLimits {
		request.Prompt.Priority = a.Class.Priority
	}
	if r.policy.PrefixAffinity {
		request.PrefixHashes = route.HashPrefixes(nil, []byte(a.Messages))
	}
	if r.policy.ReclaimRisk {
		request.RiskWeight = 4
		if a.Class.MayWait {
			request.RiskWeight = 1
		}
	}
	return request
}

func (r *run) expectedAnswer(a Arrival, request stream.Request) string {
	text := ""
	for _, token := range engines.Completion(engines.ModelRef{Model: "m", Version: "1"}, a.Messages, request.Prompt.Seed, a.AnswerTokens) {
		text += token
	}
	return text
}

func (r *run) record(a Arrival, timer *tokenTimer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case errors.Is(err, errWrongAnswer):
		r.corrupted++
		return
	case err != nil:
		r.failed++
		if !a.Class.MayWait {
			// A request without an answer counts as a first token at the deadline, later than
			// all others.
			r.firstTokenSeconds = append(r.firstTokenSeconds, interactiveDeadline.Seconds())
		}
		return
	}
	r.completed++
	if !a.Class.MayWait {
		r.firstTokenSeconds = append(r.firstTokenSeconds, timer.firstToken.Sub(timer.start).Seconds())
	}
	if timer.tokens > 1 {
		r.tokenGapSeconds = append(r.tokenGapSeconds, timer.lastToken.Sub(timer.firstToken).Seconds()/float64(timer.tokens-1))
	}
}

func (r *run) outcome(initialHosts int) Outcome {
	o := Outcome{Requests: r.completed + r.failed + r.corrupted, Failed: r.failed, Corrupted: r.corrupted, InitialHosts: initialHosts}
	o.CostPerThousand = 1000 * r.cloud.totalCost() / float64(max(r.completed, 1))
	var generated, recomputed int64
	for _, h := range r.cloud.hosts {
		g, a := h.engine.Counts()
		generated += g
		recomputed += a
	}
	o.RecomputedShare = float64(recomputed) / float64(max(generated, 1))
	var firstAttempts, retries int64
	for _, e := range r.entries {
		f, a := e.budget.Counts()
		firstAttempts += f
		retries += a
		o.Migrated += testutil.ToFloat64(e.counters.Moved)
		o.Interrupted += testutil.ToFloat64(e.counters.Broken)
		o.Preempted += testutil.ToFloat64(e.counters.Preempted)
	}
	o.AttemptRatio = float64(firstAttempts+retries) / float64(max(firstAttempts, 1))
	sort.Float64s(r.firstTokenSeconds)
	o.FirstTokenP50 = seconds(measure.Quantile(r.firstTokenSeconds, 0.5))
	o.FirstTokenP95 = seconds(measure.Quantile(r.firstTokenSeconds, 0.95))
	o.FirstTokenP99 = seconds(measure.Quantile(r.firstTokenSeconds, 0.99))
	o.TokenGapP95 = seconds(measure.Quantile(r.tokenGapSeconds, 0.95))
	return o
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
