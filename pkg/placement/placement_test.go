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

func load(model, version string) placement.ModelSpec {
	return placement.ModelSpec{Model: model, Version: version}
}

// carryOut obeys the plan's orders and returns how many endpoints changed.
func carryOut(list []endpoint.Info, shares []placement.Share) int {
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

func count(list []endpoint.Info, l placement.ModelSpec) (total int, centres map[string]bool) {
	centres = map[string]bool{}
	for _, i := range list {
		if i.Model == l.Model && i.Version == l.Version {
			total++
			centres[i.DataCenter] = true
		}
	}
	return total, centres
}

// TestEveryModelIsInSeveralDataCentres places two models with weights 1 and 2
// on 18 engines and then finds nothing more to change.
func TestEveryModelIsInSeveralDataCentres(t *testing.T) {
	list := infos(18)
	shares := []placement.Share{{Spec: load("a", "1"), Weight: 1}, {Spec: load("b", "1"), Weight: 2}}
	carryOut(list, shares)
	for _, s := range shares {
		total, centres := count(list, s.Spec)
		want := 18 * s.Weight / 3
		if float64(total) < want-2 || float64(total) > want+2 || len(centres) < 3 {
			t.Errorf("%s: got %d engines in %d data centres, want about %.0f in at least 3", s.Spec.Model, total, len(centres), want)
		}
	}
	if again := carryOut(list, shares); again != 0 {
		t.Errorf("second plan: got %d changes, want 0", again)
	}
}

// TestVersionsAreRolledWithoutAGap goes from one version to the next; the naive
// plan changes all at once and leaves nobody to serve.
func TestVersionsAreRolledWithoutAGap(t *testing.T) {
	list := infos(18)
	carryOut(list, []placement.Share{{Spec: load("a", "1"), Weight: 1}})
	next := []placement.Share{{Spec: load("a", "2"), Weight: 1}}
	naive := 0
	for _, a := range placement.Naive(next, list) {
		if a.Change {
			naive++
		}
	}
	if naive != 18 {
		t.Errorf("naive plan: got %d changes at once, want the 18 that this test is about", naive)
	}
	for round := range 40 {
		changed := carryOut(list, next)
		if changed > 5 {
			t.Fatalf("round %d: got %d changes at once, want a quarter of 18 at most", round, changed)
		}
	}
	if total, _ := count(list, load("a", "2")); total != 18 {
		t.Errorf("after 40 rounds: got %d engines of the new version, want 18", total)
	}
}

func TestLeavingEnginesAreNotPlanned(t *testing.T) {
	list := infos(8)
	list[3].State = endpoint.Leaving
	for _, a := range placement.Plan([]placement.Share{{Spec: load("a", "1"), Weight: 1}}, list) {
		if a.Endpoint.ID == list[3].ID {
			t.Error("an engine that leaves was given an order")
		}
	}
}

func BenchmarkPlan1900(b *testing.B) {
	list := infos(1900)
	shares := []placement.Share{{Spec: load("a", "1"), Weight: 1}, {Spec: load("b", "1"), Weight: 2}, {Spec: load("c", "1"), Weight: 2}}
	for b.Loop() {
		placement.Plan(shares, list)
	}
}
