package autoscale_test

import (
	"testing"
	"time"

	"ironhollow/pkg/autoscale"
)

const bootTime = 4 * time.Second

// A holder that could not reach the store did not see a reclaim. Its successor noticed it only as
// a smaller number of endpoints.
func TestNewHolderNoticesLossSinceLastOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	pools := []autoscale.PoolState{
		{Pool: autoscale.Pool{Service: "svc", DataCenter: "a", Reclaimable: true}, Ordered: 40, Booting: 40, OrderedAt: now.Add(-18 * time.Second)},
		{Pool: autoscale.Pool{Service: "svc", DataCenter: "b", Reclaimable: true}, Ordered: 40, Booting: 40, OrderedAt: now.Add(-2 * time.Second)},
	}
	losses := autoscale.NewLosses()
	losses.Restore(autoscale.LossState{}, pools, bootTime, now)
	if _, isLoss := losses.Observe("b", 0, 40, now); isLoss {
		t.Error("endpoints that boot: got a loss, want none")
	}
	if lost, isLoss := losses.Observe("a", 0, 40, now); !isLoss || lost != 40 {
		t.Errorf("endpoints that served: got %d lost, loss %v, want 40, true", lost, isLoss)
	}
	if got := losses.Outlook(bootTime, now).Next; got != 0.5 {
		t.Errorf("probability of a further loss: got %.2f, want 0.50", got)
	}
}

// A new holder must not record a loss again that the earlier one has recorded, and must keep the
// probability that it had.
func TestNewHolderKeepsLosses(t *testing.T) {
	losses, now := lossAt("a", "b")
	now = now.Add(2 * time.Second)
	pools := []autoscale.PoolState{{Pool: autoscale.Pool{Service: "svc", DataCenter: "b", Reclaimable: true}, Ordered: 40, OrderedAt: now.Add(-time.Minute)}}
	next := autoscale.NewLosses()
	next.Restore(losses.State(), pools, bootTime, now)
	if _, isLoss := next.Observe("b", 0, 40, now); isLoss {
		t.Error("data centre that was lost before: got a loss, want none")
	}
	if got, want := next.Outlook(bootTime, now).Next, losses.Outlook(bootTime, now).Next; got != want || got == 0 {
		t.Errorf("probability of a further loss: got %.2f, want %.2f", got, want)
	}
}

// A new holder must neither order again what boots nor order down, also if the state lacks the
// latest orders.
func TestNewHolderCountsEarlierOrders(t *testing.T) {
	for _, c := range []struct {
		name                             string
		ordered, booting, serving, count int
		wantBooting                      int
	}{
		{"endpoints boot", 20, 20, 0, 20, 20},
		{"fewer are needed", 20, 0, 20, 5, 0},
		{"latest order not in the state", 10, 0, 20, 15, 0},
	} {
		r := newTestReconciler()
		r.epoch, r.serving = 2, c.serving
		pool := autoscale.Pool{Service: "svc", DataCenter: "a"}
		state := []autoscale.PoolState{{Pool: pool, Ordered: c.ordered, Booting: c.booting, OrderedAt: r.now.Add(-time.Second)}}
		r.Restore(state, func(autoscale.Pool) int { return c.serving })
		if got := r.stepTo(0, autoscale.Order{Service: "svc", DataCenter: "a", Count: c.count}); got != 0 {
			t.Errorf("%s: got %v, want no orders", c.name, r.sink.orders)
		}
		if got := r.Booting(pool, c.serving, bootTime, r.now); got != c.wantBooting {
			t.Errorf("%s: got %d booting, want %d", c.name, got, c.wantBooting)
		}
	}
}

// A new holder counted the load as not measured for 12 s and knew only the present load.
func TestNewHolderKeepsPeakOfDemand(t *testing.T) {
	at := time.Unix(1000, 0)
	first := autoscale.NewDemandTracker()
	rounds(first, &at, 20*time.Second, func() autoscale.Observation { return autoscale.Observation{Load: 17} })
	next := autoscale.NewDemandTracker()
	next.Restore("svc", first.State("svc"), at)
	if got := next.Observe("svc", autoscale.Observation{Load: 3}, at); got.Load < 15 || !got.Measured {
		t.Errorf("demand: got %+v, want most of the load of 17, measured", got)
	}
}

// A new holder that had seen a roll-out end dropped the orders of earlier holders, also those that were
// sent after it, and counted endpoints that booted as missing.
func TestOrdersSinceRolloutAreKept(t *testing.T) {
	state := autoscale.State{Rollout: 7, Pools: []autoscale.PoolState{{Ordered: 20}}, Losses: autoscale.LossState{Followed: 2}}
	for completed, want := range map[int64]int{7: 1, 0: 1, 9: 0} {
		if got := state.SinceRollout(completed); len(got.Pools) != want || got.Losses.Followed != 2 {
			t.Errorf("roll-out %d: got %+v, want %d pools and the losses", completed, got, want)
		}
	}
}
