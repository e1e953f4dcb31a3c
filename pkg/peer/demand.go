package peer

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the demand estimate.
const (
	// ownDemandWeight is how far each step moves an estimate towards the node's own demand, so
	// that the sum over all nodes becomes correct again after nodes have joined or left. It is
	// small because it also keeps each estimate closer to its own node's demand than to the
	// mean.
	ownDemandWeight = 0.01
	// linkWeight is the share of the difference to a neighbour's estimate that a step adds. It
	// is the same on both sides of a link, so that one side gains what the other loses.
	// maxTotalLinkWeight bounds the sum of the weights of a node with many links.
	linkWeight         = 0.1
	maxTotalLinkWeight = 0.8
	// maxDigestDemands is the maximum number of teams in a digest; the busiest are sent.
	maxDigestDemands = 16
)

// demandEstimator estimates each team's mean demand per node by averaging with the neighbours'
// estimates. There is no central counter, and the death of a node distorts the estimates only for
// a short time. Teams with little demand everywhere are dropped: they stay under their even share
// anyway.
type demandEstimator struct {
	own      map[uint32]float64
	estimate map[uint32]float64
	links    map[LinkID]map[uint32]float64
}

func newDemandEstimator() *demandEstimator {
	return &demandEstimator{own: map[uint32]float64{}, estimate: map[uint32]float64{}, links: map[LinkID]map[uint32]float64{}}
}

// TeamHash returns the hash that identifies a team in digests.
func TeamHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (d *demandEstimator) setNeighbour(link LinkID, demands []Demand) {
	values := make(map[uint32]float64, len(demands))
	for _, demand := range demands {
		values[demand.Team] = demand.Value
	}
	d.links[link] = values
}

// setOwn sets the node's own demand. The difference is added to the estimate at once, so that the
// sum over all nodes follows without waiting for ownDemandWeight to take effect.
func (d *demandEstimator) setOwn(demands []Demand) {
	next := make(map[uint32]float64, len(demands))
	for _, demand := range demands {
		next[demand.Team] = demand.Value
		d.estimate[demand.Team] += demand.Value - d.own[demand.Team]
	}
	for team, value := range d.own {
		if _, present := next[team]; !present {
			d.estimate[team] = max(0, d.estimate[team]-value)
		}
	}
	d.own = next
}

// step moves every estimate towards the neighbours' estimates and the node's own demand.
func (d *demandEstimator) step() {
	teams := map[uint32]bool{}
	for team := range d.own {
		teams[team] = true
	}
	for team := range d.estimate {
		teams[team] = true
	}
	for _, values := range d.links {
		for team := range values {
			teams[team] = true
		}
	}
	next := make(map[uint32]float64, len(teams))
	for team := range teams {
		value := d.nextEstimate(team)
		if value > 0.01 {
			next[team] = value
		}
	}
	d.estimate = next
}

func (d *demandEstimator) nextEstimate(team uint32) float64 {
	current := d.estimate[team]
	value := current + ownDemandWeight*(d.own[team]-current)
	if len(d.links) == 0 {
		return value
	}
	sum := 0.0
	for _, values := range d.links {
		sum += values[team] - current
	}
	weight := min(linkWeight, maxTotalLinkWeight/float64(len(d.links)))
	return max(0, value+weight*sum)
}

// busiest returns the estimates of the teams with the highest demand.
func (d *demandEstimator) busiest() []Demand {
	list := make([]Demand, 0, len(d.estimate))
	for team, value := range d.estimate {
		list = append(list, Demand{team, value})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Value != list[j].Value {
			return list[i].Value > list[j].Value
		}
		return list[i].Team < list[j].Team
	})
	return list[:min(len(list), maxDigestDemands)]
}

// SetDemand sets the demand of each team at this node, in requests per second.
func (m *Mesh) SetDemand(demands []Demand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand.setOwn(demands)
	for link := range m.demand.links {
		if _, live := m.links[link]; !live {
			delete(m.demand.links, link)
		}
	}
}

// MeanDemand returns the estimate of a team's mean demand per node; ok is false if there is no
// demand.
func (m *Mesh) MeanDemand(team uint32) (perSecond float64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	perSecond, ok = m.demand.estimate[team]
	return perSecond, ok
}
