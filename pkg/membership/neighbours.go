package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ringLinks is how many successors in its own data centre a node links to.
const ringLinks = 2

// Neighbours returns the nodes that self dials: the next ones on a ring of its
// data centre, and one in another data centre. Every node dials three at most
// and is dialled by about as many, whatever the size of the fleet; the ring
// joins a data centre, and the nodes of one data centre spread their outward
// links over all the others.
func Neighbours(self Node, nodes []Node) []Node {
	centres := byCentre(nodes)
	var list []Node
	ring := centres[self.DataCenter]
	at := position(ring, self.ID)
	for step := 1; step <= ringLinks && step < len(ring); step++ {
		list = append(list, ring[(at+step)%len(ring)])
	}
	names := sortedNames(centres)
	if len(names) < 2 {
		return list
	}
	own := sort.SearchStrings(names, self.DataCenter)
	target := names[(own+1+at%(len(names)-1))%len(names)]
	return append(list, TopByHash(self.ID, centres[target], 1)...)
}

// byCentre sorts living nodes into rings, each in the order of a hash so that
// neighbours on the ring do not share a rack by their names.
func byCentre(nodes []Node) map[string][]Node {
	centres := map[string][]Node{}
	for _, n := range nodes {
		if n.Status != Dead {
			centres[n.DataCenter] = append(centres[n.DataCenter], n)
		}
	}
	for _, ring := range centres {
		sort.Slice(ring, func(i, j int) bool { return xxhash.Sum64String(ring[i].ID) < xxhash.Sum64String(ring[j].ID) })
	}
	return centres
}

func position(ring []Node, id string) int {
	for i, n := range ring {
		if n.ID == id {
			return i
		}
	}
	return 0
}

func sortedNames(centres map[string][]Node) []string {
	names := make([]string, 0, len(centres))
	for name := range centres {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// TopByHash returns the count nodes that rank highest for a key (rendezvous
// hashing, Thaler and Ravishankar 1998): when a node comes or goes, only the
// keys that rank it first change hands.
func TopByHash(key string, nodes []Node, count int) []Node {
	ranked := append([]Node(nil), nodes...)
	sort.Slice(ranked, func(i, j int) bool { return weight(key, ranked[i].ID) > weight(key, ranked[j].ID) })
	return ranked[:min(count, len(ranked))]
}

// RankOf returns a node's rank for a key among nodes, -1 if it is not there.
func RankOf(key, id string, nodes []Node) int {
	rank := 0
	found := false
	own := weight(key, id)
	for _, n := range nodes {
		switch {
		case n.ID == id:
			found = true
		case weight(key, n.ID) > own:
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
