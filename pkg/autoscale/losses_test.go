package autoscale_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/routetable"
)

func newThreeDataCenters(limit int) routetable.Service {
	return routetable.Service{Name: "svc", Scaling: &routetable.Scaling{
		MinEndpoints: 1, MaxEndpoints: limit, BootTime: 4 * time.Second, ReclaimablePrice: 0.18,
		Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1},
	}}
}

// Guards against orders that change without a loss: the file has the orders of the plan that did not
// consider losses.
func TestOrdersWithoutLossesAreUnchanged(t *testing.T) {
	var got strings.Builder
	for _, measured := range []bool{false, true} {
		for load := 0; load <= 30; load += 6 {
			for _, serving := range [][3]int{{0, 0, 0}, {99, 99, 99}, {10, 10, 10}, {0, 20, 5}, {1, 0, 0}} {
				supply := func(dataCenter string, reclaimable bool) (int, int) {
					if !reclaimable {
						return 0, 0
					}
					return serving[dataCenter[0]-'a'], 3
				}
				demand := autoscale.Demand{Load: float64(load), Measured: measured}
				orders, need := autoscale.Plan(newThreeDataCenters(48), demand, supply, autoscale.NewLosses().Outlook(bootTime, time.Now()))
				fmt.Fprintf(&got, "48 %v %d %v: %d", measured, load, serving, need)
				for _, o := range orders {
					fmt.Fprintf(&got, " %s/%v/%d/%d", o.DataCenter, o.Reclaimable, o.Count, o.Retain)
				}
				got.WriteByte('\n')
			}
		}
	}
	want, err := os.ReadFile("testdata/orders_without_losses.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}

// lossAt returns a Losses that has seen the data centres lose 40 endpoints one after
// another, and the time after the last loss.
func lossAt(dataCenters ...string) (*autoscale.Losses, time.Time) {
	losses := autoscale.NewLosses()
	now := time.Unix(1000, 0)
	for _, dataCenter := range dataCenters {
		losses.Observe(dataCenter, 40, 40, now)
	}
	for _, dataCenter := range dataCenters {
		now = now.Add(4 * time.Second)
		losses.Observe(dataCenter, 0, 40, now)
	}
	return losses, now
}

// The losses that follow the first one arrive sooner than an endpoint boots. With three data
// centres left, on-demand endpoints would be needed only if all three were lost, each within a boot
// time of the one before.
func TestFirstLossOrdersOnDemandCover(t *testing.T) {
	losses, now := lossAt("a")
	supply := reclaimableSupply(map[string]int{"b": 40, "c": 40})
	orders, need := autoscale.Plan(newThreeDataCenters(40), autoscale.Demand{Load: 22, Measured: true}, supply, losses.Outlook(bootTime, now))
	if got := total(orders, false); 2*got < need || got > need {
		t.Errorf("on-demand endpoints after the first loss: got %d, want half to all of the need of %d", got, need)
	}
	orders, _ = autoscale.Plan(newService(40), autoscale.Demand{Load: 22, Measured: true}, reclaimableSupply(map[string]int{"b": 30, "c": 30, "d": 30}), losses.Outlook(bootTime, now))
	if got := total(orders, false); got != 0 {
		t.Errorf("on-demand endpoints with three data centres left: got %d, want none", got)
	}
	orders, _ = autoscale.Plan(newThreeDataCenters(40), autoscale.Demand{Load: 22, Measured: true}, supply, losses.Outlook(bootTime, now.Add(13*time.Second)))
	if got := total(orders, false); got != 0 {
		t.Errorf("on-demand endpoints after the wave: got %d, want none", got)
	}
}

// Two data centres are lost, in one of which nothing is left: the remaining one must keep
// its reclaimable endpoints although it is the cheapest.
func TestServingReclaimableEndpointsAreNotDisplaced(t *testing.T) {
	losses, now := lossAt("b", "c")
	orders, need := autoscale.Plan(newThreeDataCenters(40), autoscale.Demand{Load: 28, Measured: true}, reclaimableSupply(map[string]int{"a": 40}), losses.Outlook(bootTime, now))
	for _, o := range orders {
		if o.DataCenter == "a" && o.Reclaimable && o.Count != 40 {
			t.Errorf("reclaimable endpoints of the remaining data centre: got %d, want 40", o.Count)
		}
		if !o.Reclaimable && o.DataCenter != "a" && o.Count < need/3 {
			t.Errorf("on-demand endpoints in %s: got %d, want a third of the need of %d or more", o.DataCenter, o.Count, need)
		}
	}
}

// On-demand endpoints that boot must not be ordered again elsewhere when another data centre
// gets room.
func TestOnDemandEndpointsStayWherePlaced(t *testing.T) {
	losses, now := lossAt("b", "a")
	supply := func(dataCenter string, reclaimable bool) (int, int) {
		switch {
		case reclaimable && dataCenter == "c":
			return 40, 0
		case !reclaimable && dataCenter == "b":
			return 6, 14
		}
		return 0, 0
	}
	orders, _ := autoscale.Plan(newThreeDataCenters(40), autoscale.Demand{Load: 22, Measured: true}, supply, losses.Outlook(bootTime, now))
	for _, o := range orders {
		if !o.Reclaimable && o.DataCenter == "b" && o.Count != 20 {
			t.Errorf("on-demand endpoints that exist in b: got %d ordered, want 20", o.Count)
		}
	}
}

// On-demand orders that one data centre refuses must go to another one.
func TestRefusedOnDemandOrdersGoElsewhere(t *testing.T) {
	losses, now := lossAt("a", "b", "c")
	losses.RecordRefusal(autoscale.Pool{Service: "svc", DataCenter: "a"}, now)
	orders, need := autoscale.Plan(newThreeDataCenters(40), autoscale.Demand{Load: 22, Measured: true}, reclaimableSupply(nil), losses.Outlook(bootTime, now.Add(time.Second)))
	if got := total(orders, false); got != need {
		t.Errorf("on-demand endpoints: got %d, want the need of %d", got, need)
	}
	for _, o := range orders {
		if !o.Reclaimable && o.DataCenter == "a" && o.Count != 0 {
			t.Errorf("on-demand endpoints in the data centre that refused: got %d, want none", o.Count)
		}
	}
	for _, dataCenter := range []string{"b", "c"} {
		losses.RecordRefusal(autoscale.Pool{Service: "svc", DataCenter: dataCenter}, now)
	}
	orders, _ = autoscale.Plan(newThreeDataCenters(40), autoscale.Demand{Load: 22, Measured: true}, reclaimableSupply(nil), losses.Outlook(bootTime, now.Add(time.Second)))
	if got := total(orders, false); got != need {
		t.Errorf("on-demand endpoints while all data centres refuse: got %d, want the need of %d", got, need)
	}
}

// Endpoints that were ordered down, and single ones that crash, are not losses of a data
// centre. Rows that change one after another are one loss.
func TestLossDetection(t *testing.T) {
	start := time.Unix(1000, 0)
	type step struct {
		after            time.Duration
		serving, ordered int
		want             bool
	}
	for name, steps := range map[string][]step{
		"ordered down":        {{0, 40, 40, false}, {time.Second, 14, 14, false}},
		"one crashes":         {{0, 40, 40, false}, {time.Second, 39, 40, false}, {20 * time.Second, 38, 40, false}},
		"the only one":        {{0, 1, 1, false}, {time.Second, 0, 1, false}},
		"all at once":         {{0, 40, 40, false}, {time.Second, 0, 40, true}, {time.Second, 0, 40, false}},
		"one after another":   {{0, 40, 40, false}, {time.Second, 30, 40, false}, {time.Second, 12, 40, true}, {time.Second, 0, 40, false}},
		"lost a second time":  {{0, 40, 40, false}, {time.Second, 0, 40, true}, {9 * time.Second, 40, 40, false}, {time.Second, 0, 40, true}},
		"few of many, slowly": {{0, 40, 40, false}, {4 * time.Second, 26, 40, false}, {4 * time.Second, 17, 40, false}},
	} {
		losses, now := autoscale.NewLosses(), start
		for i, s := range steps {
			now = now.Add(s.after)
			if _, got := losses.Observe("a", s.serving, s.ordered, now); got != s.want {
				t.Errorf("%s, step %d: got loss %v, want %v", name, i, got, s.want)
			}
		}
	}
}

// Where losses come alone, on-demand endpoints must not be ordered for further ones indefinitely.
// Where each loss is followed by another one, the probability must not fall below the prior.
func TestProbabilityFollowsObservedLosses(t *testing.T) {
	outlookAfter := func(count int, followed bool) autoscale.Outlook {
		losses, now := autoscale.NewLosses(), time.Unix(1000, 0)
		for range count {
			for _, dataCenter := range []string{"a", "b"} {
				losses.Observe(dataCenter, 40, 40, now)
			}
			losses.Observe("a", 0, 40, now)
			if followed {
				now = now.Add(5 * time.Second)
				losses.Observe("b", 0, 40, now)
			}
			now = now.Add(time.Minute)
		}
		losses.Observe("a", 40, 40, now)
		losses.Observe("a", 0, 40, now)
		return losses.Outlook(bootTime, now)
	}
	prior, never, always := outlookAfter(0, false).Next, outlookAfter(8, false).Next, outlookAfter(8, true).Next
	if prior != 0.5 || never > 0.2 || always < prior {
		t.Errorf("probability of a further loss: got %.2f by the prior, %.2f after none, %.2f after as many as losses, want 0.5, at most 0.2, at least 0.5", prior, never, always)
	}
}

// Guards against counting a second loss of one data centre as followed: it shows nothing about losses
// of other data centres.
func TestSecondLossOfDataCenterIsNotFollowed(t *testing.T) {
	losses, now := lossAt("a")
	for _, serving := range []int{40, 0} {
		now = now.Add(5 * time.Second)
		losses.Observe("a", serving, 40, now)
	}
	if got := losses.State(); got.Followed != 0 || !got.LostAt["a"].Equal(now) {
		t.Errorf("got %d followed, last loss at %v, want 0, %v", got.Followed, got.LostAt["a"], now)
	}
}

// BenchmarkPlan measures a plan during a wave of losses.
func BenchmarkPlan(b *testing.B) {
	for _, dataCenters := range []int{3, 19} {
		b.Run(fmt.Sprint(dataCenters), func(b *testing.B) {
			service := newThreeDataCenters(40)
			service.Scaling.Prices = map[string]float64{}
			serving := map[string]int{}
			for i := range dataCenters {
				name := fmt.Sprintf("dc%02d", i)
				service.Scaling.Prices[name] = 1 + float64(i)/100
				serving[name] = 40
			}
			serving["dc00"] = 0
			losses, now := lossAt("dc00")
			demand := autoscale.Demand{Load: 8 * float64(dataCenters), Measured: true}
			for b.Loop() {
				autoscale.Plan(service, demand, reclaimableSupply(serving), losses.Outlook(bootTime, now.Add(time.Second)))
			}
		})
	}
}
