package lab_test

import (
	"flag"
	"testing"
	"time"

	"ironhollow/pkg/lab"
)

// seeds can be raised for manual runs.
var seeds = flag.Int("seeds", 1, "runs per workload")

// loanFleet returns a fleet in one region that serves a model for loan files; 16 hosts are
// advertised to callers.
func loanFleet() lab.Fleet {
	return lab.Fleet{
		Hosts: 16, Endpoints: 78, DataCenters: 6, NetworkDelay: time.Millisecond, DatagramLoss: 0.005,
		Engine: lab.EngineParams{
			BatchSize: 64, QueueSize: 134, PrefillChunk: 4096, StepTime: 5950 * time.Microsecond, StepTimePerRequest: 44500 * time.Nanosecond,
			PrefillTimePerToken: 19720 * time.Nanosecond, AttentionTimePerPair: 0, OutputDelay: 10 * time.Millisecond, CacheTokens: 583_000,
		},
	}
}

// loanRequests returns full reviews of many files, each requested for the first time during the
// run, summaries and short questions.
func loanRequests() []lab.RequestKind {
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

// Guards against queueing behind reviews of uncached files: the estimate has to include queued
// prefills, so that later requests go to other endpoints. When each new file was assigned a home
// endpoint and its prompt counted as cached there, 0.947 to 0.956 of the reviews had their first
// token within one second (seeds 1 to 3), and 1 in 100 of all first tokens was 1.2 s later than
// estimated.
func TestUncachedPrompts(t *testing.T) {
	workload := lab.Workload{Kinds: loanRequests(), Duration: 20 * time.Second, WarmUp: 3 * time.Second}
	runSeeds(t, loanFleet(), workload, func(o *lab.Outcome) {
		checkAtLeast(t, "share of reviews on time", o.ForKind("review").OnTimeShare(), 0.97)
		checkAtLeast(t, "share of summaries on time", o.ForKind("summary").OnTimeShare(), 0.99)
		checkAtLeast(t, "share of questions on time", o.ForKind("question").OnTimeShare(), 0.99)
		if got, want := o.WaitErrorQuantile(0.99), 400*time.Millisecond; got > want {
			t.Errorf("99th percentile of the first token delay relative to the estimate: got %v, want at most %v", got, want)
		}
	})
}

// runSeeds runs a workload with each seed, logs the outcome and checks it.
func runSeeds(t *testing.T, fleet lab.Fleet, workload lab.Workload, check func(*lab.Outcome)) {
	t.Helper()
	for seed := range *seeds {
		o := lab.Run(fleet, workload, uint64(seed+1))
		t.Logf("%d engines, seed %d\n%v", fleet.Endpoints, seed+1, o)
		check(o)
	}
}

func checkAtLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s: got %.3f, want at least %.3f", what, got, want)
	}
}

// Guards against nondeterminism: two runs with the same seed have to give the same outcome.
func TestRunIsDeterministic(t *testing.T) {
	workload := lab.Workload{Kinds: loanRequests(), Duration: 3 * time.Second, WarmUp: time.Second}
	first, second := lab.Run(loanFleet(), workload, 7), lab.Run(loanFleet(), workload, 7)
	if got, want := second.String(), first.String(); got != want {
		t.Errorf("second run: got\n%s\nwant\n%s", got, want)
	}
}

// Guards against admission that queues requests which cannot be on time: during a burst on full
// engines, and on half the engines needed, such requests have to be rejected at once, the most
// urgent ones last. When rejection only compared the queue with 0.8 of the objective, callers
// received 0.698 of the value with 34 engines and 0.291 with 24, and 1144 and 2868 requests failed
// (means of seeds 1 to 4). When the prompt of a rejected request counted as cached at the endpoint
// that was chosen for it, the shares were 0.768 and 0.431.
func TestOverload(t *testing.T) {
	for _, c := range []struct {
		engines       int
		minValueShare float64
		maxFailed     int
	}{{78, 0.965, 10}, {50, 0.95, 40}, {34, 0.78, 650}, {24, 0.5, 1900}} {
		fleet := loanFleet()
		fleet.Endpoints = c.engines
		workload := lab.Workload{
			Kinds: loanRequests(), Duration: 20 * time.Second, WarmUp: 3 * time.Second,
			Bursts: []lab.Burst{{Start: 8 * time.Second, Length: 3 * time.Second, Factor: 1.7}},
		}
		runSeeds(t, fleet, workload, func(o *lab.Outcome) {
			summary, review, question := o.ForKind("summary"), o.ForKind("review"), o.ForKind("question")
			checkAtLeast(t, "earned value share", o.EarnedValueShare(), c.minValueShare)
			checkAtLeast(t, "share of summaries on time, compared with less urgent reviews", summary.OnTimeShare(), review.OnTimeShare())
			if got := summary.Failed + review.Failed + question.Failed; got > c.maxFailed {
				t.Errorf("%d engines: got %d failed requests, want at most %d", c.engines, got, c.maxFailed)
			}
		})
	}
}

// Guards against loss of value when the engines of one data centre stop and those of another 4 s
// later: 64 of 96 engines remain, which are enough for the load.
func TestDataCenterFailures(t *testing.T) {
	fleet := loanFleet()
	fleet.Endpoints = 96
	workload := lab.Workload{
		Kinds: loanRequests(), Duration: 18 * time.Second, WarmUp: 3 * time.Second, DataCenterFailures: []time.Duration{6 * time.Second, 10 * time.Second},
	}
	runSeeds(t, fleet, workload, func(o *lab.Outcome) {
		checkAtLeast(t, "earned value share", o.EarnedValueShare(), 0.94)
		failed := 0
		for _, kind := range loanRequests() {
			failed += o.ForKind(kind.Name).Failed
		}
		if failed == 0 {
			t.Error("got no failed requests, want those that ran in the data centres that failed")
		}
	})
}

// Guards against repeated prefills after all hosts restart, which happens twice here: cached
// prefixes have to be found although no host remembers where it sent them. Without home endpoints,
// callers received 0.950 of the value, and 9.4 million shared tokens were prefilled again (means of
// seeds 1 to 4).
func TestHostRestarts(t *testing.T) {
	fleet := loanFleet()
	fleet.Endpoints = 60
	workload := lab.Workload{
		Kinds: loanRequests(), Duration: 20 * time.Second, WarmUp: 3 * time.Second, HostRestarts: []time.Duration{9 * time.Second, 13 * time.Second},
	}
	runSeeds(t, fleet, workload, func(o *lab.Outcome) {
		checkAtLeast(t, "earned value share", o.EarnedValueShare(), 0.955)
		if got, want := o.RecomputedTokens, 6_000_000; got > want {
			t.Errorf("recomputed shared tokens: got %d, want at most %d", got, want)
		}
	})
}
