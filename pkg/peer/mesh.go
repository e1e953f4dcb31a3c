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
	// silenceTimeout is how long a link may be silent before its node is suspected.
	silenceTimeout = 3 * HeartbeatInterval
	// suspicionTimeout is how long a suspected node has to refute the suspicion before it is
	// declared dead.
	suspicionTimeout = 3 * time.Second
	// pauseThreshold is the gap between ticks above which this process was probably paused
	// itself, so that the silence of its links shows nothing about the other nodes.
	pauseThreshold = 2500 * time.Millisecond
	// digestsBeforePull is how many consecutive digests must differ before a pull: updates
	// that are still on the way make digests differ for a moment.
	digestsBeforePull = 2
)

// LinkID identifies a connection of this process.
type LinkID int64

// Outgoing is a message to send on a link.
type Outgoing struct {
	Link    LinkID
	Message Message
}

// Mesh is the protocol between entries, without I/O: callers pass in received messages and the
// time, and send the messages that it returns. It is safe for concurrent use.
type Mesh struct {
	nodes     *membership.Table
	endpoints *endpoint.Directory
	config    *config.Holder

	// attached is set if this process is not a member of the mesh itself but attached to a
	// member: it receives and publishes updates.
	attached bool

	mu   sync.Mutex
	self membership.Node
	// links holds the open links on which a hello was received.
	links    map[LinkID]*linkState
	lastTick time.Time
	ticks    int64
	// suspicions holds when each suspicion was first seen here.
	suspicions map[suspicion]time.Time
	demand     *demandEstimator
	counts     Counts
}

type linkState struct {
	node         membership.Node
	role         Role
	lastReceived time.Time
	// lastUsed is when a message that is not the mesh's own last went over the link; zero if
	// there was none.
	lastUsed time.Time
	// keptForTraffic is set if the mesh does not need the link, but other messages use it.
	keptForTraffic bool
	// differingDigests counts the consecutive digests that differ from this node's state.
	differingDigests int
}

// suspicion identifies a suspected state of a node.
type suspicion struct {
	id          string
	incarnation int64
	counter     int64
}

// Counts are the counters of a mesh.
type Counts struct {
	Sent, Received int64
	// Suspected counts the suspicions raised by this node, Refuted the reports about this node
	// that it refuted, and DeclaredDead the nodes that it declared dead.
	Suspected, Refuted, DeclaredDead int64
	Pulls                            int64
	Pauses                           int64
}

// NewMesh returns the mesh of an entry. The incarnation of self must be greater than that of any
// earlier start of the node.
func NewMesh(self membership.Node, nodes *membership.Table, endpoints *endpoint.Directory, holder *config.Holder) *Mesh {
	self.Status = membership.Alive
	nodes.Merge(self)
	return &Mesh{
		nodes: nodes, endpoints: endpoints, config: holder, self: self,
		links: map[LinkID]*linkState{}, suspicions: map[suspicion]time.Time{}, demand: newDemandEstimator(),
	}
}

// NewAttached returns the mesh of a process that is attached to an entry: it receives all updates
// and publishes its own, but is not a member itself.
func NewAttached(self membership.Node, nodes *membership.Table, endpoints *endpoint.Directory, holder *config.Holder) *Mesh {
	return &Mesh{
		nodes: nodes, endpoints: endpoints, config: holder, self: self, attached: true,
		links: map[LinkID]*linkState{}, suspicions: map[suspicion]time.Time{}, demand: newDemandEstimator(),
	}
}

// Self returns the current state of this node.
func (m *Mesh) Self() membership.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Counts returns a copy of the counters.
func (m *Mesh) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Links returns the linked entries by link.
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

// LinkUp registers a link on which a hello was received, and sends a digest at once, so that the
// other side can pull what it lacks. An attached control process is shown in the state of this
// node.
func (m *Mesh) LinkUp(link LinkID, hello Hello, now time.Time) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[link] = &linkState{node: hello.Node, role: hello.Role, lastReceived: now}
	out := []Outgoing{{link, m.digest(hello.Role)}}
	if hello.Role == RoleControl {
		return append(out, m.updateHasControl()...)
	}
	var toFlood Update
	m.mergeNode(hello.Node, now, &toFlood)
	if !m.attached {
		out = m.send(out, link, Update{Nodes: []membership.Node{m.self}})
	}
	return append(out, m.flood(toFlood, link)...)
}

// LinkDown removes a closed link. Losing the last link to a node raises no suspicion by itself,
// because the node may be reconnecting; failed dials do.
func (m *Mesh) LinkDown(link LinkID) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.links[link]
	delete(m.links, link)
	if ok && state.role == RoleControl {
		return m.updateHasControl()
	}
	return nil
}

// updateHasControl sets in the state of this node whether a control process is attached.
func (m *Mesh) updateHasControl() []Outgoing {
	hasControl := false
	for _, state := range m.links {
		hasControl = hasControl || state.role == RoleControl
	}
	return m.updateSelf(func(n *membership.Node) bool {
		changed := n.HasControl != hasControl
		n.HasControl = hasControl
		return changed
	})
}

// updateSelf changes the state of this node and floods it if change returns true. The caller
// holds mu.
func (m *Mesh) updateSelf(change func(*membership.Node) bool) []Outgoing {
	if !change(&m.self) {
		return nil
	}
	m.self.Counter++
	m.nodes.Merge(m.self)
	return m.flood(Update{Nodes: []membership.Node{m.self}}, 0)
}

// idleLinkTimeout is how long a link that the mesh does not need is kept after its last use.
const idleLinkTimeout = 5 * time.Minute

// MarkUsed records that a message other than the mesh's own was sent or received over a link.
func (m *Mesh) MarkUsed(link LinkID, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state, ok := m.links[link]; ok {
		state.lastUsed = now
	}
}

// Leave marks this node as leaving.
func (m *Mesh) Leave() []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.updateSelf(func(n *membership.Node) bool {
		changed := !n.Leaving
		n.Leaving = true
		return changed
	})
}

// SetReady marks this node as ready to serve.
func (m *Mesh) SetReady() []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.updateSelf(func(n *membership.Node) bool {
		changed := !n.Ready
		n.Ready = true
		return changed
	})
}

// SetLoad sets this node's load, in tenths of its capacity.
func (m *Mesh) SetLoad(tenths int) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.updateSelf(func(n *membership.Node) bool {
		changed := n.Load != tenths
		n.Load = tenths
		return changed
	})
}

// Publish merges an update that originates in this process, and floods it.
func (m *Mesh) Publish(update Update, now time.Time) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mergeUpdate(update, 0, now)
}

// Receive handles a message received on a link.
func (m *Mesh) Receive(link LinkID, message Message, now time.Time) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.links[link]
	if !ok {
		return nil
	}
	m.counts.Received++
	state.lastReceived = now
	switch message := message.(type) {
	case Digest:
		return m.compareDigest(link, state, message)
	case Pull:
		return m.answerPull(link, message)
	case Update:
		return m.mergeUpdate(message, link, now)
	}
	return nil
}

func (m *Mesh) send(out []Outgoing, link LinkID, message Message) []Outgoing {
	m.counts.Sent++
	return append(out, Outgoing{link, message})
}

// sortedLinks returns the links in a fixed order, so that the order of messages is reproducible.
func (m *Mesh) sortedLinks() []LinkID {
	links := make([]LinkID, 0, len(m.links))
	for link := range m.links {
		links = append(links, link)
	}
	sort.Slice(links, func(i, j int) bool { return links[i] < links[j] })
	return links
}

// digest returns the heartbeat for a link to a process of that role.
func (m *Mesh) digest(role Role) Digest {
	nodes, endpoints := m.combinedSums()
	d := Digest{Revision: m.config.Current().Revision(), Nodes: nodes, Endpoints: endpoints}
	if role == RoleEntry {
		d.Demands = m.demand.busiest()
	}
	return d
}
