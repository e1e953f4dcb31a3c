package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Times of the owner of an order.
const (
	// propagationTime is how long it takes until all hosts act on a directive: two rounds.
	propagationTime = 400 * time.Millisecond
	// writeReserve is the time reserved for the final write to the store, including retries.
	writeReserve = 500 * time.Millisecond
	// completionLeadParts, minCompletionLead and maxCompletionLead bound how long before the latest
	// time for a write a completion is written: the owner may die at that point, and the next one
	// has the lease 3 s later.
	completionLeadParts = 10
	minCompletionLead   = 300 * time.Millisecond
	maxCompletionLead   = 2500 * time.Millisecond
	// maxOrderDelay is how long after the operator's write the order may have been received.
	maxOrderDelay = 200 * time.Millisecond
	// takeoverDelay is how long an owner that has taken over receives reports before it decides
	// anything but a revert.
	takeoverDelay = time.Second
	// maxTakeoverDelay is how long it waits for hosts that have not reported to it.
	maxTakeoverDelay = 3 * time.Second
	// maxRampTime bounds the time from the first higher share to all requests. For short periods
	// the time is a sixth of the period, see rampParts.
	maxRampTime = 2 * time.Second
	rampParts   = 6
	// rampSteps is the number of steps of the share in that time.
	rampSteps = 2
	// minDrainReserve and drainReserveParts bound the time reserved for the others' last answers.
	minDrainReserve   = 300 * time.Millisecond
	drainReserveParts = 4
	// silentHostReserve and silentHostParts bound the time reserved for hosts that have just died,
	// frozen or been cut off: the order cannot complete until they are known to be gone.
	silentHostReserve = 2200 * time.Millisecond
	silentHostParts   = 12
	// maxDrainOverrun is how long past the deadline a completion waits for the others' last
	// answers: an answer that is cut off is lost to its caller, while a late completion costs the
	// operator seconds.
	maxDrainOverrun = 15 * time.Second
)

// Fractions and limits used in decisions.
const (
	// trialPart is the fraction of the allowed share that is used while the target is tried. The
	// rest is for faults that show late, while the share is raised.
	trialPart = 0.6
	// slackPart is the fraction of the allowed slack that is used at once for early evidence. Hosts
	// that restart have none.
	slackPart = 0.4
	// rampBudgetPart is the fraction of the remaining bounds that a step of the share uses.
	rampBudgetPart = 0.6
	// minTargetRatio is how many endpoints the target must have relative to the others to take all
	// requests.
	minTargetRatio = 0.5
	// clearedBayesFactor is the Bayes factor of the target's other endpoints below which an
	// endpoint with bad answers is considered faulty itself.
	clearedBayesFactor = 0.2
	// maxSuspectsPart is the fraction of the target's endpoints that may be considered faulty
	// themselves. If more have bad answers, the version is at fault.
	maxSuspectsPart = 0.05
	// snapshotsPerPeriod is how many snapshots of the evidence are kept per period.
	snapshotsPerPeriod = 8
	// maxBadWithSuspects is the number of bad answers from which on no further endpoint is
	// excluded: users allow 50 before they measure the time until a bad version gets no requests.
	maxBadWithSuspects = 30
)

// Owner decides on one order for all hosts. It is not safe for concurrent use.
type Owner struct {
	bounds     Bounds
	test       BayesTest
	state      State
	epoch      int64
	number     int64
	ownedSince time.Duration
	share      float64
	// reverting is whether the hosts are directed to revert, revertReason why.
	reverting    bool
	revertReason string
	suspects     []string
	reports      map[string]Report
	// requestRate is the number of requests per second over all hosts.
	requestRate      float64
	rateUpdatedAt    time.Duration
	requestsAtUpdate int
	// drainDirectiveNumber is the number of the first directive of the draining phase.
	drainDirectiveNumber int64
	// sawOthers is whether there were endpoints of another version since the order. Without them
	// there is nothing to compare with, and nothing to take requests from.
	sawOthers bool
	nextRamp  time.Duration
	// snapshots is the evidence at earlier times.
	snapshots    []*Evidence
	nextSnapshot time.Duration
}

// NewOwner returns the owner of an order in the phase of its row. epoch is that of the lease, now
// is by the store's clock.
func NewOwner(state State, bounds Bounds, test BayesTest, epoch int64, now time.Duration) *Owner {
	return &Owner{bounds: bounds, test: test, state: state, epoch: epoch, number: 1, ownedSince: now, reports: map[string]Report{}}
}

// State returns the order's state as in its row.
func (o *Owner) State() State { return o.state }

// Renumber replaces the order with the same order under its new ID after a restore of the store.
func (o *Owner) Renumber(order Order) { o.state.Order = order }

// ApplyReport applies a host's report. Reports of hosts that have stopped since still count.
func (o *Owner) ApplyReport(incarnation string, r Report) {
	if r.Order != o.state.Order.ID {
		return
	}
	if previous, ok := o.reports[incarnation]; ok && previous.Requests > r.Requests {
		return
	}
	o.reports[incarnation] = r
	if r.Phase == Reverted && !o.state.Phase.Ended() && !o.reverting {
		o.revert("reverted by the owner before")
	}
}

// Fleet is what an owner knows in addition to the reports.
type Fleet struct {
	// Live are the incarnations of the hosts that serve.
	Live []string
	// Advertised is how many of them are advertised to callers.
	Advertised int
	// OtherEndpoints and TargetEndpoints are the numbers of endpoints that take work.
	OtherEndpoints, TargetEndpoints int
}

// Step is an owner's decision.
type Step struct {
	// Directive is sent to the hosts.
	Directive Directive
	// Write is the phase to be written to the row, 0 for none. The hosts are directed to it once it
	// is written, but to a revert at once.
	Write  Phase
	Reason string
}

// Next returns the next decision; now is by the store's clock.
func (o *Owner) Next(f Fleet, now time.Duration) Step {
	o.sawOthers = o.sawOthers || f.OtherEndpoints > 0
	o.updateRate(now)
	before := o.directive()
	step := Step{}
	if !o.reverting && !o.state.Phase.Ended() {
		step.Write, step.Reason = o.decide(f, now)
	}
	if o.reverting && !o.state.Phase.Ended() {
		step.Write, step.Reason = Reverted, o.revertReason
	}
	after := o.directive()
	after.Slack = o.slack(f)
	after.SlowThresholds = o.slowThresholds()
	if after.Phase != before.Phase || after.Share != before.Share || len(after.Suspects) != len(before.Suspects) {
		o.number++
		after.Number = o.number
	}
	step.Directive = after
	return step
}

// SetPhase records that the row has a phase.
func (o *Owner) SetPhase(phase Phase, reason string) {
	if phase <= o.state.Phase {
		return
	}
	o.state.Phase, o.state.Reason = phase, reason
	o.number++
	if phase == Draining {
		o.share = 1
		o.drainDirectiveNumber = o.number
	}
}

func (o *Owner) directive() Directive {
	d := Directive{
		Service: o.state.Order.Service, Order: o.state.Order.ID, Target: o.state.Order.Target, Period: o.state.Order.Period, Phase: o.state.Phase, Share: o.share,
		Epoch: o.epoch, Number: o.number, Suspects: o.suspects,
	}
	if o.reverting {
		d.Phase, d.Share = Reverted, 0
	}
	return d
}

func (o *Owner) slack(f Fleet) int {
	return int(slackPart * o.bounds.Slack / float64(max(f.Advertised, 1)))
}

func (o *Owner) revert(reason string) {
	o.reverting, o.revertReason = true, reason
}

// schedule is the times by which an order has to proceed to complete in time.
type schedule struct {
	deadline, rampStart, drainStart time.Duration
}

// schedule computes the times backwards from the deadline. They are as late as possible, since some
// faults show only after some time.
func (o *Owner) schedule() schedule {
	period := o.state.Order.Period
	longest := minDrainReserve
	for _, r := range o.reports {
		longest = max(longest, r.LongestOther)
	}
	longest = min(longest, period/drainReserveParts)
	deadline := o.state.Started + period - maxOrderDelay
	drainStart := deadline - writeReserve - propagationTime - longest - min(silentHostReserve, period/silentHostParts)
	return schedule{deadline: deadline, drainStart: drainStart, rampStart: drainStart - min(maxRampTime, period/rampParts)}
}

// decide returns the phase to be written, 0 for none, and the reason.
func (o *Owner) decide(f Fleet, now time.Duration) (Phase, string) {
	e := o.evidence()
	point := DuringTrial
	if o.state.Phase > Trying {
		point = DuringRamp
	}
	if finding := o.evaluate(&e, f, point); finding.Bad() && o.sawOthers {
		o.revert(finding.String())
		return 0, ""
	}
	o.addSnapshot(e, now)
	times := o.schedule()
	if o.awaitsReports(f, times, now) {
		o.share = o.trialShare(f)
		return 0, ""
	}
	switch o.state.Phase {
	case Trying:
		return o.decideTrial(f, &e, times, now)
	case Shifting:
		return o.decideShifting(f, &e, times, now)
	case Draining:
		return o.decideDraining(f, times, now)
	}
	return 0, ""
}

// awaitsReports reports whether an owner that has taken over decides nothing but a revert yet, as hosts have not
// reported to it. For most of them it waits beyond the deadline.
func (o *Owner) awaitsReports(f Fleet, times schedule, now time.Duration) bool {
	age := now - o.ownedSince
	if age < takeoverDelay {
		return true
	}
	missing := o.unreported(f)
	return age < maxTakeoverDelay && (missing > 0 && now < times.deadline-writeReserve || 2*missing > len(f.Live))
}

// unreported returns the number of hosts that serve and have not reported to this owner.
func (o *Owner) unreported(f Fleet) int {
	missing := 0
	for _, incarnation := range f.Live {
		if _, ok := o.reports[incarnation]; !ok {
			missing++
		}
	}
	return missing
}

// evaluate tests the target. A single endpoint that accounts for the bad answers is excluded once
// the others have cleared the target, unless many answers were bad already.
func (o *Owner) evaluate(e *Evidence, f Fleet, point DecisionPoint) Finding {
	finding := o.test.Evaluate(e, o.suspects, point)
	if !finding.Bad() || point > DuringRamp || e.Target().Bad >= maxBadWithSuspects {
		return finding
	}
	worst := e.worstEndpoint(o.suspects)
	if worst == "" || float64(len(o.suspects)+1) > max(1, maxSuspectsPart*float64(f.TargetEndpoints)) {
		return finding
	}
	suspects := append(slices.Clone(o.suspects), worst)
	rest := o.test.Evaluate(e, suspects, point)
	if rest.BayesFactor < clearedBayesFactor {
		o.suspects = suspects
	}
	return rest
}

// trialShare returns the share while the target is tried.
func (o *Owner) trialShare(f Fleet) float64 {
	if f.TargetEndpoints == 0 {
		return 0
	}
	return trialPart * o.bounds.Share
}

func (o *Owner) decideTrial(f Fleet, e *Evidence, times schedule, now time.Duration) (Phase, string) {
	o.share = o.trialShare(f)
	if now < times.rampStart {
		return 0, ""
	}
	if !o.sawOthers && f.TargetEndpoints > 0 {
		return Completed, "no endpoints of another version"
	}
	if f.TargetEndpoints == 0 || float64(f.TargetEndpoints) < minTargetRatio*float64(f.OtherEndpoints) {
		return o.waitForEndpoints(f, times, now)
	}
	if now >= times.drainStart {
		return o.decideFinal(f, e, times, now)
	}
	o.state.Phase = Shifting
	o.nextRamp = now
	o.raiseShare(times, now)
	return 0, ""
}

// decideFinal decides at the latest possible time whether the target gets all requests.
func (o *Owner) decideFinal(f Fleet, e *Evidence, times schedule, now time.Duration) (Phase, string) {
	if missing := o.unreported(f); 2*missing > len(f.Live) {
		// Without the answers that most hosts have counted, nothing shows that the target is sound.
		o.revert(fmt.Sprintf("%d of %d hosts have not reported", missing, len(f.Live)))
		return 0, ""
	}
	point := FinalDecision
	left := (times.deadline - now).Seconds()
	if float64(o.targetRequests())+o.requestRate*left <= o.allowedTargetRequests(times, now) {
		point = FinalDecisionLowTraffic
	}
	finding := o.evaluate(e, f, point)
	if !finding.Bad() {
		return Draining, finding.String()
	}
	if o.state.Phase == Trying && now < times.deadline-writeReserve {
		// With few answers, e.g. after a late takeover, the final test can reject a sound target.
		// Keep the trial share and collect answers until the latest time a revert can be written.
		return 0, ""
	}
	o.revert(finding.String())
	return 0, ""
}

// allowedTargetRequests returns how many requests a bad version may get until the deadline.
func (o *Owner) allowedTargetRequests(times schedule, now time.Duration) float64 {
	expectedRequests := o.requestRate * (times.deadline - now).Seconds()
	return o.bounds.Share*(float64(o.requests())+expectedRequests) + o.bounds.Slack
}

// waitForEndpoints waits for endpoints of the target until the latest time a revert can be written,
// and reverts then.
func (o *Owner) waitForEndpoints(f Fleet, times schedule, now time.Duration) (Phase, string) {
	if now >= times.deadline-writeReserve {
		o.revert(fmt.Sprintf("%d endpoints of the target by the end, %d of the others", f.TargetEndpoints, f.OtherEndpoints))
	}
	return 0, ""
}

func (o *Owner) decideShifting(f Fleet, e *Evidence, times schedule, now time.Duration) (Phase, string) {
	if float64(f.TargetEndpoints) < minTargetRatio*float64(f.OtherEndpoints) {
		return o.waitForEndpoints(f, times, now)
	}
	if now < times.drainStart {
		o.raiseShare(times, now)
		return 0, ""
	}
	return o.decideFinal(f, e, times, now)
}

// raiseShare raises the share, but only so far that a version whose faults show only then stays
// within the bounds.
func (o *Owner) raiseShare(times schedule, now time.Duration) {
	if now < o.nextRamp {
		return
	}
	step := (times.drainStart - times.rampStart) / rampSteps
	o.nextRamp = now + step
	left := o.allowedTargetRequests(times, now) - float64(o.targetRequests())
	during := max(o.requestRate*(step+propagationTime).Seconds(), 1)
	o.share = min(max(o.share, rampBudgetPart*left/during), 1)
}

// decideDraining completes the order once no host runs anything at the others any more, but not
// long before the deadline: until then the target can be reverted.
func (o *Owner) decideDraining(f Fleet, times schedule, now time.Duration) (Phase, string) {
	for _, incarnation := range f.Live {
		r, ok := o.reports[incarnation]
		done := ok && r.Phase >= Draining && r.OthersRunning == 0 && r.Epoch == o.epoch && r.Number >= o.drainDirectiveNumber
		if !done && now < times.deadline+maxDrainOverrun {
			return 0, ""
		}
	}
	if f.TargetEndpoints == 0 {
		o.revert("no endpoint of the target is left")
		return 0, ""
	}
	if now < times.deadline-writeReserve-min(max(o.state.Order.Period/completionLeadParts, minCompletionLead), maxCompletionLead) {
		return 0, ""
	}
	return Completed, "nothing runs at the others"
}
