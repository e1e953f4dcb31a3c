package autoscale

import (
	"math"
	"slices"
	"sort"
)

// maxMarginalValue bounds the marginal value of an endpoint, relative to its full price. It
// is reached at half of the need, where every request waits longer than its objective and
// one more endpoint serves only the work that would be refused.
const maxMarginalValue = 16

// marginalValue returns what one endpoint saves, relative to its full price, if count
// endpoints serve. It is 1 at the need; see utilizationPriceExponent.
func marginalValue(need, count int) float64 {
	if 2*count <= need {
		return maxMarginalValue
	}
	return math.Pow(float64(need)/float64(count), 1/utilizationPriceExponent)
}

// cover returns how many on-demand endpoints are worth their price during a wave of losses,
// given the reclaimable endpoints of each data centre. Before any loss it is 0.
func cover(need int, reclaimable []int, outlook Outlook) int {
	if !outlook.InWave() {
		return 0
	}
	var counts []int
	for _, count := range reclaimable {
		if count > 0 {
			counts = append(counts, count)
		}
	}
	// Of the data centres that may be lost, those with the most endpoints are lost first.
	slices.Sort(counts)
	probabilities := outlook.scenarios(len(counts))
	remaining := make([]int, len(counts)+1)
	for i, count := range counts {
		remaining[len(counts)-i-1] = remaining[len(counts)-i] + count
	}
	return sort.Search(need, func(count int) bool {
		value := 0.0
		for lost, probability := range probabilities {
			value += probability * marginalValue(need, remaining[lost]+count+1)
		}
		// Rounding must not drop the last endpoint of the need if no reclaimable ones are left.
		const tolerance = 1e-9
		return value < 1-tolerance
	})
}
