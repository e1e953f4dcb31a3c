package roster

import "time"

// NoteStoreResponse records that the store has responded, with or without changes. Rows age only
// while the store responds.
func (r *Roster) NoteStoreResponse(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReceivedAt = now
	r.loaded = true
}

// Merge applies a row unless it is older than the one held. A new row of a known process shows that
// the process was alive when the row was written, not that it is alive now. A process that is not
// known yet counts as seen now, so that hosts that have all restarted find each other through the
// rows of their earlier processes.
func (r *Roster) Merge(row Row, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[row.Incarnation]
	switch {
	case !ok:
		m = &member{row: row, updatedAt: now}
		m.recordCounts(row.Counts)
		r.add(m)
	case row.Sequence > m.row.Sequence:
		row.Leaving = row.Leaving || m.row.Leaving
		if row.Leaving != m.row.Leaving || r.isSilent(m) {
			r.invalidateCaches()
		}
		m.row = row
		if at := now.Add(-row.Age); at.After(m.updatedAt) {
			m.updatedAt = at
		}
		m.recordCounts(row.Counts)
	}
}

// ApplyStatus applies a datagram that a process has sent about itself. A process that has no row
// yet is added, so that a restarted fleet need not wait for its rows.
func (r *Roster) ApplyStatus(status Status, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[status.Incarnation]
	if !ok {
		m = &member{row: Row{Host: status.Host}, updatedAt: now}
		r.add(m)
	}
	if status.Sequence <= m.status.Sequence {
		return
	}
	r.setMissingStartTime(m, status.StartedAt)
	if status.Leaving {
		r.markLeaving(m)
	}
	if r.isSilent(m) {
		r.invalidateCaches()
	}
	for i := range status.Loads {
		status.Loads[i].ReceivedAt = now
	}
	m.recordInterval(now)
	m.status, m.statusAt = status, now
	m.recordCounts(status.Counts)
	r.lastReceivedAt = now
}

// ApplyCounts applies counts that a process sends separately from its status. Counts of an unknown
// process are ignored, as the process sends them again.
func (r *Roster) ApplyCounts(incarnation string, counts []RequestCount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.members[incarnation]; ok {
		m.recordCounts(counts)
	}
}

// MergeSelf records that this process is alive.
func (r *Roster) MergeSelf(host Host, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selfIncarnation = host.Incarnation
	m, ok := r.members[host.Incarnation]
	if !ok {
		m = &member{row: Row{Host: host}, updatedAt: now}
		r.add(m)
	}
	r.setMissingStartTime(m, host.StartedAt)
	if host.Leaving {
		r.markLeaving(m)
	}
	m.statusAt = now
}

// setMissingStartTime sets the start time of a member if it is not known yet: a process sends its
// first datagrams before it has read the store's clock. The caller must hold r.mu.
func (r *Roster) setMissingStartTime(m *member, startedAt time.Duration) {
	if m.row.StartedAt == 0 && startedAt > 0 {
		m.row.StartedAt = startedAt
		r.invalidateCaches()
	}
}
