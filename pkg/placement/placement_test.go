package placement_test

import (
	"fmt"
	"testing"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/placement"
)

func infos(count int) []endpoint.Info {
	var list []endpoint.Info
	for i := range count {
		list = append(list, endpoint.Info{
			ID: fmt.Sprintf("e%03d", i), Incarnation: 1, State: endpoint.Live, Kind: endpoint.Model, DataCenter: fmt.Sprintf("dc%d", i%4),
		})
	}
	return list
}

func spec(model, version string) placement.ModelSpec {
	return placement.ModelSpec{Model: model, Version: version}
}

// applyPlan applies the plan's changes to list and returns how many endpoints changed.
func applyPlan(list []endpoint.Info, shares []placement.Share) int {
	changed := 0
	for _, a := range placement.Plan(shares, list) {
		if !a.Change {
			continue
		}
		changed++
		for i := range list {
			if list[i].ID == a.Endpoint.ID {
				list[i].Model, list[i].Version, list[i].Adapter = a.Target.Model, a.Target.Version, a.Target.Adapter
			}
		}
	}
	return changed
}

func count(list []endpoint.Info, wanted placement.ModelSpec) (total int, dataCenters map[string]bool) {
	dataCenters = map[string]bool{}
	for _, i := range list {
		if i.Model == wanted.Model && i.Version == wanted.Version {
			total++
			dataCenters[i.DataCenter] = true
		}
	}
	return total, dataCenters
}

// TestEveryModelIsInSeveralDataCenters places two models with weights 1 and 2 on 18
// engines. A second plan must find nothing to change.
func TestEveryModelIsInSeveralDataCenters(t *testing.T) {
	list := infos(18)
	shares := []placement.Share{{Spec: spec("a", "1"), Weight: 1}, {Spec: spec("b", "1"), Weight: 2}}
	applyPlan(list, shares)
	for _, s := range shares {
		total, dataCenters := count(list, s.Spec)
		want := 18 * s.Weight / 3
		if float64(total) < want-2 || float64(total) > want+2 || len(dataCenters) < 3 {
			t.Errorf("%s: got %d engines in %d data centres, want about %.0f in at least 3", s.Spec.Model, total, len(dataCenters), want)
		}
	}
	if again := applyPlan(list, shares); again != 0 {
		t.Errorf("second plan: got %d changed endpoints, want 0", again)
	}
}

// TestVersionChangeKeepsEnginesServing changes 18 engines from one version to the next. The
// plan must change at most a quarter at the same time; the naive plan changes all at once
// and leaves no engine to serve.
func TestVersionChangeKeepsEnginesServing(t *testing.T) {
	list := infos(18)
	applyPlan(list, []placement.Share{{Spec: spec("a", "1"), Weight: 1}})
	next := []placement.Share{{Spec: spec("a", "2"), Weight: 1}}
	naive := 0
	for _, a := range placement.Naive(next, list) {
		if a.Change {
			naive++
		}
	}
	if naive != 18 {
		t.Errorf("naive plan: got %d changes at once, want all 18 as the baseline of this test", naive)
	}
	for round := range 40 {
		changed := applyPlan(list, next)
		if changed > 5 {
			t.Fatalf("round %d: got %d changes at once, want at most a quarter of 18", round, changed)
		}
	}
	if total, _ := count(list, spec("a", "2")); total != 18 {
		t.Errorf("after 40 rounds: got %d engines of the new version, want 18", total)
	}
}

func TestLeavingEnginesAreNotPlanned(t *testing.T) {
	list := infos(8)
	list[3].State = endpoint.Leaving
	for _, a := range placement.Plan([]placement.Share{{Spec: spec("a", "1"), Weight: 1}}, list) {
		if a.Endpoint.ID == list[3].ID {
			t.Error("got an assignment for a leaving engine, want none")
		}
	}
}

func BenchmarkPlan1900(b *testing.B) {
	list := infos(1900)
	shares := []placement.Share{{Spec: spec("a", "1"), Weight: 1}, {Spec: spec("b", "1"), Weight: 2}, {Spec: spec("c", "1"), Weight: 2}}
	for b.Loop() {
		placement.Plan(shares, list)
	}
}
