package peer

import (
	"sort"
	"sync"
	"time"

	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/membership"
)

// Timing of the mesh.
const (
	// HeartbeatInterval is the time between digests on a link.
	HeartbeatInterval = time.Second
	// silence is how long a link may be silent before its peer is suspected.
	silence = 3 * HeartbeatInterval
	// refutation is how long a suspect has to speak up before it counts as dead.
	refutation = 3 * time.Second
	// pauseSign is a gap between ticks after which this process takes it that
	// it was paused itself, and distrusts what it thinks of others.
	pauseSign = 2500 * time.Millisecond
	// pullAfter is how many digests in a row must differ before a pull: news
	// on its way makes digests differ for a moment.
	pullAfter = 2
)

// LinkID names one connection of this process.
type LinkID int64

// Outgoing is a message to be sent on a link.
type Outgoing struct {
	Link    LinkID
	Message Message
}

// Mesh is the protocol between entries, without I/O: what comes in and the time
// are passed to it, and it returns what is to be sent. It is safe for
// concurrent use.
type Mesh struct {
	nodes     *membership.Table
	endpoints *endpoint.Directory
	config    *config.Holder

	// follower says that this process is no member: it hears and tells.
	follower bool

	mu   sync.Mutex
	self membership.Node
	// links are the live connections that have said hello.
	links    map[LinkID]*linkState
	lastTick time.Time
	ticks    int64
	// suspects holds since when each suspected incarnation has been one.
	suspects map[suspect]time.Time
	demand   *diffusion
	counts   Counts
}

// linkState is one link's state.
type linkState struct {
	node  membership.Node
	role  Role
	heard time.Time
	// usedAt is when something beside the mesh's own messages last went over
	// the link; zero for never.
	usedAt time.Time
	// isExtra marks a link in use that the mesh does not ask for.
	isExtra bool
	// differs counts digests in a row that differ from ours.
	differs int
}

type suspect struct {
	id          string
	incarnation int64
	counter     int64
}

// Counts are the mesh's own counters.
type Counts struct {
	Sent, Received int64
	// Suspected counts suspicions raised here, Refuted those against this node,
	// DeclaredDead nodes declared dead here.
	Suspected, Refuted, DeclaredDead int64
	Pulls                            int64
	Pauses                           int64
}

// NewMesh returns the mesh of one entry. The incarnation of self must be
// greater than that of any earlier start of the node.
func NewMesh(self membership.Node, nodes *membership.Table, endpoints *endpoint.Directory, holder *config.Holder) *Mesh {
	self.Status = membership.Alive
	nodes.Merge(self)
	return &Mesh{
		nodes: nodes, endpoints: endpoints, config: holder, self: self,
		links: map[LinkID]*linkState{}, suspects: map[suspect]time.Time{}, demand: newDiffusion(),
	}
}

// NewAttached returns the mesh's side of a process that is attached to an
// entry: it hears all news and tells its own, but is no member itself.
func NewAttached(self membership.Node, nodes *membership.Table, endpoints *endpoint.Directory, holder *config.Holder) *Mesh {
	return &Mesh{
		nodes: nodes, endpoints: endpoints, config: holder, self: self, follower: true,
		links: map[LinkID]*linkState{}, suspects: map[suspect]time.Time{}, demand: newDiffusion(),
	}
}

// Self returns this node as it shows itself.
func (m *Mesh) Self() membership.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Counts returns the counters so far.
func (m *Mesh) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Links returns the nodes linked to, by link.
func (m *Mesh) Links() map[LinkID]membership.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make(map[LinkID]membership.Node, len(m.links))
	for link, state := range m.links {
		if state.role == RoleEntry {
			list[link] = state.node
		}
	}
	return list
}

// LinkUp notes a link whose other side has said hello, and tells it what it lacks
// by a digest at once. A control process that comes shows on this node.
func (m *Mesh) LinkUp(link LinkID, hello Hello, now time.Time) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[link] = &linkState{node: hello.Node, role: hello.Role, heard: now}
	out := []Outgoing{{link, m.digest(hello.Role)}}
	if hello.Role == RoleControl {
		return append(out, m.showControl()...)
	}
	var news Update
	m.mergeNode(hello.Node, now, &news)
	if !m.follower {
		out = m.send(out, link, Update{Nodes: []membership.Node{m.self}})
	}
	return append(out, m.flood(news, link)...)
}

// LinkDown notes that a link is closed. A node to which no link is left is
// suspected at the next tick by its silence, not at once: it may be restarting
// its connection.
func (m *Mesh) LinkDown(link LinkID) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.links[link]
	delete(m.links, link)
	if ok && state.role == RoleControl {
		return m.showControl()
	}
	return nil
}

// showControl tells whether a control process is attached.
func (m *Mesh) showControl() []Outgoing {
	attached := false
	for _, state := range m.links {
		attached = attached || state.role == RoleControl
	}
	return m.changeSelf(func(n *membership.Node) bool {
		changed := n.HasControl != attached
		n.HasControl = attached
		return changed
	})
}

// changeSelf changes this node and floods it. The lock is held.
func (m *Mesh) changeSelf(change func(*membership.Node) bool) []Outgoing {
	if !change(&m.self) {
		return nil
	}
	m.self.Counter++
	m.nodes.Merge(m.self)
	return m.flood(Update{Nodes: []membership.Node{m.self}}, 0)
}

// usedFor is how long a link that the mesh does not ask for is kept after it
// was last used.
const usedFor = 5 * time.Minute

// MarkUsed notes that a link carried something beside the mesh's own messages.
func (m *Mesh) MarkUsed(link LinkID, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state, ok := m.links[link]; ok {
		state.usedAt = now
	}
}

// Leave shows this node as leaving.
func (m *Mesh) Leave() []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changeSelf(func(n *membership.Node) bool {
		changed := !n.Leaving
		n.Leaving = true
		return changed
	})
}

// SetReady shows this node as ready to serve.
func (m *Mesh) SetReady() []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changeSelf(func(n *membership.Node) bool {
		changed := !n.Ready
		n.Ready = true
		return changed
	})
}

// SetLoad shows this node's load in tenths of its capacity.
func (m *Mesh) SetLoad(tenths int) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changeSelf(func(n *membership.Node) bool {
		changed := n.Load != tenths
		n.Load = tenths
		return changed
	})
}

// Publish takes in news that this process learned by itself, and floods it.
func (m *Mesh) Publish(news Update, now time.Time) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.take(news, 0, now)
}

// Receive takes in a message.
func (m *Mesh) Receive(link LinkID, message Message, now time.Time) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.links[link]
	if !ok {
		return nil
	}
	m.counts.Received++
	state.heard = now
	switch message := message.(type) {
	case Digest:
		return m.compare(link, state, message)
	case Pull:
		return m.answer(link, message)
	case Update:
		return m.take(message, link, now)
	}
	return nil
}

func (m *Mesh) send(out []Outgoing, link LinkID, message Message) []Outgoing {
	m.counts.Sent++
	return append(out, Outgoing{link, message})
}

// sortedLinks makes the order of messages repeatable.
func (m *Mesh) sortedLinks() []LinkID {
	links := make([]LinkID, 0, len(m.links))
	for link := range m.links {
		links = append(links, link)
	}
	sort.Slice(links, func(i, j int) bool { return links[i] < links[j] })
	return links
}

// digest is the heartbeat for one kind of link.
func (m *Mesh) digest(role Role) Digest {
	nodes, endpoints := m.sums()
	d := Digest{Revision: m.config.Current().Revision(), Nodes: nodes, Endpoints: endpoints}
	if role == RoleEntry {
		d.Demands = m.demand.tell()
	}
	return d
}
