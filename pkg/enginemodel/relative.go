package enginemodel

import (
	"math"
	"time"
)

// Parameters of the comparison of an endpoint with its service.
const (
	// speedMemory is the time constant with which evidence is forgotten. Within it, several hosts
	// together receive a few hundred answers of an endpoint, enough for the waits in queues that
	// no host knows of to average out.
	speedMemory = 30 * time.Second
	// priorWeight is the number of answers at which the estimate is halfway between the
	// service's mean and the endpoint's own answers. A single answer, 3 times as slow as
	// expected, moves the estimate by 9 %, which is within the dead band.
	priorWeight = 12
	// deadBand is the logarithm of the ratio up to which an endpoint counts as equal to the
	// others. From there to twice this logarithm the estimate rises from 0 to its full value, so
	// that hosts with slightly different estimates choose alike. Estimates of equal engines at
	// 95 % of their capacity stay within 0.12 (TestEqualEnginesCountAsEqual).
	deadBand = 0.12
	// maxLogRatio bounds the logarithm of the ratio of one answer, as a greater ratio is due to a
	// queue that was not known rather than to a slow engine.
	maxLogRatio = 1.1
	// maxReportedWeight bounds the weight of one endpoint in a report of another host. A host
	// receives fewer answers from an endpoint between two reports.
	maxReportedWeight = 16
	// maxWeight bounds the weight that is kept of an endpoint, so that a report with a false
	// weight is outweighed by answers.
	maxWeight = 400
	// staleAfter is the age of the latest answer from which the evidence on an endpoint counts
	// less, and forgottenAfter the age at which it no longer counts. A slow endpoint that gets no
	// requests then counts as equal to the others and gets some, which show whether it is still
	// slow.
	staleAfter     = 5 * time.Second
	forgottenAfter = 15 * time.Second
	// minComparedTokens is the least number of tokens of an answer whose token gap is compared.
	// halfWeightTokens is the number of tokens at which the comparison has half of the weight of
	// that of a long answer.
	minComparedTokens = 4
	halfWeightTokens  = 16
	// batchBuckets is the number of ranges of the share of slots in use whose token gaps are
	// kept apart: an answer is compared with answers of batches of about the same size.
	batchBuckets = 4
)

// Evidence is what answers show about the speed of one endpoint relative to its service. It is
// a sum, to which further evidence can be added.
type Evidence struct {
	// Weight is the number of answers, less for short ones.
	Weight float64
	// WeightedLog is the sum of weight times the logarithm of the measured time over the
	// expected time.
	WeightedLog float64
}

// Plus returns the sum of two pieces of evidence.
func (e Evidence) Plus(other Evidence) Evidence {
	return Evidence{e.Weight + other.Weight, e.WeightedLog + other.WeightedLog}
}

// Bounded returns evidence received from another host, limited to what a host can have
// measured. ok is false if the evidence is invalid.
func (e Evidence) Bounded() (bounded Evidence, ok bool) {
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) || math.IsNaN(e.WeightedLog) || math.IsInf(e.WeightedLog, 0) {
		return Evidence{}, false
	}
	weight := min(e.Weight, maxReportedWeight)
	return Evidence{weight, weight * clampLog(e.WeightedLog/e.Weight)}, true
}

func clampLog(v float64) float64 { return max(-maxLogRatio, min(v, maxLogRatio)) }

// compared returns the evidence of one measurement.
func compared(weight float64, measured, expected float64) Evidence {
	return Evidence{weight, weight * clampLog(math.Log(measured/expected))}
}

// Compare returns what a sample shows about the speed of its endpoint. It returns nothing until
// the estimate is based on samples. The time to the first token counts only after a short
// queue, as the queue behind which it waited may have been longer than known.
func (e *Estimator) Compare(s Sample) Evidence {
	var sum Evidence
	if expected := e.timings.TimeToFirstToken(s.PrefillTokens); e.isFitted && s.ShortQueue && s.FirstToken > 0 && expected > 0 {
		// The fixed time includes the network, which does not depend on the endpoint's speed.
		prefillShare := 1 - e.timings.FixedTime.Seconds()/expected.Seconds()
		sum = compared(prefillShare, s.FirstToken.Seconds(), expected.Seconds())
	}
	gap, ok := s.tokenGap()
	if typical := &e.gapsByBatch[batchBucket(s.BatchShare)]; ok && typical.median > 0 {
		weight := float64(s.DecodedTokens) / float64(s.DecodedTokens+halfWeightTokens)
		sum = sum.Plus(compared(weight, gap, typical.median))
	}
	return sum
}

// tokenGap returns the seconds between two tokens of the answer, also of a short one.
func (s Sample) tokenGap() (gap float64, ok bool) {
	if s.DecodedTokens < minComparedTokens || s.DecodeTime <= 0 {
		return 0, false
	}
	return s.DecodeTime.Seconds() / float64(s.DecodedTokens), true
}

func batchBucket(share float64) int {
	return max(0, min(int(share*batchBuckets), batchBuckets-1))
}

// medianRing holds the latest values and their median, which is 0 until there are minSamples values.
type medianRing struct {
	ring[float64]
	median float64
}

func (r *medianRing) add(v float64) {
	r.ring.add(v)
	if r.added >= minSamples && r.added%samplesPerFit == 0 {
		r.median = quantile(r.values(), 0.5)
	}
}

// Relative estimates the time that an endpoint takes relative to its service, from the evidence
// of all hosts.
type Relative struct {
	sum Evidence
	// decayedAt is the time as of which sum is decayed, latest the time of the latest evidence.
	decayedAt, latest time.Time
}

// Add adds evidence.
func (r *Relative) Add(e Evidence, now time.Time) {
	r.decay(now)
	r.sum = r.sum.Plus(e)
	if excess := r.sum.Weight / maxWeight; excess > 1 {
		r.sum = Evidence{r.sum.Weight / excess, r.sum.WeightedLog / excess}
	}
	r.latest = now
}

// believed returns the evidence as of now. It counts less from staleAfter on after the latest
// evidence, and not at all after forgottenAfter.
func (r *Relative) believed(now time.Time) Evidence {
	r.decay(now)
	keep := (forgottenAfter - now.Sub(r.latest)).Seconds() / (forgottenAfter - staleAfter).Seconds()
	keep = max(0, min(1, keep))
	return Evidence{r.sum.Weight * keep, r.sum.WeightedLog * keep}
}

func (r *Relative) decay(now time.Time) {
	if elapsed := now.Sub(r.decayedAt); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / speedMemory.Seconds())
		r.sum = Evidence{r.sum.Weight * keep, r.sum.WeightedLog * keep}
		r.decayedAt = now
	}
}

// Factors returns, for each endpoint of a service, the time that it takes relative to the
// service: 1 is the mean, 2 takes twice as long. The mean of the inverse factors is 1 before the
// dead band is applied, so that n endpoints together have the capacity of n endpoints of factor 1.
// Endpoints that differ little, or about which little is known, have the factor 1. The result
// is appended to dst.
func Factors(dst []float64, endpoints []*Relative, now time.Time) []float64 {
	center := meanLog(endpoints, now)
	first := len(dst)
	speeds := 0.0
	for _, r := range endpoints {
		e := r.believed(now)
		v := (e.WeightedLog - center*e.Weight) / (e.Weight + priorWeight)
		dst = append(dst, v)
		speeds += math.Exp(-v)
	}
	offset := math.Log(speeds / float64(len(endpoints)))
	for i, v := range dst[first:] {
		dst[first+i] = math.Exp(applyDeadBand(v + offset))
	}
	return dst
}

// meanLog returns the mean logarithm of the ratio over the endpoints, each weighted by how much
// is known about it. It is positive if answers waited in queues that no host knows of.
func meanLog(endpoints []*Relative, now time.Time) float64 {
	weights, sum := 0.0, 0.0
	for _, r := range endpoints {
		if e := r.believed(now); e.Weight > 0 {
			known := e.Weight / (e.Weight + priorWeight)
			weights += known
			sum += known * e.WeightedLog / e.Weight
		}
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// applyDeadBand returns 0 for a logarithm within the dead band, and v from twice the dead band on.
func applyDeadBand(v float64) float64 {
	switch size := math.Abs(v); {
	case size <= deadBand:
		return 0
	case size < 2*deadBand:
		return math.Copysign(2*(size-deadBand), v)
	default:
		return v
	}
}
