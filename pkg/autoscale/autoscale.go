// Package autoscale plans and orders the endpoints of raw services: how many of each
// class, reclaimable or on demand, in each data centre. Plan is a pure function of its
// inputs; Reconciler sends the orders that are due while this process holds the lease.
package autoscale

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/lease"
)

// ErrNoCapacity means that the cloud has no more endpoints of the class in the data
// centre at present.
var ErrNoCapacity = errors.New("autoscale: cloud has no capacity of this class in the data centre")

// Order sets the number of endpoints of a service in one data centre and class.
type Order struct {
	Service, DataCenter string
	Reclaimable         bool
	Count               int
	// Retain is the number of endpoints that must not be given up yet because the
	// endpoints that replace them may still be booting. Values below Count have no effect.
	Retain int
}

// Pool identifies the endpoints that an order applies to: those of one class of a
// service in one data centre.
type Pool struct {
	Service, DataCenter string
	Reclaimable         bool
}

// Pool returns the pool that the order applies to.
func (o Order) Pool() Pool { return Pool{o.Service, o.DataCenter, o.Reclaimable} }

// scaleDownDelay returns how long a lower count must be wanted before it is ordered.
func (o Order) scaleDownDelay() time.Duration {
	if o.Reclaimable {
		return reclaimableScaleDownDelay
	}
	return onDemandScaleDownDelay
}

// Sink sends orders to the cloud, each of them once.
type Sink interface {
	Order(ctx context.Context, grant lease.Grant, order Order) error
}

// Delays and intervals of orders.
const (
	// retryDelay follows a failed order, also one that failed with ErrNoCapacity.
	retryDelay = 2 * time.Second
	// scaleUpInterval is the least time between two orders for one pool, as the need
	// grows in steps.
	scaleUpInterval = 700 * time.Millisecond
	// reclaimableScaleDownDelay is how long a lower count of reclaimable endpoints must
	// be wanted before it is ordered: an endpoint that is given up loses its cache.
	reclaimableScaleDownDelay = 6 * time.Second
	// onDemandScaleDownDelay is the same for on-demand endpoints. It is shorter because
	// they cost several times as much as the reclaimable ones that replace them.
	onDemandScaleDownDelay = 2 * time.Second
	// bootMargin is added to the boot time before ordered endpoints count as missing.
	bootMargin = 2500 * time.Millisecond
)

// Reconciler sends the orders whose counts differ from those last ordered. It is not
// safe for concurrent use.
type Reconciler struct {
	sink  Sink
	log   *log.Logger
	pools map[Pool]*poolState
}

// poolState is what was ordered for one pool, and when.
type poolState struct {
	// orderedCount is the count of the last acknowledged order, or the count that
	// served when this holder took over; valid if initialized is set.
	// bootingCount is how many of them did not serve yet when they were ordered,
	// at orderedAt.
	orderedCount int
	bootingCount int
	// lowestSent is the lowest count that may be in force: a failed order may have arrived.
	lowestSent  int
	initialized bool
	orderedAt   time.Time
	// repeat is set if the order must be repeated when too few endpoints serve, also within
	// their boot time: endpoints were lost, or a later order failed but may have arrived.
	repeat bool
	// refusedAt is when an order was last refused for lack of capacity.
	refusedAt time.Time
	// notBefore delays the next order for the pool.
	notBefore time.Time
	// surplusSince is when a count below orderedCount was first wanted; zero if none is.
	surplusSince time.Time
}

// NewReconciler returns a Reconciler without any pool state.
func NewReconciler(sink Sink, logger *log.Logger) *Reconciler {
	return &Reconciler{sink: sink, log: logger, pools: map[Pool]*poolState{}}
}

// Reset drops the state of all pools, because another holder of the lease may have
// sent orders since.
func (r *Reconciler) Reset() { clear(r.pools) }

// ResetService drops the state of a service's pools, because its endpoints may have
// been replaced.
func (r *Reconciler) ResetService(name string) {
	for pool := range r.pools {
		if pool.Service == name {
			delete(r.pools, pool)
		}
	}
}

func (r *Reconciler) stateOf(p Pool) *poolState {
	state, ok := r.pools[p]
	if !ok {
		state = &poolState{}
		r.pools[p] = state
	}
	return state
}

// Booting returns how many of a pool's ordered endpoints may still boot. Endpoints
// that served and have gone since are not counted.
func (r *Reconciler) Booting(p Pool, serving int, boot time.Duration, now time.Time) int {
	state := r.stateOf(p)
	if !state.initialized || now.Sub(state.orderedAt) > boot+bootMargin {
		return 0
	}
	return min(max(state.orderedCount-serving, 0), state.bootingCount)
}

// RecordLoss records that a pool's endpoints were lost. Those that boot are lost with those that
// serve, so the order is repeated in the next run.
func (r *Reconciler) RecordLoss(p Pool) {
	state := r.stateOf(p)
	state.bootingCount = 0
	state.repeat = true
}

// Ordered returns the number of endpoints that a pool has at least by its orders, including failed
// ones, which may have arrived; ok is false if it is unknown.
func (r *Reconciler) Ordered(p Pool) (count int, ok bool) {
	state, ok := r.pools[p]
	if !ok || !state.initialized {
		return 0, false
	}
	return state.lowestSent, true
}

// Reconcile sends each order whose count differs from the last one sent, and repeats
// orders of which too few endpoints serve after their boot time. held is called right
// before each order. It returns the pools of which the cloud has no capacity.
func (r *Reconciler) Reconcile(ctx context.Context, orders []Order, serving func(Pool) int, boot time.Duration, now time.Time, held func() (lease.Grant, bool)) []Pool {
	var refused []Pool
	for _, order := range orders {
		grant, ok := held()
		if !ok {
			return refused
		}
		servingCount := serving(order.Pool())
		state := r.stateOf(order.Pool())
		state.adoptServing(servingCount, grant)
		count, due := state.nextCount(order, servingCount, boot, now)
		if !due {
			continue
		}
		order.Count = count
		err := r.sink.Order(ctx, grant, order)
		entry := r.log.Info()
		if err == nil {
			state.recordOrder(count, servingCount, now)
		} else {
			entry = r.log.Warn().Err(err)
			state.lowestSent = min(state.lowestSent, count)
			state.notBefore = now.Add(retryDelay)
			state.repeat = true
		}
		if errors.Is(err, ErrNoCapacity) {
			refused = append(refused, order.Pool())
			state.refusedAt = now
		}
		entry.Str("service", order.Service).Str("dc", order.DataCenter).Bool("reclaimable", order.Reclaimable).
			Int("count", count).Int("serving", servingCount).Int64("epoch", grant.Epoch).Msg("endpoints ordered")
	}
	return refused
}

// adoptServing takes the endpoints that serve as ordered, so that a new holder does not
// give up at once what an earlier holder ordered. The first holder of the lease has
// no predecessor and adopts nothing.
func (s *poolState) adoptServing(serving int, grant lease.Grant) {
	if !s.initialized && !grant.First {
		s.orderedCount, s.lowestSent, s.initialized = serving, serving, true
	}
}

// recordOrder records an acknowledged order.
func (s *poolState) recordOrder(count, serving int, now time.Time) {
	s.orderedCount, s.lowestSent, s.initialized, s.orderedAt = count, count, true, now
	s.bootingCount = max(count-serving, 0)
	s.repeat = false
	s.notBefore = now.Add(scaleUpInterval)
	s.surplusSince = time.Time{}
}

// nextCount returns the count to order now; ok is false if no order is due.
func (s *poolState) nextCount(order Order, serving int, boot time.Duration, now time.Time) (count int, ok bool) {
	if now.Before(s.notBefore) {
		return 0, false
	}
	if !s.initialized || order.Count > s.orderedCount {
		return order.Count, true
	}
	retained := max(order.Retain, order.Count)
	// The cloud does not replace reclaimed endpoints on its own, so the order is repeated.
	missing := serving < order.Count && (s.repeat || now.Sub(s.orderedAt) > boot+bootMargin)
	if retained >= s.orderedCount {
		s.surplusSince = time.Time{}
		return s.orderedCount, missing
	}
	if missing && serving <= retained {
		// A lower count gives up none of the endpoints that serve.
		return retained, true
	}
	if s.surplusSince.IsZero() {
		s.surplusSince = now
	}
	return retained, now.Sub(s.surplusSince) >= order.scaleDownDelay()
}
