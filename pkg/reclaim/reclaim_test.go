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

// TestMain fixes the seed of property tests: the same verdict on each run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

func drawWorks(t *rapid.T) []reclaim.Stream {
	var works []reclaim.Stream
	for i := range rapid.IntRange(3, 10).Draw(t, "streams") {
		tokens := rapid.IntRange(300, 4000).Draw(t, "tokens")
		works = append(works, reclaim.Stream{
			ID: fmt.Sprint(i), KVTokens: tokens, RemainingTokens: rapid.IntRange(100, 2000).Draw(t, "remaining"),
			TokenGap: 20 * time.Millisecond, CachedElsewhere: rapid.IntRange(0, tokens/2).Draw(t, "shared"), MayWait: rapid.Bool().Draw(t, "may wait"),
		})
	}
	return works
}

func destinations(free int) []reclaim.Destination {
	var list []reclaim.Destination
	for i := range 3 {
		list = append(list, reclaim.Destination{
			Endpoint: endpoint.Info{ID: fmt.Sprintf("d%d", i), State: endpoint.Live}, FreeTokens: free, Slots: 100, HazardPerHour: float64(i),
		})
	}
	return list
}

func saved(steps []reclaim.Step) (total int) {
	for _, s := range steps {
		if _, ok := s.Action.(reclaim.Move); ok {
			total += s.SavedTokens
		}
	}
	return total
}

// optimum is the most that any choice of moves saves within the bytes.
func optimum(works []reclaim.Stream, limits reclaim.Limits) int {
	budget := (limits.Notice - 300*time.Millisecond).Seconds() * limits.BytesPerSecond
	best := 0
	for set := range 1 << len(works) {
		bytes, total := 0.0, 0
		for i, w := range works {
			if set&(1<<i) != 0 {
				bytes += float64(w.KVTokens) * limits.BytesPerToken
				total += w.KVTokens - w.CachedElsewhere
			}
		}
		if bytes <= budget {
			best = max(best, total)
		}
	}
	return best
}

// TestPlanAgainstTheOptimum compares the plan with every choice of moves: never
// less than half of the best, never more bytes than there is time for, one step
// for each stream, and never worse than moving nothing, as the naive plan does.
func TestPlanAgainstTheOptimum(t *testing.T) {
	planned, best := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		works := drawWorks(rt)
		limits := reclaim.Limits{
			Notice:         time.Duration(rapid.IntRange(0, 5000).Draw(rt, "notice")) * time.Millisecond,
			BytesPerSecond: float64(rapid.IntRange(500, 3000).Draw(rt, "bandwidth")), BytesPerToken: 1,
		}
		steps := reclaim.Plan(works, destinations(1<<20), limits, rand.New(rand.NewPCG(1, 1)))
		seen := map[string]bool{}
		bytes := 0.0
		var unfinished []reclaim.Stream
		for _, s := range steps {
			if seen[s.Stream.ID] {
				rt.Fatalf("stream %s has two steps", s.Stream.ID)
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
					rt.Fatalf("stream %s is left to finish %d tokens within %v", s.Stream.ID, s.Stream.RemainingTokens, limits.Notice)
				}
			}
		}
		if len(seen) != len(works) {
			rt.Fatalf("steps: got %d, want one for each of %d streams", len(seen), len(works))
		}
		if budget := (limits.Notice - 300*time.Millisecond).Seconds() * limits.BytesPerSecond; bytes > max(budget, 0) {
			rt.Fatalf("bytes moved: got %.0f, want %.0f at most", bytes, budget)
		}
		most := optimum(unfinished, limits)
		if got := saved(steps); 2*got < most {
			rt.Fatalf("saved: got %d, want at least half of the optimum %d", got, most)
		}
		planned += saved(steps)
		best += most
		if got := saved(reclaim.ResumeAll(works)); got != 0 {
			rt.Fatalf("naive plan saved %d, want 0", got)
		}
	})
	t.Logf("saved %d of the optimum's %d tokens (%.1f%%)", planned, best, 100*float64(planned)/float64(best))
	if 100*planned < 95*best {
		t.Errorf("saved %d tokens over all draws, want 95%% of the optimum's %d", planned, best)
	}
}

// TestMoveGoesWhereTheWaveDoesNot prefers destinations that are less likely to
// be reclaimed, keeps to their memory, and never picks one that leaves.
func TestMoveGoesWhereTheWaveDoesNot(t *testing.T) {
	works := []reclaim.Stream{{ID: "a", KVTokens: 1000, RemainingTokens: 5000, TokenGap: 20 * time.Millisecond}}
	limits := reclaim.Limits{Notice: 5 * time.Second, BytesPerSecond: 1e9, BytesPerToken: 1}
	counts := map[string]int{}
	for seed := range uint64(300) {
		list := destinations(10_000)
		list[0].Endpoint.State = endpoint.Leaving
		list[2].HazardPerHour = 20
		steps := reclaim.Plan(works, list, limits, rand.New(rand.NewPCG(seed, 1)))
		move, ok := steps[0].Action.(reclaim.Move)
		if !ok {
			t.Fatalf("got %T, want a move", steps[0].Action)
		}
		counts[move.To.ID]++
	}
	if counts["d0"] != 0 || counts["d1"] <= counts["d2"] {
		t.Errorf("got %v, want none at d0, which leaves, and most at d1, which is safer", counts)
	}
	steps := reclaim.Plan(works, destinations(100), limits, rand.New(rand.NewPCG(1, 1)))
	if _, ok := steps[0].Action.(reclaim.Resume); !ok {
		t.Errorf("without memory anywhere: got %T, want resume", steps[0].Action)
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
		{"a loss an hour", time.Second, 1, 83853 * time.Millisecond},
		{"losses all the time", time.Millisecond, 10_000, 2 * time.Second},
	}
	for _, c := range cases {
		if got := reclaim.CheckpointInterval(c.cost, c.losses).Round(time.Millisecond); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
