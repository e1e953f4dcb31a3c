// Package entrychoice selects the entry hosts that a caller should use. There is no load balancer
// in front of the entry hosts, so these answers must spread the callers over them.
package entrychoice

import (
	"math"
	"math/rand/v2"
	"sort"

	"ironhollow/pkg/membership"
)

// maxEntries is the maximum number of entry hosts in one answer.
const maxEntries = 8

// fullLoad is the load, in tenths of the node's capacity, from which a node counts as full. Full
// nodes are omitted while others have spare capacity.
const fullLoad = 10

// Choose returns the entry hosts to use, in order of preference. Each call shuffles the hosts anew,
// weighted by spare capacity, so that callers spread evenly whichever hosts they ask. Hosts in the
// caller's data centre come first if the data centre is known and any of them has spare capacity.
func Choose(nodes []membership.Node, dataCenter string, random *rand.Rand) []membership.Node {
	best := make([]candidate, 0, maxEntries+1)
	for _, n := range withSpareCapacity(nodes) {
		best = insertByPriority(best, candidate{n, priority(n, dataCenter, random)})
	}
	chosen := make([]membership.Node, len(best))
	for i, c := range best {
		chosen[i] = c.node
	}
	return chosen
}

// insertByPriority inserts a candidate into best, which is sorted by descending priority and
// limited to maxEntries.
func insertByPriority(best []candidate, c candidate) []candidate {
	index := sort.Search(len(best), func(i int) bool { return best[i].priority < c.priority })
	if index == maxEntries {
		return best
	}
	best = append(best, candidate{})
	copy(best[index+1:], best[index:])
	best[index] = c
	return best[:min(len(best), maxEntries)]
}

type candidate struct {
	node     membership.Node
	priority float64
}

// withSpareCapacity returns the nodes that are not full, or all nodes if all are full.
func withSpareCapacity(nodes []membership.Node) []membership.Node {
	var available []membership.Node
	for _, n := range nodes {
		if n.Load < fullLoad {
			available = append(available, n)
		}
	}
	if len(available) == 0 {
		return nodes
	}
	return available
}

// priority returns a random sort key for a node. Sorting by these exponentially distributed keys is
// weighted sampling (Efraimidis and Spirakis 2006): a node comes first with a probability
// proportional to its weight.
func priority(n membership.Node, dataCenter string, random *rand.Rand) float64 {
	weight := float64(max(1, fullLoad+2-n.Load))
	draw := math.Log(1-random.Float64()) / weight
	if dataCenter != "" && n.DataCenter == dataCenter {
		// Draws are at most 0. Exp maps them to between 0 and 1 in the same order, so that these
		// nodes sort before all others.
		return math.Exp(draw)
	}
	return draw
}
