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

// seeds is for more runs by hand, firstSeed for one of them.
var (
	seeds     = flag.Int("seeds", 120, "roll-outs that are played")
	firstSeed = flag.Int("first", 0, "the first seed")
)

// drawSite draws a roll-out: half of the versions good, services of 4 and of 60
// endpoints, 5 to 400 requests a second, periods of 6 to 60 s, no fault, one or two.
func drawSite(seed uint64) rolloutlab.Scenario {
	random := rand.New(rand.NewPCG(seed, 99))
	s := rolloutlab.Scenario{
		Hosts: 4 + random.IntN(9), Endpoints: 60, Rate: 5 * float64(uint(1)<<random.IntN(7)) * (1 + 0.25*random.Float64()),
		Period: time.Duration(6+random.IntN(55)) * time.Second,
		Bounds: rollout.Bounds{Share: 0.1, Slack: 50}, Test: rollout.DefaultBayesTest(),
	}
	s.BootTime = time.Duration(random.Float64() * min(4, 0.3*s.Period.Seconds()) * float64(time.Second))
	s.Routes = []rolloutlab.Route{
		{Share: 0.55, FailureRate: 0.01, MeanTime: 700 * time.Millisecond, Spread: 0.4},
		{Share: 0.3, FailureRate: 0.004, MeanTime: 300 * time.Millisecond, Spread: 0.5},
		{Share: 0.15, FailureRate: 0.01, MeanTime: 900 * time.Millisecond, Spread: 0.4},
	}
	if random.IntN(2) == 0 {
		s.Endpoints = 4
		s.Routes = []rolloutlab.Route{
			{Share: 0.81, FailureRate: 0.004, MeanTime: 60 * time.Millisecond, Spread: 0.5},
			{Share: 0.19, FailureRate: 0.14, MeanTime: 60 * time.Millisecond, Spread: 0.5},
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

// played is a roll-out and how it ended.
type played struct {
	seed    uint64
	site    rolloutlab.Scenario
	outcome rolloutlab.Outcome
}

func (p played) String() string {
	s := p.site
	return fmt.Sprintf("seed %d: %v (%.2f, slow %.1f, after %.2f), %d hosts, %d endpoints, %.0f/s, period %v, boot %v, faults %v: %v",
		p.seed, s.Target, s.Target.BadShare, s.Target.SlowFactor, s.Target.StartsAfter, s.Hosts, s.Endpoints, s.Rate, s.Period,
		s.BootTime.Round(time.Millisecond), s.Faults, p.outcome)
}

func playAll(count, first int) []played {
	list := make([]played, count)
	var group sync.WaitGroup
	limit := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range list {
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			seed := uint64(first + i)
			site := drawSite(seed)
			list[i] = played{seed, site, rolloutlab.Run(site, seed)}
		})
	}
	group.Wait()
	return list
}

// tally is what a set of roll-outs came to.
type tally struct {
	good, bad                              int
	reverted, revertedClean, clean         int
	completedBad, exposed, undecided, late int
	cut                                    int
	badAnswers                             []int
}

func TestRollouts(t *testing.T) {
	var sum tally
	byKind := map[string]*tally{}
	for _, p := range playAll(*seeds, *firstSeed) {
		k, ok := byKind[p.site.Target.String()]
		if !ok {
			k = &tally{}
			byKind[p.site.Target.String()] = k
		}
		for _, c := range []*tally{&sum, k} {
			c.add(p)
		}
		o := p.outcome
		wrong := p.site.Target.IsBad() && (o.Phase != rollout.Reverted || o.Exposed()) || !p.site.Target.IsBad() && o.Phase != rollout.Completed || o.CutRequests > 0 || o.EndedAfter > p.site.Period
		if wrong || *seeds < 4 {
			t.Log(p)
		}
	}
	for name, k := range byKind {
		t.Logf("%-28s %v", name, k)
	}
	t.Logf("all %v", &sum)
	sum.check(t)
}

// check holds a set of roll-outs to what 2,000 of them came to, with room for chance in
// a smaller one: 57 bad versions completed and 30 exposed of 1,000, 31 good ones reverted
// of 1,000, 28 late and 6 that cut requests of 2,000.
func (c *tally) check(t *testing.T) {
	t.Helper()
	all := c.good + c.bad
	for _, b := range []struct {
		what       string
		got, of    int
		part, room float64
	}{
		{"bad versions completed", c.completedBad, c.bad, 0.07, 3},
		{"bad versions that got more than they may", c.exposed, c.bad, 0.04, 2},
		{"good versions reverted", c.reverted, c.good, 0.04, 3},
		{"late ends", c.late, all, 0.02, 3},
		{"ends that cut requests", c.cut, all, 0.005, 1},
		{"no end", c.undecided, all, 0, 0},
	} {
		if want := b.part*float64(b.of) + b.room; float64(b.got) > want {
			t.Errorf("%s: got %d of %d, want %.1f at most", b.what, b.got, b.of, want)
		}
	}
	if got := c.median(); got > 20 {
		t.Errorf("median of a bad version's bad answers: got %d, want 20 at most", got)
	}
}

func (c *tally) add(p played) {
	o := p.outcome
	if o.EndedAfter == 0 {
		c.undecided++
	}
	if o.EndedAfter > p.site.Period {
		c.late++
	}
	if o.CutRequests > 0 {
		c.cut++
	}
	if !p.site.Target.IsBad() {
		c.good++
		c.reverted += btoi(o.Phase == rollout.Reverted)
		if len(p.site.Faults) == 0 {
			c.clean++
			c.revertedClean += btoi(o.Phase == rollout.Reverted)
		}
		return
	}
	c.bad++
	c.completedBad += btoi(o.Phase == rollout.Completed)
	c.exposed += btoi(o.Exposed())
	c.badAnswers = append(c.badAnswers, o.BadAnswers)
}

// median is that of the bad answers of bad versions.
func (c *tally) median() int {
	if len(c.badAnswers) == 0 {
		return 0
	}
	slices.Sort(c.badAnswers)
	return c.badAnswers[len(c.badAnswers)/2]
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *tally) String() string {
	return fmt.Sprintf("good %d (reverted %d; without faults %d of %d), bad %d (completed %d, exposed %d, median of bad answers %d); undecided %d, late %d, cut %d",
		c.good, c.reverted, c.revertedClean, c.clean, c.bad, c.completedBad, c.exposed, c.median(), c.undecided, c.late, c.cut)
}

// A judge that never reverts is caught: most bad versions get more than they may.
func TestNoJudgeIsSeen(t *testing.T) {
	exposed, bad := 0, 0
	for seed := uint64(1); seed < 40; seed += 2 {
		site := drawSite(seed)
		site.Test.PriorBad = 1e-30
		o := rolloutlab.Run(site, seed)
		bad++
		exposed += btoi(o.Exposed())
	}
	if exposed < bad/2 {
		t.Errorf("without a judge: got %d of %d bad versions exposed, want half at least", exposed, bad)
	}
}
