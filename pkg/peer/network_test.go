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

// network carries messages between a few meshes in virtual time. It knows
// links, loss and cuts, and nothing of processes or hosts.
type network struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	loss   float64
	// cut reports whether two nodes can't reach each other at the moment.
	cut    func(a, b string) bool
	nodes  map[string]*member
	order  []string
	queue  []delivery
	links  map[peer.Link]end
	nextID peer.Link
	// retry holds until when a lost message holds its link up.
	sent map[string]int
}

// member is one node.
type member struct {
	mesh      *peer.Mesh
	nodes     *membership.Table
	endpoints *endpoint.Directory
	config    *config.Holder
	paused    bool
	killed    bool
	round     int
	failed    map[string]int
}

// end is one side of a link: who holds it, and the other side.
type end struct {
	owner, other string
	otherLink    peer.Link
}

type delivery struct {
	at      time.Time
	link    peer.Link
	message peer.Message
}

const (
	hop  = 5 * time.Millisecond
	tick = 100 * time.Millisecond
)

func newNetwork(t *testing.T, count, centres int) *network {
	n := &network{
		t: t, now: time.UnixMilli(1_800_000_000_000), random: rand.New(rand.NewPCG(1, 2)),
		cut: func(string, string) bool { return false }, nodes: map[string]*member{}, links: map[peer.Link]end{}, sent: map[string]int{},
	}
	for i := range count {
		n.add(fmt.Sprintf("n%03d", i), fmt.Sprintf("dc%02d", i%centres))
	}
	// Every node has read the registrations at its start.
	for _, id := range n.order {
		var all []membership.Node
		for _, other := range n.order {
			all = append(all, n.nodes[other].mesh.Self())
		}
		n.nodes[id].mesh.Tell(peer.News{Nodes: all}, n.now)
	}
	return n
}

func (n *network) add(id, centre string) *member {
	m := &member{nodes: membership.NewTable(), endpoints: endpoint.NewDirectory(), config: config.NewHolder(), failed: map[string]int{}}
	self := membership.Node{ID: id, Incarnation: n.now.UnixMilli(), DataCenter: centre, PeerAddress: id, Ready: true}
	m.mesh = peer.NewMesh(self, m.nodes, m.endpoints, m.config)
	n.nodes[id] = m
	n.order = append(n.order, id)
	sort.Strings(n.order)
	return m
}

func (n *network) send(from string, out []peer.Out) {
	for _, o := range out {
		e, ok := n.links[o.Link]
		if !ok {
			continue
		}
		n.sent[from]++
		delay := hop
		if n.random.Float64() < n.loss {
			delay += 250 * time.Millisecond // TCP sends it again.
		}
		n.queue = append(n.queue, delivery{n.now.Add(delay), e.otherLink, o.Message})
	}
}

// connect makes a link between two nodes if they can reach each other.
func (n *network) connect(a, b string) bool {
	ma, mb := n.nodes[a], n.nodes[b]
	if mb == nil || mb.killed || mb.paused || n.cut(a, b) {
		return false
	}
	la, lb := n.nextID+1, n.nextID+2
	n.nextID += 2
	n.links[la], n.links[lb] = end{a, b, lb}, end{b, a, la}
	n.send(a, ma.mesh.Up(la, peer.Hello{Node: mb.mesh.Self(), Role: peer.RoleEntry}, n.now))
	n.send(b, mb.mesh.Up(lb, peer.Hello{Node: ma.mesh.Self(), Role: peer.RoleEntry}, n.now))
	return true
}

// drop closes the links for which broken is true.
func (n *network) drop(broken func(e end) bool) {
	var links []peer.Link
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
			n.send(owner, m.mesh.Down(link))
		}
	}
}

// run lets time pass.
func (n *network) run(d time.Duration) { n.runUntil(d, func() bool { return false }) }

// runUntil lets time pass until done, and returns how long that took.
func (n *network) runUntil(d time.Duration, done func() bool) time.Duration {
	begun := n.now
	for n.now.Sub(begun) < d && !done() {
		n.now = n.now.Add(tick / 20)
		n.deliver()
		if n.now.UnixMilli()%tick.Milliseconds() == 0 {
			n.tickAll()
		}
	}
	return n.now.Sub(begun)
}

func (n *network) deliver() {
	var later []delivery
	due := n.queue
	n.queue = nil
	for _, d := range due {
		e, ok := n.links[d.link]
		switch {
		case !ok:
		case d.at.After(n.now) || n.nodes[e.owner].paused || n.cut(e.owner, e.other):
			// A cut link holds its messages until it is closed.
			later = append(later, d)
		case !n.nodes[e.owner].killed:
			n.send(e.owner, n.nodes[e.owner].mesh.Receive(d.link, d.message, n.now))
		}
	}
	n.queue = append(later, n.queue...)
}

// tickAll gives each node its heartbeat and lets it dial, at its own phase.
func (n *network) tickAll() {
	phases := int(peer.Heartbeat / tick)
	step := int(n.now.UnixMilli()/tick.Milliseconds()) % phases
	for i, id := range n.order {
		m := n.nodes[id]
		if i%phases != step || m.killed || m.paused {
			continue
		}
		n.send(id, m.mesh.Tick(n.now))
		m.round++
		for _, target := range m.mesh.Dial(m.round) {
			if n.connect(id, target.ID) {
				m.failed[target.ID] = 0
				continue
			}
			m.failed[target.ID]++
			if m.failed[target.ID] >= 3 && target.Status == membership.Alive {
				n.send(id, m.mesh.Unreachable(target.ID, n.now))
			}
		}
	}
}

// kill ends a node; its links close.
func (n *network) kill(id string) {
	n.nodes[id].killed = true
	n.drop(func(e end) bool { return e.owner == id || e.other == id })
}

// knownTo counts the living nodes for which known is true.
func (n *network) knownTo(known func(m *member) bool) int {
	count := 0
	for _, m := range n.nodes {
		if !m.killed && known(m) {
			count++
		}
	}
	return count
}

func (n *network) living() int { return n.knownTo(func(*member) bool { return true }) }

// statusAt returns what a node thinks of another.
func (n *network) statusAt(at, of string) membership.Status {
	node, _ := n.nodes[at].nodes.Get(of)
	return node.Status
}
