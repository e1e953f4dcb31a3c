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

func service(most int) routetable.Service {
	return routetable.Service{Name: "svc", Scaling: &routetable.Scaling{
		Least: 1, Most: most, Boot: 4 * time.Second, ReclaimablePrice: 0.15,
		Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
	}}
}

// supplied is a supply of reclaimable endpoints by data centre.
func supplied(serving map[string]int) autoscale.Supply {
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

// The loss of any two data centres' reclaimable endpoints leaves the need, and
// while all are there none are bought on demand.
func TestPlanBearsTheLossOfTwoDataCenters(t *testing.T) {
	for _, work := range []float64{0, 1, 4, 7, 12} {
		demand := autoscale.Demand{Load: work, Measured: true}
		orders, need := autoscale.Plan(service(30), demand, supplied(map[string]int{"a": 99, "b": 99, "c": 99, "d": 99}))
		all := total(orders, true)
		for i, o := range orders {
			for _, other := range orders[:i] {
				if left := all - o.Count - other.Count; o.Reclaimable && other.Reclaimable && left < need {
					t.Errorf("work %.0f, %s and %s lost: got %d endpoints, want the %d needed", work, o.DataCenter, other.DataCenter, left, need)
				}
			}
		}
		if got := total(orders, false); got != 0 {
			t.Errorf("work %.0f: got %d on demand, want none", work, got)
		}
	}
}

// The dearer reclaimable endpoints are, the fewer are kept for losses; where they
// cost as much as others there are none.
func TestReserveFollowsThePrice(t *testing.T) {
	demand := autoscale.Demand{Load: 12, Measured: true}
	before := 999
	for _, price := range []float64{0.1, 0.22, 0.4, 0.6, 0.9, 1} {
		dear := service(99)
		dear.Scaling.ReclaimablePrice = price
		serving := map[string]int{"a": 99, "b": 99, "c": 99, "d": 99}
		if price >= 1 {
			serving = nil
		}
		orders, need := autoscale.Plan(dear, demand, supplied(serving))
		got := total(orders, true)
		if got > before || price < 1 && got < need || price >= 1 && got != 0 {
			t.Errorf("price %.2f: got %d reclaimable of a need of %d, %d at the price before", price, got, need, before)
		}
		if bought := total(orders, false); price >= 1 && bought != need {
			t.Errorf("price %.2f: got %d on demand, want the need of %d", price, bought, need)
		}
		before = got
	}
}

// Every data centre has the least that the operator asks for.
func TestPlanKeepsTheLeast(t *testing.T) {
	orders, _ := autoscale.Plan(service(30), autoscale.Demand{Measured: true}, supplied(nil))
	for _, o := range orders {
		if o.Reclaimable && o.Count < 1 {
			t.Errorf("%s: got %d, want 1", o.DataCenter, o.Count)
		}
	}
}

// While none are to be had, the missing ones are bought on demand, cheapest
// first, within the bounds of a data centre.
func TestPlanBuysWhatIsMissing(t *testing.T) {
	demand := autoscale.Demand{Load: 14, Measured: true}
	orders, need := autoscale.Plan(service(10), demand, supplied(map[string]int{"a": 2}))
	if got, want := total(orders, false), need-2; got != want {
		t.Errorf("on demand: got %d, want %d", got, want)
	}
	byPlace := map[string]int{}
	for _, o := range orders {
		byPlace[o.DataCenter] += o.Count
		if !o.Reclaimable && o.DataCenter == "b" && o.Count < (need-2)/2 {
			t.Errorf("on demand in the cheapest data centre: got %d, want %d or more", o.Count, (need-2)/2)
		}
	}
	for place, count := range byPlace {
		if count > 10 {
			t.Errorf("%s: got %d endpoints, want 10 at most", place, count)
		}
	}
}

// Two data centres' reclaimable endpoints are away and none are to be had: the
// next loss must leave most of the need.
func TestPlanExpectsTheNextLoss(t *testing.T) {
	demand := autoscale.Demand{Load: 20, Measured: true}
	orders, need := autoscale.Plan(service(99), demand, supplied(map[string]int{"a": 14, "b": 14}))
	if left := total(orders, false) + 14; float64(left) < 0.85*float64(need) {
		t.Errorf("left after another loss: got %d of %d needed", left, need)
	}
	orders, _ = autoscale.Plan(service(99), demand, supplied(map[string]int{"a": 14, "b": 14, "c": 14, "d": 14}))
	if got := total(orders, false); got != 0 {
		t.Errorf("on demand while all are there: got %d, want none", got)
	}
}

// Before the traffic is known there are as many reclaimable endpoints as it may
// need after a reclaim; on demand no more than without traffic.
func TestReclaimableOnesAreGuessedUntilTheTrafficIsKnown(t *testing.T) {
	all := supplied(map[string]int{"a": 99, "b": 99, "c": 99, "d": 99})
	guessed, _ := autoscale.Plan(service(30), autoscale.Demand{}, all)
	known, _ := autoscale.Plan(service(30), autoscale.Demand{Measured: true}, all)
	if got, least := total(guessed, true), 4*30/2; got < least {
		t.Errorf("reclaimable before the traffic is known: got %d of %d allowed, want %d or more", got, 4*30, least)
	}
	if got, most := total(known, true), total(guessed, true)/2; got > most {
		t.Errorf("reclaimable once no traffic is known: got %d, want %d at most", got, most)
	}
	if got := total(guessed, false); got != 0 {
		t.Errorf("on demand before the traffic is known: got %d, want none", got)
	}
}

// Where the operator allows many more endpoints than the teams' limits let callers use, no
// more are guessed than those need, over the loss of two data centres; where the limits
// allow more, they change nothing.
func TestGuessIsBoundedByTheTeamsLimits(t *testing.T) {
	const allowed = 976
	all := supplied(nil)
	for _, c := range []struct {
		what        string
		most        int
		limits      float64
		least, upTo int
	}{
		{"limits that ask for 100 engines' time", allowed, 100, 100, 600},
		{"no limits", allowed, 0, 4 * allowed / 2, 4 * allowed},
		{"limits beyond what is allowed", 30, 1000, 4 * 30 / 2, 4 * 30},
	} {
		orders, _ := autoscale.Plan(service(c.most), autoscale.Demand{MaxLoad: c.limits}, all)
		if got := total(orders, true); got < c.least || got > c.upTo {
			t.Errorf("%s: got %d reclaimable endpoints, want %d to %d", c.what, got, c.least, c.upTo)
		}
	}
}

// On-demand endpoints stay until the reclaimable ones that were ordered in their
// place serve.
func TestPlanKeepsWhatStandsInUntilOthersServe(t *testing.T) {
	booting := func(string, bool) (int, int) { return 0, 14 }
	orders, need := autoscale.Plan(service(30), autoscale.Demand{Load: 14, Measured: true}, booting)
	kept, bought := 0, 0
	for _, o := range orders {
		if !o.Reclaimable {
			kept += o.Retain
			bought += o.Count
		}
	}
	if kept < need {
		t.Errorf("on demand to be kept while others boot: got %d, want the need of %d", kept, need)
	}
	if bought != 0 {
		t.Errorf("on demand to be bought while others boot: got %d, want none", bought)
	}
}

// Hosts that die take their part of the work with them, not its callers.
func TestDemandFadesSlowly(t *testing.T) {
	traffic := autoscale.NewDemandTracker()
	at := time.Unix(1000, 0)
	traffic.Observe("svc", 10, at)
	if got := traffic.Observe("svc", 0.5, at.Add(5*time.Second)); got.Load < 7 || got.Measured {
		t.Errorf("after 5 s: got %+v, want most of the work, not known yet", got)
	}
	if got := traffic.Observe("svc", 0.5, at.Add(time.Minute)); got.Load > 1 || !got.Measured {
		t.Errorf("after a minute: got %+v, want the work of now, known", got)
	}
	if got := traffic.Observe("other", 0, at.Add(time.Minute)); got.Load != 0 || got.Measured {
		t.Errorf("a service without traffic: got %+v, want nothing known", got)
	}
}

// sink takes orders.
type sink struct {
	orders []autoscale.Order
	err    error
}

func (s *sink) Order(_ context.Context, _ lease.Grant, o autoscale.Order) error {
	s.orders = append(s.orders, o)
	return s.err
}

// orderer is an Orderer in virtual time.
type orderer struct {
	*autoscale.Reconciler
	sink    *sink
	now     time.Time
	serving int
	epoch   int64
	held    bool
}

func newOrderer() *orderer {
	s := &sink{}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return &orderer{Reconciler: autoscale.NewReconciler(s, logger), sink: s, now: time.Unix(1000, 0), epoch: 1, held: true}
}

// step orders a count after a time and returns how many orders were sent.
func (o *orderer) step(after time.Duration, count int) int {
	return o.stepTo(after, autoscale.Order{Service: "svc", DataCenter: "a", Reclaimable: true, Count: count})
}

func (o *orderer) stepTo(after time.Duration, order autoscale.Order) int {
	o.now = o.now.Add(after)
	before := len(o.sink.orders)
	o.Reconcile(context.Background(), []autoscale.Order{order}, func(autoscale.Pool) int { return o.serving }, 4*time.Second, o.now,
		func() (lease.Grant, bool) { return lease.Grant{Epoch: o.epoch, First: o.epoch == 1}, o.held })
	return len(o.sink.orders) - before
}

func TestOrdersAreRepeatedOnlyWhereNeeded(t *testing.T) {
	o := newOrderer()
	steps := []struct {
		what    string
		after   time.Duration
		count   int
		serving int
		want    int
	}{
		{"first", 0, 3, 0, 1},
		{"they boot", 3 * time.Second, 3, 0, 0},
		{"they serve", 3 * time.Second, 3, 3, 0},
		{"they were reclaimed", 10 * time.Second, 3, 0, 1},
		{"more at once", 3 * time.Second, 5, 3, 1},
		{"fewer, not at once", 3 * time.Second, 2, 5, 0},
		{"fewer, still wanted", 7 * time.Second, 2, 5, 1},
	}
	for _, s := range steps {
		o.serving = s.serving
		if got := o.step(s.after, s.count); got != s.want {
			t.Errorf("%s: got %d orders, want %d", s.what, got, s.want)
		}
	}
}

// None are to be had: asked again after a pause, and not counted as coming.
func TestRefusedOrdersPause(t *testing.T) {
	o := newOrderer()
	o.sink.err = autoscale.ErrNoCapacity
	place := autoscale.Pool{Service: "svc", DataCenter: "a", Reclaimable: true}
	if got := o.step(0, 3); got != 1 {
		t.Fatalf("orders: got %d, want 1", got)
	}
	if got := o.Booting(place, 0, 4*time.Second, o.now); got != 0 {
		t.Errorf("coming after a refusal: got %d, want 0", got)
	}
	if got := o.step(time.Second, 3); got != 0 {
		t.Errorf("orders a second later: got %d, want 0", got)
	}
	if got := o.step(2*time.Second, 3); got != 1 {
		t.Errorf("orders three seconds later: got %d, want 1", got)
	}
	o.sink.err = nil
	o.step(3*time.Second, 3)
	if got := o.Booting(place, 1, 4*time.Second, o.now); got != 2 {
		t.Errorf("coming after an order: got %d, want 2", got)
	}
}

// Three of nineteen were ordered anew; the others served and were reclaimed.
func TestReclaimedOnesAreNotComing(t *testing.T) {
	o := newOrderer()
	o.serving = 16
	o.step(0, 19)
	place := autoscale.Pool{Service: "svc", DataCenter: "a", Reclaimable: true}
	if got := o.Booting(place, 0, 4*time.Second, o.now.Add(2*time.Second)); got != 3 {
		t.Errorf("coming after a reclaim: got %d, want the 3 that boot", got)
	}
}

// What stands in for reclaimable endpoints is given up once they serve.
func TestOrdersKeepWhatStandsIn(t *testing.T) {
	o := newOrderer()
	onDemand := autoscale.Order{Service: "svc", DataCenter: "a", Count: 20}
	o.stepTo(0, onDemand)
	o.serving, onDemand.Count, onDemand.Retain = 20, 1, 20
	o.stepTo(10*time.Second, onDemand)
	if got := o.stepTo(7*time.Second, onDemand); got != 0 {
		t.Errorf("orders while the others boot: got %d, want 0", got)
	}
	onDemand.Retain = 1
	if got := o.stepTo(time.Second, onDemand); got != 0 {
		t.Errorf("orders as soon as the others serve: got %d, want 0", got)
	}
	if got := o.stepTo(2*time.Second, onDemand); got != 1 || o.sink.orders[1].Count != 1 {
		t.Errorf("orders once the others serve: got %v, want one of 1", o.sink.orders[1:])
	}
}

// A new holder of the lease gives nothing up at once: it does not know yet what
// the one before saw.
func TestNewHolderGivesNothingUpAtOnce(t *testing.T) {
	o := newOrderer()
	o.epoch, o.serving = 2, 20
	if got := o.step(0, 1); got != 0 {
		t.Errorf("orders at first: got %d, want 0", got)
	}
	if got := o.step(7*time.Second, 1); got != 1 {
		t.Errorf("orders once it is wanted for long: got %d, want 1", got)
	}
}

func TestNothingIsOrderedWithoutTheLease(t *testing.T) {
	o := newOrderer()
	o.held = false
	if got := o.step(0, 3); got != 0 {
		t.Errorf("orders: got %d, want 0", got)
	}
}
