package autoscale

import (
	"math"
	"sort"

	"ironhollow/pkg/routetable"
)

// Supply returns how many endpoints of a class serve in a data centre, and how many
// were ordered and may still be booting.
type Supply func(dataCenter string, reclaimable bool) (serving, booting int)

// Parameters of the plan.
const (
	// fullPriceUtilization is the load per endpoint, in engine seconds a second, up to
	// which one more endpoint at the full price costs more than it saves in late first
	// tokens.
	fullPriceUtilization = 0.8
	// utilizationPriceExponent relates the planned utilization to the price. Late first
	// tokens grow with about the third power of the utilization, so the utilization at
	// which one more endpoint saves its price grows with the fourth root of the price.
	utilizationPriceExponent = 0.25
	// shareAfterLoss is the share of the need that must remain after another data
	// centre's reclaimable endpoints are lost while no more of them are available.
	shareAfterLoss = 0.85
	// unmeasuredShare is the share of the allowed endpoints that is ordered as
	// reclaimable until the load is measured: operators allow about twice what they
	// expect to need, and endpoints missing at a reclaim are unavailable for a while.
	unmeasuredShare = 0.65
	// toleratedLosses is how many data centres may lose their reclaimable endpoints at
	// once while the rest still covers the need: reclaims hit one data centre after
	// another, and after each one no endpoints are available anywhere for a while.
	toleratedLosses = 2
)

// Need is the number of endpoints that a service needs at the full price, by resource.
type Need struct {
	// EngineTime, Slots and Memory cover the load. Slots and Memory are 0 where they are no
	// constraint.
	EngineTime, Slots, Memory int
	// Refused is the number of endpoints with which no work would be refused for lack of room,
	// 0 if no work is refused.
	Refused int
}

// Resources returns the number of endpoints whose resources cover the load.
func (n Need) Resources() int { return max(n.EngineTime, n.Slots, n.Memory) }

// Total returns the number of endpoints needed.
func (n Need) Total() int { return max(n.Resources(), n.Refused) }

// NeedOf returns the need of a service.
func NeedOf(service routetable.Service, demand Demand) Need {
	need := Need{
		EngineTime: endpointsNeeded(demand.Load, 1),
		Slots:      endpointsFor(demand.SlotTime, service.Slots),
		Memory:     endpointsFor(demand.TokenTime, service.MemoryTokens),
		Refused:    int(math.Ceil(demand.Refused)),
	}
	if service.Slots > 0 {
		// Services without slots are not bounded, as the work of their requests is not known.
		need.Refused = min(need.Refused, maxRefusedRatio*need.Resources())
	}
	return need
}

// maxRefusedRatio bounds the need that follows from refusals, relative to that by resources.
// Engines that are slow at times have up to twice the estimated work; refusals while more than
// twice the need serve have other causes, such as bursts that are shorter than a boot time.
const maxRefusedRatio = 2

// endpointsFor returns how many endpoints hold an amount of a resource at the utilization
// limit, given the capacity of each; 0 if the capacity is not known.
func endpointsFor(amount float64, capacity int) int {
	if capacity <= 0 {
		return 0
	}
	return int(math.Ceil(amount / (fullPriceUtilization * float64(capacity))))
}

// endpointsNeeded returns how many endpoints it pays to run for a load, at a price
// relative to the full price.
func endpointsNeeded(load, price float64) int {
	return max(int(math.Ceil(load/(fullPriceUtilization*math.Pow(price, utilizationPriceExponent)))), 1)
}

// Plan returns the orders for a service and the number of endpoints it needs.
// Reclaimable endpoints are spread so that those left after the loss of some data
// centres cover the need at the reclaimable price. While fewer are available than the
// need at the full price, on-demand endpoints fill the gap, cheapest data centres first,
// and are retained until the reclaimable ones that replace them serve. During a wave of
// losses as many on-demand endpoints are ordered as are worth their price.
func Plan(service routetable.Service, demand Demand, supply Supply, outlook Outlook) ([]Order, int) {
	s := service.Scaling
	if s == nil || len(s.Prices) == 0 {
		return nil, 0
	}
	dataCenters := dataCentersByPrice(s.Prices)
	need := NeedOf(service, demand)
	perDataCenter := reclaimablePerDataCenter(s, demand, need, len(dataCenters))
	var withBooting, serving reclaimableTotals
	orderable := 0
	for _, dataCenter := range dataCenters {
		servingCount, booting := supply(dataCenter, true)
		withBooting.add(min(servingCount+booting, perDataCenter))
		serving.add(min(servingCount, perDataCenter))
		if outlook.NoReclaimable[dataCenter] {
			orderable += min(servingCount+booting, perDataCenter)
		} else {
			orderable += perDataCenter
		}
	}
	// Reclaimable endpoints that are ordered now serve as soon as on-demand ones would.
	refused := need.Refused - orderable
	onDemand := newPlacement(s, dataCenters, supply, outlook, need.Refused > 0)
	ordered := onDemand.place(max(withBooting.onDemand(need.Resources(), outlook), refused))
	retained := onDemand.place(max(serving.onDemand(need.Resources(), outlook), refused))
	var orders []Order
	for _, dataCenter := range dataCenters {
		retain := max(ordered[dataCenter], retained[dataCenter])
		// Reclaimable endpoints return to where on-demand ones are only once those are gone.
		reclaimable := max(min(perDataCenter, s.MaxEndpoints-max(retain, onDemand.existing[dataCenter])), 0)
		orders = append(orders,
			Order{service.Name, dataCenter, true, reclaimable, reclaimable},
			Order{service.Name, dataCenter, false, ordered[dataCenter], retain})
	}
	return orders, need.Total()
}

// reclaimablePerDataCenter returns the number of reclaimable endpoints of each data
// centre. Fewer losses are tolerated where the spare endpoints for them would make the
// reclaimable ones cost more than the need on demand; at the full price there are none.
func reclaimablePerDataCenter(s *routetable.Scaling, demand Demand, full Need, dataCenters int) int {
	// Spare slots and memory do not shorten the time to the first token as spare engine time
	// does, so the need of them does not grow as the price falls.
	need := max(endpointsNeeded(demand.Load, max(s.ReclaimablePrice, minPrice)), full.Slots, full.Memory)
	losses := min(toleratedLosses, dataCenters-1)
	for losses > 0 && s.ReclaimablePrice*float64(dataCenters) > float64(dataCenters-losses) {
		losses--
	}
	if s.ReclaimablePrice >= 1 {
		return 0
	}
	count := (need + dataCenters - losses - 1) / (dataCenters - losses)
	if !demand.Measured {
		count = max(count, reclaimableBeforeMeasurement(s, demand, dataCenters-losses))
	}
	// The need by refusals is spread over all data centres, without spare endpoints for losses.
	count = max(count, (full.Refused+dataCenters-1)/dataCenters)
	return min(max(count, s.MinEndpoints), s.MaxEndpoints)
}

// reclaimableBeforeMeasurement returns the number of reclaimable endpoints of each data
// centre until the load is measured, such that the given number of surviving data centres
// can serve it: a share of what the operator allows, but no more than teams that use the
// whole of their limits need.
func reclaimableBeforeMeasurement(s *routetable.Scaling, demand Demand, surviving int) int {
	allowed := int(unmeasuredShare * float64(s.MaxEndpoints))
	if demand.MaxLoad <= 0 {
		return allowed
	}
	need := endpointsNeeded(demand.MaxLoad, max(s.ReclaimablePrice, minPrice))
	return min(allowed, (need+surviving-1)/surviving)
}

// minPrice bounds the need for endpoints that cost almost nothing.
const minPrice = 0.05

// reclaimableTotals sums reclaimable endpoints over the data centres.
type reclaimableTotals struct {
	total, largest int
	counts         []int
}

func (r *reclaimableTotals) add(count int) {
	r.total += count
	r.largest = max(r.largest, count)
	r.counts = append(r.counts, count)
}

// onDemand returns how many on-demand endpoints are wanted: those missing to cover the need
// now, or shareAfterLoss of it after the next reclaim, or those worth their price during a
// wave of losses, whichever is most.
func (r *reclaimableTotals) onDemand(need int, outlook Outlook) int {
	afterLoss := int(math.Ceil(shareAfterLoss*float64(need))) - (r.total - r.largest)
	return max(need-r.total, afterLoss, cover(need, r.counts, outlook))
}

// dataCentersByPrice returns the data centres, cheapest first.
func dataCentersByPrice(prices map[string]float64) []string {
	names := make([]string, 0, len(prices))
	for name := range prices {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if prices[names[i]] != prices[names[j]] {
			return prices[names[i]] < prices[names[j]]
		}
		return names[i] < names[j]
	})
	return names
}
