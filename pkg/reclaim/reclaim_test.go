package reclaim_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/reclaim"
)

// TestMain fixes the seed of the property tests, so that each run draws the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

func drawStreams(t *rapid.T) []reclaim.Stream {
	var streams []reclaim.Stream
	for i := range rapid.IntRange(3, 10).Draw(t, "streams") {
		tokens := rapid.IntRange(300, 4000).Draw(t, "tokens")
		streams = append(streams, reclaim.Stream{
			ID: fmt.Sprint(i), KVTokens: tokens, RemainingTokens: rapid.IntRange(100, 2000).Draw(t, "remaining"),
			TokenGap: 20 * time.Millisecond, CachedElsewhere: rapid.IntRange(0, tokens/2).Draw(t, "shared"), MayWait: rapid.Bool().Draw(t, "may wait"),
		})
	}
	return streams
}

func destinations(freeTokens int) []reclaim.Destination {
	var list []reclaim.Destination
	for i := range 3 {
		list = append(list, reclaim.Destination{
			Endpoint: endpoint.Info{ID: fmt.Sprintf("d%d", i), State: endpoint.Live}, FreeTokens: freeTokens, Slots: 100, HazardPerHour: float64(i),
		})
	}
	return list
}

func savedByMoves(steps []reclaim.Step) (total int) {
	for _, s := range steps {
		if _, ok := s.Action.(reclaim.Move); ok {
			total += s.SavedTokens
		}
	}
	return total
}

// optimum returns the most tokens that any selection of moves saves within the bytes that
// can be sent.
func optimum(streams []reclaim.Stream, limits reclaim.Limits) int {
	budget := (limits.Notice - 300*time.Millisecond).Seconds() * limits.BytesPerSecond
	best := 0
	for selection := range 1 << len(streams) {
		bytes, total := 0.0, 0
		for i, s := range streams {
			if selection&(1<<i) != 0 {
				bytes += float64(s.KVTokens) * limits.BytesPerToken
				total += s.KVTokens - s.CachedElsewhere
			}
		}
		if bytes <= budget {
			best = max(best, total)
		}
	}
	return best
}

// TestPlanAgainstTheOptimum compares the plan with every selection of moves. The plan must
// save at least half of the optimum, send no more bytes than the notice leaves time for,
// and have one step for each stream. The naive plan moves nothing and saves nothing.
func TestPlanAgainstTheOptimum(t *testing.T) {
	planned, best := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		streams := drawStreams(rt)
		limits := reclaim.Limits{
			Notice:         time.Duration(rapid.IntRange(0, 5000).Draw(rt, "notice")) * time.Millisecond,
			BytesPerSecond: float64(rapid.IntRange(500, 3000).Draw(rt, "bandwidth")), BytesPerToken: 1,
		}
		steps := reclaim.Plan(streams, destinations(1<<20), limits, rand.New(rand.NewPCG(1, 1)))
		seen := map[string]bool{}
		bytes := 0.0
		var unfinished []reclaim.Stream
		for _, s := range steps {
			if seen[s.Stream.ID] {
				rt.Fatalf("stream %s: got two steps, want one", s.Stream.ID)
			}
			seen[s.Stream.ID] = true
			switch s.Action.(type) {
			case reclaim.Move:
				bytes += float64(s.Stream.KVTokens)
				unfinished = append(unfinished, s.Stream)
			case reclaim.Resume:
				unfinished = append(unfinished, s.Stream)
			case reclaim.Finish:
				if time.Duration(s.Stream.RemainingTokens)*s.Stream.TokenGap > limits.Notice {
					rt.Fatalf("stream %s: got Finish for %d remaining tokens, which do not fit into the notice of %v", s.Stream.ID, s.Stream.RemainingTokens, limits.Notice)
				}
			}
		}
		if len(seen) != len(streams) {
			rt.Fatalf("steps: got %d, want one for each of %d streams", len(seen), len(streams))
		}
		if budget := (limits.Notice - 300*time.Millisecond).Seconds() * limits.BytesPerSecond; bytes > max(budget, 0) {
			rt.Fatalf("bytes moved: got %.0f, want at most %.0f", bytes, budget)
		}
		bestSaved := optimum(unfinished, limits)
		if got := savedByMoves(steps); 2*got < bestSaved {
			rt.Fatalf("saved tokens: got %d, want at least half of the optimum of %d", got, bestSaved)
		}
		planned += savedByMoves(steps)
		best += bestSaved
		if got := savedByMoves(reclaim.ResumeAll(streams)); got != 0 {
			rt.Fatalf("tokens saved by the naive plan: got %d, want 0", got)
		}
	})
	t.Logf("saved %d of the optimum's %d tokens (%.1f%%)", planned, best, 100*float64(planned)/float64(best))
	if 100*planned < 95*best {
		t.Errorf("saved tokens over all draws: got %d, want at least 95%% of the optimum's %d", planned, best)
	}
}

// TestMovePrefersLowHazard checks that moves prefer destinations with a lower hazard,
// respect their free memory, and never go to a leaving endpoint.
func TestMovePrefersLowHazard(t *testing.T) {
	streams := []reclaim.Stream{{ID: "a", KVTokens: 1000, RemainingTokens: 5000, TokenGap: 20 * time.Millisecond}}
	limits := reclaim.Limits{Notice: 5 * time.Second, BytesPerSecond: 1e9, BytesPerToken: 1}
	counts := map[string]int{}
	for seed := range uint64(300) {
		list := destinations(10_000)
		list[0].Endpoint.State = endpoint.Leaving
		list[2].HazardPerHour = 20
		steps := reclaim.Plan(streams, list, limits, rand.New(rand.NewPCG(seed, 1)))
		move, ok := steps[0].Action.(reclaim.Move)
		if !ok {
			t.Fatalf("action: got %T, want Move", steps[0].Action)
		}
		counts[move.To.ID]++
	}
	if counts["d0"] != 0 || counts["d1"] <= counts["d2"] {
		t.Errorf("moves by destination: got %v, want none to d0, which is leaving, and most to d1, which has a lower hazard", counts)
	}
	steps := reclaim.Plan(streams, destinations(100), limits, rand.New(rand.NewPCG(1, 1)))
	if _, ok := steps[0].Action.(reclaim.Resume); !ok {
		t.Errorf("action without free memory at any destination: got %T, want Resume", steps[0].Action)
	}
}

func TestCheckpointInterval(t *testing.T) {
	cases := []struct {
		name   string
		cost   time.Duration
		losses float64
		want   time.Duration
	}{
		{"no losses", time.Second, 0, 10 * time.Minute},
		{"one loss an hour", time.Second, 1, 83853 * time.Millisecond},
		{"frequent losses", time.Millisecond, 10_000, 2 * time.Second},
	}
	for _, c := range cases {
		if got := reclaim.CheckpointInterval(c.cost, c.losses).Round(time.Millisecond); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
