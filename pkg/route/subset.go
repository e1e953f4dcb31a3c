package route

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
)

// Parameters of an entry's subset of the endpoints.
const (
	// leastSubset is how many endpoints of a target an entry uses at least:
	// with fewer, one slow endpoint would be felt too much.
	leastSubset = 24
	// perEndpoint is how many entries should use each endpoint, so that none is
	// left out when entries go.
	perEndpoint = 4
)

// Subset returns the endpoints that an entry uses, in the order of their ids.
// A small fleet is used whole. In a large one each entry uses as many of each
// target as give every endpoint about perEndpoint entries, by rendezvous
// hashing: load reports then cost each endpoint and entry a bounded amount, and
// an entry that comes or goes moves few of them.
func Subset(node string, entries int, infos []endpoint.Info) []endpoint.Info {
	byTarget := map[Target][]endpoint.Info{}
	for _, info := range infos {
		if info.AcceptsWork() {
			target := TargetOf(info)
			byTarget[target] = append(byTarget[target], info)
		}
	}
	var chosen []endpoint.Info
	for _, list := range byTarget {
		chosen = append(chosen, top(node, subsetSize(len(list), entries), list)...)
	}
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].ID < chosen[j].ID })
	return chosen
}

func subsetSize(endpoints, entries int) int {
	if entries <= 0 {
		return endpoints
	}
	return min(endpoints, max(leastSubset, (perEndpoint*endpoints+entries-1)/entries))
}

func top(node string, size int, list []endpoint.Info) []endpoint.Info {
	if size >= len(list) {
		return list
	}
	weights := make(map[string]uint64, len(list))
	for _, info := range list {
		weights[info.ID] = xxhash.Sum64String(node + "\x00" + info.ID)
	}
	ranked := append([]endpoint.Info(nil), list...)
	sort.Slice(ranked, func(i, j int) bool { return weights[ranked[i].ID] > weights[ranked[j].ID] })
	return ranked[:size]
}
