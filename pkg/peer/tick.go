package peer

import (
	"time"

	"ironhollow/pkg/membership"
)

// Tick sends heartbeats, suspects silent nodes and declares suspected ones dead. It must be called
// once per HeartbeatInterval; a much longer gap means that this process was paused.
func (m *Mesh) Tick(now time.Time) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > pauseThreshold {
		m.compensatePause(now.Sub(m.lastTick), now)
	}
	m.lastTick = now
	m.demand.step()
	m.ticks++
	var out []Outgoing
	for _, link := range m.sortedLinks() {
		role := m.links[link].role
		if m.isAttachedLink(role) && m.ticks%attachedDigestTicks != 0 || m.links[link].keptForTraffic && m.ticks%trafficLinkDigestTicks != 0 {
			continue
		}
		out = m.send(out, link, m.digest(role))
	}
	var toFlood Update
	if !m.attached {
		m.suspectSilentNodes(now, &toFlood)
		m.declareDead(now, &toFlood)
	}
	return append(out, m.flood(toFlood, 0)...)
}

// attachedDigestTicks is the number of ticks between digests on the link of an attached process.
// It may be long: no suspicion is raised on such a link, and updates are flooded on it at once.
const attachedDigestTicks = 3

// trafficLinkDigestTicks is the number of ticks between digests on a link that is kept only for
// other messages. It must stay below silenceTimeout, after which the other side suspects this node.
const trafficLinkDigestTicks = 2

func (m *Mesh) isAttachedLink(role Role) bool { return m.attached || role == RoleControl }

// compensatePause restarts the silence of all links and extends all suspicions by the gap after a
// pause of this process: the links only seemed silent because this process did not read them.
func (m *Mesh) compensatePause(gap time.Duration, now time.Time) {
	m.counts.Pauses++
	for _, state := range m.links {
		state.lastReceived = now
	}
	for key, since := range m.suspicions {
		m.suspicions[key] = since.Add(gap)
	}
}

// suspectSilentNodes raises a suspicion of the entries whose links are silent.
func (m *Mesh) suspectSilentNodes(now time.Time, toFlood *Update) {
	for _, link := range m.sortedLinks() {
		state := m.links[link]
		if state.role == RoleEntry && now.Sub(state.lastReceived) > silenceTimeout {
			m.suspect(state.node.ID, now, toFlood)
		}
	}
}

// MarkUnreachable raises a suspicion of a node to which several dials in a row failed.
func (m *Mesh) MarkUnreachable(id string, now time.Time) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	var toFlood Update
	m.suspect(id, now, &toFlood)
	return m.flood(toFlood, 0)
}

func (m *Mesh) suspect(id string, now time.Time, toFlood *Update) {
	node, ok := m.nodes.Get(id)
	if !ok || node.Status != membership.Alive {
		return
	}
	m.counts.Suspected++
	node.Status = membership.Suspect
	m.mergeNode(node, now, toFlood)
}

// declareDead declares the nodes dead that did not refute a suspicion in time, and drops suspicions
// that no longer apply.
func (m *Mesh) declareDead(now time.Time, toFlood *Update) {
	for key, since := range m.suspicions {
		node, ok := m.nodes.Get(key.id)
		isCurrent := ok && node.Status == membership.Suspect && node.Incarnation == key.incarnation && node.Counter == key.counter
		if !isCurrent {
			delete(m.suspicions, key)
			continue
		}
		if now.Sub(since) < suspicionTimeout {
			continue
		}
		delete(m.suspicions, key)
		m.counts.DeclaredDead++
		node.Status = membership.Dead
		m.mergeNode(node, now, toFlood)
	}
}

// NodesToDial returns the nodes that this process should have a link to and has not: its
// neighbours and, every deadDialRounds rounds, a dead node, which is how a part of the fleet that
// was cut off rejoins.
func (m *Mesh) NodesToDial(round int) []membership.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	linked := map[string]bool{m.self.ID: true}
	for _, state := range m.links {
		if state.role == RoleEntry {
			linked[state.node.ID] = true
		}
	}
	nodes := m.nodes.Nodes()
	var list []membership.Node
	for _, n := range membership.Neighbours(m.self, nodes) {
		if !linked[n.ID] {
			list = append(list, n)
		}
	}
	if dead := nextDeadNode(nodes, round); dead != nil && !linked[dead.ID] {
		list = append(list, *dead)
	}
	return list
}

// deadDialRounds is the number of rounds between dials of a dead node.
const deadDialRounds = 5

func nextDeadNode(nodes []membership.Node, round int) *membership.Node {
	if round%deadDialRounds != 0 {
		return nil
	}
	var dead []membership.Node
	for _, n := range nodes {
		if n.Status == membership.Dead {
			dead = append(dead, n)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return &dead[(round/deadDialRounds)%len(dead)]
}

// SurplusLinks returns the links to entries, beyond the first minKept, that neither side needs any
// more. Links that other messages use are kept, with fewer heartbeats.
func (m *Mesh) SurplusLinks(minKept int, now time.Time) []LinkID {
	m.mu.Lock()
	defer m.mu.Unlock()
	neighbours := map[string]bool{}
	for _, n := range membership.Neighbours(m.self, m.nodes.Nodes()) {
		neighbours[n.ID] = true
	}
	var surplus []LinkID
	entries := 0
	for _, link := range m.sortedLinks() {
		state := m.links[link]
		if state.role != RoleEntry {
			continue
		}
		entries++
		unneeded := !neighbours[state.node.ID] && !m.isNeighbourOf(state.node)
		inUse := now.Sub(state.lastUsed) < idleLinkTimeout
		state.keptForTraffic = unneeded && inUse
		if unneeded && !inUse && entries > minKept {
			surplus = append(surplus, link)
		}
	}
	return surplus
}

// isNeighbourOf reports whether this node is one that the other node dials.
func (m *Mesh) isNeighbourOf(other membership.Node) bool {
	for _, n := range membership.Neighbours(other, m.nodes.Nodes()) {
		if n.ID == m.self.ID {
			return true
		}
	}
	return false
}
