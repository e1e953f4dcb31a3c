package autoscale_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/routetable"
)

func newService(limit int) routetable.Service {
	return routetable.Service{Name: "svc", Scaling: &routetable.Scaling{
		MinEndpoints: 1, MaxEndpoints: limit, BootTime: 4 * time.Second, ReclaimablePrice: 0.15,
		Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
	}}
}

// reclaimableSupply returns a Supply of reclaimable endpoints only, given how many serve
// in each data centre.
func reclaimableSupply(serving map[string]int) autoscale.Supply {
	return func(dataCenter string, reclaimable bool) (int, int) {
		if !reclaimable {
			return 0, 0
		}
		return serving[dataCenter], 0
	}
}

func total(orders []autoscale.Order, reclaimable bool) int {
	sum := 0
	for _, o := range orders {
		if o.Reclaimable == reclaimable {
			sum += o.Count
		}
	}
	return sum
}

// After the loss of any two data centres' reclaimable endpoints the rest still covers the
// need, and no on-demand endpoints are ordered while all of them serve.
func TestPlanSurvivesLossOfTwoDataCenters(t *testing.T) {
	for _, load := range []float64{0, 1, 4, 7, 12} {
		demand := autoscale.Demand{Load: load, Measured: true}
		orders, need := autoscale.Plan(newService(30), demand, reclaimableSupply(map[string]int{"a": 99, "b": 99, "c": 99, "d": 99}), autoscale.Outlook{})
		all := total(orders, true)
		for i, o := range orders {
			for _, other := range orders[:i] {
				if left := all - o.Count - other.Count; o.Reclaimable && other.Reclaimable && left < need {
					t.Errorf("load %.0f, %s and %s lost: got %d endpoints, want the %d needed", load, o.DataCenter, other.DataCenter, left, need)
				}
			}
		}
		if got := total(orders, false); got != 0 {
			t.Errorf("load %.0f: got %d on-demand endpoints, want none", load, got)
		}
	}
}

// The more reclaimable endpoints cost, the fewer spare ones are ordered against losses.
// At the full price none are ordered.
func TestReclaimableReserveShrinksWithPrice(t *testing.T) {
	demand := autoscale.Demand{Load: 12, Measured: true}
	previous := 999
	for _, price := range []float64{0.1, 0.22, 0.4, 0.6, 0.9, 1} {
		priced := newService(99)
		priced.Scaling.ReclaimablePrice = price
		serving := map[string]int{"a": 99, "b": 99, "c": 99, "d": 99}
		if price >= 1 {
			serving = nil
		}
		orders, need := autoscale.Plan(priced, demand, reclaimableSupply(serving), autoscale.Outlook{})
		got := total(orders, true)
		if got > previous || price < 1 && got < need || price >= 1 && got != 0 {
			t.Errorf("price %.2f: got %d reclaimable endpoints for a need of %d, after %d at the previous price", price, got, need, previous)
		}
		if onDemand := total(orders, false); price >= 1 && onDemand != need {
			t.Errorf("price %.2f: got %d on-demand endpoints, want the need of %d", price, onDemand, need)
		}
		previous = got
	}
}

// Every data centre gets at least the operator's minimum of reclaimable endpoints.
func TestPlanRespectsMinimum(t *testing.T) {
	orders, _ := autoscale.Plan(newService(30), autoscale.Demand{Measured: true}, reclaimableSupply(nil), autoscale.Outlook{})
	for _, o := range orders {
		if o.Reclaimable && o.Count < 1 {
			t.Errorf("%s: got %d reclaimable endpoints, want at least 1", o.DataCenter, o.Count)
		}
	}
}

// While no reclaimable endpoints are available, on-demand ones fill the gap, in the
// cheapest data centres first and within the maximum of each.
func TestPlanFillsGapOnDemand(t *testing.T) {
	demand := autoscale.Demand{Load: 14, Measured: true}
	orders, need := autoscale.Plan(newService(10), demand, reclaimableSupply(map[string]int{"a": 2}), autoscale.Outlook{})
	if got, want := total(orders, false), need-2; got != want {
		t.Errorf("on-demand endpoints: got %d, want %d", got, want)
	}
	byDataCenter := map[string]int{}
	for _, o := range orders {
		byDataCenter[o.DataCenter] += o.Count
		if !o.Reclaimable && o.DataCenter == "b" && o.Count < (need-2)/2 {
			t.Errorf("on-demand endpoints in the cheapest data centre: got %d, want at least %d", o.Count, (need-2)/2)
		}
	}
	for dataCenter, count := range byDataCenter {
		if count > 10 {
			t.Errorf("%s: got %d endpoints, want at most 10", dataCenter, count)
		}
	}
}

// The reclaimable endpoints of two data centres are lost and no more are available: after
// a further loss most of the need must still be covered.
func TestPlanPreparesForNextLoss(t *testing.T) {
	demand := autoscale.Demand{Load: 20, Measured: true}
	orders, need := autoscale.Plan(newService(99), demand, reclaimableSupply(map[string]int{"a": 14, "b": 14}), autoscale.Outlook{})
	if left := total(orders, false) + 14; float64(left) < 0.85*float64(need) {
		t.Errorf("endpoints left after another loss: got %d of %d needed, want at least 85%%", left, need)
	}
	orders, _ = autoscale.Plan(newService(99), demand, reclaimableSupply(map[string]int{"a": 14, "b": 14, "c": 14, "d": 14}), autoscale.Outlook{})
	if got := total(orders, false); got != 0 {
		t.Errorf("on-demand endpoints while all reclaimable ones serve: got %d, want none", got)
	}
}

// Before the load is measured, as many reclaimable endpoints are ordered as may be needed
// after a reclaim, and no more on-demand endpoints than without load.
func TestReclaimableCountBeforeLoadIsMeasured(t *testing.T) {
	all := reclaimableSupply(map[string]int{"a": 99, "b": 99, "c": 99, "d": 99})
	unmeasured, _ := autoscale.Plan(newService(30), autoscale.Demand{}, all, autoscale.Outlook{})
	measured, _ := autoscale.Plan(newService(30), autoscale.Demand{Measured: true}, all, autoscale.Outlook{})
	if got, minimum := total(unmeasured, true), 4*30/2; got < minimum {
		t.Errorf("reclaimable endpoints before the load is measured: got %d of %d allowed, want at least %d", got, 4*30, minimum)
	}
	if got, maximum := total(measured, true), total(unmeasured, true)/2; got > maximum {
		t.Errorf("reclaimable endpoints once a load of zero is measured: got %d, want at most %d", got, maximum)
	}
	if got := total(unmeasured, false); got != 0 {
		t.Errorf("on-demand endpoints before the load is measured: got %d, want none", got)
	}
}

// Before the load is measured, no more endpoints are ordered than callers within the
// teams' limits can use after the loss of two data centres, however many the operator
// allows. Limits above what the operator allows change nothing.
func TestUnmeasuredCountIsBoundedByTeamLimits(t *testing.T) {
	const allowed = 976
	all := reclaimableSupply(nil)
	for _, c := range []struct {
		name            string
		limit           int
		limits          float64
		atLeast, atMost int
	}{
		{"limits that allow the load of 100 engines", allowed, 100, 100, 600},
		{"no limits", allowed, 0, 4 * allowed / 2, 4 * allowed},
		{"limits above the endpoints allowed", 30, 1000, 4 * 30 / 2, 4 * 30},
	} {
		orders, _ := autoscale.Plan(newService(c.limit), autoscale.Demand{MaxLoad: c.limits}, all, autoscale.Outlook{})
		if got := total(orders, true); got < c.atLeast || got > c.atMost {
			t.Errorf("%s: got %d reclaimable endpoints, want %d to %d", c.name, got, c.atLeast, c.atMost)
		}
	}
}

// On-demand endpoints are retained until the reclaimable ones ordered to replace them
// serve.
func TestPlanRetainsOnDemandUntilReplacementsServe(t *testing.T) {
	booting := func(string, bool) (int, int) { return 0, 14 }
	orders, need := autoscale.Plan(newService(30), autoscale.Demand{Load: 14, Measured: true}, booting, autoscale.Outlook{})
	retained, ordered := 0, 0
	for _, o := range orders {
		if !o.Reclaimable {
			retained += o.Retain
			ordered += o.Count
		}
	}
	if retained < need {
		t.Errorf("on-demand endpoints retained while others boot: got %d, want the need of %d", retained, need)
	}
	if ordered != 0 {
		t.Errorf("on-demand endpoints ordered while others boot: got %d, want none", ordered)
	}
}

// When hosts die, the load they observed disappears from the sum at once but its callers
// come back, so the demand must decay slowly.
func TestDemandDecaysSlowly(t *testing.T) {
	tracker := autoscale.NewDemandTracker()
	at := time.Unix(1000, 0)
	tracker.Observe("svc", autoscale.Observation{Load: 10}, at)
	if got := tracker.Observe("svc", autoscale.Observation{Load: 0.5}, at.Add(5*time.Second)); got.Load < 7 || got.Measured {
		t.Errorf("after 5 s: got %+v, want most of the load, not measured yet", got)
	}
	if got := tracker.Observe("svc", autoscale.Observation{Load: 0.5}, at.Add(time.Minute)); got.Load > 1 || !got.Measured {
		t.Errorf("after a minute: got %+v, want the present load, measured", got)
	}
	if got := tracker.Observe("other", autoscale.Observation{}, at.Add(time.Minute)); got.Load != 0 || got.Measured {
		t.Errorf("a service without load: got %+v, want it unmeasured", got)
	}
}

// fakeSink records orders and returns err.
type fakeSink struct {
	orders []autoscale.Order
	err    error
}

func (s *fakeSink) Order(_ context.Context, _ lease.Grant, o autoscale.Order) error {
	s.orders = append(s.orders, o)
	return s.err
}

// testReconciler runs a Reconciler in virtual time.
type testReconciler struct {
	*autoscale.Reconciler
	sink    *fakeSink
	now     time.Time
	serving int
	epoch   int64
	held    bool
}

func newTestReconciler() *testReconciler {
	s := &fakeSink{}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return &testReconciler{Reconciler: autoscale.NewReconciler(s, logger), sink: s, now: time.Unix(1000, 0), epoch: 1, held: true}
}

// step advances the time by after, reconciles a count and returns how many orders were
// sent.
func (r *testReconciler) step(after time.Duration, count int) int {
	return r.stepTo(after, autoscale.Order{Service: "svc", DataCenter: "a", Reclaimable: true, Count: count})
}

func (r *testReconciler) stepTo(after time.Duration, order autoscale.Order) int {
	r.now = r.now.Add(after)
	before := len(r.sink.orders)
	r.Reconcile(context.Background(), []autoscale.Order{order}, func(autoscale.Pool) int { return r.serving }, 4*time.Second, r.now,
		func() (lease.Grant, bool) { return lease.Grant{Epoch: r.epoch, First: r.epoch == 1}, r.held })
	return len(r.sink.orders) - before
}

func TestOrdersAreRepeatedOnlyWhenNeeded(t *testing.T) {
	r := newTestReconciler()
	steps := []struct {
		name    string
		after   time.Duration
		count   int
		serving int
		want    int
	}{
		{"first order", 0, 3, 0, 1},
		{"endpoints boot", 3 * time.Second, 3, 0, 0},
		{"endpoints serve", 3 * time.Second, 3, 3, 0},
		{"endpoints were reclaimed", 10 * time.Second, 3, 0, 1},
		{"higher count is ordered at once", 3 * time.Second, 5, 3, 1},
		{"lower count is not ordered at once", 3 * time.Second, 2, 5, 0},
		{"lower count is ordered after the delay", 7 * time.Second, 2, 5, 1},
	}
	for _, s := range steps {
		r.serving = s.serving
		if got := r.step(s.after, s.count); got != s.want {
			t.Errorf("%s: got %d orders, want %d", s.name, got, s.want)
		}
	}
}

// When the cloud has no capacity the order is repeated after a pause, and its endpoints
// do not count as booting.
func TestRefusedOrdersAreRetriedAfterPause(t *testing.T) {
	r := newTestReconciler()
	r.sink.err = autoscale.ErrNoCapacity
	pool := autoscale.Pool{Service: "svc", DataCenter: "a", Reclaimable: true}
	if got := r.step(0, 3); got != 1 {
		t.Fatalf("orders: got %d, want 1", got)
	}
	if got := r.Booting(pool, 0, 4*time.Second, r.now); got != 0 {
		t.Errorf("booting after a refusal: got %d, want 0", got)
	}
	if got := r.step(time.Second, 3); got != 0 {
		t.Errorf("orders a second later: got %d, want 0", got)
	}
	if got := r.step(2*time.Second, 3); got != 1 {
		t.Errorf("orders three seconds later: got %d, want 1", got)
	}
	r.sink.err = nil
	r.step(3*time.Second, 3)
	if got := r.Booting(pool, 1, 4*time.Second, r.now); got != 2 {
		t.Errorf("booting after an order: got %d, want 2", got)
	}
}

// Of 19 ordered endpoints 16 served already and are reclaimed afterwards: only the 3 new
// ones count as booting.
func TestReclaimedEndpointsAreNotBooting(t *testing.T) {
	r := newTestReconciler()
	r.serving = 16
	r.step(0, 19)
	pool := autoscale.Pool{Service: "svc", DataCenter: "a", Reclaimable: true}
	if got := r.Booting(pool, 0, 4*time.Second, r.now.Add(2*time.Second)); got != 3 {
		t.Errorf("booting after a reclaim: got %d, want the 3 new endpoints", got)
	}
}

// On-demand endpoints are given up only once the reclaimable ones that replace them
// serve.
func TestOnDemandIsRetainedUntilReplacementsServe(t *testing.T) {
	r := newTestReconciler()
	onDemand := autoscale.Order{Service: "svc", DataCenter: "a", Count: 20}
	r.stepTo(0, onDemand)
	r.serving, onDemand.Count, onDemand.Retain = 20, 1, 20
	r.stepTo(10*time.Second, onDemand)
	if got := r.stepTo(7*time.Second, onDemand); got != 0 {
		t.Errorf("orders while the replacements boot: got %d, want 0", got)
	}
	onDemand.Retain = 1
	if got := r.stepTo(time.Second, onDemand); got != 0 {
		t.Errorf("orders as soon as the replacements serve: got %d, want 0", got)
	}
	if got := r.stepTo(2*time.Second, onDemand); got != 1 || r.sink.orders[1].Count != 1 {
		t.Errorf("orders after the scale-down delay: got %v, want one with count 1", r.sink.orders[1:])
	}
}

// A new holder of the lease must not give up endpoints at once: it does not know yet the
// load that the previous holder observed.
func TestNewHolderDoesNotScaleDownAtOnce(t *testing.T) {
	r := newTestReconciler()
	r.epoch, r.serving = 2, 20
	if got := r.step(0, 1); got != 0 {
		t.Errorf("orders right after the take-over: got %d, want 0", got)
	}
	if got := r.step(7*time.Second, 1); got != 1 {
		t.Errorf("orders after the scale-down delay: got %d, want 1", got)
	}
}

func TestNoOrdersWithoutLease(t *testing.T) {
	r := newTestReconciler()
	r.held = false
	if got := r.step(0, 3); got != 0 {
		t.Errorf("orders without the lease: got %d, want 0", got)
	}
}

// Guards against ordering replacements for endpoints that boot because the cloud refused more of them.
func TestRefusedOrderKeepsBootingEndpoints(t *testing.T) {
	r := newTestReconciler()
	pool := autoscale.Pool{Service: "svc", DataCenter: "a", Reclaimable: true}
	r.step(0, 20)
	r.sink.err = autoscale.ErrNoCapacity
	if got := r.step(time.Second, 22); got != 1 {
		t.Fatalf("higher count: got %d orders, want 1", got)
	}
	if got := r.Booting(pool, 0, 4*time.Second, r.now); got != 20 {
		t.Errorf("got %d booting, want 20", got)
	}
}

// Guards against counting endpoints that were lost as booting, and ordering them again only after
// the boot time.
func TestLostEndpointsAreOrderedAtOnce(t *testing.T) {
	r := newTestReconciler()
	pool := autoscale.Pool{Service: "svc", DataCenter: "a", Reclaimable: true}
	r.step(0, 10)
	r.serving = 10
	r.step(10*time.Second, 20)
	r.now = r.now.Add(time.Second)
	r.serving = 0
	r.RecordLoss(pool)
	if got := r.Booting(pool, 0, 4*time.Second, r.now); got != 0 {
		t.Errorf("got %d booting, want none", got)
	}
	if got := r.step(0, 20); got != 1 {
		t.Errorf("got %d orders after the loss, want 1", got)
	}
	if got := r.step(time.Second, 20); got != 0 {
		t.Errorf("got %d orders while the endpoints boot, want none", got)
	}
}

// A lower limit than the number of endpoints that serve led to orders of negative counts.
func TestOrdersAreNotNegative(t *testing.T) {
	supply := func(string, bool) (int, int) { return 20, 0 }
	orders, _ := autoscale.Plan(newService(5), autoscale.Demand{Load: 10, Measured: true}, supply, autoscale.Outlook{Known: true})
	for _, o := range orders {
		if o.Count < 0 {
			t.Errorf("got an order of %d in %s, want none below 0", o.Count, o.DataCenter)
		}
	}
}
