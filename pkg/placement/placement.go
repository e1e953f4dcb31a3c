// Package placement decides which model each engine should have loaded. The
// plan is a pure function of the configuration and of what is known of the
// endpoints, so that every holder of a shard comes to the same one and gives
// orders for its own endpoints only.
package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/fleet"
)

// ModelSpec names a model with version and adapter.
type ModelSpec struct {
	Model, Version, Adapter string
}

// Assignment is what one endpoint should serve.
type Assignment struct {
	Endpoint endpoint.Info
	Target   ModelSpec
	// Change says that the endpoint serves something else and may be told now.
	Change bool
}

// Share is how much of the fleet a load should get.
type Share struct {
	Spec   ModelSpec
	Weight float64
}

// changeShare bounds the endpoints of one model that change at a time: the
// others go on serving the old version meanwhile.
const changeShare = 0.25

// Shares gives each load a weight: one for every service that uses it.
func Shares(services []fleet.Service) []Share {
	weights := map[ModelSpec]float64{}
	for _, s := range services {
		if s.Kind() == fleet.Model {
			weights[ModelSpec{s.Model(), s.Version(), s.Adapter()}]++
		}
	}
	shares := make([]Share, 0, len(weights))
	for load, weight := range weights {
		shares = append(shares, Share{load, weight})
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].Spec.less(shares[j].Spec) })
	return shares
}

func (l ModelSpec) less(o ModelSpec) bool {
	if l.Model != o.Model {
		return l.Model < o.Model
	}
	if l.Version != o.Version {
		return l.Version < o.Version
	}
	return l.Adapter < o.Adapter
}

// Plan assigns every live engine a load. Endpoints keep what they have where
// the quotas allow; each data centre gets its part of every load, so that the
// loss of one takes no model away.
func Plan(shares []Share, infos []endpoint.Info) []Assignment {
	if len(shares) == 0 {
		return nil
	}
	centres := map[string][]endpoint.Info{}
	for _, i := range infos {
		if i.Kind == endpoint.Model && i.AcceptsWork() {
			centres[i.DataCenter] = append(centres[i.DataCenter], i)
		}
	}
	var plan []Assignment
	for _, name := range sortedCentres(centres) {
		plan = append(plan, planCentre(name, shares, centres[name])...)
	}
	limitChanges(plan)
	return plan
}

func sortedCentres(centres map[string][]endpoint.Info) []string {
	names := make([]string, 0, len(centres))
	for name := range centres {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// planCentre shares out one data centre's engines.
func planCentre(centre string, shares []Share, infos []endpoint.Info) []Assignment {
	quotas := quotasOf(centre, shares, len(infos))
	sort.Slice(infos, func(i, j int) bool { return infos[i].ID < infos[j].ID })
	plan := make([]Assignment, 0, len(infos))
	var rest []endpoint.Info
	for _, info := range infos {
		if at := indexOf(shares, loaded(info)); at >= 0 && quotas[at] > 0 {
			quotas[at]--
			plan = append(plan, Assignment{Endpoint: info, Target: shares[at].Spec})
			continue
		}
		rest = append(rest, info)
	}
	// An endpoint with an older version of the model is the one to change to
	// the newer: its weights may share much, and its callers are the same.
	for _, info := range rest {
		at := nextQuota(shares, quotas, info.Model)
		quotas[at]--
		plan = append(plan, Assignment{Endpoint: info, Target: shares[at].Spec, Change: true})
	}
	return plan
}

func loaded(i endpoint.Info) ModelSpec { return ModelSpec{i.Model, i.Version, i.Adapter} }

func indexOf(shares []Share, l ModelSpec) int {
	for i, s := range shares {
		if s.Spec == l {
			return i
		}
	}
	return -1
}

func nextQuota(shares []Share, quotas []int, model string) int {
	best := 0
	for i := range quotas {
		if quotas[i] <= 0 {
			continue
		}
		if shares[i].Spec.Model == model && model != "" {
			return i
		}
		if quotas[i] > quotas[best] {
			best = i
		}
	}
	return best
}

// quotasOf splits count by weight, largest remainder first; ties are broken by
// a hash with the data centre's name, so that small data centres do not all
// leave out the same load.
func quotasOf(centre string, shares []Share, count int) []int {
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	quotas := make([]int, len(shares))
	remainders := make([]float64, len(shares))
	order := make([]int, len(shares))
	given := 0
	for i, s := range shares {
		exact := float64(count) * s.Weight / total
		quotas[i] = int(exact)
		remainders[i] = exact - float64(quotas[i])
		given += quotas[i]
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool {
		if remainders[order[a]] != remainders[order[b]] {
			return remainders[order[a]] > remainders[order[b]]
		}
		return tie(centre, shares[order[a]].Spec) > tie(centre, shares[order[b]].Spec)
	})
	for i := 0; given < count; i++ {
		quotas[order[i%len(order)]]++
		given++
	}
	return quotas
}

func tie(centre string, l ModelSpec) uint64 {
	return xxhash.Sum64String(centre + "\x00" + l.Model + "\x00" + l.Version + "\x00" + l.Adapter)
}

// limitChanges lets only a part of the endpoints that serve a model change at
// a time. Engines with nothing loaded serve nobody and may always change.
func limitChanges(plan []Assignment) {
	serving := map[string]int{}
	for _, a := range plan {
		serving[a.Endpoint.Model]++
	}
	changing := map[string]int{}
	for i := range plan {
		a := &plan[i]
		if !a.Change || a.Endpoint.Model == "" {
			continue
		}
		most := max(1, int(changeShare*float64(serving[a.Endpoint.Model])))
		if changing[a.Endpoint.Model] >= most {
			a.Change = false
			continue
		}
		changing[a.Endpoint.Model]++
	}
}

// Naive gives every engine the load its name hashes to, whatever it has: what
// the plan is measured against.
func Naive(shares []Share, infos []endpoint.Info) []Assignment {
	var plan []Assignment
	for _, i := range infos {
		if i.Kind != endpoint.Model || !i.AcceptsWork() || len(shares) == 0 {
			continue
		}
		want := shares[xxhash.Sum64String(i.ID)%uint64(len(shares))].Spec
		plan = append(plan, Assignment{i, want, want != loaded(i)})
	}
	return plan
}
