package peer_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
)

func newChange(revision int64) config.Change {
	body := fmt.Sprintf(`{"name":"s","kind":"plain","priority":%d}`, revision)
	return config.Change{Revision: revision, Sections: []fleet.Section{fleet.NewSection("service", "s", body)}}
}

func newLeavingEndpoint(id string) endpoint.Info {
	return endpoint.Info{ID: id, Incarnation: 1, State: endpoint.Leaving, Counter: 1}
}

// Checks that a leaving endpoint and a revision reach every node in time as the fleet grows, with
// 5% of the messages retransmitted.
func TestUpdateReachesAllNodes(t *testing.T) {
	for _, size := range []int{3, 9, 30, 100} {
		t.Run(fmt.Sprintf("%d nodes", size), func(t *testing.T) {
			n := newNetwork(t, size, min(size, 6))
			n.loss = 0.05
			n.run(5 * time.Second)
			first := n.nodes["n000"]
			n.send("n000", first.mesh.Publish(peer.Update{Endpoints: []endpoint.Info{newLeavingEndpoint("e1")}, Changes: []config.Change{newChange(1)}}, n.now))
			took := n.runUntil(20*time.Second, func() bool {
				return n.countLiving(func(m *testNode) bool {
					info, _ := m.endpoints.Get("e1")
					return info.State == endpoint.Leaving && m.config.Current().Revision() == 1
				}) == size
			})
			if took > 2*time.Second {
				t.Errorf("known to all nodes after %v, want within 2s", took)
			}
		})
	}
}

// Checks that the messages per node of an idle round and of one update don't grow with the fleet.
func TestMessagesPerNodeStayBounded(t *testing.T) {
	const rounds = 10
	for _, size := range []int{9, 30, 100, 200} {
		n := newNetwork(t, size, min(size/3, 19))
		n.run(8 * time.Second)
		n.sent = map[string]int{}
		n.run(rounds * peer.HeartbeatInterval)
		idle := 0
		for _, count := range n.sent {
			idle += count
		}
		perRound := float64(idle) / rounds / float64(size)
		if perRound > 7 {
			t.Errorf("%d nodes: %.1f messages per node and round, want at most 7", size, perRound)
		}
		n.sent = map[string]int{}
		n.send("n000", n.nodes["n000"].mesh.Publish(peer.Update{Endpoints: []endpoint.Info{newLeavingEndpoint("e1")}}, n.now))
		n.runUntil(900*time.Millisecond, func() bool { return false })
		flooded := 0
		for _, count := range n.sent {
			flooded += count
		}
		perUpdate := float64(flooded)/float64(size) - perRound
		if perUpdate > 7 {
			t.Errorf("%d nodes: %.1f messages per node and update, want at most 7", size, perUpdate)
		}
	}
}

// Checks the number of links that a node dials and is dialled for, up to twice the planned size of
// 420 nodes, without running the mesh.
func TestLinksStayBounded(t *testing.T) {
	for _, size := range []int{9, 100, 420, 840} {
		var nodes []membership.Node
		for i := range size {
			nodes = append(nodes, membership.Node{ID: fmt.Sprintf("n%d", i), Status: membership.Alive, DataCenter: fmt.Sprintf("dc%d", i%19)})
		}
		dialledBy := map[string]int{}
		for _, node := range nodes {
			list := membership.Neighbours(node, nodes)
			if len(list) > 3 {
				t.Errorf("%d nodes: %s dials %d nodes, want at most 3", size, node.ID, len(list))
			}
			for _, other := range list {
				dialledBy[other.ID]++
			}
		}
		for id, count := range dialledBy {
			if count > 10 {
				t.Errorf("%d nodes: %s is dialled by %d nodes, want at most 10", size, id, count)
			}
		}
	}
}

// Kills a node and checks how long it takes until all others know that it is dead.
func TestDeadNodeIsDetected(t *testing.T) {
	n := newNetwork(t, 30, 4)
	n.run(5 * time.Second)
	n.kill("n007")
	took := n.runUntil(time.Minute, func() bool {
		return n.countLiving(func(m *testNode) bool {
			node, _ := m.nodes.Get("n007")
			return node.Status == membership.Dead
		}) == 29
	})
	if took > 10*time.Second {
		t.Errorf("dead at all nodes after %v, want within 10s", took)
	}
}

// Runs for four minutes with 5% of the messages retransmitted and processes paused for up to two
// seconds. Suspicions are raised and refuted, but no node may be declared dead.
func TestPausedNodesAreNotDeclaredDead(t *testing.T) {
	n := newNetwork(t, 30, 4)
	n.loss = 0.05
	for i := range 60 {
		id := fmt.Sprintf("n%03d", (i*7)%30)
		n.nodes[id].paused = true
		n.run(time.Duration(500+25*i) * time.Millisecond)
		n.nodes[id].paused = false
		n.run(3 * time.Second)
	}
	var suspected, declared, refuted int64
	for _, m := range n.nodes {
		c := m.mesh.Counts()
		suspected += c.Suspected
		declared += c.DeclaredDead
		refuted += c.Refuted
	}
	t.Logf("suspected %d, refuted %d, declared %d", suspected, refuted, declared)
	if declared != 0 {
		t.Errorf("nodes declared dead: got %d, want 0", declared)
	}
}

// Pauses a node for a minute. When it resumes, all its links were silent, but it must not declare
// the others dead. The others have declared it dead by then, and it returns in a new incarnation.
func TestLongPauseOfTheObserver(t *testing.T) {
	n := newNetwork(t, 9, 3)
	n.run(5 * time.Second)
	before := n.nodes["n003"].mesh.Self().Incarnation
	n.nodes["n003"].paused = true
	n.run(time.Minute)
	if got := n.statusAt("n000", "n003"); got != membership.Dead {
		t.Errorf("status of a node paused for a minute: got %v, want dead", got)
	}
	n.nodes["n003"].paused = false
	n.run(15 * time.Second)
	for _, id := range n.order {
		if got := n.statusAt("n003", id); got != membership.Alive {
			t.Errorf("status of %s at the resumed node: got %v, want alive", id, got)
		}
		if got := n.statusAt(id, "n003"); got != membership.Alive {
			t.Errorf("status of the resumed node at %s: got %v, want alive", id, got)
		}
	}
	if after := n.nodes["n003"].mesh.Self().Incarnation; after <= before {
		t.Errorf("incarnation after the pause: got %d, before %d; want a higher one", after, before)
	}
}

// Cuts a region off for an hour. Both sides keep working. When the cut ends, the updates of each
// side must reach the other, and endpoints that are leaving must stay so.
func TestPartitionHeals(t *testing.T) {
	n := newNetwork(t, 12, 4)
	n.run(5 * time.Second)
	n.send("n000", n.nodes["n000"].mesh.Publish(peer.Update{Changes: []config.Change{newChange(1)}}, n.now))
	n.run(2 * time.Second)
	far := func(id string) bool { return n.nodes[id].mesh.Self().DataCenter >= "dc02" }
	n.partitioned = func(a, b string) bool { return far(a) != far(b) }
	// Each side closes its cut links after they were silent for long enough.
	n.run(20 * time.Second)
	n.closeLinks(func(e linkEnd) bool { return far(e.owner) != far(e.other) })
	n.run(10 * time.Second)
	n.send("n000", n.nodes["n000"].mesh.Publish(peer.Update{Changes: []config.Change{newChange(2)}, Endpoints: []endpoint.Info{newLeavingEndpoint("near")}}, n.now))
	n.send("n002", n.nodes["n002"].mesh.Publish(peer.Update{Endpoints: []endpoint.Info{newLeavingEndpoint("away")}}, n.now))
	n.run(time.Hour)
	near := n.countLiving(func(m *testNode) bool { return m.config.Current().Revision() == 2 })
	if near != 6 {
		t.Errorf("nodes at revision 2 during the partition: got %d, want the 6 of its side", near)
	}
	n.partitioned = func(string, string) bool { return false }
	took := n.runUntil(5*time.Minute, func() bool {
		return n.countLiving(func(m *testNode) bool {
			a, _ := m.endpoints.Get("near")
			b, _ := m.endpoints.Get("away")
			return m.config.Current().Revision() == 2 && a.State == endpoint.Leaving && b.State == endpoint.Leaving
		}) == 12
	})
	if took > time.Minute {
		t.Errorf("both sides have all updates after %v, want within a minute", took)
	}
	n.run(30 * time.Second)
	for _, id := range n.order {
		if got := len(n.nodes[id].nodes.ServingNodes()); got != 12 {
			t.Errorf("%s: got %d serving nodes after the partition, want 12", id, got)
		}
	}
}

// Starts a node that knows one peer and no store. It must get the configuration and all endpoints
// from that peer.
func TestRestartFromOnePeer(t *testing.T) {
	n := newNetwork(t, 5, 2)
	n.run(5 * time.Second)
	var infos []endpoint.Info
	for i := range 200 {
		infos = append(infos, newLeavingEndpoint(fmt.Sprintf("e%d", i)))
	}
	n.send("n000", n.nodes["n000"].mesh.Publish(peer.Update{Endpoints: infos, Changes: []config.Change{newChange(1), newChange(2), newChange(3)}}, n.now))
	n.run(3 * time.Second)
	m := n.add("n900", "dc00")
	n.connect("n900", "n002")
	took := n.runUntil(time.Minute, func() bool {
		return m.config.Current().Revision() == 3 && len(m.endpoints.View().Infos()) == 200 && len(m.nodes.ServingNodes()) == 6
	})
	if took > 6*time.Second {
		t.Errorf("complete state after %v, want within 6s", took)
	}
}

// Restarts half of the nodes at once, in new incarnations.
func TestMassRestart(t *testing.T) {
	n := newNetwork(t, 12, 3)
	n.run(5 * time.Second)
	for i := range 6 {
		id := fmt.Sprintf("n%03d", i)
		dataCenter := n.nodes[id].mesh.Self().DataCenter
		n.kill(id)
		n.order = n.order[1:]
		restarted := n.add(id, dataCenter)
		var all []membership.Node
		for _, other := range n.nodes {
			all = append(all, other.mesh.Self())
		}
		restarted.mesh.Publish(peer.Update{Nodes: all}, n.now)
	}
	took := n.runUntil(time.Minute, func() bool {
		return n.countLiving(func(m *testNode) bool { return len(m.nodes.ServingNodes()) == 12 }) == 12
	})
	if took > 15*time.Second {
		t.Errorf("all nodes see each other as serving after %v, want within 15s", took)
	}
}
