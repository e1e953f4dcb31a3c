package roster

import "time"

// member is what is known about a process.
type member struct {
	row Row
	// updatedAt is when its latest row was written, as far as that is known, or when it was first
	// seen.
	updatedAt time.Time
	// status is the latest datagram of the process itself, newer than the row.
	status   Status
	statusAt time.Time
	// work is the latest work that the process has sent, by service. Entries older than workMaxAge
	// do not count and are removed when more arrive.
	work map[string]receivedWork
	// lastInterval is the time between its latest two datagrams. interval is the shorter of the
	// latest two such times, so that the loss of one datagram does not lengthen it.
	lastInterval, interval time.Duration
	// cutUntil is when its latest report of a cut expires, zero if it is not cut.
	cutUntil time.Time
	// counts are the highest values received, by window and team: counts only grow.
	counts map[int64]map[string]int
	// peerSeenAt is when an aggregator last saw it, according to digests. peerSeenInterval is the
	// time between the latest two such times.
	peerSeenAt       time.Time
	peerSeenInterval time.Duration
	// digestAt is when it last sent a digest.
	digestAt time.Time
	// advertisedAt is when a digest last listed it as advertised.
	advertisedAt time.Time
	// subscribedAt is when it last subscribed to this host.
	subscribedAt time.Time
	// unansweredSince is when this host sent it a subscription that is still unanswered, zero for
	// none.
	unansweredSince time.Time
}

func (m *member) recordCounts(counts []RequestCount) {
	if m.counts == nil {
		m.counts = map[int64]map[string]int{}
	}
	for _, c := range counts {
		if m.counts[c.Window] == nil {
			m.counts[c.Window] = map[string]int{}
			delete(m.counts, c.Window-retainedWindows)
		}
		m.counts[c.Window][c.Team] = max(m.counts[c.Window][c.Team], c.Started)
	}
}

// retainedWindows is the number of windows for which a process's counts are kept.
const retainedWindows = 12

// recordInterval updates the intervals between datagrams when one is received.
func (m *member) recordInterval(now time.Time) {
	if m.statusAt.IsZero() {
		return
	}
	interval := now.Sub(m.statusAt)
	m.interval = interval
	if m.lastInterval > 0 {
		m.interval = min(interval, m.lastInterval)
	}
	m.lastInterval = interval
}

// seenAt returns when the process was last seen: through its row, its datagrams or digests.
func (m *member) seenAt() time.Time {
	at := m.updatedAt
	if m.statusAt.After(at) {
		at = m.statusAt
	}
	if m.peerSeenAt.After(at) {
		at = m.peerSeenAt
	}
	return at
}

// hasRow reports whether the process has written a row.
func (m *member) hasRow() bool { return m.row.Sequence > 0 }
