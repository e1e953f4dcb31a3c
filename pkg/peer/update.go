package peer

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/membership"
)

// compareDigest responds to a digest with a pull if the sender has a newer revision, or if its
// state has differed for longer than updates take to arrive.
func (m *Mesh) compareDigest(link LinkID, state *linkState, d Digest) []Outgoing {
	if state.role == RoleEntry {
		m.demand.setNeighbour(link, d.Demands)
	}
	nodes, endpoints := m.combinedSums()
	sumsDiffer := d.Nodes != nodes || d.Endpoints != endpoints
	behind := d.Revision > m.config.Current().Revision()
	if !sumsDiffer && !behind {
		state.differingDigests = 0
		return nil
	}
	state.differingDigests++
	if state.differingDigests < digestsBeforePull && !behind {
		return nil
	}
	state.differingDigests = 0
	m.counts.Pulls++
	pull := Pull{After: m.config.Current().Revision()}
	if d.Nodes != nodes {
		sums := m.nodes.Sums()
		pull.Nodes = sums[:]
	}
	if d.Endpoints != endpoints {
		sums := m.endpoints.BucketSums()
		pull.Endpoints = sums[:]
	}
	return m.send(nil, link, pull)
}

// combinedSums combines the bucket checksums of the nodes and those of the endpoints into one
// checksum each.
func (m *Mesh) combinedSums() (nodes, endpoints uint64) {
	for i, sum := range m.nodes.Sums() {
		nodes ^= sum * uint64(2*i+1)
	}
	for i, sum := range m.endpoints.BucketSums() {
		endpoints ^= sum * uint64(2*i+1)
	}
	// The top bit is dropped: the CBOR messages use signed integers.
	return nodes >> 1, endpoints >> 1
}

// answerPull sends the changes after the sender's revision and the buckets that differ.
func (m *Mesh) answerPull(link LinkID, p Pull) []Outgoing {
	update := Update{Changes: m.config.ChangesAfter(p.After)}
	if len(p.Nodes) == membership.BucketCount {
		var selected [membership.BucketCount]bool
		for i, sum := range m.nodes.Sums() {
			selected[i] = sum != p.Nodes[i]
		}
		update.Nodes = m.nodes.InBuckets(selected)
	}
	if len(p.Endpoints) == endpoint.BucketCount {
		var selected [endpoint.BucketCount]bool
		for i, sum := range m.endpoints.BucketSums() {
			selected[i] = sum != p.Endpoints[i]
		}
		update.Endpoints = m.endpoints.InBuckets(selected)
	}
	if update.empty() {
		return nil
	}
	return m.send(nil, link, update)
}

// mergeUpdate merges an update and floods the parts that were new here. The caller holds mu.
func (m *Mesh) mergeUpdate(update Update, from LinkID, now time.Time) []Outgoing {
	var toFlood Update
	for _, n := range update.Nodes {
		m.mergeNode(n, now, &toFlood)
	}
	for _, info := range update.Endpoints {
		if next, isNew := m.endpoints.Merge(info); isNew {
			toFlood.Endpoints = append(toFlood.Endpoints, next)
		}
	}
	var out []Outgoing
	for _, c := range update.Changes {
		applied, err := m.config.Apply(c)
		switch {
		case applied:
			toFlood.Changes = append(toFlood.Changes, c)
		case err == nil && from != 0 && c.Revision > m.config.Current().Revision():
			// Changes before this one are missing.
			out = m.send(out, from, Pull{After: m.config.Current().Revision()})
		}
	}
	return append(out, m.flood(toFlood, from)...)
}

// mergeNode merges a received state of a node, records a suspicion, and adds the state to toFlood
// if it is new. Reports that this node itself is suspected or dead are refuted.
func (m *Mesh) mergeNode(received membership.Node, now time.Time, toFlood *Update) {
	if received.ID == m.self.ID && !m.attached {
		m.refute(received, now, toFlood)
		return
	}
	next, isNew := m.nodes.Merge(received)
	if !isNew {
		return
	}
	toFlood.Nodes = append(toFlood.Nodes, next)
	if next.Status == membership.Suspect {
		key := suspicion{next.ID, next.Incarnation, next.Counter}
		if _, known := m.suspicions[key]; !known {
			m.suspicions[key] = now
		}
	}
}

// refute responds to a suspicion of this node with a higher counter, and to its death with a new
// incarnation. A state with another incarnation is ignored: if it is of a later start, two
// processes run under the same name, which the operator must fix.
func (m *Mesh) refute(received membership.Node, now time.Time, toFlood *Update) {
	if received.Incarnation != m.self.Incarnation || received.Status == membership.Alive {
		return
	}
	m.counts.Refuted++
	if received.Status == membership.Dead {
		m.self.Incarnation = max(now.UnixMilli(), m.self.Incarnation+1)
		m.self.Counter = 0
	} else {
		m.self.Counter = max(m.self.Counter, received.Counter) + 1
	}
	m.nodes.Merge(m.self)
	toFlood.Nodes = append(toFlood.Nodes, m.self)
}

// flood sends an update on all links except the one that it came from.
func (m *Mesh) flood(update Update, from LinkID) []Outgoing {
	if update.empty() {
		return nil
	}
	var out []Outgoing
	for _, link := range m.sortedLinks() {
		if link == from {
			continue
		}
		out = m.send(out, link, update)
	}
	return out
}
