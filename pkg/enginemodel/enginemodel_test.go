package enginemodel_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ironhollow/pkg/enginemodel"
)

// prior is three times slower at prompts than the engines of these tests.
var prior = enginemodel.Timings{PrefillPerToken: 30 * time.Microsecond, TokenGap: 9 * time.Millisecond}

var actual = enginemodel.Timings{FixedTime: 30 * time.Millisecond, PrefillPerToken: 9 * time.Microsecond, TokenGap: 4 * time.Millisecond}

// engine answers with the timings of actual, plus noise. Some answers also wait in a queue
// that the caller does not know of.
type engine struct {
	random *rand.Rand
	// unknown is the share of the answers that wait in such a queue.
	unknown float64
}

func newEngine(unknownQueues float64) *engine {
	return &engine{rand.New(rand.NewPCG(1, 2)), unknownQueues}
}

func (e *engine) answer() enginemodel.Sample {
	tokens := 500 + int(e.random.ExpFloat64()*6000)
	noise := 0.9 + 0.2*e.random.Float64()
	first := time.Duration(noise * float64(actual.TimeToFirstToken(tokens)))
	if e.random.Float64() < e.unknown {
		first += time.Duration(e.random.IntN(400)) * time.Millisecond
	}
	gap := time.Duration((0.9 + 0.3*e.random.Float64()) * float64(actual.TokenGap))
	return enginemodel.Sample{PrefillTokens: tokens, FirstToken: first, DecodedTokens: 200, DecodeTime: 200 * gap}
}

func relativeError(got, want time.Duration) float64 { return math.Abs(float64(got)/float64(want) - 1) }

func TestPriorUntilEnoughSamples(t *testing.T) {
	estimator := enginemodel.NewEstimator(prior)
	e := newEngine(0)
	for range 11 {
		estimator.Observe(e.answer())
	}
	if got := estimator.Timings(); got != prior {
		t.Errorf("after 11 samples: got %+v, want the prior", got)
	}
	estimator.Observe(e.answer())
	got := estimator.Timings()
	if relativeError(got.PrefillPerToken, actual.PrefillPerToken) > 0.15 || relativeError(got.TokenGap, actual.TokenGap) > 0.2 {
		t.Errorf("after 12 samples: got %+v, want about %+v", got, actual)
	}
}

// A quarter of the answers waited in an unknown queue. The naive estimate, the mean of time
// over tokens, is far off then.
func TestUnknownQueuesDoNotDistortEstimate(t *testing.T) {
	estimator := enginemodel.NewEstimator(prior)
	e := newEngine(0.25)
	naive := 0.0
	const samples = 400
	for range samples {
		sample := e.answer()
		naive += float64(sample.FirstToken) / float64(sample.PrefillTokens) / samples
		estimator.Observe(sample)
	}
	if got := estimator.Timings().PrefillPerToken; relativeError(got, actual.PrefillPerToken) > 0.3 {
		t.Errorf("prefill per token: got %v, want about %v", got, actual.PrefillPerToken)
	}
	if relativeError(time.Duration(naive), actual.PrefillPerToken) < 0.5 {
		t.Errorf("naive estimate of the prefill per token: got %v, want an error of at least half", time.Duration(naive))
	}
}

// If all prompts have the same length, the fixed time and the time per token cannot be
// separated, and the prior is kept.
func TestEqualPromptsKeepPrior(t *testing.T) {
	estimator := enginemodel.NewEstimator(prior)
	for range 100 {
		estimator.Observe(enginemodel.Sample{PrefillTokens: 1000, FirstToken: 40 * time.Millisecond})
	}
	if got := estimator.Timings().PrefillPerToken; got != prior.PrefillPerToken {
		t.Errorf("prefill per token: got %v, want the prior's %v", got, prior.PrefillPerToken)
	}
}

// Reports the mean error of the prefill time over 200 services: 4.5 % after 12 samples and
// 2.6 % after 100. A constant that samples do not change has an error of 233 %.
func BenchmarkConverges(b *testing.B) {
	for b.Loop() {
		for _, samples := range []int{12, 100} {
			total := 0.0
			const services = 200
			for i := range services {
				estimator := enginemodel.NewEstimator(prior)
				e := &engine{random: rand.New(rand.NewPCG(uint64(i), 7))}
				for range samples {
					estimator.Observe(e.answer())
				}
				total += relativeError(estimator.Timings().PrefillPerToken, actual.PrefillPerToken) / services
			}
			b.ReportMetric(100*total, map[int]string{12: "%off-after-12", 100: "%off-after-100"}[samples])
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	estimator := enginemodel.NewEstimator(prior)
	e := newEngine(0.2)
	b.ReportAllocs()
	for b.Loop() {
		estimator.Observe(e.answer())
	}
}

// Under load a token gap contains the prefill of other prompts. Guards against a step time that
// follows it, by which the work of decoding would be overestimated as engines become fewer.
func TestStepTimeIsThatOfLittleLoad(t *testing.T) {
	estimator := enginemodel.NewEstimator(prior)
	e := newEngine(0)
	for range 100 {
		estimator.Observe(e.answer())
	}
	idle := estimator.Timings().StepTime
	if relativeError(idle, actual.TokenGap) > 0.2 {
		t.Fatalf("step time with little load: got %v, want about %v", idle, actual.TokenGap)
	}
	for range 200 {
		sample := e.answer()
		sample.DecodeTime *= 4
		estimator.Observe(sample)
	}
	if got := estimator.Timings(); got.TokenGap < 3*idle || got.StepTime > idle*3/2 {
		t.Errorf("with gaps four times as long: got gap %v, step time %v, want some %v and at most %v", got.TokenGap, got.StepTime, 4*idle, idle*3/2)
	}
}
