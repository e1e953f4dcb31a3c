package capacity_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ironhollow/pkg/capacity"
)

// TestMain fixes the seed of property tests: the same verdict on each run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

var now = time.UnixMilli(1_800_000_000_000)

func offers(t *rapid.T) []capacity.Offer {
	var list []capacity.Offer
	for i := range rapid.IntRange(2, 5).Draw(t, "centres") {
		price := 0.8 + float64(rapid.IntRange(0, 10).Draw(t, "price"))/10
		for _, reclaimable := range []bool{true, false} {
			o := capacity.Offer{DataCenter: fmt.Sprint(i), Class: "c", Reclaimable: reclaimable, HourlyPrice: price, TokenRate: 200, Max: 10, HazardPerHour: 0.1}
			if !reclaimable {
				o.HourlyPrice = 3
			}
			list = append(list, o)
		}
	}
	return list
}

func sums(plan []capacity.HostCount) (total, largest, cost float64) {
	centres := map[string]float64{}
	for _, n := range plan {
		rate := float64(n.Hosts) * n.Offer.TokenRate
		total += rate
		centres[n.Offer.DataCenter] += rate
		largest = max(largest, centres[n.Offer.DataCenter])
		cost += float64(n.Hosts) * n.Offer.HourlyPrice
	}
	return total, largest, cost
}

// TestPlanSurvivesAnyDataCentre draws offers and demands that can be met and
// asks that the loss of the largest data centre leaves enough for callers who
// wait; the naive plans fail that somewhere, and so show what the check sees.
func TestPlanSurvivesAnyDataCentre(t *testing.T) {
	naiveFails := 0
	rapid.Check(t, func(rt *rapid.T) {
		list := offers(rt)
		d := capacity.Demand{Interactive: float64(rapid.IntRange(0, 1200).Draw(rt, "counter")), Deferrable: float64(rapid.IntRange(0, 1500).Draw(rt, "waiting"))}
		plan := capacity.Plan(list, d, capacity.Costs{}, now)
		total, largest, cost := sums(plan)
		if total < d.Interactive+d.Deferrable {
			rt.Fatalf("capacity: got %.0f, want the demand of %.0f", total, d.Interactive+d.Deferrable)
		}
		if total-largest < 1.2*d.Interactive {
			rt.Fatalf("without the largest data centre: got %.0f, want 1.2 times the callers' %.0f", total-largest, d.Interactive)
		}
		// Each data centre has 10 reclaimable hosts of 200 tokens a second.
		if others := float64(len(list)/2-1) * 2000; others >= 2.4*d.Interactive && total-largest < 2*d.Interactive {
			rt.Fatalf("without the largest data centre: got %.0f, want twice the callers' %.0f while reclaimable hosts are to be had", total-largest, d.Interactive)
		}
		if most := 3 * (2.4*d.Interactive + 1.1*(d.Interactive+d.Deferrable) + 1000) / 200; cost > most {
			rt.Fatalf("cost: got %.1f, want less than on-demand hosts for all, %.1f", cost, most)
		}
		naiveTotal, naiveLargest, _ := sums(capacity.CheapestFirst(list, d))
		if naiveTotal-naiveLargest < d.Interactive {
			naiveFails++
		}
	})
	if naiveFails == 0 {
		t.Error("the naive plan survived every draw: the check sees nothing")
	}
}

func TestStepsGoUpAtOnceAndDownLate(t *testing.T) {
	o := capacity.Offer{DataCenter: "a", Class: "c", TokenRate: 1, Max: 10}
	plan := func(n int) []capacity.HostCount { return []capacity.HostCount{{Offer: o, Hosts: n}} }
	s := capacity.NewReconciler()
	if got := s.Reconcile(plan(5), plan(2), now); len(got) != 1 || got[0].Hosts != 3 {
		t.Errorf("up: got %v, want 3 at once", got)
	}
	for minute := range 5 {
		if got := s.Reconcile(plan(2), plan(8), now.Add(time.Duration(minute)*time.Minute)); len(got) != 0 {
			t.Errorf("surplus for %d minutes: got %v, want nothing given back", minute, got)
		}
	}
	if got := s.Reconcile(plan(2), plan(8), now.Add(6*time.Minute)); len(got) != 1 || got[0].Hosts != -2 {
		t.Errorf("surplus for 6 minutes: got %v, want 2 given back", got)
	}
}

func TestRefusedOffersAreLeftAlone(t *testing.T) {
	s := capacity.NewReconciler()
	list := []capacity.Offer{
		{DataCenter: "a", Class: "c", HourlyPrice: 1, TokenRate: 100, Max: 10, Reclaimable: true},
		{DataCenter: "b", Class: "c", HourlyPrice: 2, TokenRate: 100, Max: 10, Reclaimable: true},
		{DataCenter: "c", Class: "c", HourlyPrice: 2, TokenRate: 100, Max: 10, Reclaimable: true},
	}
	random := rand.New(rand.NewPCG(1, 1))
	s.RecordRefusal(list[0], now, random)
	s.SetRefusedUntil(list)
	for _, n := range capacity.Plan(list, capacity.Demand{Interactive: 100}, capacity.Costs{}, now) {
		if n.Offer.DataCenter == "a" && n.Hosts > 0 {
			t.Errorf("refused offer: got %d hosts planned, want 0", n.Hosts)
		}
	}
	first := list[0].RefusedUntil.Sub(now)
	for range 5 {
		s.RecordRefusal(list[0], now, random)
	}
	s.SetRefusedUntil(list)
	if later := list[0].RefusedUntil.Sub(now); later < 4*first {
		t.Errorf("after six refusals: left alone for %v, want well over the first %v", later, first)
	}
	s.RecordStart(list[0])
	s.SetRefusedUntil(list)
	if !list[0].RefusedUntil.IsZero() {
		t.Error("after a start: want the offer open again")
	}
}

func TestWaitingWorkFollowsDeadlinesAndPrices(t *testing.T) {
	work := []capacity.DeferrableWork{{Tokens: 3600, Deadline: now.Add(10 * time.Hour)}}
	pressing := append([]capacity.DeferrableWork{{Tokens: 800, Deadline: now.Add(1000 * time.Second)}}, work...)
	cases := []struct {
		name  string
		work  []capacity.DeferrableWork
		price float64
		want  float64
	}{
		{"dear hour, nothing presses", work, 2, 3600.0 / (0.8 * 36000)},
		{"usual hour", work, 1, 3600.0 / (4 * 3600)},
		{"cheap hour", work, 0.5, 1},
		{"dear hour, but a deadline presses", pressing, 2, 1},
	}
	for _, c := range cases {
		if got := capacity.DeferrableRate(c.work, c.price, 1, now); got < c.want*0.999 || got > c.want*1.001 {
			t.Errorf("%s: got %.4f tokens a second, want %.4f", c.name, got, c.want)
		}
	}
}
