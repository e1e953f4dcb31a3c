package rolloutlab_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"ironhollow/pkg/rollout"
	"ironhollow/pkg/rolloutlab"
)

// seeds can be raised for manual runs; firstSeed selects where they start.
var (
	seeds     = flag.Int("seeds", 120, "number of roll-outs")
	firstSeed = flag.Int("first", 0, "first seed")
)

// drawScenario draws a scenario: half of the versions are good, services have 4 or 60 endpoints, 5
// to 400 requests per second and periods of 6 to 60 s, with zero to two faults.
func drawScenario(seed uint64) rolloutlab.Scenario {
	random := rand.New(rand.NewPCG(seed, 99))
	s := rolloutlab.Scenario{
		Hosts: 4 + random.IntN(9), Endpoints: 60, Rate: 5 * float64(uint(1)<<random.IntN(7)) * (1 + 0.25*random.Float64()),
		Period: time.Duration(6+random.IntN(55)) * time.Second,
		Bounds: rollout.Bounds{Share: 0.1, Slack: 50}, Test: rollout.DefaultBayesTest(),
	}
	s.BootTime = time.Duration(random.Float64() * min(4, 0.3*s.Period.Seconds()) * float64(time.Second))
	s.Routes = []rolloutlab.Route{
		{TrafficShare: 0.55, FailureRate: 0.01, MeanTime: 700 * time.Millisecond, Spread: 0.4},
		{TrafficShare: 0.3, FailureRate: 0.004, MeanTime: 300 * time.Millisecond, Spread: 0.5},
		{TrafficShare: 0.15, FailureRate: 0.01, MeanTime: 900 * time.Millisecond, Spread: 0.4},
	}
	if random.IntN(2) == 0 {
		s.Endpoints = 4
		s.Routes = []rolloutlab.Route{
			{TrafficShare: 0.81, FailureRate: 0.004, MeanTime: 60 * time.Millisecond, Spread: 0.5},
			{TrafficShare: 0.19, FailureRate: 0.14, MeanTime: 60 * time.Millisecond, Spread: 0.5},
		}
	}
	if seed%2 == 1 {
		s.Target = rolloutlab.Defect{BadShare: 0.3 + 0.6*random.Float64()}
		if random.IntN(2) == 0 {
			s.Target.SlowFactor = 3 + 3*random.Float64()
		}
		if random.IntN(3) == 0 {
			s.Target.StartsAfter = 0.1 + 0.5*random.Float64()
		}
		s.Target.OnlyUnderLoad = random.IntN(4) == 0
		s.Target.OnlyRarestRoute = random.IntN(4) == 0
	}
	for range random.IntN(3) {
		s.Faults = append(s.Faults, rolloutlab.Faults[random.IntN(len(rolloutlab.Faults))])
	}
	return s
}

// result is a roll-out with its outcome.
type result struct {
	seed     uint64
	scenario rolloutlab.Scenario
	outcome  rolloutlab.Outcome
}

func (r result) String() string {
	s := r.scenario
	return fmt.Sprintf("seed %d: %v (%.2f, slow %.1f, after %.2f), %d hosts, %d endpoints, %.0f/s, period %v, boot %v, faults %v: %v",
		r.seed, s.Target, s.Target.BadShare, s.Target.SlowFactor, s.Target.StartsAfter, s.Hosts, s.Endpoints, s.Rate, s.Period,
		s.BootTime.Round(time.Millisecond), s.Faults, r.outcome)
}

func runAll(count, first int) []result {
	results := make([]result, count)
	var group sync.WaitGroup
	limit := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range results {
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			seed := uint64(first + i)
			scenario := drawScenario(seed)
			results[i] = result{seed, scenario, rolloutlab.Run(scenario, seed)}
		})
	}
	group.Wait()
	return results
}

// tally counts the outcomes of a set of roll-outs.
type tally struct {
	good, bad                              int
	reverted, revertedClean, clean         int
	completedBad, exposed, undecided, late int
	cut                                    int
	badAnswerCounts                        []int
}

func TestRollouts(t *testing.T) {
	var sum tally
	byKind := map[string]*tally{}
	for _, r := range runAll(*seeds, *firstSeed) {
		k, ok := byKind[r.scenario.Target.String()]
		if !ok {
			k = &tally{}
			byKind[r.scenario.Target.String()] = k
		}
		for _, c := range []*tally{&sum, k} {
			c.add(r)
		}
		o := r.outcome
		wrong := r.scenario.Target.IsBad() && (o.Phase != rollout.Reverted || o.Exposed()) || !r.scenario.Target.IsBad() && o.Phase != rollout.Completed || o.CutRequests > 0 || o.EndedAfter > r.scenario.Period
		if wrong || *seeds < 4 {
			t.Log(r)
		}
	}
	for name, k := range byKind {
		t.Logf("%-28s %v", name, k)
	}
	t.Logf("all %v", &sum)
	sum.check(t)
}

// check compares the counts with those of 2,000 roll-outs, with a margin for chance in smaller
// sets: of 1,000 bad versions 57 completed and 30 were exposed, of 1,000 good ones 31 were
// reverted, and of all 2,000 roll-outs 28 ended late and 6 cut requests.
func (c *tally) check(t *testing.T) {
	t.Helper()
	all := c.good + c.bad
	for _, b := range []struct {
		what          string
		got, of       int
		share, margin float64
	}{
		{"bad versions completed", c.completedBad, c.bad, 0.07, 3},
		{"bad versions exposed beyond the bounds", c.exposed, c.bad, 0.04, 2},
		{"good versions reverted", c.reverted, c.good, 0.04, 3},
		{"roll-outs ended late", c.late, all, 0.02, 3},
		{"roll-outs that cut requests", c.cut, all, 0.005, 1},
		{"roll-outs without a decision", c.undecided, all, 0, 0},
	} {
		if want := b.share*float64(b.of) + b.margin; float64(b.got) > want {
			t.Errorf("%s: got %d of %d, want at most %.1f", b.what, b.got, b.of, want)
		}
	}
	if got := c.medianBadAnswers(); got > 20 {
		t.Errorf("median number of bad answers of bad versions: got %d, want at most 20", got)
	}
}

func (c *tally) add(r result) {
	o := r.outcome
	if o.EndedAfter == 0 {
		c.undecided++
	}
	if o.EndedAfter > r.scenario.Period {
		c.late++
	}
	if o.CutRequests > 0 {
		c.cut++
	}
	if !r.scenario.Target.IsBad() {
		c.good++
		c.reverted += btoi(o.Phase == rollout.Reverted)
		if len(r.scenario.Faults) == 0 {
			c.clean++
			c.revertedClean += btoi(o.Phase == rollout.Reverted)
		}
		return
	}
	c.bad++
	c.completedBad += btoi(o.Phase == rollout.Completed)
	c.exposed += btoi(o.Exposed())
	c.badAnswerCounts = append(c.badAnswerCounts, o.BadAnswers)
}

// medianBadAnswers returns the median number of bad answers of bad versions.
func (c *tally) medianBadAnswers() int {
	if len(c.badAnswerCounts) == 0 {
		return 0
	}
	slices.Sort(c.badAnswerCounts)
	return c.badAnswerCounts[len(c.badAnswerCounts)/2]
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *tally) String() string {
	return fmt.Sprintf("good %d (reverted %d; without faults %d of %d), bad %d (completed %d, exposed %d, median of bad answers %d); undecided %d, late %d, cut %d",
		c.good, c.reverted, c.revertedClean, c.clean, c.bad, c.completedBad, c.exposed, c.medianBadAnswers(), c.undecided, c.late, c.cut)
}

// Guards against an exposure check that finds nothing: if the statistical test never reverts, most
// bad versions have to count as exposed.
func TestBadVersionsAreExposedWithoutTest(t *testing.T) {
	exposed, bad := 0, 0
	for seed := uint64(1); seed < 40; seed += 2 {
		scenario := drawScenario(seed)
		scenario.Test.PriorBad = 1e-30
		o := rolloutlab.Run(scenario, seed)
		bad++
		exposed += btoi(o.Exposed())
	}
	if exposed < bad/2 {
		t.Errorf("without a working test: got %d of %d bad versions exposed, want at least half", exposed, bad)
	}
}
