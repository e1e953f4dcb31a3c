package autoscale

import (
	"math"
	"sort"

	"ironhollow/pkg/routetable"
)

// Demand is what a service has to carry.
type Demand struct {
	// Work is engine time asked for a second, over all entries.
	Work float64
	// Known is false until the traffic has been seen for a while: the need is
	// guessed from what was there then.
	Known bool
	// Found is how many endpoints there were at first.
	Found int
}

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
	// foundShare is the part of the endpoints found at first that is taken for
	// the need until the traffic is known.
	foundShare = 0.6
	// reserve is the part by which a data centre has more reclaimable endpoints
	// than its share of the need: they cost little, and after a reclaim none are
	// to be had for a while.
	reserve = 0.4
)

// Plan returns the orders for a service, and how many endpoints it needs. Each
// data centre keeps one on-demand endpoint, which no reclaim takes; the rest is
// reclaimable, so many that the loss of one data centre's leaves the need. What
// is missing of the need while none can be had is bought on demand, where it is
// cheapest, until they are back.
func Plan(service routetable.Service, demand Demand, supply Supply) ([]Order, int) {
	s := service.Scaling
	if s == nil || len(s.Prices) == 0 {
		return nil, 0
	}
	places := byPrice(s.Prices)
	need := max(int(math.Ceil(demand.Work/busy)), leastNeeded)
	if !demand.Known {
		need = max(need, int(foundShare*float64(demand.Found)))
	}
	kept := make(map[string]int, len(places))
	spread := max(len(places)-1, 1)
	each := max((need-len(places)+spread-1)/spread, 1)
	each = min(int(math.Ceil((1+reserve)*float64(each))), max(s.Most-1, 0))
	there, largest := 0, 0
	for _, place := range places {
		kept[place] = 1
		serving, soon := supply(place, true)
		reclaimable := min(serving+soon, each)
		there += 1 + reclaimable
		largest = max(largest, reclaimable)
	}
	afterLoss := int(math.Ceil(borne*float64(need))) - (there - largest)
	substitute(places, kept, max(need-there, afterLoss), s.Most)
	var orders []Order
	for _, place := range places {
		orders = append(orders,
			Order{service.Name, place, true, min(each, s.Most-kept[place])},
			Order{service.Name, place, false, kept[place]})
	}
	return orders, need
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
