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

// TestMain fixes the seed of the property tests, so that each run draws the same cases.
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
	byDataCenter := map[string]float64{}
	for _, count := range plan {
		rate := float64(count.Hosts) * count.Offer.TokenRate
		total += rate
		byDataCenter[count.Offer.DataCenter] += rate
		largest = max(largest, byDataCenter[count.Offer.DataCenter])
		cost += float64(count.Hosts) * count.Offer.HourlyPrice
	}
	return total, largest, cost
}

// TestPlanSurvivesLossOfAnyDataCenter draws offers and demands that can be met and checks that
// the loss of the largest data centre leaves enough for interactive callers. The naive plan
// must fail this for some draw, which shows that the check can fail.
func TestPlanSurvivesLossOfAnyDataCenter(t *testing.T) {
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
			rt.Fatalf("capacity without the largest data centre: got %.0f, want 1.2 times the interactive demand of %.0f", total-largest, d.Interactive)
		}
		// Each data centre has 10 reclaimable hosts of 200 tokens a second.
		if others := float64(len(list)/2-1) * 2000; others >= 2.4*d.Interactive && total-largest < 2*d.Interactive {
			rt.Fatalf("capacity without the largest data centre: got %.0f, want twice the interactive demand of %.0f while reclaimable hosts are available", total-largest, d.Interactive)
		}
		if limit := 3 * (2.4*d.Interactive + 1.1*(d.Interactive+d.Deferrable) + 1000) / 200; cost > limit {
			rt.Fatalf("cost: got %.1f, want at most %.1f, the cost of on-demand hosts for all demand", cost, limit)
		}
		naiveTotal, naiveLargest, _ := sums(capacity.CheapestFirst(list, d))
		if naiveTotal-naiveLargest < d.Interactive {
			naiveFails++
		}
	})
	if naiveFails == 0 {
		t.Error("naive plan: survived every draw, want a failure that shows that the check can fail")
	}
}

func TestScaleUpIsImmediateScaleDownDelayed(t *testing.T) {
	o := capacity.Offer{DataCenter: "a", Class: "c", TokenRate: 1, Max: 10}
	plan := func(n int) []capacity.HostCount { return []capacity.HostCount{{Offer: o, Hosts: n}} }
	reconciler := capacity.NewReconciler()
	if got := reconciler.Reconcile(plan(5), plan(2), now); len(got) != 1 || got[0].Hosts != 3 {
		t.Errorf("scale-up: got %v, want 3 hosts at once", got)
	}
	for minute := range 5 {
		if got := reconciler.Reconcile(plan(2), plan(8), now.Add(time.Duration(minute)*time.Minute)); len(got) != 0 {
			t.Errorf("surplus for %d minutes: got %v, want no hosts given up", minute, got)
		}
	}
	if got := reconciler.Reconcile(plan(2), plan(8), now.Add(6*time.Minute)); len(got) != 1 || got[0].Hosts != -2 {
		t.Errorf("surplus for 6 minutes: got %v, want 2 hosts given up", got)
	}
}

func TestRefusedOffersBackOff(t *testing.T) {
	reconciler := capacity.NewReconciler()
	list := []capacity.Offer{
		{DataCenter: "a", Class: "c", HourlyPrice: 1, TokenRate: 100, Max: 10, Reclaimable: true},
		{DataCenter: "b", Class: "c", HourlyPrice: 2, TokenRate: 100, Max: 10, Reclaimable: true},
		{DataCenter: "c", Class: "c", HourlyPrice: 2, TokenRate: 100, Max: 10, Reclaimable: true},
	}
	random := rand.New(rand.NewPCG(1, 1))
	reconciler.RecordRefusal(list[0], now, random)
	reconciler.SetRefusedUntil(list)
	for _, n := range capacity.Plan(list, capacity.Demand{Interactive: 100}, capacity.Costs{}, now) {
		if n.Offer.DataCenter == "a" && n.Hosts > 0 {
			t.Errorf("refused offer: got %d hosts planned, want 0", n.Hosts)
		}
	}
	first := list[0].RefusedUntil.Sub(now)
	for range 5 {
		reconciler.RecordRefusal(list[0], now, random)
	}
	reconciler.SetRefusedUntil(list)
	if later := list[0].RefusedUntil.Sub(now); later < 4*first {
		t.Errorf("backoff after six refusals: got %v, want at least four times the first %v", later, first)
	}
	reconciler.RecordStart(list[0])
	reconciler.SetRefusedUntil(list)
	if !list[0].RefusedUntil.IsZero() {
		t.Error("after a start: got an offer in backoff, want it available")
	}
}

func TestDeferrableRateFollowsDeadlinesAndPrices(t *testing.T) {
	work := []capacity.DeferrableWork{{Tokens: 3600, Deadline: now.Add(10 * time.Hour)}}
	urgent := append([]capacity.DeferrableWork{{Tokens: 800, Deadline: now.Add(1000 * time.Second)}}, work...)
	cases := []struct {
		name  string
		work  []capacity.DeferrableWork
		price float64
		want  float64
	}{
		{"high price, no urgent deadline", work, 2, 3600.0 / (0.8 * 36000)},
		{"usual price", work, 1, 3600.0 / (4 * 3600)},
		{"low price", work, 0.5, 1},
		{"high price, urgent deadline", urgent, 2, 1},
	}
	for _, c := range cases {
		if got := capacity.DeferrableRate(c.work, c.price, 1, now); got < c.want*0.999 || got > c.want*1.001 {
			t.Errorf("%s: got %.4f tokens a second, want %.4f", c.name, got, c.want)
		}
	}
}
