package route

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
)

// Parameters of an entry's subset of the endpoints.
const (
	// minSubset is the minimum number of endpoints of a release of a target that an entry uses. With fewer, one
	// slow endpoint would affect too many of its requests.
	minSubset = 24
	// entriesPerEndpoint is the number of entries that should use each endpoint, so that none is
	// unused when entries leave.
	entriesPerEndpoint = 4
)

// Subset returns the endpoints that an entry uses, sorted by ID. A small fleet is used whole. In a
// large one, each entry uses so many endpoints of each release of each target that every endpoint has about
// entriesPerEndpoint entries, selected by rendezvous hashing. This bounds the cost of load reports
// for each endpoint and entry, and an entry that joins or leaves changes the use of few endpoints. A
// stream continues only at the release that began it, so an entry needs endpoints of each.
func Subset(node string, entries int, infos []endpoint.Info) []endpoint.Info {
	type group struct {
		target  Target
		release string
	}
	byGroup := map[group][]endpoint.Info{}
	for _, info := range infos {
		if info.AcceptsWork() {
			g := group{TargetOf(info), info.Release}
			byGroup[g] = append(byGroup[g], info)
		}
	}
	var chosen []endpoint.Info
	for _, list := range byGroup {
		chosen = append(chosen, topByWeight(node, subsetSize(len(list), entries), list)...)
	}
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].ID < chosen[j].ID })
	return chosen
}

func subsetSize(endpoints, entries int) int {
	if entries <= 0 {
		return endpoints
	}
	return min(endpoints, max(minSubset, (entriesPerEndpoint*endpoints+entries-1)/entries))
}

func topByWeight(node string, size int, list []endpoint.Info) []endpoint.Info {
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
