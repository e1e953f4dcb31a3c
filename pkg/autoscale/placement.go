package autoscale

import "ironhollow/pkg/routetable"

// placement is the state from which on-demand endpoints are placed.
type placement struct {
	// dataCenters is sorted by price, cheapest first.
	dataCenters []string
	// existing and room are the on-demand endpoints that serve or boot, and how many fit in
	// addition to the reclaimable ones, by data centre. Both are nil if neither losses nor
	// refused work are known.
	existing, room map[string]int
	// refusing has the room of data centres that recently refused on-demand orders, which
	// are used only if no other has room.
	refusing map[string]int
	// limit is the number of endpoints of both classes in one data centre.
	limit int
}

// newPlacement returns the placement of a service. After a loss, or while work is refused,
// on-demand endpoints are placed in addition to the reclaimable ones that serve or boot,
// which are never given up to make room: lost endpoints leave enough room.
func newPlacement(s *routetable.Scaling, dataCenters []string, supply Supply, outlook Outlook, refusing bool) placement {
	p := placement{dataCenters: dataCenters, limit: s.MaxEndpoints}
	if !outlook.Known && !refusing {
		return p
	}
	p.existing, p.room, p.refusing = map[string]int{}, map[string]int{}, map[string]int{}
	for _, dataCenter := range dataCenters {
		reclaimable, reclaimableBooting := supply(dataCenter, true)
		onDemand, onDemandBooting := supply(dataCenter, false)
		p.existing[dataCenter] = onDemand + onDemandBooting
		p.room[dataCenter] = max(s.MaxEndpoints-reclaimable-reclaimableBooting, 0)
		if outlook.NoOnDemand[dataCenter] {
			p.refusing[dataCenter] = p.room[dataCenter]
			p.room[dataCenter] = min(p.room[dataCenter], p.existing[dataCenter])
		}
	}
	return p
}

// place returns the number of on-demand endpoints of each data centre. Existing ones stay
// where they are, as one that is moved must boot first. The others go to the cheapest half
// of the data centres that have room, at least two, so that the loss of one does not take
// all of them.
func (p placement) place(count int) map[string]int {
	if p.room == nil {
		return distributeOnDemand(p.dataCenters, count, p.limit)
	}
	counts := make(map[string]int, len(p.dataCenters))
	var open []string
	total := 0
	for _, dataCenter := range p.dataCenters {
		counts[dataCenter] = min(p.existing[dataCenter], p.room[dataCenter])
		total += counts[dataCenter]
		if p.room[dataCenter] > 0 {
			open = append(open, dataCenter)
		}
	}
	for ; total > count; total-- {
		counts[p.fullest(counts)]--
	}
	total += distribute(open[:min(max((len(p.dataCenters)+1)/2, 2), len(open))], counts, count-total, p.room)
	total += distribute(open, counts, count-total, p.room)
	distribute(p.dataCenters, counts, count-total, p.refusing)
	return counts
}

// distribute adds up to count endpoints, each to the data centre of the group that has the
// fewest of those with room, the first of equal ones. It returns how many it added.
func distribute(group []string, counts map[string]int, count int, room map[string]int) int {
	for added := range max(count, 0) {
		best := ""
		for _, dataCenter := range group {
			if counts[dataCenter] < room[dataCenter] && (best == "" || counts[dataCenter] < counts[best]) {
				best = dataCenter
			}
		}
		if best == "" {
			return added
		}
		counts[best]++
	}
	return max(count, 0)
}

// fullest returns the data centre with the most on-demand endpoints, the most expensive of
// equal ones.
func (p placement) fullest(counts map[string]int) string {
	best := p.dataCenters[0]
	for _, dataCenter := range p.dataCenters {
		if counts[dataCenter] >= counts[best] {
			best = dataCenter
		}
	}
	return best
}

// distributeOnDemand returns the number of on-demand endpoints of each data centre. The
// cheaper half of the data centres is filled first, so that the loss of one takes at most
// half of the endpoints. An even distribution over all of them loses 0.05 more of the
// answers' worth on a day on which on-demand endpoints serve all requests for 25 s.
func distributeOnDemand(dataCenters []string, count, limit int) map[string]int {
	counts := make(map[string]int, len(dataCenters))
	remaining := distributeEvenly(dataCenters[:(len(dataCenters)+1)/2], counts, count, limit)
	distributeEvenly(dataCenters, counts, remaining, limit)
	return counts
}

// distributeEvenly adds endpoints to counts one data centre at a time, cheapest first,
// up to limit each. It returns how many did not fit.
func distributeEvenly(dataCenters []string, counts map[string]int, remaining, limit int) int {
	for remaining > 0 {
		previous := remaining
		for _, dataCenter := range dataCenters {
			if remaining > 0 && counts[dataCenter] < limit {
				counts[dataCenter]++
				remaining--
			}
		}
		if remaining == previous {
			return remaining
		}
	}
	return 0
}
