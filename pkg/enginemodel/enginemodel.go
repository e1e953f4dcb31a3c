// Package enginemodel learns from answers how fast a service's engines are: the
// time to a first token as a fixed part and a part for each prompt token read
// before it, and the time between tokens. Estimates are medians of the latest
// answers, so that the slow and the failing among the endpoints do not move them.
// Nothing here is safe for concurrent use, reads a clock or does I/O.
package enginemodel

import (
	"math"
	"slices"
	"time"
)

// Timings say how fast an engine is.
type Timings struct {
	// FixedTime is the part of the time to a first token that no prompt token adds to.
	FixedTime time.Duration
	// PrefillPerToken is the time for one token of a prompt.
	PrefillPerToken time.Duration
	// TokenGap is the time between two tokens of an answer.
	TokenGap time.Duration
}

// TimeToFirstToken returns the time to the first token behind some prompt tokens, the
// request's own among them.
func (f Timings) TimeToFirstToken(tokens int) time.Duration {
	return f.FixedTime + time.Duration(tokens)*f.PrefillPerToken
}

// Sample is what one answer has shown.
type Sample struct {
	// PrefillTokens is the prompt tokens that were reckoned to be read before the first
	// token: the request's own that were not cached, and those queued before it.
	PrefillTokens int
	// FirstToken is the time from the send to the first token.
	FirstToken time.Duration
	// DecodedTokens is the tokens that followed the first ones, in Decode; 0 if not measured.
	DecodedTokens int
	DecodeTime    time.Duration
}

// Parameters of the estimates.
const (
	// kept is how many answers an estimate looks back. Of 32, ten may be far off
	// (slow endpoints, prompts thought cached) without moving the slope.
	kept = 32
	// enough is how many answers make an estimate: after 12 the prefill rate is
	// 5 % off in the mean (BenchmarkConverges).
	enough = 12
	// fitEvery is how many answers come between two fits, which cost 40 µs each (BenchmarkLearn).
	fitEvery = 4
	// fixedQuantile is of the times that the prompt does not explain. Those above
	// met a queue that was not known here.
	fixedQuantile = 0.25
	// leastSpread is the least difference in tokens between two answers that tell
	// of the slope: below it the step of an engine's batch hides it.
	leastSpread = 500
	// leastMade is the fewest tokens that tell of the gap between them.
	leastMade = 16
)

// Estimator is what is known of a service's engines together.
type Estimator struct {
	figures Timings
	answers ring[point]
	gaps    ring[float64]
	seen    int
}

// point is one answer: time to the first token over the tokens before it.
type point struct{ tokens, seconds float64 }

// NewEstimator returns a service of which nothing is known but prior.
func NewEstimator(prior Timings) *Estimator { return &Estimator{figures: prior} }

// Timings returns the estimate.
func (s *Estimator) Timings() Timings { return s.figures }

// Observe takes in an answer.
func (s *Estimator) Observe(a Sample) {
	if a.DecodedTokens >= leastMade && a.DecodeTime > 0 {
		s.gaps.add(a.DecodeTime.Seconds() / float64(a.DecodedTokens))
	}
	if a.FirstToken <= 0 {
		return
	}
	s.answers.add(point{float64(a.PrefillTokens), a.FirstToken.Seconds()})
	s.seen++
	if s.seen >= enough && s.seen%fitEvery == 0 {
		s.fit()
	}
}

// fit estimates the figures anew.
func (s *Estimator) fit() {
	if gaps := s.gaps.values(); len(gaps) >= enough {
		s.figures.TokenGap = seconds(quantile(gaps, 0.5))
	}
	points := s.answers.values()
	slope, ok := theilSen(points)
	if !ok {
		return
	}
	rest := make([]float64, 0, len(points))
	for _, p := range points {
		rest = append(rest, p.seconds-slope*p.tokens)
	}
	s.figures.PrefillPerToken = seconds(slope)
	s.figures.FixedTime = seconds(max(quantile(rest, fixedQuantile), 0))
}

// theilSen returns the median slope over pairs of points (Theil 1950, Sen 1968).
// ok is false where too few pairs tell of it.
func theilSen(points []point) (slope float64, ok bool) {
	var slopes []float64
	for i, a := range points {
		for _, b := range points[:i] {
			if spread := a.tokens - b.tokens; math.Abs(spread) >= leastSpread {
				slopes = append(slopes, (a.seconds-b.seconds)/spread)
			}
		}
	}
	if len(slopes) < enough {
		return 0, false
	}
	slope = quantile(slopes, 0.5)
	return slope, slope > 0
}

// quantile sorts the values.
func quantile(values []float64, part float64) float64 {
	slices.Sort(values)
	return values[min(int(part*float64(len(values))), len(values)-1)]
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// ring keeps the latest values.
type ring[T any] struct {
	held [kept]T
	// count is of all values ever added.
	count int
}

func (r *ring[T]) add(v T) {
	r.held[r.count%kept] = v
	r.count++
}

// values returns a copy, in no order.
func (r *ring[T]) values() []T {
	return append([]T(nil), r.held[:min(r.count, kept)]...)
}
