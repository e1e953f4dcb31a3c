package membership_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/membership"
)

// TestMain fixes the seed of the property tests, so that each run has the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

func generateNode(t *rapid.T) membership.Node {
	counter := rapid.Int64Range(0, 3).Draw(t, "counter")
	return membership.Node{
		ID: "n", Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"), Counter: counter,
		Status: membership.Status(rapid.IntRange(1, 3).Draw(t, "status")), Leaving: rapid.Bool().Draw(t, "leaving"),
		// Only the node itself changes these, and increases the counter with them.
		Load: int(counter),
	}
}

// TestNodesConverge applies the same updates in two orders. Both tables must end with equal nodes
// and digests, and Leaving and Dead must never be undone.
func TestNodesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var updates []membership.Node
		for range rapid.IntRange(1, 12).Draw(rt, "count") {
			updates = append(updates, generateNode(rt))
		}
		a, b := membership.NewTable(), membership.NewTable()
		current := membership.Node{}
		for _, n := range updates {
			next, _ := a.Merge(n)
			if next.Incarnation == current.Incarnation && ((current.Leaving && !next.Leaving) || (current.Status == membership.Dead && next.Status != membership.Dead)) {
				rt.Fatalf("state regressed from %+v to %+v", current, next)
			}
			current = next
		}
		for _, i := range rapid.Permutation(indexes(len(updates))).Draw(rt, "order") {
			b.Merge(updates[i])
		}
		x, _ := a.Get("n")
		y, _ := b.Get("n")
		if x != y || a.Sums() != b.Sums() {
			rt.Fatalf("got %+v and %+v, want equal tables", x, y)
		}
	})
}

// TestEndpointsConverge does the same for endpoints.
func TestEndpointsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var updates []endpoint.Info
		for range rapid.IntRange(1, 12).Draw(rt, "count") {
			counter := rapid.Int64Range(0, 3).Draw(rt, "counter")
			updates = append(updates, endpoint.Info{
				ID: "e", Incarnation: rapid.Int64Range(1, 3).Draw(rt, "incarnation"), Counter: counter,
				State: endpoint.State(rapid.IntRange(1, 3).Draw(rt, "state")), Model: fmt.Sprint(counter),
			})
		}
		a, b := endpoint.NewDirectory(), endpoint.NewDirectory()
		current := endpoint.Info{}
		for _, n := range updates {
			next, _ := a.Merge(n)
			if next.Incarnation == current.Incarnation && next.State < current.State {
				rt.Fatalf("state regressed from %v to %v", current.State, next.State)
			}
			current = next
		}
		for _, i := range rapid.Permutation(indexes(len(updates))).Draw(rt, "order") {
			b.Merge(updates[i])
		}
		x, _ := a.Get("e")
		y, _ := b.Get("e")
		if x != y || a.BucketSums() != b.BucketSums() {
			rt.Fatalf("got %+v and %+v, want equal tables", x, y)
		}
	})
}

func indexes(count int) []int {
	list := make([]int, count)
	for i := range list {
		list[i] = i
	}
	return list
}

// TestRemovingANodeMovesOnlyItsKeys removes a node: only the keys that rank it first may move.
func TestRemovingANodeMovesOnlyItsKeys(t *testing.T) {
	var nodes []membership.Node
	for i := range 20 {
		nodes = append(nodes, membership.Node{ID: fmt.Sprint(i)})
	}
	for k := range 200 {
		key := fmt.Sprint("key", k)
		before := membership.TopByHash(key, nodes, 1)[0].ID
		after := membership.TopByHash(key, nodes[:19], 1)[0].ID
		if before != "19" && before != after {
			t.Errorf("%s: moved from %s to %s although %s is still present", key, before, after, before)
		}
		if rank := membership.RankOf(key, before, nodes); rank != 0 {
			t.Errorf("%s: got rank %d, want 0", key, rank)
		}
	}
}
