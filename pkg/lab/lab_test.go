package lab_test

import (
	"flag"
	"testing"
	"time"

	"ironhollow/pkg/lab"
)

// seeds is for looking at more runs by hand.
var seeds = flag.Int("seeds", 1, "runs of each load")

// credit is a model for loan files on hosts of one region: 16 take callers.
func credit() lab.Fleet {
	return lab.Fleet{
		Hosts: 16, Endpoints: 78, DataCenters: 6, NetworkDelay: time.Millisecond, DatagramLoss: 0.005,
		Engine: lab.EngineParams{
			BatchSize: 64, QueueSize: 134, PrefillChunk: 4096, StepTime: 5950 * time.Microsecond, StepTimePerRequest: 44500 * time.Nanosecond,
			PrefillTimePerToken: 19720 * time.Nanosecond, AttentionTimePerPair: 0, OutputDelay: 10 * time.Millisecond, CacheTokens: 583_000,
		},
	}
}

// files is full reviews of many files, each met for the first time during the run,
// summaries and short questions.
func files() []lab.RequestKind {
	return []lab.RequestKind{
		{
			Name: "review", Rate: 99.5, SharedParts: []lab.PromptPart{{MeanTokens: 13_300, Spread: 0.7, Variants: 661}}, OwnTokens: 3720, OwnTokensSpread: 1.1,
			AnswerTokens: 120, Objective: time.Second, Timeout: 15 * time.Second, Priority: 1, Value: 3,
		},
		{
			Name: "summary", Rate: 43.7, SharedParts: []lab.PromptPart{{MeanTokens: 2520, Spread: 0.4, Variants: 4}, {MeanTokens: 3780, Spread: 0.7, Variants: 291}},
			OwnTokens: 2890, OwnTokensSpread: 1, AnswerTokens: 52, Objective: time.Second, Timeout: 8 * time.Second, Value: 2.5,
		},
		{
			Name: "question", Rate: 123, SharedParts: []lab.PromptPart{{MeanTokens: 210, Spread: 0.4, Variants: 39}, {MeanTokens: 140, Spread: 0.7, Variants: 549}},
			OwnTokens: 1110, OwnTokensSpread: 1, AnswerTokens: 172, Objective: 800 * time.Millisecond, Timeout: 15 * time.Second, Priority: 2, Value: 0.34,
		},
	}
}

// Full reviews of files that nobody has asked for before: what is queued for them is
// known, so that those behind go elsewhere. With a home for each new file, reckoned
// as read there, 0.947 to 0.956 of the reviews had their first token within a second
// (seeds 1 to 3) and 1 in 100 of all first tokens came 1.2 s later than reckoned.
func TestNewFiles(t *testing.T) {
	load := lab.Workload{Kinds: files(), Duration: 20 * time.Second, WarmUp: 3 * time.Second}
	eachSeed(t, credit(), load, func(o *lab.Outcome) {
		atLeast(t, "reviews in time", o.ForKind("review").OnTimeShare(), 0.97)
		atLeast(t, "summaries in time", o.ForKind("summary").OnTimeShare(), 0.99)
		atLeast(t, "questions in time", o.ForKind("question").OnTimeShare(), 0.99)
		if got, want := o.WaitErrorQuantile(0.99), 400*time.Millisecond; got > want {
			t.Errorf("1 in 100 first tokens later than reckoned: got %v, want %v at most", got, want)
		}
	})
}

// eachSeed plays a load with each seed, prints what callers got, and checks it.
func eachSeed(t *testing.T, fleet lab.Fleet, load lab.Workload, check func(*lab.Outcome)) {
	t.Helper()
	for seed := range *seeds {
		o := lab.Run(fleet, load, uint64(seed+1))
		t.Logf("%d engines, seed %d\n%v", fleet.Endpoints, seed+1, o)
		check(o)
	}
}

func atLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s: got %.3f, want %.3f at least", what, got, want)
	}
}

// A run of a seed gives the same each time.
func TestRunsRepeat(t *testing.T) {
	load := lab.Workload{Kinds: files(), Duration: 3 * time.Second, WarmUp: time.Second}
	first, second := lab.Run(credit(), load, 7), lab.Run(credit(), load, 7)
	if got, want := second.String(), first.String(); got != want {
		t.Errorf("second run: got\n%s\nwant\n%s", got, want)
	}
}

// A burst on engines that are full, and on half as many as are needed: what can't be
// served in time is refused at once, and the most urgent least. Where a refusal went
// by the queue alone, up to 0.8 of the objective, callers got 0.698 of the worth on 34
// engines and 0.291 on 24, and 1144 and 2868 requests got nothing (means of seeds 1 to
// 4). Where a prompt that was refused was taken for read at the endpoint that was
// chosen, it was 0.768 and 0.431.
func TestOverload(t *testing.T) {
	for _, c := range []struct {
		engines int
		earned  float64
		lost    int
	}{{78, 0.965, 10}, {50, 0.95, 40}, {34, 0.78, 650}, {24, 0.5, 1900}} {
		fleet := credit()
		fleet.Endpoints = c.engines
		load := lab.Workload{
			Kinds: files(), Duration: 20 * time.Second, WarmUp: 3 * time.Second,
			Bursts: []lab.Burst{{Start: 8 * time.Second, Duration: 3 * time.Second, Factor: 1.7}},
		}
		eachSeed(t, fleet, load, func(o *lab.Outcome) {
			summary, review, question := o.ForKind("summary"), o.ForKind("review"), o.ForKind("question")
			atLeast(t, "worth earned", o.EarnedValueShare(), c.earned)
			atLeast(t, "summaries in time, the most urgent", summary.OnTimeShare(), review.OnTimeShare())
			if got := summary.Failed + review.Failed + question.Failed; got > c.lost {
				t.Errorf("%d engines: got %d requests that got nothing, want %d at most", c.engines, got, c.lost)
			}
		})
	}
}

// A data centre's engines end, and another's 4 s later: of 96 engines 64 are left,
// which are enough.
func TestDataCentersLost(t *testing.T) {
	fleet := credit()
	fleet.Endpoints = 96
	load := lab.Workload{
		Kinds: files(), Duration: 18 * time.Second, WarmUp: 3 * time.Second, DataCenterFailures: []time.Duration{6 * time.Second, 10 * time.Second},
	}
	eachSeed(t, fleet, load, func(o *lab.Outcome) {
		atLeast(t, "worth earned", o.EarnedValueShare(), 0.94)
	})
}

// All hosts start anew twice: the parts that engines keep are found again, though
// nobody knows any more where they were sent. Without homes 0.950 of the worth was
// earned, and 9.4 million shared tokens were read again (means of seeds 1 to 4).
func TestHostsStartAnew(t *testing.T) {
	fleet := credit()
	fleet.Endpoints = 60
	load := lab.Workload{
		Kinds: files(), Duration: 20 * time.Second, WarmUp: 3 * time.Second, HostRestarts: []time.Duration{9 * time.Second, 13 * time.Second},
	}
	eachSeed(t, fleet, load, func(o *lab.Outcome) {
		atLeast(t, "worth earned", o.EarnedValueShare(), 0.955)
		if got, want := o.RecomputedTokens, 6_000_000; got > want {
			t.Errorf("shared tokens read again: got %d, want %d at most", got, want)
		}
	})
}
