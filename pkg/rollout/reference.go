package rollout

import (
	"math"
	"time"
)

// Parameters of what counts as slow.
const (
	// slowTimes is how many times the time that three in four answers of the other
	// versions keep to makes an answer slow: bad versions take several times as long. Of
	// answers whose times have a spread of 0.5 (log-normal) it takes 1 in 100 for slow,
	// and 69 in 100 of those four times as long.
	slowTimes = 2.2
	// slowAt is the part of the answers that the bound is worked out from. One in six
	// endpoints that is slow itself moves the time of nine in ten, not this.
	slowAt = 0.75
	// referenceAnswers is how many answers make a bound, and how many a histogram has
	// before another takes its place.
	referenceAnswers = 12
	// referenceTime is how long answers count at least; those of the time before it count
	// too, so that a bound is there at the start of each.
	referenceTime = 5 * time.Second
	// binsPerDouble is how many bins of times lie between one and twice of it: a bound
	// is at most 9 in 100 too high.
	binsPerDouble = 8
	// binCount reaches from binStart to 16,000 times of it and more.
	binCount = 14 * binsPerDouble
	// binStart is the least value told apart, in seconds or times what was expected.
	binStart = 0.001
)

// reference is how long answers of one kind take at the other versions of late.
type reference struct {
	latest, before histogram
	since          time.Time
}

type histogram struct {
	bins  [binCount]uint32
	count int
}

func (r *reference) add(value float64, now time.Time) {
	r.turn(now)
	at := int(math.Log2(value/binStart) * binsPerDouble)
	r.latest.bins[min(max(at, 0), binCount-1)]++
	r.latest.count++
}

// turn begins a new histogram every referenceTime, later where there are few answers.
func (r *reference) turn(now time.Time) {
	if now.Sub(r.since) < referenceTime || r.latest.count < referenceAnswers {
		return
	}
	r.before, r.latest = r.latest, histogram{}
	r.since = now
}

// answers is how many answers the bound is worked out from.
func (r *reference) answers() int { return r.latest.count + r.before.count }

// slow returns the bound above which an answer is slow; ok is false while no answer is
// known.
func (r *reference) slow() (bound float64, ok bool) {
	all := r.answers()
	below := 0
	for i := range binCount {
		below += int(r.latest.bins[i] + r.before.bins[i])
		if float64(below) >= slowAt*float64(all) {
			return slowTimes * binStart * math.Exp2(float64(i+1)/binsPerDouble), true
		}
	}
	return 0, false
}
