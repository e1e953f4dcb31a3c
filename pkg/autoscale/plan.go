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
	// busy is the part of an endpoint's time that is planned to be used: above
	// it first tokens wait for others' prompts.
	busy = 0.45
	// leastNeeded is the fewest endpoints in all.
	leastNeeded = 8
	// borne is the part of the need that is to be there after another data
	// centre's reclaimable endpoints have gone, while none are to be had.
	borne = 0.7
	// guessShare is the part of the most endpoints allowed that is reclaimable
	// until the traffic is known: operators allow about twice what they reckon
	// with, and what is not there when a reclaim comes is not to be had for a while.
	guessShare = 0.65
	// reserve is the part by which a data centre has more reclaimable endpoints
	// than its share of the need: they cost little, and after a reclaim none are
	// to be had for a while.
	reserve = 0.4
)

// Plan returns the orders for a service, and how many endpoints it needs. The
// cheaper data centres keep an on-demand endpoint, which no reclaim takes; the rest is
// reclaimable, so many that the loss of one data centre's leaves the need. What
// is missing of the need while none can be had is bought on demand, where it is
// cheapest, until they are back and serve.
func Plan(service routetable.Service, demand Demand, supply Supply) ([]Order, int) {
	s := service.Scaling
	if s == nil || len(s.Prices) == 0 {
		return nil, 0
	}
	places := byPrice(s.Prices)
	need := max(int(math.Ceil(demand.Work/busy)), leastNeeded)
	each := reclaimableEach(s, demand, need, len(places))
	var coming, serving reclaimables
	for _, place := range places {
		there, soon := supply(place, true)
		coming.add(min(there+soon, each))
		serving.add(min(there, each))
	}
	least := leastOnDemand(len(places))
	bought := onDemand(places, least, coming.missing(need, least), s.Most)
	kept := onDemand(places, least, serving.missing(need, least), s.Most)
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

// reclaimableEach is how many reclaimable endpoints each data centre has.
func reclaimableEach(s *routetable.Scaling, demand Demand, need, places int) int {
	spread := max(places-1, 1)
	each := max((need-leastOnDemand(places)+spread-1)/spread, 1)
	each = int(math.Ceil((1 + reserve) * float64(each)))
	if !demand.Known {
		each = max(each, int(guessShare*float64(s.Most)))
	}
	return min(each, max(s.Most-1, 0))
}

// reclaimables counts reclaimable endpoints over the data centres.
type reclaimables struct{ all, largest int }

func (r *reclaimables) add(count int) {
	r.all += count
	r.largest = max(r.largest, count)
}

// missing is how many on-demand endpoints are missing beside the least: of the
// need, or of what is to be there after the next reclaim.
func (r *reclaimables) missing(need, least int) int {
	there := least + r.all
	afterLoss := int(math.Ceil(borne*float64(need))) - (there - r.largest)
	return max(need-there, afterLoss)
}

// leastOnDemand is how many on-demand endpoints there always are: one in each of
// the cheaper half of the data centres.
func leastOnDemand(places int) int { return (places + 1) / 2 }

// onDemand returns the on-demand endpoints of each place: the least, cheapest
// first, and the missing.
func onDemand(places []string, least, missing, most int) map[string]int {
	kept := make(map[string]int, len(places))
	for _, place := range places[:least] {
		kept[place] = 1
	}
	substitute(places, kept, missing, most)
	return kept
}

// substitute adds on-demand endpoints for the missing ones, the cheapest data
// centres first, evenly enough that none carries all of them.
func substitute(places []string, kept map[string]int, missing, most int) {
	for missing > 0 {
		before := missing
		for _, place := range places {
			if missing > 0 && kept[place] < most {
				kept[place]++
				missing--
			}
		}
		if missing == before {
			return
		}
	}
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
