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

// TestMain fixes the seed of property tests: the same verdict on each run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

func drawNode(t *rapid.T) membership.Node {
	counter := rapid.Int64Range(0, 3).Draw(t, "counter")
	return membership.Node{
		ID: "n", Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"), Counter: counter,
		Status: membership.Status(rapid.IntRange(1, 3).Draw(t, "status")), Leaving: rapid.Bool().Draw(t, "leaving"),
		// Only the node itself changes these, and raises the counter with them.
		Load: int(counter),
	}
}

// TestNodesConverge hears the same news in two orders: both know the same in
// the end, their digests are equal, and leaving and death were never undone.
func TestNodesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var news []membership.Node
		for range rapid.IntRange(1, 12).Draw(rt, "count") {
			news = append(news, drawNode(rt))
		}
		a, b := membership.NewTable(), membership.NewTable()
		held := membership.Node{}
		for _, n := range news {
			next, _ := a.Merge(n)
			if next.Incarnation == held.Incarnation && ((held.Leaving && !next.Leaving) || (held.Status == membership.Dead && next.Status != membership.Dead)) {
				rt.Fatalf("%+v went back to %+v", held, next)
			}
			held = next
		}
		for _, i := range rapid.Permutation(indexes(len(news))).Draw(rt, "order") {
			b.Merge(news[i])
		}
		x, _ := a.Get("n")
		y, _ := b.Get("n")
		if x != y || a.Sums() != b.Sums() {
			rt.Fatalf("got %+v and %+v, want the same", x, y)
		}
	})
}

// TestEndpointsConverge is the same for endpoints.
func TestEndpointsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var news []endpoint.Info
		for range rapid.IntRange(1, 12).Draw(rt, "count") {
			counter := rapid.Int64Range(0, 3).Draw(rt, "counter")
			news = append(news, endpoint.Info{
				ID: "e", Incarnation: rapid.Int64Range(1, 3).Draw(rt, "incarnation"), Counter: counter,
				State: endpoint.State(rapid.IntRange(1, 3).Draw(rt, "state")), Model: fmt.Sprint(counter),
			})
		}
		a, b := endpoint.NewDirectory(), endpoint.NewDirectory()
		held := endpoint.Info{}
		for _, n := range news {
			next, _ := a.Merge(n)
			if next.Incarnation == held.Incarnation && next.State < held.State {
				rt.Fatalf("%v went back to %v", held.State, next.State)
			}
			held = next
		}
		for _, i := range rapid.Permutation(indexes(len(news))).Draw(rt, "order") {
			b.Merge(news[i])
		}
		x, _ := a.Get("e")
		y, _ := b.Get("e")
		if x != y || a.BucketSums() != b.BucketSums() {
			rt.Fatalf("got %+v and %+v, want the same", x, y)
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

// TestRanksMoveLittle takes a node away: only the keys it ranked first change
// hands.
func TestRanksMoveLittle(t *testing.T) {
	var nodes []membership.Node
	for i := range 20 {
		nodes = append(nodes, membership.Node{ID: fmt.Sprint(i)})
	}
	for k := range 200 {
		key := fmt.Sprint("key", k)
		before := membership.TopByHash(key, nodes, 1)[0].ID
		after := membership.TopByHash(key, nodes[:19], 1)[0].ID
		if before != "19" && before != after {
			t.Errorf("%s: went from %s to %s although %s is there", key, before, after, before)
		}
		if rank := membership.RankOf(key, before, nodes); rank != 0 {
			t.Errorf("%s: got rank %d, want 0", key, rank)
		}
	}
}
