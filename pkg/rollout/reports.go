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
	e.before = o.before
	return e
}

// remember keeps the evidence of a moment now and then: what came since is judged too.
func (o *Owner) remember(e Evidence, now time.Duration) {
	if e.Target().Answers == 0 || now < o.nextMoment {
		return
	}
	o.nextMoment = now + o.state.Order.Period/moments
	e.before = nil
	o.before = append(o.before, &e)
}

// slowBounds are the hosts' bounds together: their geometric mean, by answers.
func (o *Owner) slowBounds() []SlowThreshold {
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
		if s.answers >= referenceAnswers {
			bounds = append(bounds, SlowThreshold{Kind: kind, Value: math.Exp(s.logs / s.answers), Answers: int(s.answers)})
		}
	}
	slices.SortFunc(bounds, func(a, b SlowThreshold) int { return cmp.Compare(a.Kind, b.Kind) })
	return bounds
}

func (o *Owner) asked() int {
	sum := 0
	for _, r := range o.reports {
		sum += r.Requests
	}
	return sum
}

func (o *Owner) tried() int {
	sum := 0
	for _, r := range o.reports {
		sum += r.TargetRequests
	}
	return sum
}

// rateTime is the time over which the rate of requests is averaged.
const rateTime = 2 * time.Second

func (o *Owner) measure(now time.Duration) {
	elapsed := now - o.askedAt
	asked := o.asked()
	if o.askedAt == 0 {
		o.askedAt, o.askedThen = now, asked
		return
	}
	if elapsed <= 0 {
		return
	}
	latest := float64(asked-o.askedThen) / elapsed.Seconds()
	weight := 1 - math.Exp(-float64(elapsed)/float64(rateTime))
	o.rate += weight * (latest - o.rate)
	o.askedAt, o.askedThen = now, asked
}

// Summary is an order's state for a line and for operators.
func (o *Owner) Summary(now time.Duration) string {
	e := o.evidence()
	target, others := e.Target(), e.Others()
	p := o.plan()
	return fmt.Sprintf("%v, share %.2f, %d of %d requests tried, target %d bad of %d, others %d of %d, %.1f s left",
		o.directive().Phase, o.directive().Share, o.tried(), o.asked(), target.Bad, target.Answers, others.Bad, others.Answers, (p.limit - now).Seconds())
}
