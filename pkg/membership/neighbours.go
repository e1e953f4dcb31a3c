package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ringSuccessors is the number of successors in its own data centre that a node links to.
const ringSuccessors = 2

// Neighbours returns the nodes that self dials: its successors on a ring of its data centre, and
// one node in another data centre. Every node dials three at most and is dialled by about as many,
// whatever the size of the fleet. The ring connects the nodes of a data centre, which spread their
// links to other data centres over all of these.
func Neighbours(self Node, nodes []Node) []Node {
	rings := groupByDataCenter(nodes)
	var list []Node
	ring := rings[self.DataCenter]
	position := ringPosition(ring, self.ID)
	for step := 1; step <= ringSuccessors && step < len(ring); step++ {
		list = append(list, ring[(position+step)%len(ring)])
	}
	names := sortedDataCenters(rings)
	if len(names) < 2 {
		return list
	}
	ownIndex := sort.SearchStrings(names, self.DataCenter)
	linked := names[(ownIndex+1+position%(len(names)-1))%len(names)]
	return append(list, TopByHash(self.ID, rings[linked], 1)...)
}

// groupByDataCenter returns a ring of the nodes that are not dead for each data centre. A ring is
// ordered by a hash of the node IDs, so that neighbours do not share a rack because of similar
// names.
func groupByDataCenter(nodes []Node) map[string][]Node {
	rings := map[string][]Node{}
	for _, n := range nodes {
		if n.Status != Dead {
			rings[n.DataCenter] = append(rings[n.DataCenter], n)
		}
	}
	for _, ring := range rings {
		sort.Slice(ring, func(i, j int) bool { return xxhash.Sum64String(ring[i].ID) < xxhash.Sum64String(ring[j].ID) })
	}
	return rings
}

func ringPosition(ring []Node, id string) int {
	for i, n := range ring {
		if n.ID == id {
			return i
		}
	}
	return 0
}

func sortedDataCenters(centres map[string][]Node) []string {
	names := make([]string, 0, len(centres))
	for name := range centres {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// TopByHash returns the count nodes that rank highest for a key (rendezvous hashing, Thaler and
// Ravishankar 1998). When a node is added or removed, only the keys that rank it first move.
func TopByHash(key string, nodes []Node, count int) []Node {
	ranked := append([]Node(nil), nodes...)
	sort.Slice(ranked, func(i, j int) bool { return weight(key, ranked[i].ID) > weight(key, ranked[j].ID) })
	return ranked[:min(count, len(ranked))]
}

// RankOf returns a node's rank for a key among nodes, -1 if the node is not among them.
func RankOf(key, id string, nodes []Node) int {
	rank := 0
	found := false
	ownWeight := weight(key, id)
	for _, n := range nodes {
		switch {
		case n.ID == id:
			found = true
		case weight(key, n.ID) > ownWeight:
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

func weight(key, id string) uint64 {
	var buffer [128]byte
	b := append(buffer[:0], key...)
	b = append(b, 0)
	b = append(b, id...)
	return xxhash.Sum64(b)
}
