package autoscale_test

import (
	"testing"
	"time"

	"ironhollow/pkg/autoscale"
)

// rounds observes a service every 0.75 s and returns the last demand.
func rounds(tracker *autoscale.DemandTracker, at *time.Time, duration time.Duration, observe func() autoscale.Observation) autoscale.Demand {
	var demand autoscale.Demand
	for end := at.Add(duration); at.Before(end); *at = at.Add(750 * time.Millisecond) {
		demand = tracker.Observe("svc", observe(), *at)
	}
	return demand
}

// While half of the work was refused, the need followed the engines that existed and fell.
func TestNeedDoesNotFallWhileCallersAreRefused(t *testing.T) {
	tracker, at := autoscale.NewDemandTracker(), time.Unix(1000, 0)
	first := rounds(tracker, &at, 6*time.Second, func() autoscale.Observation {
		return autoscale.Observation{Load: 17, Offered: 17, Serving: 20}
	})
	refused := rounds(tracker, &at, 15*time.Second, func() autoscale.Observation {
		return autoscale.Observation{Load: 8, Offered: 8, Refused: 4, Serving: 20}
	})
	if refused.Load < first.Load || refused.Refused < 39 || refused.Refused > 41 {
		t.Errorf("while half of the work is refused at 20 endpoints: got %+v, want a load of %.0f and 40 endpoints", refused, first.Load)
	}
}

// Endpoints that have begun to serve lower the refused share only after a while; counting
// them at once ordered twice as many.
func TestNeedFromRefusalsDoesNotRunAway(t *testing.T) {
	tracker, at := autoscale.NewDemandTracker(), time.Unix(1000, 0)
	const offered, perEndpoint = 28.0, 0.7
	serving, refused := 20, 0.0
	var ordered float64
	for range 40 {
		now := max(1-float64(serving)*perEndpoint/offered, 0)
		refused += (now - refused) * 0.17
		demand := tracker.Observe("svc", autoscale.Observation{Load: 10, Offered: 10, Refused: 10 * refused, Serving: serving}, at)
		at = at.Add(750 * time.Millisecond)
		ordered = max(ordered, demand.Refused)
		if at.After(time.Unix(1012, 0)) {
			serving = max(serving, int(demand.Refused))
		}
	}
	if ordered < 39 || ordered > 48 {
		t.Errorf("endpoints wanted for the load of 40: got %.0f, want 39 to 48", ordered)
	}
}

// A queue that is full for a few tenths of a second, and few refusals for a short time, need
// no endpoints.
func TestShortRefusalsChangeNothing(t *testing.T) {
	tracker, at := autoscale.NewDemandTracker(), time.Unix(1000, 0)
	share := 0.08
	demand := rounds(tracker, &at, 6*time.Second, func() autoscale.Observation {
		share *= 0.83
		return autoscale.Observation{Load: 17, Offered: 17, Refused: 17 * share, Serving: 20}
	})
	if demand.Refused != 0 {
		t.Errorf("endpoints wanted after a short queue: got %.1f, want none", demand.Refused)
	}
}

// The need is the largest of those by engine time, slots and memory; a capacity that is not
// configured is no constraint.
func TestNeedIsLargestOfResources(t *testing.T) {
	demand := autoscale.Demand{Load: 8, SlotTime: 160, TokenTime: 3e6, Measured: true}
	service := newThreeDataCenters(40)
	for _, c := range []struct{ slots, memory, want int }{{0, 0, 10}, {10, 0, 20}, {64, 0, 10}, {10, 100_000, 38}} {
		service.Slots, service.MemoryTokens = c.slots, c.memory
		if got := autoscale.NeedOf(service, demand).Total(); got != c.want {
			t.Errorf("%d slots, %d tokens: got %d endpoints, want %d", c.slots, c.memory, got, c.want)
		}
	}
}

// Endpoints that are missing because work is refused are ordered as reclaimable ones where
// those are available, and on demand where they are not.
func TestRefusedWorkOrdersEndpoints(t *testing.T) {
	demand := autoscale.Demand{Load: 8, Refused: 36, Measured: true}
	supply := reclaimableSupply(map[string]int{"a": 8, "b": 8, "c": 8})
	orders, _ := autoscale.Plan(newThreeDataCenters(40), demand, supply, autoscale.Outlook{})
	if got, onDemand := total(orders, true), total(orders, false); got < 36 || onDemand != 0 {
		t.Errorf("got %d reclaimable and %d on-demand endpoints, want 36 or more and none", got, onDemand)
	}
	engines := newThreeDataCenters(40)
	engines.Slots = 64
	if got := autoscale.NeedOf(engines, demand).Total(); got != 20 {
		t.Errorf("need of engines that have work for 10 endpoints: got %d, want 20", got)
	}
	none := autoscale.Outlook{NoReclaimable: map[string]bool{"a": true, "b": true, "c": true}}
	orders, _ = autoscale.Plan(newThreeDataCenters(40), demand, supply, none)
	if got := total(orders, false); got != 12 {
		t.Errorf("without reclaimable endpoints: got %d on-demand ones, want 12", got)
	}
}
