package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

func (o *Owner) evidence() Evidence {
	e := NewEvidence()
	for _, r := range o.reports {
		for _, t := range r.Tallies {
			e.add(t)
		}
	}
	e.snapshots = o.snapshots
	return e
}

// addSnapshot adds a snapshot of the evidence at regular intervals: the answers since then are
// tested too.
func (o *Owner) addSnapshot(e Evidence, now time.Duration) {
	if e.Target().Answers == 0 || now < o.nextSnapshot {
		return
	}
	o.nextSnapshot = now + o.state.Order.Period/snapshotsPerPeriod
	e.snapshots = nil
	o.snapshots = append(o.snapshots, &e)
}

// slowThresholds returns the thresholds over all hosts: the geometric mean of theirs, weighted by
// answers.
func (o *Owner) slowThresholds() []SlowThreshold {
	type sum struct{ logs, answers float64 }
	sums := map[Kind]sum{}
	for _, r := range o.reports {
		for _, b := range r.SlowThresholds {
			s := sums[b.Kind]
			sums[b.Kind] = sum{s.logs + float64(b.Answers)*math.Log(b.Value), s.answers + float64(b.Answers)}
		}
	}
	var bounds []SlowThreshold
	for kind, s := range sums {
		if s.answers >= minBaselineAnswers {
			bounds = append(bounds, SlowThreshold{Kind: kind, Value: math.Exp(s.logs / s.answers), Answers: int(s.answers)})
		}
	}
	slices.SortFunc(bounds, func(a, b SlowThreshold) int { return cmp.Compare(a.Kind, b.Kind) })
	return bounds
}

func (o *Owner) requests() int {
	sum := 0
	for _, r := range o.reports {
		sum += r.Requests
	}
	return sum
}

func (o *Owner) targetRequests() int {
	sum := 0
	for _, r := range o.reports {
		sum += r.TargetRequests
	}
	return sum
}

// rateAveragingTime is the time over which the rate of requests is averaged.
const rateAveragingTime = 2 * time.Second

func (o *Owner) updateRate(now time.Duration) {
	elapsed := now - o.rateUpdatedAt
	requests := o.requests()
	if o.rateUpdatedAt == 0 {
		o.rateUpdatedAt, o.requestsAtUpdate = now, requests
		return
	}
	if elapsed <= 0 {
		return
	}
	latest := float64(requests-o.requestsAtUpdate) / elapsed.Seconds()
	weight := 1 - math.Exp(-float64(elapsed)/float64(rateAveragingTime))
	o.requestRate += weight * (latest - o.requestRate)
	o.rateUpdatedAt, o.requestsAtUpdate = now, requests
}

// Summary formats an order's state for log lines and for operators.
func (o *Owner) Summary(now time.Duration) string {
	e := o.evidence()
	target, others := e.Target(), e.Others()
	p := o.schedule()
	return fmt.Sprintf("%v, share %.2f, %d of %d requests tried, target %d bad of %d, others %d of %d, %.1f s left",
		o.directive().Phase, o.directive().Share, o.targetRequests(), o.requests(), target.Bad, target.Answers, others.Bad, others.Answers, (p.deadline - now).Seconds())
}
