package roster

import "time"

// member is what is known of a process.
type member struct {
	row Row
	// changedAt is when its last change was written, as far as that is known.
	changedAt time.Time
	// status is of the latest datagram of the process itself, newer than the row.
	status   Status
	statusAt time.Time
	// gap is the time between its latest two datagrams, pace the shorter of the latest
	// two gaps: one that was lost does not show.
	gap, pace time.Duration
	// counts are the highest received, by window and team: they only grow.
	counts map[int64]map[string]int
	// aliveAt is when an aggregator last saw it, by digests, aliveGap the time between the
	// latest two such moments.
	aliveAt  time.Time
	aliveGap time.Duration
	// digestAt is when it last sent a digest.
	digestAt time.Time
	// advertisedAt is when a digest last called it advertised.
	advertisedAt time.Time
	// subscribedAt is when it last subscribed to this host.
	subscribedAt time.Time
	// requestedAt is since when a subscription to it is unanswered, zero for none.
	requestedAt time.Time
}

func (m *member) count(counts []RequestCount) {
	if m.counts == nil {
		m.counts = map[int64]map[string]int{}
	}
	for _, c := range counts {
		if m.counts[c.Window] == nil {
			m.counts[c.Window] = map[string]int{}
			delete(m.counts, c.Window-windowsKept)
		}
		m.counts[c.Window][c.Team] = max(m.counts[c.Window][c.Team], c.Started)
	}
}

// windowsKept is how many windows of counts are kept of a process.
const windowsKept = 12

// notePace notes that a datagram was received.
func (m *member) notePace(now time.Time) {
	if m.statusAt.IsZero() {
		return
	}
	gap := now.Sub(m.statusAt)
	m.pace = gap
	if m.gap > 0 {
		m.pace = min(gap, m.gap)
	}
	m.gap = gap
}

// seenAt is when the process was last seen: through its row, its datagrams or digests.
func (m *member) seenAt() time.Time {
	at := m.changedAt
	if m.statusAt.After(at) {
		at = m.statusAt
	}
	if m.aliveAt.After(at) {
		at = m.aliveAt
	}
	return at
}

// hasRow reports whether the process has written a row.
func (m *member) hasRow() bool { return m.row.Sequence > 0 }
