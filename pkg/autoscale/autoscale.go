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

// ErrNoneLeft says that there are no such endpoints to be had at present.
var ErrNoneLeft = errors.New("autoscale: none to be had there now")

// Order sets the number of endpoints of one class of a service in a data centre.
type Order struct {
	Service, DataCenter string
	Reclaimable         bool
	Count               int
}

// Place is what an order is about.
type Place struct {
	Service, DataCenter string
	Reclaimable         bool
}

// Place returns what the order is about.
func (o Order) Place() Place { return Place{o.Service, o.DataCenter, o.Reclaimable} }

// Sink takes orders; it sends each once.
type Sink interface {
	Order(ctx context.Context, grant lease.Grant, order Order) error
}

// Times between orders.
const (
	// retryWait follows an order that failed or found none left.
	retryWait = 2 * time.Second
	// lowerWait is how long a lower number must be wanted before it is ordered:
	// an endpoint that is given up loses its cache.
	lowerWait = 6 * time.Second
	// bootMargin is how long after their boot endpoints are looked for.
	bootMargin = 2500 * time.Millisecond
)

// Orderer sends orders. It is used by one goroutine.
type Orderer struct {
	sink   Sink
	log    *log.Logger
	places map[Place]*placed
}

// placed is the state of one place.
type placed struct {
	// given is the last order acknowledged to this process, at givenAt.
	given   int
	known   bool
	givenAt time.Time
	// notBefore holds back a place whose last order failed.
	notBefore time.Time
	// lowerSince is since when less than given is wanted, zero if it is not.
	lowerSince time.Time
}

// NewOrderer returns an orderer.
func NewOrderer(sink Sink, logger *log.Logger) *Orderer {
	return &Orderer{sink: sink, log: logger, places: map[Place]*placed{}}
}

// Forget drops what was ordered: another holder may have ordered since.
func (o *Orderer) Forget() { clear(o.places) }

func (o *Orderer) place(p Place) *placed {
	state, ok := o.places[p]
	if !ok {
		state = &placed{}
		o.places[p] = state
	}
	return state
}

// Soon returns how many endpoints of a place were ordered and may still boot.
func (o *Orderer) Soon(p Place, serving int, boot time.Duration, now time.Time) int {
	state := o.place(p)
	if !state.known || now.Sub(state.givenAt) > boot+bootMargin {
		return 0
	}
	return max(state.given-serving, 0)
}

// Step sends the orders that differ from what was given, and those of which
// too few serve. held is asked right before each call.
func (o *Orderer) Step(ctx context.Context, orders []Order, serving func(Place) int, boot time.Duration, now time.Time, held func() (lease.Grant, bool)) {
	for _, order := range orders {
		state := o.place(order.Place())
		if !state.due(order.Count, serving(order.Place()), boot, now) {
			continue
		}
		grant, ok := held()
		if !ok {
			return
		}
		err := o.sink.Order(ctx, grant, order)
		state.notBefore = now.Add(retryWait)
		line := o.log.Info()
		if err == nil {
			state.given, state.known, state.givenAt = order.Count, true, now
			state.lowerSince = time.Time{}
		} else {
			line = o.log.Warn().Err(err)
			state.givenAt = time.Time{}
		}
		line.Str("service", order.Service).Str("dc", order.DataCenter).Bool("reclaimable", order.Reclaimable).
			Int("count", order.Count).Int("serving", serving(order.Place())).Int64("epoch", grant.Epoch).Msg("endpoints ordered")
	}
}

// due reports whether a number is to be ordered now.
func (s *placed) due(count, serving int, boot time.Duration, now time.Time) bool {
	if now.Before(s.notBefore) {
		return false
	}
	if !s.known || count > s.given {
		return true
	}
	if count == s.given {
		s.lowerSince = time.Time{}
		// Those that were reclaimed are not replaced unasked.
		return serving < count && now.Sub(s.givenAt) > boot+bootMargin
	}
	if s.lowerSince.IsZero() {
		s.lowerSince = now
	}
	return now.Sub(s.lowerSince) >= lowerWait
}
