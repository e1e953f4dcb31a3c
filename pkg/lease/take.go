package lease

import (
	"context"
	"encoding/json"

	"ironhollow/pkg/storeversion"
	"ironhollow/pkg/table"
)

// tryAcquire acquires the lease of a shard if it is available.
func (m *Manager) tryAcquire(ctx context.Context, s Shard, intent Intent) {
	row, exists, err := m.writer.Store().Get(ctx, rowKey(s))
	if err != nil {
		return
	}
	if !exists {
		m.acquireMissing(ctx, s, intent, row.Version)
		return
	}
	current := m.decode(s, row)
	last := m.observe(s, row.Version, current)
	if !m.isAvailable(last, intent) {
		return
	}
	m.acquire(ctx, s, current.Epoch+1, table.AtVersion{Version: row.Version}, row.Version)
}

// decode decodes a row that was read. One that cannot be decoded counts as that of an unknown holder, so that
// it is replaced once it has not changed for the duration of a lease: its holder, if any, renews it.
func (m *Manager) decode(s Shard, row table.Row) record {
	var current record
	if err := json.Unmarshal(row.Value, &current); err != nil {
		if !m.isObserved(s, row.Version) {
			m.log.Error().Err(err).Str("row", row.Key).Int64("version", row.Version).Msg("failed to decode the row of a lease")
		}
		return record{Holder: unknownHolder}
	}
	return current
}

// isObserved reports whether the row has been observed at a version.
func (m *Manager) isObserved(s Shard, version int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.observed[s]
	return ok && last.version == version
}

// acquireMissing acquires a shard whose row was missing when read at readVersion. If a row was
// observed before or the store was ever restored, the row may have been lost in a restore while its
// holder is still active. The shard is then acquired only after the duration of a lease.
func (m *Manager) acquireMissing(ctx context.Context, s Shard, intent Intent, readVersion int64) {
	m.mu.Lock()
	_, wasObserved := m.observed[s]
	m.mu.Unlock()
	mayBeLost := wasObserved || storeversion.IsRestored(storeversion.Era(readVersion))
	if mayBeLost && m.now().Sub(m.observe(s, missingRowVersion, record{}).since) < m.timing.Duration {
		return
	}
	if intent == Acquire {
		m.acquire(ctx, s, 1, table.Absent{}, readVersion)
	}
}

// missingRowVersion is the version recorded in the observation of a missing row.
const missingRowVersion = 0

// observe records a row that was read and returns its observation, whose time is that of the
// first read at the version.
func (m *Manager) observe(s Shard, version int64, current record) observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.observed[s]
	if !ok || last.version != version {
		last = observation{version, current.Epoch, current.Holder, m.now()}
		m.observed[s] = last
	}
	return last
}

// isAvailable reports whether a lease may be acquired. A released lease is available to the
// intent Acquire at once and to a standby after a renewal interval. Any other is available once
// its row has not changed for the duration of a lease.
func (m *Manager) isAvailable(last observation, intent Intent) bool {
	unchangedFor := m.now().Sub(last.since)
	if last.holder == "" {
		return intent == Acquire || unchangedFor >= m.timing.RenewInterval
	}
	return unchangedFor >= m.timing.Duration
}

// acquire commits a grant of a shard if its row, read at readVersion, still meets the condition.
func (m *Manager) acquire(ctx context.Context, s Shard, epoch int64, condition table.Condition, readVersion int64) {
	sentAt := m.now()
	ctx, cancel := context.WithTimeout(ctx, m.timing.RenewInterval)
	defer cancel()
	outcome := m.writer.Commit(ctx, table.Write{Key: rowKey(s), Value: encode(record{m.holder, epoch}), If: condition})
	done, ok := outcome.(table.Committed)
	if !ok || storeversion.Era(done.Version) != storeversion.Era(readVersion) {
		// If the store was restored since the read, the condition may have matched although another
		// process holds the lease.
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, wasAbsent := condition.(table.Absent)
	_, wasObserved := m.observed[s]
	m.held[s] = &heldLease{epoch: done.Version, first: wasAbsent && !wasObserved, version: done.Version, expiresAt: m.expiryFrom(sentAt), acquiredAt: sentAt}
	delete(m.observed, s)
}
