package entrychoice_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"ironhollow/pkg/entrychoice"
	"ironhollow/pkg/membership"
)

func newNodes(count int) []membership.Node {
	var list []membership.Node
	for i := range count {
		list = append(list, membership.Node{ID: fmt.Sprintf("n%d", i), Status: membership.Alive, DataCenter: fmt.Sprintf("dc%d", i%4)})
	}
	return list
}

// maxOverMean returns the largest number of callers that get the same host first, divided by the
// mean.
func maxOverMean(list []membership.Node, callers int) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	maxCount := 0
	for range callers {
		first := entrychoice.Choose(list, "", random)[0]
		counts[first.ID]++
		maxCount = max(maxCount, counts[first.ID])
	}
	return float64(maxCount) * float64(len(list)) / float64(callers)
}

func TestChooseSpreadsCallersEvenly(t *testing.T) {
	for _, size := range []int{9, 420} {
		if got := maxOverMean(newNodes(size), 150*size); got > 1.3 {
			t.Errorf("%d hosts: got a maximum over mean of %.2f, want under 1.3", size, got)
		}
	}
	remaining := newNodes(9)[:6]
	if got := maxOverMean(remaining, 150*6); got > 1.3 {
		t.Errorf("after three of nine hosts left: got a maximum over mean of %.2f, want under 1.3", got)
	}
}

func TestChooseOmitsFullHostsWhileOthersHaveCapacity(t *testing.T) {
	list := newNodes(3)
	list[0].Load = 10
	random := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		for _, n := range entrychoice.Choose(list, "", random) {
			if n.ID == "n0" {
				t.Fatal("full host n0 chosen while others have spare capacity")
			}
		}
	}
	for i := range list {
		list[i].Load = 10
	}
	if got := len(entrychoice.Choose(list, "", random)); got != 3 {
		t.Errorf("all hosts full: got %d hosts, want 3", got)
	}
}

func TestChoosePutsCallersDataCentreFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		if got := entrychoice.Choose(newNodes(9), "dc1", random)[0].DataCenter; got != "dc1" {
			t.Fatalf("data centre of the first host: got %s, want dc1", got)
		}
	}
}
