// Package capacity decides how many hosts to have, where, of which class and
// on which terms: at the least cost at which the loss of any one data centre
// still leaves enough for the callers who wait at a counter, and at which work
// that can wait meets its deadlines.
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
	// HourlyPrice is for one host an hour.
	HourlyPrice float64
	// TokenRate is tokens a second that one host gives within the latency target.
	TokenRate float64
	// Max bounds the hosts bought, Min those kept in any case.
	Min, Max int
	// Running is how many there are: reclaimable hosts that are there are kept
	// before others are bought, since prices differ by less than a start costs.
	Running int
	// HazardPerHour is reclaims expected for one host an hour.
	HazardPerHour float64
	// RefusedUntil is when the offer may be tried again after a refusal.
	RefusedUntil time.Time
}

// key identifies an offer.
type key struct {
	dataCenter, class string
	reclaimable       bool
}

func (o Offer) key() key { return key{o.DataCenter, o.Class, o.Reclaimable} }

// Demand is what is asked for, in tokens a second.
type Demand struct {
	// Interactive is for callers who wait, Deferrable the least rate at which work
	// that can wait meets its deadlines (see Deferred).
	Interactive, Deferrable float64
}

// Costs turn a reclaim into money.
type Costs struct {
	// PerReclaim is what one host's reclaim costs beside its price: tokens
	// computed again and the time a new host takes to serve, priced.
	PerReclaim float64
}

// HostCount is how many hosts of one offer to have.
type HostCount struct {
	Offer Offer
	Hosts int
}

// Room above the mean demand.
const (
	// headroom is for demand that is only known with a lag.
	headroom = 1.1
	// counterRoom is for callers who wait, after a loss: their bursts go to
	// twice the mean, and queues are short only where slots are idle.
	counterRoom = 2.4
	// dearRoom is the same as far as it is bought on demand, at a multiple of
	// the price: enough for the mean, not for the bursts, until reclaimable
	// hosts are to be had again.
	dearRoom = 1.2
	// shortIsWorse weighs capacity that is missing for the mean demand after a
	// loss against capacity that is missing for bursts.
	shortIsWorse = 1000
)

// need is the capacity a demand asks for while the largest data centre holds
// largest: enough for all, and enough for callers who wait without it. Work
// that can wait is not bought for on demand.
func (d Demand) need(largest float64, reclaimable bool) float64 {
	if !reclaimable {
		return dearRoom*d.Interactive + largest
	}
	return math.Max(counterRoom*d.Interactive+largest, headroom*(d.Interactive+d.Deferrable))
}

// effective is an offer's price with its reclaims.
func (o Offer) effective(c Costs) float64 {
	if !o.Reclaimable {
		return o.HourlyPrice
	}
	return o.HourlyPrice + o.HazardPerHour*c.PerReclaim
}

// perToken orders offers: the price of a token a second.
func (o Offer) perToken(c Costs) float64 { return o.effective(c) / o.TokenRate }

// Plan returns the hosts to have. It tries each bound on the capacity of one
// data centre: under a bound b, hosts are taken cheapest first with at most b
// in each data centre until their sum is the counter demand plus b, so that
// the loss of the largest leaves enough; the cheapest bound wins. Demand that
// can't be met is met as far as the offers go.
func Plan(offers []Offer, d Demand, c Costs, now time.Time) []HostCount {
	open := available(offers, now)
	sort.SliceStable(open, func(i, j int) bool { return open[i].perToken(c) < open[j].perToken(c) })
	var best []HostCount
	bestShort, bestCost := math.Inf(1), math.Inf(1)
	for _, bound := range bounds(open, d) {
		counts, short := fill(open, bound, d)
		cost := costOf(counts, c)
		if short < bestShort-1e-9 || (short < bestShort+1e-9 && cost < bestCost) {
			best, bestShort, bestCost = counts, short, cost
		}
	}
	return best
}

// available leaves out offers that were refused lately, but for the hosts that
// are kept in any case.
func available(offers []Offer, now time.Time) []Offer {
	open := make([]Offer, 0, len(offers))
	for _, o := range offers {
		if now.Before(o.RefusedUntil) {
			o.Max = o.Min
		}
		if o.Max > 0 && o.TokenRate > 0 {
			open = append(open, o)
		}
	}
	return open
}

// bounds are the capacities of one data centre worth trying: whole numbers of
// the smallest host.
func bounds(offers []Offer, d Demand) []float64 {
	if len(offers) == 0 {
		return nil
	}
	step := math.Inf(1)
	for _, o := range offers {
		step = math.Min(step, o.TokenRate)
	}
	most := int(math.Ceil(math.Max(counterRoom*d.Interactive, headroom*(d.Interactive+d.Deferrable))/step)) + 1
	list := make([]float64, 0, most)
	for i := 1; i <= most; i++ {
		list = append(list, float64(i)*step)
	}
	return list
}

// fill takes hosts under a bound and returns them with the capacity missing.
func fill(offers []Offer, bound float64, d Demand) ([]HostCount, float64) {
	counts := make([]HostCount, len(offers))
	centre := map[string]float64{}
	total := 0.0
	for i, o := range offers {
		counts[i] = HostCount{o, o.Min}
		centre[o.DataCenter] += float64(o.Min) * o.TokenRate
		total += float64(o.Min) * o.TokenRate
	}
	need := func(reclaimable bool) float64 {
		largest := 0.0
		for _, held := range centre {
			largest = math.Max(largest, held)
		}
		return d.need(largest, reclaimable)
	}
	take := func(i, most int) {
		o := counts[i].Offer
		for counts[i].Hosts < most && total < need(o.Reclaimable) && centre[o.DataCenter]+o.TokenRate <= bound+1e-9 {
			counts[i].Hosts++
			centre[o.DataCenter] += o.TokenRate
			total += o.TokenRate
		}
	}
	for i, n := range counts {
		if n.Offer.Reclaimable {
			take(i, min(n.Offer.Running, n.Offer.Max))
		}
	}
	for i, n := range counts {
		take(i, n.Offer.Max)
	}
	return counts, math.Max(0, need(false)-total)*shortIsWorse + math.Max(0, need(true)-total)
}

func costOf(counts []HostCount, c Costs) float64 {
	cost := 0.0
	for _, n := range counts {
		cost += float64(n.Hosts) * n.Offer.effective(c)
	}
	return cost
}

// SpreadEvenly is a naive plan: reclaimable hosts alone, as many as the demand asks
// for, evenly over all data centres.
func SpreadEvenly(offers []Offer, d Demand) []HostCount {
	counts := make([]HostCount, len(offers))
	total := 0.0
	for i, o := range offers {
		counts[i] = HostCount{o, o.Min}
		total += float64(o.Min) * o.TokenRate
	}
	for grown := true; grown && total < headroom*(d.Interactive+d.Deferrable); {
		grown = false
		for i, o := range offers {
			if o.Reclaimable && counts[i].Hosts < o.Max && total < headroom*(d.Interactive+d.Deferrable) {
				counts[i].Hosts++
				total += o.TokenRate
				grown = true
			}
		}
	}
	return counts
}

// CheapestFirst is another: reclaimable hosts of the lowest price alone.
func CheapestFirst(offers []Offer, d Demand) []HostCount {
	cheapest := append([]Offer(nil), offers...)
	sort.SliceStable(cheapest, func(i, j int) bool {
		return cheapest[i].HourlyPrice/cheapest[i].TokenRate < cheapest[j].HourlyPrice/cheapest[j].TokenRate
	})
	total := 0.0
	var counts []HostCount
	for _, o := range cheapest {
		n := HostCount{o, o.Min}
		total += float64(o.Min) * o.TokenRate
		for o.Reclaimable && n.Hosts < o.Max && total < headroom*(d.Interactive+d.Deferrable) {
			n.Hosts++
			total += o.TokenRate
		}
		counts = append(counts, n)
	}
	return counts
}
