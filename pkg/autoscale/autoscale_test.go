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
			return 1, 0
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

// The loss of any data centre's reclaimable endpoints leaves the need.
func TestPlanBearsTheLossOfADataCenter(t *testing.T) {
	for _, work := range []float64{0, 1, 4, 7, 12} {
		demand := autoscale.Demand{Work: work, Known: true}
		orders, need := autoscale.Plan(service(30), demand, supplied(map[string]int{"a": 99, "b": 99, "c": 99, "d": 99}))
		kept := total(orders, false)
		all := total(orders, true)
		for _, o := range orders {
			if left := kept + all - o.Count; o.Reclaimable && left < need {
				t.Errorf("work %.0f, %s lost: got %d endpoints, want the %d needed", work, o.DataCenter, left, need)
			}
		}
		if kept != 4 {
			t.Errorf("work %.0f: got %d on demand, want one in each data centre", work, kept)
		}
	}
}

// While none are to be had, the missing ones are bought on demand, cheapest
// first, within the bounds of a data centre.
func TestPlanBuysWhatIsMissing(t *testing.T) {
	demand := autoscale.Demand{Work: 7, Known: true}
	orders, need := autoscale.Plan(service(10), demand, supplied(map[string]int{"a": 2}))
	if got, want := total(orders, false), need-2; got != want {
		t.Errorf("on demand: got %d, want %d", got, want)
	}
	byPlace := map[string]int{}
	for _, o := range orders {
		byPlace[o.DataCenter] += o.Count
		if !o.Reclaimable && o.DataCenter == "b" && o.Count < (need-2+3)/4 {
			t.Errorf("on demand in the cheapest data centre: got %d, want %d or more", o.Count, (need-2+3)/4)
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
	demand := autoscale.Demand{Work: 14, Known: true}
	orders, need := autoscale.Plan(service(99), demand, supplied(map[string]int{"a": 14, "b": 14}))
	if left := total(orders, false) + 14; float64(left) < 0.7*float64(need) {
		t.Errorf("left after another loss: got %d of %d needed", left, need)
	}
	orders, _ = autoscale.Plan(service(99), demand, supplied(map[string]int{"a": 14, "b": 14, "c": 14, "d": 14}))
	if got := total(orders, false); got != 4 {
		t.Errorf("on demand while all are there: got %d, want 4", got)
	}
}

func TestNeedIsGuessedUntilTheTrafficIsKnown(t *testing.T) {
	all := supplied(map[string]int{"a": 99, "b": 99, "c": 99, "d": 99})
	_, guessed := autoscale.Plan(service(30), autoscale.Demand{Found: 60}, all)
	_, known := autoscale.Plan(service(30), autoscale.Demand{Found: 60, Known: true}, all)
	if guessed < 27 || known > guessed/2 {
		t.Errorf("need: got %d guessed of 60 found, %d known without traffic", guessed, known)
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
	*autoscale.Orderer
	sink    *sink
	now     time.Time
	serving int
	held    bool
}

func newOrderer() *orderer {
	s := &sink{}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return &orderer{Orderer: autoscale.NewOrderer(s, logger), sink: s, now: time.Unix(1000, 0), held: true}
}

// step orders a count after a time and returns how many orders were sent.
func (o *orderer) step(after time.Duration, count int) int {
	o.now = o.now.Add(after)
	before := len(o.sink.orders)
	o.Step(context.Background(), []autoscale.Order{{Service: "svc", DataCenter: "a", Reclaimable: true, Count: count}},
		func(autoscale.Place) int { return o.serving }, 4*time.Second, o.now,
		func() (lease.Grant, bool) { return lease.Grant{Epoch: 1}, o.held })
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
	o.sink.err = autoscale.ErrNoneLeft
	place := autoscale.Place{Service: "svc", DataCenter: "a", Reclaimable: true}
	if got := o.step(0, 3); got != 1 {
		t.Fatalf("orders: got %d, want 1", got)
	}
	if got := o.Soon(place, 0, 4*time.Second, o.now); got != 0 {
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
	if got := o.Soon(place, 1, 4*time.Second, o.now); got != 2 {
		t.Errorf("coming after an order: got %d, want 2", got)
	}
}

func TestNothingIsOrderedWithoutTheLease(t *testing.T) {
	o := newOrderer()
	o.held = false
	if got := o.step(0, 3); got != 0 {
		t.Errorf("orders: got %d, want 0", got)
	}
}
