// Package autoscale orders endpoints for raw services: how many of each class
// in each data centre. Plan is a function of what is known; Orderer sends what
// differs from it while this process holds the lease.
package autoscale

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/lease"
)

// ErrNoCapacity says that there are no such endpoints to be had at present.
var ErrNoCapacity = errors.New("autoscale: none to be had there now")

// Order sets the number of endpoints of one class of a service in a data centre.
type Order struct {
	Service, DataCenter string
	Reclaimable         bool
	Count               int
	// Retain is the number down to which endpoints may be given up, Count at least:
	// others that take their place may still boot.
	Retain int
}

// Pool is what an order is about.
type Pool struct {
	Service, DataCenter string
	Reclaimable         bool
}

// Pool returns what the order is about.
func (o Order) Pool() Pool { return Pool{o.Service, o.DataCenter, o.Reclaimable} }

// lowerWait returns how long a lower number must be wanted before it is ordered.
func (o Order) lowerWait() time.Duration {
	if o.Reclaimable {
		return lowerWait
	}
	return standInWait
}

// Sink takes orders; it sends each once.
type Sink interface {
	Order(ctx context.Context, grant lease.Grant, order Order) error
}

// Times between orders.
const (
	// retryWait follows an order that failed or found none left.
	retryWait = 2 * time.Second
	// raiseWait is the least time between two orders for one place: the need
	// grows in steps.
	raiseWait = 700 * time.Millisecond
	// lowerWait is how long a lower number must be wanted before it is ordered:
	// an endpoint that is given up loses its cache.
	lowerWait = 6 * time.Second
	// standInWait is the same for on-demand endpoints, which go once others serve in
	// their place: they cost several times as much.
	standInWait = 2 * time.Second
	// bootMargin is how long after their boot endpoints are looked for.
	bootMargin = 2500 * time.Millisecond
)

// Reconciler sends orders. It is used by one goroutine.
type Reconciler struct {
	sink   Sink
	log    *log.Logger
	places map[Pool]*placed
}

// placed is the state of one place.
type placed struct {
	// given is the last order acknowledged to this process, at givenAt. Fresh is
	// how many of them were not there then.
	given   int
	fresh   int
	known   bool
	givenAt time.Time
	// notBefore holds back a place whose last order failed.
	notBefore time.Time
	// lowerSince is since when less than given is wanted, zero if it is not.
	lowerSince time.Time
}

// NewReconciler returns an orderer.
func NewReconciler(sink Sink, logger *log.Logger) *Reconciler {
	return &Reconciler{sink: sink, log: logger, places: map[Pool]*placed{}}
}

// Reset drops what was ordered: another holder may have ordered since.
func (o *Reconciler) Reset() { clear(o.places) }

// ResetService drops what was ordered for a service: others may have replaced it.
func (o *Reconciler) ResetService(name string) {
	for place := range o.places {
		if place.Service == name {
			delete(o.places, place)
		}
	}
}

func (o *Reconciler) place(p Pool) *placed {
	state, ok := o.places[p]
	if !ok {
		state = &placed{}
		o.places[p] = state
	}
	return state
}

// Booting returns how many endpoints of a place were ordered and may still boot.
// Those that served and went since are not among them.
func (o *Reconciler) Booting(p Pool, serving int, boot time.Duration, now time.Time) int {
	state := o.place(p)
	if !state.known || now.Sub(state.givenAt) > boot+bootMargin {
		return 0
	}
	return min(max(state.given-serving, 0), state.fresh)
}

// Reconcile sends the orders that differ from what was given, and those of which
// too few serve. held is asked right before each call.
func (o *Reconciler) Reconcile(ctx context.Context, orders []Order, serving func(Pool) int, boot time.Duration, now time.Time, held func() (lease.Grant, bool)) {
	for _, order := range orders {
		grant, ok := held()
		if !ok {
			return
		}
		there := serving(order.Pool())
		state := o.place(order.Pool())
		state.inherit(there, grant)
		count, due := state.due(order, there, boot, now)
		if !due {
			continue
		}
		order.Count = count
		err := o.sink.Order(ctx, grant, order)
		line := o.log.Info()
		if err == nil {
			state.ordered(count, there, now)
		} else {
			line = o.log.Warn().Err(err)
			state.notBefore = now.Add(retryWait)
			state.givenAt = time.Time{}
		}
		line.Str("service", order.Service).Str("dc", order.DataCenter).Bool("reclaimable", order.Reclaimable).
			Int("count", count).Int("serving", there).Int64("epoch", grant.Epoch).Msg("endpoints ordered")
	}
}

// inherit takes what serves for the order of the holder before, so that nothing
// it ordered is given up at once. The first holder of all has none before it.
func (s *placed) inherit(serving int, grant lease.Grant) {
	if !s.known && !grant.First {
		s.given, s.known = serving, true
	}
}

// ordered notes an order that was acknowledged.
func (s *placed) ordered(count, serving int, now time.Time) {
	s.given, s.known, s.givenAt = count, true, now
	s.fresh = max(count-serving, 0)
	s.notBefore = now.Add(raiseWait)
	s.lowerSince = time.Time{}
}

// due returns the number to be ordered now; ok is false where none is.
func (s *placed) due(order Order, serving int, boot time.Duration, now time.Time) (count int, ok bool) {
	if now.Before(s.notBefore) {
		return 0, false
	}
	if !s.known || order.Count > s.given {
		return order.Count, true
	}
	keep := max(order.Retain, order.Count)
	if keep >= s.given {
		s.lowerSince = time.Time{}
		// Those that were reclaimed are not replaced unasked.
		return s.given, serving < order.Count && now.Sub(s.givenAt) > boot+bootMargin
	}
	if s.lowerSince.IsZero() {
		s.lowerSince = now
	}
	return keep, now.Sub(s.lowerSince) >= order.lowerWait()
}
