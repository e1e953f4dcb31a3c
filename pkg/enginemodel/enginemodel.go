// Package enginemodel estimates the speed of a service's engines from their answers: the
// time to the first token, as a fixed time plus a time for each prompt token processed
// before it, and the time between tokens. Estimates are medians and quantiles of the latest
// samples, so that a few slow or failing endpoints do not distort them. The package is not
// safe for concurrent use, reads no clock and does no I/O.
package enginemodel

import (
	"math"
	"slices"
	"time"
)

// Timings describe the speed of an engine.
type Timings struct {
	// FixedTime is the part of the time to the first token that does not depend on the
	// number of prompt tokens.
	FixedTime time.Duration
	// PrefillPerToken is the time to process one prompt token.
	PrefillPerToken time.Duration
	// TokenGap is the time between two tokens of an answer.
	TokenGap time.Duration
	// StepTime is the part of TokenGap that decoding takes by itself: the gap while the engines
	// have little else to do. Under load the gap also contains the prefill of other prompts.
	StepTime time.Duration
}

// TimeToFirstToken returns the time to the first token if tokens prompt tokens, including
// the request's own, have to be processed before it.
func (t Timings) TimeToFirstToken(tokens int) time.Duration {
	return t.FixedTime + time.Duration(tokens)*t.PrefillPerToken
}

// Sample is the timing of one answer.
type Sample struct {
	// PrefillTokens is the estimated number of prompt tokens processed before the first
	// token: the request's own that were not cached, and those queued before it.
	PrefillTokens int
	// FirstToken is the time from sending the request to the first token.
	FirstToken time.Duration
	// DecodedTokens is the number of tokens after the first ones, which took DecodeTime;
	// 0 if not measured.
	DecodedTokens int
	DecodeTime    time.Duration
	// BatchShare is the share of the engine's slots in use when the request was sent.
	BatchShare float64
	// ShortQueue reports whether the known queue before the request was shorter than its own
	// processing time.
	ShortQueue bool
}

// DividedBy returns the sample of an engine that takes 1/factor of the time.
func (s Sample) DividedBy(factor float64) Sample {
	if factor == 1 {
		return s
	}
	s.FirstToken = time.Duration(float64(s.FirstToken) / factor)
	s.DecodeTime = time.Duration(float64(s.DecodeTime) / factor)
	return s
}

// Parameters of the estimates.
const (
	// sampleWindow is the number of latest samples that an estimate uses. Of 32 samples,
	// ten can be far off (slow endpoints, prompts wrongly assumed to be cached) without
	// changing the slope.
	sampleWindow = 32
	// minSamples is the number of samples needed for an estimate: after 12 the mean error
	// of the prefill time is 5 % (BenchmarkConverges).
	minSamples = 12
	// samplesPerFit is the number of samples between two fits, as a fit costs 40 µs
	// (BenchmarkObserve).
	samplesPerFit = 4
	// fixedTimeQuantile is the quantile of the times not explained by the prompt that is
	// used as the fixed time. Larger times include a queue that the caller did not know of.
	fixedTimeQuantile = 0.25
	// minTokenSpread is the least difference in tokens of two samples that are used for the
	// slope: smaller differences are hidden by the step of the engine's batches.
	minTokenSpread = 500
	// stepTimeRise is the part of the distance to the token gap by which the step time rises
	// with each fit: at ten answers per second it takes some minutes, longer than a burst.
	stepTimeRise = 0.002
	// minDecodedTokens is the least number of tokens from which the token gap is computed.
	minDecodedTokens = 16
)

// Estimator estimates the timings of a service's engines, over all of them.
type Estimator struct {
	timings   Timings
	points    ring[point]
	tokenGaps ring[float64]
	observed  int
	// isFitted is set once the time to the first token has been fitted to samples.
	isFitted bool
	// gapsByBatch are the token gaps by the share of slots in use (see batchBucket).
	gapsByBatch [batchBuckets]medianRing
}

// point is one sample: the time to the first token over the tokens before it.
type point struct{ tokens, seconds float64 }

// NewEstimator returns an Estimator that returns prior until it has enough samples. The step
// time is unknown, 0, until then.
func NewEstimator(prior Timings) *Estimator { return &Estimator{timings: prior} }

// Timings returns the present estimate.
func (e *Estimator) Timings() Timings { return e.timings }

// Observe records a sample.
func (e *Estimator) Observe(sample Sample) {
	if sample.DecodedTokens >= minDecodedTokens && sample.DecodeTime > 0 {
		e.tokenGaps.add(sample.DecodeTime.Seconds() / float64(sample.DecodedTokens))
	}
	if gap, ok := sample.tokenGap(); ok {
		e.gapsByBatch[batchBucket(sample.BatchShare)].add(gap)
	}
	if sample.FirstToken <= 0 {
		return
	}
	e.points.add(point{float64(sample.PrefillTokens), sample.FirstToken.Seconds()})
	e.observed++
	if e.observed >= minSamples && e.observed%samplesPerFit == 0 {
		e.fit()
	}
}

// fit updates the estimate from the latest samples.
func (e *Estimator) fit() {
	if gaps := e.tokenGaps.values(); len(gaps) >= minSamples {
		e.timings.TokenGap = seconds(quantile(gaps, 0.5))
		e.updateStepTime()
	}
	points := e.points.values()
	slope, ok := theilSen(points)
	if !ok {
		return
	}
	residuals := make([]float64, 0, len(points))
	for _, p := range points {
		residuals = append(residuals, p.seconds-slope*p.tokens)
	}
	e.isFitted = true
	e.timings.PrefillPerToken = seconds(slope)
	e.timings.FixedTime = seconds(max(quantile(residuals, fixedTimeQuantile), 0))
}

// updateStepTime follows the token gap down at once and up slowly.
func (e *Estimator) updateStepTime() {
	t := &e.timings
	if t.StepTime == 0 || t.TokenGap < t.StepTime {
		t.StepTime = t.TokenGap
		return
	}
	t.StepTime += time.Duration(stepTimeRise * float64(t.TokenGap-t.StepTime))
}

// theilSen returns the median slope over pairs of points (Theil 1950, Sen 1968). ok is false
// if there are too few pairs at least minTokenSpread apart, or if the slope is not positive.
func theilSen(points []point) (slope float64, ok bool) {
	var slopes []float64
	for i, a := range points {
		for _, b := range points[:i] {
			if spread := a.tokens - b.tokens; math.Abs(spread) >= minTokenSpread {
				slopes = append(slopes, (a.seconds-b.seconds)/spread)
			}
		}
	}
	if len(slopes) < minSamples {
		return 0, false
	}
	slope = quantile(slopes, 0.5)
	return slope, slope > 0
}

// quantile returns a quantile of values, which it sorts in place.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// ring holds the latest values.
type ring[T any] struct {
	buffer [sampleWindow]T
	// added counts all values ever added.
	added int
}

func (r *ring[T]) add(v T) {
	r.buffer[r.added%sampleWindow] = v
	r.added++
}

// values returns a copy of the values, in no particular order.
func (r *ring[T]) values() []T {
	return append([]T(nil), r.buffer[:min(r.added, sampleWindow)]...)
}
