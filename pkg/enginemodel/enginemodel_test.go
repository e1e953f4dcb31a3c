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

var truth = enginemodel.Timings{FixedTime: 30 * time.Millisecond, PrefillPerToken: 9 * time.Microsecond, TokenGap: 4 * time.Millisecond}

// engine answers like truth, with noise and now and then behind a queue that
// nobody knows of.
type engine struct {
	random *rand.Rand
	// unknown is the part of the answers that meet such a queue.
	unknown float64
}

func newEngine(unknown float64) *engine {
	return &engine{rand.New(rand.NewPCG(1, 2)), unknown}
}

func (e *engine) answer() enginemodel.Sample {
	tokens := 500 + int(e.random.ExpFloat64()*6000)
	noise := 0.9 + 0.2*e.random.Float64()
	first := time.Duration(noise * float64(truth.TimeToFirstToken(tokens)))
	if e.random.Float64() < e.unknown {
		first += time.Duration(e.random.IntN(400)) * time.Millisecond
	}
	gap := time.Duration((0.9 + 0.3*e.random.Float64()) * float64(truth.TokenGap))
	return enginemodel.Sample{PrefillTokens: tokens, FirstToken: first, DecodedTokens: 200, DecodeTime: 200 * gap}
}

func off(got, want time.Duration) float64 { return math.Abs(float64(got)/float64(want) - 1) }

func TestPriorUntilAnswersTellMore(t *testing.T) {
	s := enginemodel.NewEstimator(prior)
	e := newEngine(0)
	for range 11 {
		s.Observe(e.answer())
	}
	if got := s.Timings(); got != prior {
		t.Errorf("after 11 answers: got %+v, want the prior", got)
	}
	s.Observe(e.answer())
	got := s.Timings()
	if off(got.PrefillPerToken, truth.PrefillPerToken) > 0.15 || off(got.TokenGap, truth.TokenGap) > 0.2 {
		t.Errorf("after 12 answers: got %+v, want about %+v", got, truth)
	}
}

// A quarter of the answers met a queue that nobody knew of. A mean of times over
// tokens, the naive estimate, is far off then.
func TestUnknownQueuesDoNotMoveTheEstimate(t *testing.T) {
	s := enginemodel.NewEstimator(prior)
	e := newEngine(0.25)
	naive := 0.0
	const answers = 400
	for range answers {
		a := e.answer()
		naive += float64(a.FirstToken) / float64(a.PrefillTokens) / answers
		s.Observe(a)
	}
	if got := s.Timings().PrefillPerToken; off(got, truth.PrefillPerToken) > 0.3 {
		t.Errorf("prefill: got %v a token, want about %v", got, truth.PrefillPerToken)
	}
	if off(time.Duration(naive), truth.PrefillPerToken) < 0.5 {
		t.Errorf("the naive estimate: got %v, want one far off", time.Duration(naive))
	}
}

// All prompts are alike: nothing tells the fixed part from that of the tokens.
func TestAlikePromptsLeaveThePrior(t *testing.T) {
	s := enginemodel.NewEstimator(prior)
	for range 100 {
		s.Observe(enginemodel.Sample{PrefillTokens: 1000, FirstToken: 40 * time.Millisecond})
	}
	if got := s.Timings().PrefillPerToken; got != prior.PrefillPerToken {
		t.Errorf("prefill: got %v, want the prior's %v", got, prior.PrefillPerToken)
	}
}

// Error of the prefill rate after 12 answers and after 100: 4.5 % and 2.6 % in the
// mean of 200 services; of the constant before, which no answer changed: 233 %.
func BenchmarkConverges(b *testing.B) {
	for b.Loop() {
		for _, answers := range []int{12, 100} {
			total := 0.0
			const services = 200
			for i := range services {
				s := enginemodel.NewEstimator(prior)
				e := &engine{random: rand.New(rand.NewPCG(uint64(i), 7))}
				for range answers {
					s.Observe(e.answer())
				}
				total += off(s.Timings().PrefillPerToken, truth.PrefillPerToken) / services
			}
			b.ReportMetric(100*total, map[int]string{12: "%off-after-12", 100: "%off-after-100"}[answers])
		}
	}
}

func BenchmarkLearn(b *testing.B) {
	s := enginemodel.NewEstimator(prior)
	e := newEngine(0.2)
	b.ReportAllocs()
	for b.Loop() {
		s.Observe(e.answer())
	}
}
