package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Times of the owner of an order.
const (
	// spreadTime is how long it takes until all hosts act on a directive: two rounds.
	spreadTime = 400 * time.Millisecond
	// writeTime is kept for the store to take in the end, tries included.
	writeTime = 500 * time.Millisecond
	// lookParts, leastLook and mostLook bound how long before the last moment to write a
	// completion is written: the owner may die just then, and the next has the lease 3 s
	// later.
	lookParts = 10
	leastLook = 300 * time.Millisecond
	mostLook  = 2500 * time.Millisecond
	// heardLate is how long after the operator's write the order may have been heard.
	heardLate = 200 * time.Millisecond
	// settleTime is how long an owner that has taken over hears the hosts before it
	// decides anything but a revert.
	settleTime = time.Second
	// mostRamp bounds the time from the first higher share to all requests; a sixth of
	// the period where that is less.
	mostRamp  = 2 * time.Second
	rampParts = 6
	// rampSteps is the steps of the share in that time.
	rampSteps = 2
	// leastDrain and drainParts bound the time that is kept for the others' last answers.
	leastDrain = 300 * time.Millisecond
	drainParts = 4
	// silentTime and silentParts bound the time that is kept for hosts that have just
	// ended, frozen or been cut off: the end waits until they are known to be gone.
	silentTime  = 2200 * time.Millisecond
	silentParts = 12
	// mostDrain is how long past its limit a completion waits for the others' last
	// answers: what is cut off is lost to its caller, and a late completion costs the
	// operator seconds.
	mostDrain = 15 * time.Second
)

// Parts of the bounds that are used.
const (
	// triedPart is the part of the allowed share that is used while the target is
	// tried; the rest is for what shows late, while the share is raised.
	triedPart = 0.6
	// slackPart is the part of the allowed slack that is used at once for early
	// evidence. Hosts that start anew have none.
	slackPart = 0.4
	// keptPart is the part of what is left of the bounds that a step of the share uses.
	keptPart = 0.6
	// enoughEndpoints is the part of the others' number that the target must have to
	// take all requests.
	enoughEndpoints = 0.5
	// clearOdds are the odds against the target's other endpoints below which one that
	// speaks against it is at fault itself.
	clearOdds = 0.2
	// suspectsPart is the part of the target's endpoints that may be held to be at fault
	// themselves: what more of them show is the version's fault.
	suspectsPart = 0.05
	// moments is how many times in a period the evidence is remembered.
	moments = 8
	// mostBad is the bad answers after which nothing is left out any more: users allow 50
	// before they count the time until a bad version gets nothing.
	mostBad = 30
)

// Owner decides on one order for all hosts. It is used by one goroutine.
type Owner struct {
	bounds Bounds
	judge  BayesTest
	state  State
	epoch  int64
	number int64
	began  time.Duration
	share  float64
	// reverting says that the hosts are told to revert, and why is the reason.
	reverting bool
	why       string
	suspects  []string
	reports   map[string]told
	// rate is the requests a second over all hosts.
	rate      float64
	askedAt   time.Duration
	askedThen int
	// drainNumber is the first word of the drain.
	drainNumber int64
	// sawOthers says that there were endpoints of another version since the order; without
	// there is nothing to compare with, and nothing to take requests from.
	sawOthers bool
	nextRamp  time.Duration
	// before is the evidence of earlier moments.
	before     []*Evidence
	nextMoment time.Duration
}

type told struct {
	Report
	at time.Duration
}

// NewOwner returns the owner of an order from the phase its row has; now is the store's
// clock, epoch the lease's.
func NewOwner(state State, bounds Bounds, judge BayesTest, epoch int64, now time.Duration) *Owner {
	return &Owner{bounds: bounds, judge: judge, state: state, epoch: epoch, number: 1, began: now, reports: map[string]told{}}
}

// State returns what the order's row has.
func (o *Owner) State() State { return o.state }

// Renumber replaces the order with the same order under its new ID after a restore of the store.
func (o *Owner) Renumber(order Order) { o.state.Order = order }

// ApplyReport applies a host's report. Those of hosts that have ended since still count.
func (o *Owner) ApplyReport(incarnation string, r Report, now time.Duration) {
	if r.Order != o.state.Order.ID {
		return
	}
	if held, ok := o.reports[incarnation]; ok && held.Requests > r.Requests {
		return
	}
	o.reports[incarnation] = told{r, now}
	if r.Phase == Reverted && !o.state.Phase.Ended() && !o.reverting {
		o.revert("reverted by the owner before")
	}
}

// Fleet is what an owner knows beside the reports.
type Fleet struct {
	// Live are the incarnations of the hosts that serve.
	Live []string
	// Advertised is how many of them callers are told.
	Advertised int
	// OtherEndpoints and TargetEndpoints are the endpoints that take work.
	OtherEndpoints, TargetEndpoints int
}

// Step is what an owner wants done.
type Step struct {
	// Directive is sent to the hosts.
	Directive Directive
	// Write is the phase that the row is to have, 0 for none. The hosts hear of it once
	// it is written; of a revert at once.
	Write Phase
	Reason   string
}

// Next decides; now is the store's clock.
func (o *Owner) Next(f Fleet, now time.Duration) Step {
	o.sawOthers = o.sawOthers || f.OtherEndpoints > 0
	o.measure(now)
	before := o.directive()
	step := Step{}
	if !o.reverting && !o.state.Phase.Ended() {
		step.Write, step.Reason = o.decide(f, now)
	}
	if o.reverting && !o.state.Phase.Ended() {
		step.Write, step.Reason = Reverted, o.why
	}
	after := o.directive()
	after.Slack = o.slack(f)
	after.SlowThresholds = o.slowBounds()
	if after.Phase != before.Phase || after.Share != before.Share || len(after.Suspects) != len(before.Suspects) {
		o.number++
		after.Number = o.number
	}
	step.Directive = after
	return step
}

// SetPhase notes that the row has a phase.
func (o *Owner) SetPhase(phase Phase, why string) {
	if phase <= o.state.Phase {
		return
	}
	o.state.Phase, o.state.Reason = phase, why
	o.number++
	if phase == Draining {
		o.share = 1
		o.drainNumber = o.number
	}
}

func (o *Owner) directive() Directive {
	w := Directive{
		Service: o.state.Order.Service, Order: o.state.Order.ID, Target: o.state.Order.Target, Period: o.state.Order.Period, Phase: o.state.Phase, Share: o.share,
		Epoch: o.epoch, Number: o.number, Suspects: o.suspects,
	}
	if o.reverting {
		w.Phase, w.Share = Reverted, 0
	}
	return w
}

func (o *Owner) slack(f Fleet) int {
	return int(slackPart * o.bounds.Slack / float64(max(f.Advertised, 1)))
}

func (o *Owner) revert(why string) {
	o.reverting, o.why = true, why
}

// plan is when what must happen for a completion in time.
type plan struct {
	limit, shift, drain time.Duration
}

// plan works backwards from the limit: as late as possible, since some faults show
// after a time only.
func (o *Owner) plan() plan {
	period := o.state.Order.Period
	longest := leastDrain
	for _, r := range o.reports {
		longest = max(longest, r.LongestOther)
	}
	longest = min(longest, period/drainParts)
	limit := o.state.Started + period - heardLate
	drain := limit - writeTime - spreadTime - longest - min(silentTime, period/silentParts)
	return plan{limit: limit, drain: drain, shift: drain - min(mostRamp, period/rampParts)}
}

// decide returns the phase to be written and why.
func (o *Owner) decide(f Fleet, now time.Duration) (Phase, string) {
	e := o.evidence()
	m := DuringTrial
	if o.state.Phase > Trying {
		m = DuringRamp
	}
	if found := o.look(&e, f, m); found.Bad() && o.sawOthers {
		o.revert(found.String())
		return 0, ""
	}
	o.remember(e, now)
	if now-o.began < settleTime {
		o.share = o.tryShare(f)
		return 0, ""
	}
	p := o.plan()
	switch o.state.Phase {
	case Trying:
		return o.try(f, &e, p, now)
	case Shifting:
		return o.shift(f, &e, p, now)
	case Draining:
		return o.drain(f, p, now)
	}
	return 0, ""
}

// look judges the target. One endpoint that alone speaks against it is left out once
// the others have cleared the target, unless many answers were bad already.
func (o *Owner) look(e *Evidence, f Fleet, m DecisionPoint) Finding {
	found := o.judge.Evaluate(e, o.suspects, m)
	if !found.Bad() || m > DuringRamp || e.Target().Bad >= mostBad {
		return found
	}
	worst := e.worst(o.suspects)
	if worst == "" || float64(len(o.suspects)+1) > max(1, suspectsPart*float64(f.TargetEndpoints)) {
		return found
	}
	without := append(slices.Clone(o.suspects), worst)
	rest := o.judge.Evaluate(e, without, m)
	if rest.BayesFactor < clearOdds {
		o.suspects = without
	}
	return rest
}

// tryShare is the share while the target is tried.
func (o *Owner) tryShare(f Fleet) float64 {
	if f.TargetEndpoints == 0 {
		return 0
	}
	return triedPart * o.bounds.Share
}

func (o *Owner) try(f Fleet, e *Evidence, p plan, now time.Duration) (Phase, string) {
	o.share = o.tryShare(f)
	if now < p.shift {
		return 0, ""
	}
	if !o.sawOthers && f.TargetEndpoints > 0 {
		return Completed, "no endpoints of another version"
	}
	if f.TargetEndpoints == 0 || float64(f.TargetEndpoints) < enoughEndpoints*float64(f.OtherEndpoints) {
		return o.tooFew(f, p, now)
	}
	if now >= p.drain {
		return o.settle(f, e, p, now)
	}
	o.state.Phase = Shifting
	o.nextRamp = now
	o.raise(p, now)
	return 0, ""
}

// settle decides at the last moment whether the target takes all requests.
func (o *Owner) settle(f Fleet, e *Evidence, p plan, now time.Duration) (Phase, string) {
	m := FinalDecision
	left := (p.limit - now).Seconds()
	if float64(o.tried())+o.rate*left <= o.allowed(p, now) {
		m = FinalDecisionLowTraffic
	}
	found := o.look(e, f, m)
	if !found.Bad() {
		return Draining, found.String()
	}
	if o.state.Phase == Trying && now < p.limit-writeTime {
		// With few answers, e.g. after a late takeover, the last judgement can reject a sound target.
		// Keep the trial share and collect answers until the latest time a revert can be written.
		return 0, ""
	}
	o.revert(found.String())
	return 0, ""
}

// allowed is how many requests a bad version may get until the limit.
func (o *Owner) allowed(p plan, now time.Duration) float64 {
	ahead := o.rate * (p.limit - now).Seconds()
	return o.bounds.Share*(float64(o.asked())+ahead) + o.bounds.Slack
}

// tooFew waits for endpoints of the target until it is too late.
func (o *Owner) tooFew(f Fleet, p plan, now time.Duration) (Phase, string) {
	if now >= p.limit-writeTime {
		o.revert(fmt.Sprintf("%d endpoints of the target by the end, %d of the others", f.TargetEndpoints, f.OtherEndpoints))
	}
	return 0, ""
}

func (o *Owner) shift(f Fleet, e *Evidence, p plan, now time.Duration) (Phase, string) {
	if float64(f.TargetEndpoints) < enoughEndpoints*float64(f.OtherEndpoints) {
		return o.tooFew(f, p, now)
	}
	if now < p.drain {
		o.raise(p, now)
		return 0, ""
	}
	return o.settle(f, e, p, now)
}

// raise raises the share so far that what shows only then is still within the bounds.
func (o *Owner) raise(p plan, now time.Duration) {
	if now < o.nextRamp {
		return
	}
	step := (p.drain - p.shift) / rampSteps
	o.nextRamp = now + step
	left := o.allowed(p, now) - float64(o.tried())
	during := max(o.rate*(step+spreadTime).Seconds(), 1)
	o.share = min(max(o.share, keptPart*left/during), 1)
}

// drain completes once no host runs anything at the others any more, and not long before
// the limit: until then the target can be taken back.
func (o *Owner) drain(f Fleet, p plan, now time.Duration) (Phase, string) {
	for _, incarnation := range f.Live {
		r, ok := o.reports[incarnation]
		done := ok && r.Phase >= Draining && r.OthersRunning == 0 && r.Epoch == o.epoch && r.Number >= o.drainNumber
		if !done && now < p.limit+mostDrain {
			return 0, ""
		}
	}
	if f.TargetEndpoints == 0 {
		o.revert("no endpoint of the target is left")
		return 0, ""
	}
	if now < p.limit-writeTime-min(max(o.state.Order.Period/lookParts, leastLook), mostLook) {
		return 0, ""
	}
	return Completed, "nothing runs at the others"
}
