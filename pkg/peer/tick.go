package peer

import (
	"time"

	"ironhollow/pkg/membership"
)

// Tick sends heartbeats and judges silence. It is to be called once every
// Heartbeat; a much longer gap means that this process was paused.
func (m *Mesh) Tick(now time.Time) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > pauseSign {
		m.forgive(now.Sub(m.lastTick), now)
	}
	m.lastTick = now
	m.demand.step()
	m.ticks++
	var out []Outgoing
	for _, link := range m.sortedLinks() {
		role := m.links[link].role
		if m.isAttachment(role) && m.ticks%attachedEvery != 0 || m.links[link].isExtra && m.ticks%extraEvery != 0 {
			continue
		}
		out = m.send(out, link, m.digest(role))
	}
	var news Update
	if !m.follower {
		m.suspectSilent(now, &news)
		m.declareDead(now, &news)
	}
	return append(out, m.flood(news, 0)...)
}

// attachedEvery is how many ticks pass between digests on the link of an
// attached process: nobody judges its silence, and news floods there at once.
const attachedEvery = 3

// extraEvery is the same for a link in use that the mesh does not ask for. It
// stays under the silence that raises a suspicion.
const extraEvery = 2

func (m *Mesh) isAttachment(role Role) bool { return m.follower || role == RoleControl }

// forgive starts all clocks anew after a pause of this process: the silence it
// heard was its own.
func (m *Mesh) forgive(gap time.Duration, now time.Time) {
	m.counts.Pauses++
	for _, state := range m.links {
		state.heard = now
	}
	for key, since := range m.suspects {
		m.suspects[key] = since.Add(gap)
	}
}

// suspectSilent raises a suspicion against nodes whose links are silent.
func (m *Mesh) suspectSilent(now time.Time, news *Update) {
	for _, link := range m.sortedLinks() {
		state := m.links[link]
		if state.role == RoleEntry && now.Sub(state.heard) > silence {
			m.suspect(state.node.ID, now, news)
		}
	}
}

// MarkUnreachable notes that a node could not be reached again and again.
func (m *Mesh) MarkUnreachable(id string, now time.Time) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	var news Update
	m.suspect(id, now, &news)
	return m.flood(news, 0)
}

func (m *Mesh) suspect(id string, now time.Time, news *Update) {
	held, ok := m.nodes.Get(id)
	if !ok || held.Status != membership.Alive {
		return
	}
	m.counts.Suspected++
	held.Status = membership.Suspect
	m.mergeNode(held, now, news)
}

// declareDead ends the suspicions that nobody refuted in time.
func (m *Mesh) declareDead(now time.Time, news *Update) {
	for key, since := range m.suspects {
		held, ok := m.nodes.Get(key.id)
		stands := ok && held.Status == membership.Suspect && held.Incarnation == key.incarnation && held.Counter == key.counter
		if !stands {
			delete(m.suspects, key)
			continue
		}
		if now.Sub(since) < refutation {
			continue
		}
		delete(m.suspects, key)
		m.counts.DeclaredDead++
		held.Status = membership.Dead
		m.mergeNode(held, now, news)
	}
}

// NodesToDial returns the nodes this process should be linked to and is not: its
// neighbours, and now and then one that counts as dead, since a part of the
// fleet that was cut off comes back that way.
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
	if dead := pickDead(nodes, round); dead != nil && !linked[dead.ID] {
		list = append(list, *dead)
	}
	return list
}

// deadEvery is how many rounds pass between tries of a dead node.
const deadEvery = 5

func pickDead(nodes []membership.Node, round int) *membership.Node {
	if round%deadEvery != 0 {
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
	return &dead[(round/deadEvery)%len(dead)]
}

// SurplusLinks returns links that neither side asks for any more, beyond the number
// that is kept. Links in use are left alone, with fewer heartbeats.
func (m *Mesh) SurplusLinks(most int, now time.Time) []LinkID {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := map[string]bool{}
	for _, n := range membership.Neighbours(m.self, m.nodes.Nodes()) {
		wanted[n.ID] = true
	}
	var extra []LinkID
	entries := 0
	for _, link := range m.sortedLinks() {
		state := m.links[link]
		if state.role != RoleEntry {
			continue
		}
		entries++
		unwanted := !wanted[state.node.ID] && !m.wantsUs(state.node)
		inUse := now.Sub(state.usedAt) < usedFor
		state.isExtra = unwanted && inUse
		if unwanted && !inUse && entries > most {
			extra = append(extra, link)
		}
	}
	return extra
}

// wantsUs reports whether this node is one the other side dials.
func (m *Mesh) wantsUs(other membership.Node) bool {
	for _, n := range membership.Neighbours(other, m.nodes.Nodes()) {
		if n.ID == m.self.ID {
			return true
		}
	}
	return false
}
