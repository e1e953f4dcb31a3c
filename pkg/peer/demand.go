package peer

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the demand estimate.
const (
	// anchor pulls an estimate towards the node's own demand at each step, so
	// that the sum over all nodes stays true when nodes come and go.
	anchor = 0.15
	// blend is what a step takes over from all neighbours together.
	blend = 0.7
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
	links    map[Link]map[uint32]float64
}

func newDiffusion() *diffusion {
	return &diffusion{own: map[uint32]float64{}, estimate: map[uint32]float64{}, links: map[Link]map[uint32]float64{}}
}

// TeamHash names a team in digests.
func TeamHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (d *diffusion) heard(link Link, demands []Demand) {
	values := make(map[uint32]float64, len(demands))
	for _, demand := range demands {
		values[demand.Team] = demand.Value
	}
	d.links[link] = values
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
	return max(0, value+blend*sum/float64(len(d.links)))
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
	m.demand.own = make(map[uint32]float64, len(demands))
	for _, demand := range demands {
		m.demand.own[demand.Team] = demand.Value
	}
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
