package rollout

import (
	"math"
	"time"
)

// Parameters of the slow threshold.
const (
	// slowFactor is the factor between the slowQuantile of the other versions' durations, which
	// three in four answers keep to, and the slow threshold: bad versions take several times as
	// long. If durations have a log-normal spread of 0.5, 1 in 100 answers exceeds the threshold,
	// and 69 in 100 of those that take four times as long.
	slowFactor = 2.2
	// slowQuantile is the quantile of the durations that the threshold is computed from. If one in
	// six endpoints is slow itself, that moves the 0.9 quantile but not this one.
	slowQuantile = 0.75
	// minBaselineAnswers is how many answers a threshold needs, and how many a histogram needs
	// before a new one replaces it.
	minBaselineAnswers = 12
	// baselinePeriod is the minimum time that a histogram collects answers. The previous histogram
	// counts too, so that there is a threshold at the start of each.
	baselinePeriod = 5 * time.Second
	// binsPerDoubling is the number of bins per doubling of the value: a threshold is at most 9%
	// too high.
	binsPerDoubling = 8
	// binCount covers values up to more than 16,000 times minBinValue.
	binCount = 14 * binsPerDoubling
	// minBinValue is the lower end of the first bin, in seconds or multiples of the expected
	// duration. Smaller values are counted there too.
	minBinValue = 0.001
)

// baseline is how long answers of one kind have recently taken at the other versions.
type baseline struct {
	latest, previous histogram
	since            time.Time
}

type histogram struct {
	bins  [binCount]uint32
	count int
}

func (r *baseline) add(value float64, now time.Time) {
	r.rotate(now)
	bin := int(math.Log2(value/minBinValue) * binsPerDoubling)
	r.latest.bins[min(max(bin, 0), binCount-1)]++
	r.latest.count++
}

// rotate starts a new histogram every baselinePeriod, later if there are few answers.
func (r *baseline) rotate(now time.Time) {
	if now.Sub(r.since) < baselinePeriod || r.latest.count < minBaselineAnswers {
		return
	}
	r.previous, r.latest = r.latest, histogram{}
	r.since = now
}

// answers returns how many answers the threshold is computed from.
func (r *baseline) answers() int { return r.latest.count + r.previous.count }

// slowThreshold returns the value above which an answer is slow. The result is false if there are
// no answers.
func (r *baseline) slowThreshold() (threshold float64, ok bool) {
	total := r.answers()
	if total == 0 {
		return 0, false
	}
	below := 0
	for i := range binCount {
		below += int(r.latest.bins[i] + r.previous.bins[i])
		if float64(below) >= slowQuantile*float64(total) {
			return slowFactor * minBinValue * math.Exp2(float64(i+1)/binsPerDoubling), true
		}
	}
	return 0, false
}
