// Package autoscale orders endpoints for raw services: how many of each class
// in each data centre. The plan is a function of what is known; Orderer sends
// what differs from it while this process holds the lease.
package autoscale

import (
	"context"
	"errors"
	"math"
	"sort"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/lease"
	"ironhollow/pkg/routetable"
)

// ErrNoneLeft says that there are no such endpoints to be had at present.
var ErrNoneLeft = errors.New("autoscale: none to be had there now")

// Order sets the number of endpoints of one class of a service in a data centre.
type Order struct {
	Service, DataCenter string
	Reclaimable         bool
	Count               int
}

// place is what an order is about.
type place struct {
	service, dataCenter string
	reclaimable         bool
}

func (o Order) place() place { return place{o.Service, o.DataCenter, o.Reclaimable} }

// Demand is what a service has to carry.
type Demand struct {
	Service string
	// Running is requests under way over all entries.
	Running float64
}

// Parameters of the plan.
const (
	// runningEach is how many requests under way an engine carries in time.
	runningEach = 8.0
	// leastEach is the fewest reclaimable endpoints in each data centre, so that
	// the loss of a whole one's leaves four fifths of all.
	leastEach = 4
)

// Plan returns the orders for a service: one on-demand endpoint in each data
// centre, which no reclaim takes, and the rest reclaimable, spread evenly, so
// that the loss of a data centre's leaves enough for the demand.
func Plan(service routetable.Service, demand Demand) []Order {
	s := service.Scaling
	if s == nil || len(s.Prices) == 0 {
		return nil
	}
	dataCenters := make([]string, 0, len(s.Prices))
	for name := range s.Prices {
		dataCenters = append(dataCenters, name)
	}
	sort.Strings(dataCenters)
	kept := max(s.Least, 1)
	total := int(math.Ceil(demand.Running / runningEach))
	// One data centre's reclaimable ones may be away.
	spread := max(len(dataCenters)-1, 1)
	each := max((total-kept*len(dataCenters)+spread-1)/spread, leastEach)
	each = min(each, max(s.Most-kept, 0))
	var orders []Order
	for _, name := range dataCenters {
		orders = append(orders,
			Order{service.Name, name, true, each},
			Order{service.Name, name, false, kept})
	}
	return orders
}

// Sink takes orders; it sends each once.
type Sink interface {
	Order(ctx context.Context, grant lease.Grant, order Order) error
}

// Waits between orders.
const (
	// retryWait follows an order that failed or found none left.
	retryWait = 2 * time.Second
	// lowerWait is how long a lower number must be wanted before it is ordered.
	lowerWait = 6 * time.Second
)

// Orderer sends orders. It is used by one goroutine.
type Orderer struct {
	sink Sink
	log  *log.Logger
	// given is the last order acknowledged to this process, by place.
	given map[place]int
	// notBefore holds back places whose last order failed.
	notBefore map[place]time.Time
	// lowerSince is since when less than given is wanted.
	lowerSince map[place]time.Time
}

// NewOrderer returns an orderer.
func NewOrderer(sink Sink, logger *log.Logger) *Orderer {
	return &Orderer{sink: sink, log: logger, given: map[place]int{}, notBefore: map[place]time.Time{}, lowerSince: map[place]time.Time{}}
}

// Forget drops what was ordered: another holder may have ordered since.
func (o *Orderer) Forget() { clear(o.given) }

// Step sends the orders that differ from what was given. there returns how many
// endpoints of a place serve. held is asked right before each call.
func (o *Orderer) Step(ctx context.Context, orders []Order, there func(Order) int, now time.Time, held func() (lease.Grant, bool)) {
	for _, order := range orders {
		p := order.place()
		if !o.due(order, there, now) {
			continue
		}
		grant, ok := held()
		if !ok {
			return
		}
		err := o.sink.Order(ctx, grant, order)
		line := o.log.Info()
		if err != nil {
			line = o.log.Warn().Err(err)
			o.notBefore[p] = now.Add(retryWait)
		} else {
			o.given[p] = order.Count
			o.notBefore[p] = now.Add(retryWait)
		}
		line.Str("service", order.Service).Str("dc", order.DataCenter).Bool("reclaimable", order.Reclaimable).
			Int("count", order.Count).Int64("epoch", grant.Epoch).Msg("endpoints ordered")
	}
}

// due reports whether an order is to be sent now.
func (o *Orderer) due(order Order, there func(Order) int, now time.Time) bool {
	p := order.place()
	if now.Before(o.notBefore[p]) {
		return false
	}
	given, known := o.given[p]
	if !known || order.Count > given {
		delete(o.lowerSince, p)
		return !known || order.Count != given
	}
	if order.Count == given {
		delete(o.lowerSince, p)
		// Reclaimed ones are not replaced on their own.
		return false
	}
	since, waiting := o.lowerSince[p]
	if !waiting {
		o.lowerSince[p] = now
		return false
	}
	return now.Sub(since) >= lowerWait
}
