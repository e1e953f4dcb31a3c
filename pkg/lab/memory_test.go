package lab_test

import (
	"testing"
	"time"

	"ironhollow/pkg/lab"
)

// Guards against prompts that wait for memory at one engine while another has room: with long answers,
// the memory is full before the slots are. When hosts did not know the memory, callers received 0.897
// of the value (mean of seeds 1 to 4).
func TestEngineMemory(t *testing.T) {
	const memoryTokens = 160_000
	fleet := lab.Fleet{
		Hosts: 8, Endpoints: 24, DataCenters: 3, NetworkDelay: time.Millisecond, DatagramLoss: 0.005, MemoryTokens: memoryTokens,
		Engine: lab.EngineParams{
			BatchSize: 64, QueueSize: 140, PrefillChunk: 2048, StepTime: 3820 * time.Microsecond,
			PrefillTimePerToken: 4 * time.Microsecond, OutputDelay: 3 * time.Millisecond, CacheTokens: 580_000, MemoryTokens: memoryTokens,
		},
	}
	workload := mixedRequests(1)
	workload.Kinds[0].Rate, workload.Kinds[0].AnswerTokens = 42, 1500
	workload.Kinds[1].Rate = 100
	value, short := 0.0, 0.0
	const seeds = 2
	for seed := range uint64(seeds) {
		o := lab.Run(fleet, workload, seed+1)
		value += o.EarnedValueShare() / seeds
		short += o.ForKind("short").OnTimeShare() / seeds
	}
	t.Logf("value %.3f, short %.3f", value, short)
	checkAtLeast(t, "earned value share", value, 0.915)
	checkAtLeast(t, "share of short prompts on time", short, 0.955)
}
