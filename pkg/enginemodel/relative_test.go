package enginemodel_test

import (
	"math"
	"testing"
	"time"

	"ironhollow/pkg/enginemodel"
)

var start = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)

// answers returns the evidence of a number of answers, each taking the given time relative to the
// expected one.
func answers(count int, ratio float64) enginemodel.Evidence {
	return enginemodel.Evidence{Weight: float64(count), WeightedLog: float64(count) * math.Log(ratio)}
}

func factors(now time.Time, endpoints ...*enginemodel.Relative) []float64 {
	return enginemodel.Factors(nil, endpoints, now)
}

// Guards against choices that change where engines are equal: with differences of 10 % in the
// means, as unknown queues cause them, the factors have to be exactly 1.
func TestSmallDifferencesDoNotCount(t *testing.T) {
	var a, b, c enginemodel.Relative
	a.Add(answers(200, 1.3), start)
	b.Add(answers(200, 1.2), start)
	c.Add(answers(200, 1.25), start)
	for i, got := range factors(start, &a, &b, &c) {
		if got != 1 {
			t.Errorf("factor of endpoint %d: got %.3f, want 1", i, got)
		}
	}
}

func TestFactorsSumToCapacity(t *testing.T) {
	var fast, fast2, slow enginemodel.Relative
	fast.Add(answers(200, 0.7), start)
	fast2.Add(answers(200, 0.7), start)
	slow.Add(answers(200, 1.7), start)
	got := factors(start, &fast, &fast2, &slow)
	work := 1/got[0] + 1/got[1] + 1/got[2]
	if math.Abs(work-3) > 0.1 || got[2]/got[0] < 2.1 || got[2]/got[0] > 2.5 {
		t.Errorf("factors: got %.2f with a work of %.2f, want a ratio of about 2.4 and 3", got, work)
	}
}

// Guards against avoiding a rarely used endpoint because of one late answer.
func TestOneAnswerDoesNotCondemn(t *testing.T) {
	var rare, other, third enginemodel.Relative
	rare.Add(answers(1, 3), start)
	other.Add(answers(100, 1), start)
	third.Add(answers(100, 1), start)
	if got := factors(start, &rare, &other, &third)[0]; got != 1 {
		t.Errorf("factor after one slow answer: got %.2f, want 1", got)
	}
}

// Guards against a slow endpoint that is never asked again, although it has recovered.
func TestSlowEndpointIsTriedAgain(t *testing.T) {
	var slow, other enginemodel.Relative
	slow.Add(answers(100, 2.5), start)
	for second := range 16 {
		other.Add(answers(8, 1), start.Add(time.Duration(second)*time.Second))
	}
	if got := factors(start.Add(4*time.Second), &slow, &other)[0]; got < 1.5 {
		t.Errorf("factor after 4 s: got %.2f, want at least 1.5", got)
	}
	if got := factors(start.Add(15*time.Second), &slow, &other)[0]; got > 1.1 {
		t.Errorf("factor after 15 s without an answer: got %.2f, want 1", got)
	}
}

func TestInvalidReportsAreBounded(t *testing.T) {
	for _, e := range []enginemodel.Evidence{
		{Weight: math.NaN(), WeightedLog: 1},
		{Weight: 1, WeightedLog: math.NaN()},
		{Weight: math.Inf(1), WeightedLog: 1},
		{Weight: -1, WeightedLog: 1},
		{Weight: 0, WeightedLog: 1},
		{Weight: 1, WeightedLog: math.Inf(-1)},
	} {
		if got, ok := e.Bounded(); ok {
			t.Errorf("%+v: got %+v accepted, want it rejected", e, got)
		}
	}
	var a, b enginemodel.Relative
	huge, ok := enginemodel.Evidence{Weight: 1e300, WeightedLog: 1e301}.Bounded()
	if !ok || huge.Weight > 100 {
		t.Fatalf("huge weight: got %+v, want it bounded", huge)
	}
	for range 1000 {
		a.Add(huge, start)
	}
	b.Add(answers(100, 1), start)
	if got := factors(start, &a, &b)[0]; got > 3 || math.IsNaN(got) {
		t.Errorf("factor after false reports: got %.2f, want at most 3", got)
	}
	a.Add(answers(400, 1), start)
	if got := factors(start, &a, &b)[0]; got > 2 {
		t.Errorf("factor after as many answers: got %.2f, want it to recover", got)
	}
}

// Guards against leaving out short answers, most of all answers, and against comparing answers of
// full batches with those of empty ones.
func TestAnswersAreComparedAtSimilarBatch(t *testing.T) {
	estimator := enginemodel.NewEstimator(prior)
	sample := func(batchShare float64, gap time.Duration) enginemodel.Sample {
		return enginemodel.Sample{DecodedTokens: 9, DecodeTime: 9 * gap, BatchShare: batchShare}
	}
	if got := estimator.Compare(sample(0.1, time.Second)); got.Weight != 0 {
		t.Errorf("before any answer: got %+v, want no evidence", got)
	}
	for range 16 {
		estimator.Observe(sample(0.1, 4*time.Millisecond))
		estimator.Observe(sample(0.9, 9*time.Millisecond))
	}
	if got := estimator.Compare(sample(0.9, 9*time.Millisecond)); got.Weight == 0 || math.Abs(got.WeightedLog) > 0.01 {
		t.Errorf("typical gap of a full batch: got %+v, want evidence of equal speed", got)
	}
	if got := estimator.Compare(sample(0.1, 9*time.Millisecond)); got.WeightedLog < 0.2 {
		t.Errorf("slow gap of an empty batch: got %+v, want evidence of slowness", got)
	}
}

// Guards against taking the wait in an unknown queue for slowness.
func TestFirstTokenAfterLongQueueDoesNotCount(t *testing.T) {
	estimator, e := enginemodel.NewEstimator(prior), newEngine(0)
	for range 32 {
		estimator.Observe(e.answer())
	}
	sample := enginemodel.Sample{PrefillTokens: 10_000, FirstToken: 300 * time.Millisecond}
	if got := estimator.Compare(sample); got.Weight != 0 {
		t.Errorf("after a long queue: got %+v, want no evidence", got)
	}
	sample.ShortQueue = true
	if got := estimator.Compare(sample); got.WeightedLog < 0.5 {
		t.Errorf("after a short queue: got %+v, want evidence of slowness", got)
	}
}

// The factors of 3,000 endpoints are computed at most four times a second.
func BenchmarkFactors3000(b *testing.B) {
	endpoints := make([]*enginemodel.Relative, 3000)
	for i := range endpoints {
		endpoints[i] = &enginemodel.Relative{}
		endpoints[i].Add(answers(1+i%200, 0.7+float64(i%3)/2), start)
	}
	var buffer []float64
	for i := 0; b.Loop(); i++ {
		buffer = enginemodel.Factors(buffer[:0], endpoints, start.Add(time.Duration(i)*time.Millisecond))
	}
}
