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

func change(revision int64) config.Change {
	body := fmt.Sprintf(`{"name":"s","kind":"plain","priority":%d}`, revision)
	return config.Change{Revision: revision, Sections: []fleet.Section{fleet.NewSection("service", "s", body)}}
}

func leaving(id string) endpoint.Info {
	return endpoint.Info{ID: id, Incarnation: 1, State: endpoint.Leaving, Counter: 1}
}

// TestNewsReachesAll measures how long a leaving endpoint and a revision take
// to every node, as the fleet grows, with messages lost on the way.
func TestNewsReachesAll(t *testing.T) {
	for _, size := range []int{3, 9, 30, 100} {
		t.Run(fmt.Sprintf("%d nodes", size), func(t *testing.T) {
			n := newNetwork(t, size, min(size, 6))
			n.loss = 0.05
			n.run(5 * time.Second)
			first := n.nodes["n000"]
			n.send("n000", first.mesh.Publish(peer.Update{Endpoints: []endpoint.Info{leaving("e1")}, Changes: []config.Change{change(1)}}, n.now))
			took := n.runUntil(20*time.Second, func() bool {
				return n.knownTo(func(m *member) bool {
					info, _ := m.endpoints.Get("e1")
					return info.State == endpoint.Leaving && m.config.Current().Revision() == 1
				}) == size
			})
			if took > 2*time.Second {
				t.Errorf("known to all after %v, want within 2s", took)
			}
		})
	}
}

// TestMessagesPerNodeStayBounded holds the cost of a quiet round, and of one
// piece of news, as the fleet grows: neither may grow with it.
func TestMessagesPerNodeStayBounded(t *testing.T) {
	const rounds = 10
	for _, size := range []int{9, 30, 100, 200} {
		n := newNetwork(t, size, min(size/3, 19))
		n.run(8 * time.Second)
		n.sent = map[string]int{}
		n.run(rounds * peer.HeartbeatInterval)
		quiet := 0
		for _, count := range n.sent {
			quiet += count
		}
		perRound := float64(quiet) / rounds / float64(size)
		if perRound > 7 {
			t.Errorf("%d nodes: %.1f messages for a node and round, want 7 at most", size, perRound)
		}
		n.sent = map[string]int{}
		n.send("n000", n.nodes["n000"].mesh.Publish(peer.Update{Endpoints: []endpoint.Info{leaving("e1")}}, n.now))
		n.runUntil(900*time.Millisecond, func() bool { return false })
		news := 0
		for _, count := range n.sent {
			news += count
		}
		perNews := float64(news)/float64(size) - perRound
		if perNews > 7 {
			t.Errorf("%d nodes: %.1f messages for a node and piece of news, want 7 at most", size, perNews)
		}
	}
}

// TestLinksStayBounded holds the number of links that a node makes and is asked
// for at the planned size, without running it.
func TestLinksStayBounded(t *testing.T) {
	for _, size := range []int{9, 100, 420, 840} {
		var nodes []membership.Node
		for i := range size {
			nodes = append(nodes, membership.Node{ID: fmt.Sprintf("n%d", i), Status: membership.Alive, DataCenter: fmt.Sprintf("dc%d", i%19)})
		}
		asked := map[string]int{}
		for _, node := range nodes {
			list := membership.Neighbours(node, nodes)
			if len(list) > 3 {
				t.Errorf("%d nodes: %s dials %d, want 3 at most", size, node.ID, len(list))
			}
			for _, other := range list {
				asked[other.ID]++
			}
		}
		for id, count := range asked {
			if count > 10 {
				t.Errorf("%d nodes: %s is dialled by %d, want 10 at most", size, id, count)
			}
		}
	}
}

// TestDeadNodeIsFound kills a node and measures how long all take to know.
func TestDeadNodeIsFound(t *testing.T) {
	n := newNetwork(t, 30, 4)
	n.run(5 * time.Second)
	n.kill("n007")
	took := n.runUntil(time.Minute, func() bool {
		return n.knownTo(func(m *member) bool {
			node, _ := m.nodes.Get("n007")
			return node.Status == membership.Dead
		}) == 29
	})
	if took > 10*time.Second {
		t.Errorf("known dead to all after %v, want within 10s", took)
	}
}

// TestNobodyIsWronglyDead runs five minutes at 5% loss, with processes paused
// for up to two seconds: suspicions are raised and refuted, nobody is declared
// dead, and a pause of the observer is noticed.
func TestNobodyIsWronglyDead(t *testing.T) {
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
		t.Errorf("declared dead: got %d, want 0", declared)
	}
}

// TestLongPauseOfTheObserver pauses one node for a minute: it wakes up with all
// links silent, and must not think that everyone else died. The others have
// declared it dead by then, and it comes back in a new incarnation.
func TestLongPauseOfTheObserver(t *testing.T) {
	n := newNetwork(t, 9, 3)
	n.run(5 * time.Second)
	before := n.nodes["n003"].mesh.Self().Incarnation
	n.nodes["n003"].paused = true
	n.run(time.Minute)
	if got := n.statusAt("n000", "n003"); got != membership.Dead {
		t.Errorf("paused for a minute: got %v, want dead", got)
	}
	n.nodes["n003"].paused = false
	n.run(15 * time.Second)
	for _, id := range n.order {
		if got := n.statusAt("n003", id); got != membership.Alive {
			t.Errorf("%s as seen by the node that woke up: got %v, want alive", id, got)
		}
		if got := n.statusAt(id, "n003"); got != membership.Alive {
			t.Errorf("the node that woke up as seen by %s: got %v, want alive", id, got)
		}
	}
	if after := n.nodes["n003"].mesh.Self().Incarnation; after <= before {
		t.Errorf("incarnation: got %d after %d, want a later one", after, before)
	}
}

// TestPartitionAndReunion cuts a region off for an hour. Both sides go on; the
// news of each reaches the other when the cut is over, and leaving stays so.
func TestPartitionAndReunion(t *testing.T) {
	n := newNetwork(t, 12, 4)
	n.run(5 * time.Second)
	n.send("n000", n.nodes["n000"].mesh.Publish(peer.Update{Changes: []config.Change{change(1)}}, n.now))
	n.run(2 * time.Second)
	far := func(id string) bool { return n.nodes[id].mesh.Self().DataCenter >= "dc02" }
	n.cut = func(a, b string) bool { return far(a) != far(b) }
	// Either side closes its cut links once they were silent for long enough.
	n.run(20 * time.Second)
	n.drop(func(e end) bool { return far(e.owner) != far(e.other) })
	n.run(10 * time.Second)
	n.send("n000", n.nodes["n000"].mesh.Publish(peer.Update{Changes: []config.Change{change(2)}, Endpoints: []endpoint.Info{leaving("near")}}, n.now))
	n.send("n002", n.nodes["n002"].mesh.Publish(peer.Update{Endpoints: []endpoint.Info{leaving("away")}}, n.now))
	n.run(time.Hour)
	near := n.knownTo(func(m *member) bool { return m.config.Current().Revision() == 2 })
	if near != 6 {
		t.Errorf("revision 2 while cut off: got %d nodes, want the 6 of its side", near)
	}
	n.cut = func(string, string) bool { return false }
	took := n.runUntil(5*time.Minute, func() bool {
		return n.knownTo(func(m *member) bool {
			a, _ := m.endpoints.Get("near")
			b, _ := m.endpoints.Get("away")
			return m.config.Current().Revision() == 2 && a.State == endpoint.Leaving && b.State == endpoint.Leaving
		}) == 12
	})
	if took > time.Minute {
		t.Errorf("both sides know all after %v, want within a minute", took)
	}
	n.run(30 * time.Second)
	for _, id := range n.order {
		if got := len(n.nodes[id].nodes.ServingNodes()); got != 12 {
			t.Errorf("%s: got %d nodes alive after the reunion, want 12", id, got)
		}
	}
}

// TestRestartFromPeersAlone starts a node that knows one peer and no store: it
// has the configuration and all endpoints from it.
func TestRestartFromPeersAlone(t *testing.T) {
	n := newNetwork(t, 5, 2)
	n.run(5 * time.Second)
	var infos []endpoint.Info
	for i := range 200 {
		infos = append(infos, leaving(fmt.Sprintf("e%d", i)))
	}
	n.send("n000", n.nodes["n000"].mesh.Publish(peer.Update{Endpoints: infos, Changes: []config.Change{change(1), change(2), change(3)}}, n.now))
	n.run(3 * time.Second)
	m := n.add("n900", "dc00")
	n.connect("n900", "n002")
	took := n.runUntil(time.Minute, func() bool {
		return m.config.Current().Revision() == 3 && len(m.endpoints.View().Infos()) == 200 && len(m.nodes.ServingNodes()) == 6
	})
	if took > 6*time.Second {
		t.Errorf("has all after %v, want within 6s", took)
	}
}

// TestMassRestart restarts half of the nodes at once under new incarnations.
func TestMassRestart(t *testing.T) {
	n := newNetwork(t, 12, 3)
	n.run(5 * time.Second)
	for i := range 6 {
		id := fmt.Sprintf("n%03d", i)
		centre := n.nodes[id].mesh.Self().DataCenter
		n.kill(id)
		n.order = n.order[1:]
		fresh := n.add(id, centre)
		var all []membership.Node
		for _, other := range n.nodes {
			all = append(all, other.mesh.Self())
		}
		fresh.mesh.Publish(peer.Update{Nodes: all}, n.now)
	}
	took := n.runUntil(time.Minute, func() bool {
		return n.knownTo(func(m *member) bool { return len(m.nodes.ServingNodes()) == 12 }) == 12
	})
	if took > 15*time.Second {
		t.Errorf("all are known alive after %v, want within 15s", took)
	}
}
