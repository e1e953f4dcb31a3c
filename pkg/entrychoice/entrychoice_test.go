package entrychoice_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"ironhollow/pkg/entrychoice"
	"ironhollow/pkg/membership"
)

func nodes(count int) []membership.Node {
	var list []membership.Node
	for i := range count {
		list = append(list, membership.Node{ID: fmt.Sprintf("n%d", i), Status: membership.Alive, DataCenter: fmt.Sprintf("dc%d", i%4)})
	}
	return list
}

// spread returns the largest number of callers at one host over the mean.
func spread(list []membership.Node, callers int) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	most := 0
	for range callers {
		first := entrychoice.Choose(list, "", random)[0]
		counts[first.ID]++
		most = max(most, counts[first.ID])
	}
	return float64(most) * float64(len(list)) / float64(callers)
}

func TestAnswersSpreadCallers(t *testing.T) {
	for _, size := range []int{9, 420} {
		if got := spread(nodes(size), 150*size); got > 1.3 {
			t.Errorf("%d hosts: got max/mean %.2f, want under 1.3", size, got)
		}
	}
	left := nodes(9)[:6]
	if got := spread(left, 150*6); got > 1.3 {
		t.Errorf("after three of nine hosts left: got max/mean %.2f, want under 1.3", got)
	}
}

func TestFullHostsAreLeftOutWhileOthersHaveRoom(t *testing.T) {
	list := nodes(3)
	list[0].Load = 10
	random := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		for _, n := range entrychoice.Choose(list, "", random) {
			if n.ID == "n0" {
				t.Fatal("a full host is named while others have room")
			}
		}
	}
	for i := range list {
		list[i].Load = 10
	}
	if got := len(entrychoice.Choose(list, "", random)); got != 3 {
		t.Errorf("all are full: got %d hosts named, want 3", got)
	}
}

func TestCallersDataCentreComesFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		if got := entrychoice.Choose(nodes(9), "dc1", random)[0].DataCenter; got != "dc1" {
			t.Fatalf("got %s first, want dc1", got)
		}
	}
}
