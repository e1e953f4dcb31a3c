// Package entrychoice answers callers who ask which entry hosts to use: there
// is no balancer, so the answers themselves must spread the load.
package entrychoice

import (
	"math"
	"math/rand/v2"
	"sort"

	"ironhollow/pkg/membership"
)

// mostEntries bounds the entries named in one answer.
const mostEntries = 8

// fullLoad is the load, in tenths, from which a node is left out while others
// have room.
const fullLoad = 10

// Choose returns the entry hosts to use, in order. Every answer is a fresh
// weighted shuffle, a host's weight being the room it has, so that callers
// spread evenly whichever hosts they ask; hosts in the caller's data centre
// come first where it is known and has any with room.
func Choose(nodes []membership.Node, dataCenter string, random *rand.Rand) []membership.Node {
	best := make([]candidate, 0, mostEntries+1)
	for _, n := range withRoom(nodes) {
		best = keep(best, candidate{n, priority(n, dataCenter, random)})
	}
	chosen := make([]membership.Node, len(best))
	for i, c := range best {
		chosen[i] = c.node
	}
	return chosen
}

// keep puts a candidate in its place among the best ones, in order.
func keep(best []candidate, c candidate) []candidate {
	at := sort.Search(len(best), func(i int) bool { return best[i].priority < c.priority })
	if at == mostEntries {
		return best
	}
	best = append(best, candidate{})
	copy(best[at+1:], best[at:])
	best[at] = c
	return best[:min(len(best), mostEntries)]
}

type candidate struct {
	node     membership.Node
	priority float64
}

// withRoom leaves out full nodes, unless all are.
func withRoom(nodes []membership.Node) []membership.Node {
	var room []membership.Node
	for _, n := range nodes {
		if n.Load < fullLoad {
			room = append(room, n)
		}
	}
	if len(room) == 0 {
		return nodes
	}
	return room
}

// priority draws a node's place: an exponential race (Efraimidis and Spirakis
// 2006) gives the first place with a probability proportional to the weight.
func priority(n membership.Node, dataCenter string, random *rand.Rand) float64 {
	weight := float64(max(1, fullLoad+2-n.Load))
	draw := math.Log(1-random.Float64()) / weight
	if dataCenter != "" && n.DataCenter == dataCenter {
		// Draws are at most 0; this maps them, in order, to between 0 and 1.
		return math.Exp(draw)
	}
	return draw
}
