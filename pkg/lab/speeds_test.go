package lab_test

import (
	"testing"
	"time"

	"ironhollow/pkg/lab"
)

// mixedFleet returns engines of which a third take 2.4 times as long as the others. Together they do
// the work of 27.6 engines of relative time 1.
func mixedFleet() lab.Fleet {
	return lab.Fleet{
		Hosts: 8, Endpoints: 24, DataCenters: 3, NetworkDelay: time.Millisecond, DatagramLoss: 0.005,
		EngineTimes: []float64{0.7, 0.7, 1.7},
		Engine: lab.EngineParams{
			BatchSize: 12, QueueSize: 40, PrefillChunk: 2048, StepTime: 3270 * time.Microsecond,
			PrefillTimePerToken: 8 * time.Microsecond, OutputDelay: 3 * time.Millisecond, CacheTokens: 580_000,
		},
	}
}

// mixedRequests returns long and short prompts at a share of the capacity of the engines of
// mixedFleet. A long request takes 156 ms of an engine of relative time 1 (6,600 prompt tokens, 378
// tokens in a full batch), a short one 22 ms.
func mixedRequests(share float64) lab.Workload {
	perSecond := share * 27.6 / (0.156 + 6*0.022)
	return lab.Workload{Duration: 25 * time.Second, WarmUp: 6 * time.Second, Kinds: []lab.RequestKind{
		{
			Name: "long", Rate: perSecond, SharedParts: []lab.PromptPart{{MeanTokens: 5400, Spread: 0.4, Variants: 60}}, OwnTokens: 6600, OwnTokensSpread: 0.4,
			AnswerTokens: 378, Objective: 800 * time.Millisecond, Timeout: 12 * time.Second, Priority: 1, Value: 3,
		},
		{
			Name: "short", Rate: 6 * perSecond, SharedParts: []lab.PromptPart{{MeanTokens: 570, Spread: 0.4, Variants: 40}}, OwnTokens: 1800, OwnTokensSpread: 0.4,
			AnswerTokens: 27, Objective: 500 * time.Millisecond, Timeout: 2500 * time.Millisecond, Value: 0.5,
		},
	}}
}

// Guards against a choice that takes all engines for equally fast: at 95 % of the capacity, callers
// then received 0.943 of the value, with 0.901 of the short prompts on time (means of seeds 1 to 6).
func TestEnginesOfDifferentSpeeds(t *testing.T) {
	for _, c := range []struct{ share, minValueShare, minLong, minShort float64 }{{0.75, 0.995, 0.995, 0.995}, {0.95, 0.955, 0.975, 0.93}} {
		value, long, short := 0.0, 0.0, 0.0
		const seeds = 4
		for seed := range uint64(seeds) {
			o := lab.Run(mixedFleet(), mixedRequests(c.share), seed+1)
			value += o.EarnedValueShare() / seeds
			long += o.ForKind("long").OnTimeShare() / seeds
			short += o.ForKind("short").OnTimeShare() / seeds
			if o.GreatestFactor < 1.2 {
				t.Errorf("greatest factor at %.2f of the capacity: got %.2f, want the slow engines found", c.share, o.GreatestFactor)
			}
		}
		t.Logf("at %.2f of the capacity: value %.3f, long %.3f, short %.3f", c.share, value, long, short)
		checkAtLeast(t, "earned value share", value, c.minValueShare)
		checkAtLeast(t, "share of long prompts on time", long, c.minLong)
		checkAtLeast(t, "share of short prompts on time", short, c.minShort)
	}
}

// Guards against taking the waits of full engines for slowness: engines of equal speed have to count
// as equal.
func TestEqualEnginesCountAsEqual(t *testing.T) {
	fleet := mixedFleet()
	fleet.EngineTimes = []float64{0.87}
	for _, share := range []float64{0.4, 0.75, 0.95} {
		o := lab.Run(fleet, mixedRequests(share), 1)
		if o.LeastFactor < 0.9 || o.GreatestFactor > 1.1 {
			t.Errorf("factors at %.2f of the capacity: got %.2f to %.2f, want 1", share, o.LeastFactor, o.GreatestFactor)
		}
	}
}

// Guards against speeds that are lost for good when hosts restart or reports are lost: all hosts
// restart midway, and a fifth of all datagrams are lost.
func TestSpeedsAreLearnedAgainAfterRestart(t *testing.T) {
	fleet, workload := mixedFleet(), mixedRequests(0.75)
	fleet.DatagramLoss = 0.2
	workload.HostRestarts = []time.Duration{13 * time.Second}
	o := lab.Run(fleet, workload, 1)
	checkAtLeast(t, "earned value share", o.EarnedValueShare(), 0.98)
	checkAtLeast(t, "greatest factor", o.GreatestFactor, 1.2)
}
