package autoscale

import (
	"math"
	"sort"

	"ironhollow/pkg/routetable"
)

// Supply returns how many endpoints of a class serve in a data centre, and how
// many were ordered and may be there soon.
type Supply func(dataCenter string, reclaimable bool) (serving, soon int)

// Parameters of the plan.
const (
	// busyAtFullPrice is the engine time asked for per endpoint up to which an
	// endpoint at the full price is not worth its money: the next one saves less in
	// late first tokens than it costs.
	busyAtFullPrice = 0.8
	// busyExponent says how the planned use falls with the price. Late first tokens
	// grow with about the third power of the use, so that what one more endpoint
	// saves is worth its price at a use that grows with the price's fourth root.
	busyExponent = 0.25
	// borne is the part of the need that is to be there after another data
	// centre's reclaimable endpoints have gone, while none are to be had.
	borne = 0.85
	// guessShare is the part of the most endpoints allowed that is reclaimable
	// until the traffic is known: operators allow about twice what they reckon
	// with, and what is not there when a reclaim comes is not to be had for a while.
	guessShare = 0.65
	// mostLost is how many data centres' reclaimable endpoints may be away at once
	// without the need being touched: reclaims come to one data centre after the
	// other, and after each none are to be had anywhere for a while.
	mostLost = 2
)

// needed returns how many endpoints of a price, relative to the full one, a demand
// is worth.
func needed(work, price float64) int {
	return max(int(math.Ceil(work/(busyAtFullPrice*math.Pow(price, busyExponent)))), 1)
}

// Plan returns the orders for a service, and how many endpoints it needs at least.
// Reclaimable endpoints are so many that the loss of some data centres' leaves what
// they are worth at their price. What is missing of the need at the full price while
// none can be had is bought on demand, where it is cheapest, until they are back and
// serve.
func Plan(service routetable.Service, demand Demand, supply Supply) ([]Order, int) {
	s := service.Scaling
	if s == nil || len(s.Prices) == 0 {
		return nil, 0
	}
	places := byPrice(s.Prices)
	need := needed(demand.Load, 1)
	each := reclaimableEach(s, demand, len(places))
	var coming, serving reclaimables
	for _, place := range places {
		there, soon := supply(place, true)
		coming.add(min(there+soon, each))
		serving.add(min(there, each))
	}
	bought := onDemand(places, coming.missing(need), s.Most)
	kept := onDemand(places, serving.missing(need), s.Most)
	var orders []Order
	for _, place := range places {
		keep := max(bought[place], kept[place])
		reclaimable := min(each, s.Most-keep)
		orders = append(orders,
			Order{service.Name, place, true, reclaimable, reclaimable},
			Order{service.Name, place, false, bought[place], keep})
	}
	return orders, need
}

// reclaimableEach is how many reclaimable endpoints each data centre has: none
// where those that must be there for the losses cost more than the need on demand.
func reclaimableEach(s *routetable.Scaling, demand Demand, places int) int {
	need := needed(demand.Load, max(s.ReclaimablePrice, leastPrice))
	lost := min(mostLost, places-1)
	for lost > 0 && s.ReclaimablePrice*float64(places) > float64(places-lost) {
		lost--
	}
	if s.ReclaimablePrice >= 1 {
		return 0
	}
	each := (need + places - lost - 1) / (places - lost)
	if !demand.Measured {
		each = max(each, guess(s, demand, places-lost))
	}
	return min(max(each, s.Least), s.Most)
}

// guess is how many reclaimable endpoints each data centre has until the traffic is known,
// where some of them must carry all: a part of what the operator allows, but no more than
// teams that use the whole of their limits need.
func guess(s *routetable.Scaling, demand Demand, carrying int) int {
	allowed := int(guessShare * float64(s.Most))
	if demand.MaxLoad <= 0 {
		return allowed
	}
	need := needed(demand.MaxLoad, max(s.ReclaimablePrice, leastPrice))
	return min(allowed, (need+carrying-1)/carrying)
}

// leastPrice bounds the need for endpoints that cost next to nothing.
const leastPrice = 0.05

// reclaimables counts reclaimable endpoints over the data centres.
type reclaimables struct{ all, largest int }

func (r *reclaimables) add(count int) {
	r.all += count
	r.largest = max(r.largest, count)
}

// missing is how many on-demand endpoints are missing: of the need, or of what is
// to be there after the next reclaim.
func (r *reclaimables) missing(need int) int {
	afterLoss := int(math.Ceil(borne*float64(need))) - (r.all - r.largest)
	return max(need-r.all, afterLoss)
}

// onDemand returns the on-demand endpoints of each place. Those in the cheaper half
// of the data centres come first, so that the loss of one takes half of them at
// most: evenly over all they cost 0.05 of worth more on a day in which they carry
// all for 25 s.
func onDemand(places []string, missing, most int) map[string]int {
	kept := make(map[string]int, len(places))
	rest := spread(places[:(len(places)+1)/2], kept, missing, most)
	spread(places, kept, rest, most)
	return kept
}

// spread adds endpoints evenly, cheapest data centre first, and returns how many
// found no room.
func spread(places []string, kept map[string]int, missing, most int) int {
	for missing > 0 {
		before := missing
		for _, place := range places {
			if missing > 0 && kept[place] < most {
				kept[place]++
				missing--
			}
		}
		if missing == before {
			return missing
		}
	}
	return 0
}

// byPrice returns the data centres, cheapest first.
func byPrice(prices map[string]float64) []string {
	places := make([]string, 0, len(prices))
	for name := range prices {
		places = append(places, name)
	}
	sort.Slice(places, func(i, j int) bool {
		if prices[places[i]] != prices[places[j]] {
			return prices[places[i]] < prices[places[j]]
		}
		return places[i] < places[j]
	})
	return places
}
