package peer_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
)

// network carries messages between meshes in virtual time. It simulates links, retransmissions and
// partitions, but not processes or hosts.
type network struct {
	t    *testing.T
	now  time.Time
	rng  *rand.Rand
	loss float64
	// partitioned reports whether two nodes cannot reach each other now.
	partitioned func(a, b string) bool
	nodes       map[string]*testNode
	order       []string
	queue       []delivery
	links       map[peer.LinkID]linkEnd
	nextID      peer.LinkID
	// sent counts the messages that each node sent.
	sent map[string]int
}

type testNode struct {
	mesh      *peer.Mesh
	nodes     *membership.Table
	endpoints *endpoint.Directory
	config    *config.Holder
	paused    bool
	killed    bool
	round     int
	failed    map[string]int
}

// linkEnd is one side of a link: the node that owns it, and the other node.
type linkEnd struct {
	owner, other string
	otherLink    peer.LinkID
}

type delivery struct {
	at      time.Time
	link    peer.LinkID
	message peer.Message
}

const (
	linkDelay    = 5 * time.Millisecond
	tickInterval = 100 * time.Millisecond
)

func newNetwork(t *testing.T, count, dataCenters int) *network {
	n := &network{
		t: t, now: time.UnixMilli(1_800_000_000_000), rng: rand.New(rand.NewPCG(1, 2)),
		partitioned: func(string, string) bool { return false }, nodes: map[string]*testNode{}, links: map[peer.LinkID]linkEnd{}, sent: map[string]int{},
	}
	for i := range count {
		n.add(fmt.Sprintf("n%03d", i), fmt.Sprintf("dc%02d", i%dataCenters))
	}
	// Every node reads the registrations when it starts.
	for _, id := range n.order {
		var all []membership.Node
		for _, other := range n.order {
			all = append(all, n.nodes[other].mesh.Self())
		}
		n.nodes[id].mesh.Publish(peer.Update{Nodes: all}, n.now)
	}
	return n
}

func (n *network) add(id, dataCenter string) *testNode {
	m := &testNode{nodes: membership.NewTable(), endpoints: endpoint.NewDirectory(), config: config.NewHolder(), failed: map[string]int{}}
	self := membership.Node{ID: id, Incarnation: n.now.UnixMilli(), DataCenter: dataCenter, PeerAddress: id, Ready: true}
	m.mesh = peer.NewMesh(self, m.nodes, m.endpoints, m.config)
	n.nodes[id] = m
	n.order = append(n.order, id)
	sort.Strings(n.order)
	return m
}

func (n *network) send(from string, out []peer.Outgoing) {
	for _, o := range out {
		e, ok := n.links[o.Link]
		if !ok {
			continue
		}
		n.sent[from]++
		delay := linkDelay
		if n.rng.Float64() < n.loss {
			delay += 250 * time.Millisecond // TCP retransmits the message.
		}
		n.queue = append(n.queue, delivery{n.now.Add(delay), e.otherLink, o.Message})
	}
}

// connect creates a link between two nodes if they can reach each other.
func (n *network) connect(a, b string) bool {
	ma, mb := n.nodes[a], n.nodes[b]
	if mb == nil || mb.killed || mb.paused || n.partitioned(a, b) {
		return false
	}
	la, lb := n.nextID+1, n.nextID+2
	n.nextID += 2
	n.links[la], n.links[lb] = linkEnd{a, b, lb}, linkEnd{b, a, la}
	n.send(a, ma.mesh.LinkUp(la, peer.Hello{Node: mb.mesh.Self(), Role: peer.RoleEntry}, n.now))
	n.send(b, mb.mesh.LinkUp(lb, peer.Hello{Node: ma.mesh.Self(), Role: peer.RoleEntry}, n.now))
	return true
}

// closeLinks closes the links for which broken returns true.
func (n *network) closeLinks(broken func(e linkEnd) bool) {
	var links []peer.LinkID
	for link, e := range n.links {
		if broken(e) {
			links = append(links, link)
		}
	}
	sort.Slice(links, func(i, j int) bool { return links[i] < links[j] })
	for _, link := range links {
		owner := n.links[link].owner
		delete(n.links, link)
		if m := n.nodes[owner]; !m.killed && !m.paused {
			n.send(owner, m.mesh.LinkDown(link))
		}
	}
}

// run advances the time by d.
func (n *network) run(d time.Duration) { n.runUntil(d, func() bool { return false }) }

// runUntil advances the time until done returns true, at most by d, and returns the time passed.
func (n *network) runUntil(d time.Duration, done func() bool) time.Duration {
	start := n.now
	for n.now.Sub(start) < d && !done() {
		n.now = n.now.Add(tickInterval / 20)
		n.deliver()
		if n.now.UnixMilli()%tickInterval.Milliseconds() == 0 {
			n.tickAll()
		}
	}
	return n.now.Sub(start)
}

func (n *network) deliver() {
	var later []delivery
	due := n.queue
	n.queue = nil
	for _, d := range due {
		e, ok := n.links[d.link]
		switch {
		case !ok:
		case d.at.After(n.now) || n.nodes[e.owner].paused || n.partitioned(e.owner, e.other):
			// A link across a partition keeps its messages until it is closed.
			later = append(later, d)
		case !n.nodes[e.owner].killed:
			n.send(e.owner, n.nodes[e.owner].mesh.Receive(d.link, d.message, n.now))
		}
	}
	n.queue = append(later, n.queue...)
}

// tickAll ticks the nodes whose phase it is, and lets them dial.
func (n *network) tickAll() {
	phases := int(peer.HeartbeatInterval / tickInterval)
	phase := int(n.now.UnixMilli()/tickInterval.Milliseconds()) % phases
	for i, id := range n.order {
		m := n.nodes[id]
		if i%phases != phase || m.killed || m.paused {
			continue
		}
		n.send(id, m.mesh.Tick(n.now))
		m.round++
		for _, target := range m.mesh.NodesToDial(m.round) {
			if n.connect(id, target.ID) {
				m.failed[target.ID] = 0
				continue
			}
			m.failed[target.ID]++
			if m.failed[target.ID] >= 3 && target.Status == membership.Alive {
				n.send(id, m.mesh.MarkUnreachable(target.ID, n.now))
			}
		}
	}
}

// kill stops a node and closes its links.
func (n *network) kill(id string) {
	n.nodes[id].killed = true
	n.closeLinks(func(e linkEnd) bool { return e.owner == id || e.other == id })
}

// countLiving counts the living nodes for which matches returns true.
func (n *network) countLiving(matches func(m *testNode) bool) int {
	count := 0
	for _, m := range n.nodes {
		if !m.killed && matches(m) {
			count++
		}
	}
	return count
}

func (n *network) living() int { return n.countLiving(func(*testNode) bool { return true }) }

// statusAt returns the status of a node as seen by another.
func (n *network) statusAt(observer, id string) membership.Status {
	node, _ := n.nodes[observer].nodes.Get(id)
	return node.Status
}
