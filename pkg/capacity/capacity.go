// Package capacity decides how many hosts to run, in which data centres, of which class
// and on which terms. It minimizes the cost under two conditions: the loss of any one data
// centre leaves enough capacity for interactive callers, and work that can wait meets its
// deadlines.
package capacity

import (
	"math"
	"sort"
	"time"
)

// Offer is one kind of host that can be bought.
type Offer struct {
	DataCenter, Class string
	Reclaimable       bool
	// HourlyPrice is the price of one host for an hour.
	HourlyPrice float64
	// TokenRate is the tokens a second that one host generates within the latency target.
	TokenRate float64
	// Max bounds the hosts bought. Min is the number kept in any case.
	Min, Max int
	// Running is the number of hosts already bought. Running reclaimable hosts are kept
	// before others are bought, as prices differ by less than the start of a host costs.
	Running int
	// HazardPerHour is the expected number of reclaims of one host an hour.
	HazardPerHour float64
	// RefusedUntil is when the offer may be tried again after a refused start.
	RefusedUntil time.Time
}

// offerKey identifies an offer.
type offerKey struct {
	dataCenter, class string
	reclaimable       bool
}

func (o Offer) key() offerKey { return offerKey{o.DataCenter, o.Class, o.Reclaimable} }

// Demand is the requested capacity, in tokens a second.
type Demand struct {
	// Interactive is for callers who wait for their answers. Deferrable is the least
	// rate at which work that can wait meets its deadlines (see DeferrableRate).
	Interactive, Deferrable float64
}

// Costs are the costs of reclaims.
type Costs struct {
	// PerReclaim is the cost of one host's reclaim on top of its price: that of the
	// tokens computed again and of the time until a new host serves.
	PerReclaim float64
}

// HostCount is the number of hosts of one offer.
type HostCount struct {
	Offer Offer
	Hosts int
}

// Factors of the mean demand, and the weight of a shortfall.
const (
	// meanHeadroom covers all demand, which is known only with a lag.
	meanHeadroom = 1.1
	// interactiveHeadroom covers interactive demand after the loss of a data centre: its
	// bursts reach twice the mean, and queues are short only while slots are idle.
	interactiveHeadroom = 2.4
	// onDemandHeadroom is the same for on-demand hosts, which cost a multiple: it covers
	// the mean but not the bursts, until reclaimable hosts are available again.
	onDemandHeadroom = 1.2
	// meanShortfallWeight is the weight of capacity that is missing for the mean demand
	// after a loss, relative to capacity that is missing for bursts.
	meanShortfallWeight = 1000
)

// requiredCapacity returns the capacity to provide if the data centre with the most
// capacity has largest: enough for all demand, and enough for interactive demand without
// that data centre. No on-demand hosts are bought for deferrable demand.
func (d Demand) requiredCapacity(largest float64, reclaimable bool) float64 {
	if !reclaimable {
		return onDemandHeadroom*d.Interactive + largest
	}
	return math.Max(interactiveHeadroom*d.Interactive+largest, meanHeadroom*(d.Interactive+d.Deferrable))
}

// effectivePrice returns the hourly price with the expected cost of reclaims.
func (o Offer) effectivePrice(c Costs) float64 {
	if !o.Reclaimable {
		return o.HourlyPrice
	}
	return o.HourlyPrice + o.HazardPerHour*c.PerReclaim
}

// pricePerTokenRate returns the effective price per token a second, by which offers are
// sorted.
func (o Offer) pricePerTokenRate(c Costs) float64 { return o.effectivePrice(c) / o.TokenRate }

// Plan returns the hosts to have. It tries several bounds on the capacity of one data
// centre. Within a bound b, the cheapest hosts are chosen, up to b in each data centre,
// until their sum is the interactive demand plus b, so that enough is left after the loss
// of the largest data centre. The bound with the lowest cost is used. Demand that the
// offers cannot meet is met as far as possible.
func Plan(offers []Offer, d Demand, c Costs, now time.Time) []HostCount {
	candidates := availableOffers(offers, now)
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].pricePerTokenRate(c) < candidates[j].pricePerTokenRate(c) })
	var best []HostCount
	bestShortfall, bestCost := math.Inf(1), math.Inf(1)
	for _, bound := range capacityBounds(candidates, d) {
		counts, shortfall := fillWithinBound(candidates, bound, d)
		cost := totalCost(counts, c)
		if shortfall < bestShortfall-1e-9 || (shortfall < bestShortfall+1e-9 && cost < bestCost) {
			best, bestShortfall, bestCost = counts, shortfall, cost
		}
	}
	return best
}

// availableOffers leaves out offers that are in backoff after a refused start, except for
// their minimum of hosts.
func availableOffers(offers []Offer, now time.Time) []Offer {
	candidates := make([]Offer, 0, len(offers))
	for _, o := range offers {
		if now.Before(o.RefusedUntil) {
			o.Max = o.Min
		}
		if o.Max > 0 && o.TokenRate > 0 {
			candidates = append(candidates, o)
		}
	}
	return candidates
}

// capacityBounds returns the capacities of one data centre to try: multiples of the
// smallest host's.
func capacityBounds(offers []Offer, d Demand) []float64 {
	if len(offers) == 0 {
		return nil
	}
	step := math.Inf(1)
	for _, o := range offers {
		step = math.Min(step, o.TokenRate)
	}
	steps := int(math.Ceil(math.Max(interactiveHeadroom*d.Interactive, meanHeadroom*(d.Interactive+d.Deferrable))/step)) + 1
	bounds := make([]float64, 0, steps)
	for i := 1; i <= steps; i++ {
		bounds = append(bounds, float64(i)*step)
	}
	return bounds
}

// fillWithinBound chooses hosts within a bound and returns them with the weighted
// shortfall of capacity.
func fillWithinBound(offers []Offer, bound float64, d Demand) ([]HostCount, float64) {
	counts := make([]HostCount, len(offers))
	byDataCenter := map[string]float64{}
	total := 0.0
	for i, o := range offers {
		counts[i] = HostCount{o, o.Min}
		byDataCenter[o.DataCenter] += float64(o.Min) * o.TokenRate
		total += float64(o.Min) * o.TokenRate
	}
	required := func(reclaimable bool) float64 {
		largest := 0.0
		for _, capacity := range byDataCenter {
			largest = math.Max(largest, capacity)
		}
		return d.requiredCapacity(largest, reclaimable)
	}
	add := func(i, limit int) {
		o := counts[i].Offer
		for counts[i].Hosts < limit && total < required(o.Reclaimable) && byDataCenter[o.DataCenter]+o.TokenRate <= bound+1e-9 {
			counts[i].Hosts++
			byDataCenter[o.DataCenter] += o.TokenRate
			total += o.TokenRate
		}
	}
	for i, n := range counts {
		if n.Offer.Reclaimable {
			add(i, min(n.Offer.Running, n.Offer.Max))
		}
	}
	for i, n := range counts {
		add(i, n.Offer.Max)
	}
	return counts, math.Max(0, required(false)-total)*meanShortfallWeight + math.Max(0, required(true)-total)
}

func totalCost(counts []HostCount, c Costs) float64 {
	cost := 0.0
	for _, n := range counts {
		cost += float64(n.Hosts) * n.Offer.effectivePrice(c)
	}
	return cost
}

// SpreadEvenly is a baseline for Plan: reclaimable hosts only, as many as the demand needs,
// distributed evenly over all data centres.
func SpreadEvenly(offers []Offer, d Demand) []HostCount {
	counts := make([]HostCount, len(offers))
	total := 0.0
	for i, o := range offers {
		counts[i] = HostCount{o, o.Min}
		total += float64(o.Min) * o.TokenRate
	}
	for added := true; added && total < meanHeadroom*(d.Interactive+d.Deferrable); {
		added = false
		for i, o := range offers {
			if o.Reclaimable && counts[i].Hosts < o.Max && total < meanHeadroom*(d.Interactive+d.Deferrable) {
				counts[i].Hosts++
				total += o.TokenRate
				added = true
			}
		}
	}
	return counts
}

// CheapestFirst is a baseline for Plan: reclaimable hosts only, those with the lowest price
// for their token rate first.
func CheapestFirst(offers []Offer, d Demand) []HostCount {
	sorted := append([]Offer(nil), offers...)
	sort.SliceStable(sorted, func(i, j int) bool {
		return sorted[i].HourlyPrice/sorted[i].TokenRate < sorted[j].HourlyPrice/sorted[j].TokenRate
	})
	total := 0.0
	var counts []HostCount
	for _, o := range sorted {
		n := HostCount{o, o.Min}
		total += float64(o.Min) * o.TokenRate
		for o.Reclaimable && n.Hosts < o.Max && total < meanHeadroom*(d.Interactive+d.Deferrable) {
			n.Hosts++
			total += o.TokenRate
		}
		counts = append(counts, n)
	}
	return counts
}
