package peer

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the demand estimate.
const (
	// anchor pulls an estimate towards the node's own demand at each step, so
	// that the sum over all nodes comes true again when nodes have come and
	// gone. It is small because it also leaves each estimate nearer to its own
	// node's demand than to the mean.
	anchor = 0.01
	// linkWeight is the part of the difference to one neighbour that a step
	// takes over. It is the same on both sides of a link, so that what one
	// gives the other gets; mostBlend bounds it for a node with many links.
	linkWeight = 0.1
	mostBlend  = 0.8
	// mostDemands bounds the teams told in one digest: the busiest.
	mostDemands = 16
)

// diffusion estimates each team's mean demand for one node by averaging with
// the neighbours. No node counts for all, and nothing is lost for long when
// one dies. Teams that ask for little everywhere are left out: they stay under
// their even share anyway.
type diffusion struct {
	own      map[uint32]float64
	estimate map[uint32]float64
	links    map[LinkID]map[uint32]float64
}

func newDiffusion() *diffusion {
	return &diffusion{own: map[uint32]float64{}, estimate: map[uint32]float64{}, links: map[LinkID]map[uint32]float64{}}
}

// TeamHash names a team in digests.
func TeamHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (d *diffusion) heard(link LinkID, demands []Demand) {
	values := make(map[uint32]float64, len(demands))
	for _, demand := range demands {
		values[demand.Team] = demand.Value
	}
	d.links[link] = values
}

// setOwn notes the node's own demand. What changed goes into the estimate at
// once, so that the sum over all nodes follows without waiting for the anchor.
func (d *diffusion) setOwn(demands []Demand) {
	next := make(map[uint32]float64, len(demands))
	for _, demand := range demands {
		next[demand.Team] = demand.Value
		d.estimate[demand.Team] += demand.Value - d.own[demand.Team]
	}
	for team, value := range d.own {
		if _, asks := next[team]; !asks {
			d.estimate[team] = max(0, d.estimate[team]-value)
		}
	}
	d.own = next
}

// step moves every estimate towards the neighbours' and its own anchor.
func (d *diffusion) step() {
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
		value := d.average(team)
		if value > 0.01 {
			next[team] = value
		}
	}
	d.estimate = next
}

func (d *diffusion) average(team uint32) float64 {
	held := d.estimate[team]
	value := held + anchor*(d.own[team]-held)
	if len(d.links) == 0 {
		return value
	}
	sum := 0.0
	for _, values := range d.links {
		sum += values[team] - held
	}
	weight := min(linkWeight, mostBlend/float64(len(d.links)))
	return max(0, value+weight*sum)
}

// tell returns the estimates of the busiest teams.
func (d *diffusion) tell() []Demand {
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
	return list[:min(len(list), mostDemands)]
}

// SetDemand sets what a team asks for at this node, in requests a second.
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

// MeanDemand returns the estimate of a team's mean demand for one node; ok is
// false where nobody asks for it.
func (m *Mesh) MeanDemand(team uint32) (perSecond float64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	perSecond, ok = m.demand.estimate[team]
	return perSecond, ok
}
