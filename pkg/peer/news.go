package peer

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/membership"
)

// compare answers a digest with a pull where the other side knows something
// else for longer than news takes on its way.
func (m *Mesh) compare(link Link, state *linkState, d Digest) []Out {
	if state.role == RoleEntry {
		m.demand.heard(link, d.Demands)
	}
	nodes, endpoints := m.sums()
	differs := d.Nodes != nodes || d.Endpoints != endpoints
	behind := d.Revision > m.config.Current().Revision()
	if !differs && !behind {
		state.differs = 0
		return nil
	}
	state.differs++
	if state.differs < pullAfter && !behind {
		return nil
	}
	state.differs = 0
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

// sums folds the digests' parts into one word each.
func (m *Mesh) sums() (nodes, endpoints uint64) {
	for i, sum := range m.nodes.Sums() {
		nodes ^= sum * uint64(2*i+1)
	}
	for i, sum := range m.endpoints.BucketSums() {
		endpoints ^= sum * uint64(2*i+1)
	}
	// CBOR's integers are signed here: the top bit is left out.
	return nodes >> 1, endpoints >> 1
}

// answer sends the parts in which the other side differs.
func (m *Mesh) answer(link Link, p Pull) []Out {
	news := News{Changes: m.config.ChangesAfter(p.After)}
	if len(p.Nodes) == membership.BucketCount {
		var want [membership.BucketCount]bool
		for i, sum := range m.nodes.Sums() {
			want[i] = sum != p.Nodes[i]
		}
		news.Nodes = m.nodes.InBuckets(want)
	}
	if len(p.Endpoints) == endpoint.BucketCount {
		var want [endpoint.BucketCount]bool
		for i, sum := range m.endpoints.BucketSums() {
			want[i] = sum != p.Endpoints[i]
		}
		news.Endpoints = m.endpoints.InBuckets(want)
	}
	if news.empty() {
		return nil
	}
	return m.send(nil, link, news)
}

// take merges news and floods what of it was new. The lock is held.
func (m *Mesh) take(news News, from Link, now time.Time) []Out {
	var fresh News
	for _, n := range news.Nodes {
		m.mergeNode(n, now, &fresh)
	}
	for _, i := range news.Endpoints {
		if next, isNews := m.endpoints.Merge(i); isNews {
			fresh.Endpoints = append(fresh.Endpoints, next)
		}
	}
	var out []Out
	for _, c := range news.Changes {
		applied, err := m.config.Apply(c)
		switch {
		case applied:
			fresh.Changes = append(fresh.Changes, c)
		case err == nil && from != 0 && c.Revision > m.config.Current().Revision():
			// There is a gap before this change.
			out = m.send(out, from, Pull{After: m.config.Current().Revision()})
		}
	}
	return append(out, m.flood(fresh, from)...)
}

// mergeNode merges what was heard of a node and notes suspicions; what is said
// of this node itself is refuted or obeyed.
func (m *Mesh) mergeNode(heard membership.Node, now time.Time, fresh *News) {
	if heard.ID == m.self.ID && !m.follower {
		m.answerForSelf(heard, now, fresh)
		return
	}
	next, isNews := m.nodes.Merge(heard)
	if !isNews {
		return
	}
	fresh.Nodes = append(fresh.Nodes, next)
	if next.Status == membership.Suspect {
		key := suspect{next.ID, next.Incarnation, next.Counter}
		if _, known := m.suspects[key]; !known {
			m.suspects[key] = now
		}
	}
}

// answerForSelf refutes a suspicion by a higher counter, and a death by a new
// incarnation. News of a later start of this node's name is left alone: then
// two processes bear the same name, which the operator must mend.
func (m *Mesh) answerForSelf(heard membership.Node, now time.Time, fresh *News) {
	if heard.Incarnation != m.self.Incarnation || heard.Status == membership.Alive {
		return
	}
	m.counts.Refuted++
	if heard.Status == membership.Dead {
		m.self.Incarnation = max(now.UnixMilli(), m.self.Incarnation+1)
		m.self.Counter = 0
	} else {
		m.self.Counter = max(m.self.Counter, heard.Counter) + 1
	}
	m.nodes.Merge(m.self)
	fresh.Nodes = append(fresh.Nodes, m.self)
}

// flood sends news to all links but the one it came from.
func (m *Mesh) flood(news News, from Link) []Out {
	if news.empty() {
		return nil
	}
	var out []Out
	for _, link := range m.sortedLinks() {
		if link == from {
			continue
		}
		out = m.send(out, link, news)
	}
	return out
}
