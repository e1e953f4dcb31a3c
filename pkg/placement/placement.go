// Package placement decides which model each engine should have loaded. The plan is a
// pure function of the configuration and the known endpoints, so that all holders of
// shards compute the same plan and each sends the orders of its own endpoints only.
package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/fleet"
)

// ModelSpec identifies a model with its version and adapter.
type ModelSpec struct {
	Model, Version, Adapter string
}

// Assignment is the model that one endpoint should serve.
type Assignment struct {
	Endpoint endpoint.Info
	Target   ModelSpec
	// Change is set if the endpoint serves something else and may be ordered to change
	// now.
	Change bool
}

// Share is a model and its share of the fleet, as a weight.
type Share struct {
	Spec   ModelSpec
	Weight float64
}

// maxChangeShare bounds the endpoints of one model that change at the same time; the
// others continue to serve the old version.
const maxChangeShare = 0.25

// Shares returns each model with a weight: the number of services that use it.
func Shares(services []fleet.Service) []Share {
	weights := map[ModelSpec]float64{}
	for _, s := range services {
		if s.Kind() == fleet.Model {
			weights[ModelSpec{s.Model(), s.Version(), s.Adapter()}]++
		}
	}
	shares := make([]Share, 0, len(weights))
	for spec, weight := range weights {
		shares = append(shares, Share{spec, weight})
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].Spec.less(shares[j].Spec) })
	return shares
}

func (m ModelSpec) less(other ModelSpec) bool {
	if m.Model != other.Model {
		return m.Model < other.Model
	}
	if m.Version != other.Version {
		return m.Version < other.Version
	}
	return m.Adapter < other.Adapter
}

// Plan assigns a model to every live engine. Endpoints keep their model where the quotas
// allow. Each data centre gets its part of every model, so that the loss of one data
// centre makes no model unavailable.
func Plan(shares []Share, infos []endpoint.Info) []Assignment {
	if len(shares) == 0 {
		return nil
	}
	byDataCenter := map[string][]endpoint.Info{}
	for _, i := range infos {
		if i.Kind == endpoint.Model && i.AcceptsWork() {
			byDataCenter[i.DataCenter] = append(byDataCenter[i.DataCenter], i)
		}
	}
	var plan []Assignment
	for _, name := range sortedDataCenters(byDataCenter) {
		plan = append(plan, planDataCenter(name, shares, byDataCenter[name])...)
	}
	limitChanges(plan)
	return plan
}

func sortedDataCenters(byDataCenter map[string][]endpoint.Info) []string {
	names := make([]string, 0, len(byDataCenter))
	for name := range byDataCenter {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// planDataCenter distributes the models over one data centre's engines.
func planDataCenter(dataCenter string, shares []Share, infos []endpoint.Info) []Assignment {
	quotas := splitByWeight(dataCenter, shares, len(infos))
	sort.Slice(infos, func(i, j int) bool { return infos[i].ID < infos[j].ID })
	plan := make([]Assignment, 0, len(infos))
	var rest []endpoint.Info
	for _, info := range infos {
		if index := shareIndex(shares, loadedSpec(info)); index >= 0 && quotas[index] > 0 {
			quotas[index]--
			plan = append(plan, Assignment{Endpoint: info, Target: shares[index].Spec})
			continue
		}
		rest = append(rest, info)
	}
	// Endpoints with an older version of a model change to its newer version first: the
	// versions may share weights, and the callers are the same.
	for _, info := range rest {
		index := pickShare(shares, quotas, info.Model)
		quotas[index]--
		plan = append(plan, Assignment{Endpoint: info, Target: shares[index].Spec, Change: true})
	}
	return plan
}

func loadedSpec(i endpoint.Info) ModelSpec { return ModelSpec{i.Model, i.Version, i.Adapter} }

func shareIndex(shares []Share, spec ModelSpec) int {
	for i, s := range shares {
		if s.Spec == spec {
			return i
		}
	}
	return -1
}

// pickShare returns the index of a share with quota left: one of the given model if there
// is one, else the one with the largest quota.
func pickShare(shares []Share, quotas []int, model string) int {
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

// splitByWeight splits count by the weights, largest remainder first. Equal remainders
// are ordered by a hash that includes the data centre's name, so that small data centres
// do not all leave out the same model.
func splitByWeight(dataCenter string, shares []Share, count int) []int {
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	quotas := make([]int, len(shares))
	remainders := make([]float64, len(shares))
	order := make([]int, len(shares))
	assigned := 0
	for i, s := range shares {
		exact := float64(count) * s.Weight / total
		quotas[i] = int(exact)
		remainders[i] = exact - float64(quotas[i])
		assigned += quotas[i]
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool {
		if remainders[order[a]] != remainders[order[b]] {
			return remainders[order[a]] > remainders[order[b]]
		}
		return tieBreak(dataCenter, shares[order[a]].Spec) > tieBreak(dataCenter, shares[order[b]].Spec)
	})
	for i := 0; assigned < count; i++ {
		quotas[order[i%len(order)]]++
		assigned++
	}
	return quotas
}

func tieBreak(dataCenter string, spec ModelSpec) uint64 {
	return xxhash.Sum64String(dataCenter + "\x00" + spec.Model + "\x00" + spec.Version + "\x00" + spec.Adapter)
}

// limitChanges clears Change where more than maxChangeShare of the endpoints that serve a
// model would change at the same time. Engines with no model loaded serve no requests and
// may always change.
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
		limit := max(1, int(maxChangeShare*float64(serving[a.Endpoint.Model])))
		if changing[a.Endpoint.Model] >= limit {
			a.Change = false
			continue
		}
		changing[a.Endpoint.Model]++
	}
}

// Naive assigns the model that an engine's ID hashes to, regardless of what the engine
// has loaded. It is the baseline to which tests compare Plan.
func Naive(shares []Share, infos []endpoint.Info) []Assignment {
	var plan []Assignment
	for _, i := range infos {
		if i.Kind != endpoint.Model || !i.AcceptsWork() || len(shares) == 0 {
			continue
		}
		target := shares[xxhash.Sum64String(i.ID)%uint64(len(shares))].Spec
		plan = append(plan, Assignment{i, target, target != loadedSpec(i)})
	}
	return plan
}
