package roster

import "time"

// NoteStoreResponse notes that the store has answered, with or without changes. Rows age only
// while it does.
func (r *Roster) NoteStoreResponse(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seenAt = now
	r.known = true
}

// Merge applies a row; an older one than held is dropped. A new row of a known process shows
// that it was alive when the row was written, not now. A process that is not known yet counts
// as seen: hosts that have all restarted find each other by the rows of before.
func (r *Roster) Merge(row Row, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[row.Incarnation]
	switch {
	case !ok:
		m = &member{row: row, changedAt: now}
		m.count(row.Counts)
		r.add(m)
	case row.Sequence > m.row.Sequence:
		row.Leaving = row.Leaving || m.row.Leaving
		if row.Leaving != m.row.Leaving || r.silent(m) {
			r.changed()
		}
		m.row = row
		if at := now.Add(-row.Age); at.After(m.changedAt) {
			m.changedAt = at
		}
		m.count(row.Counts)
	}
}

// ApplyStatus applies a datagram of the process itself. One that has no row yet is known from
// then on, so that a restarted fleet need not wait for its rows.
func (r *Roster) ApplyStatus(status Status, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[status.Incarnation]
	if !ok {
		m = &member{row: Row{Host: status.Host}, changedAt: now}
		r.add(m)
	}
	if status.Sequence <= m.status.Sequence {
		return
	}
	r.setUnknownSince(m, status.StartedAt)
	if status.Leaving {
		r.leave(m)
	}
	if r.silent(m) {
		r.changed()
	}
	for i := range status.Loads {
		status.Loads[i].ReceivedAt = now
	}
	m.notePace(now)
	m.status, m.statusAt = status, now
	m.count(status.Counts)
	r.seenAt = now
}

// ApplyCounts applies counts that a process sends apart from its status. Those of an unknown
// process are skipped: it sends them again.
func (r *Roster) ApplyCounts(incarnation string, counts []RequestCount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.members[incarnation]; ok {
		m.count(counts)
	}
}

// MergeSelf notes that this process itself is alive.
func (r *Roster) MergeSelf(host Host, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selfIncarnation = host.Incarnation
	m, ok := r.members[host.Incarnation]
	if !ok {
		m = &member{row: Row{Host: host}, changedAt: now}
		r.add(m)
	}
	r.setUnknownSince(m, host.StartedAt)
	if host.Leaving {
		r.leave(m)
	}
	m.statusAt = now
}

// setUnknownSince sets the start time of a member if it is not known yet: a process sends its first
// datagrams before it has read the store's clock. The lock is held.
func (r *Roster) setUnknownSince(m *member, since time.Duration) {
	if m.row.StartedAt == 0 && since > 0 {
		m.row.StartedAt = since
		r.changed()
	}
}
