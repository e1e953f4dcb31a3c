package lease

import (
	"context"
	"encoding/json"

	"ironhollow/pkg/storeversion"
	"ironhollow/pkg/table"
)

// tryTake takes a shard that is free or has lapsed.
func (m *Manager) tryTake(ctx context.Context, s Shard, wish Intent) {
	row, exists, err := m.writer.Store().Get(ctx, rowKey(s))
	if err != nil {
		return
	}
	if !exists {
		m.takeAbsent(ctx, s, wish, row.Version)
		return
	}
	var held record
	if json.Unmarshal(row.Value, &held) != nil {
		return
	}
	seen := m.see(s, row.Version, held)
	if !m.isFree(seen, wish) {
		return
	}
	m.take(ctx, s, held.Epoch+1, table.AtVersion{Version: row.Version}, row.Version)
}

// takeAbsent takes a shard whose row was missing when read at readVersion. If a row was seen before
// or the store was ever restored, the row may have been lost in a restore while its holder is still
// active. The shard is then taken only after the duration of a lease.
func (m *Manager) takeAbsent(ctx context.Context, s Shard, wish Intent, readVersion int64) {
	m.mu.Lock()
	_, wasSeen := m.seen[s]
	m.mu.Unlock()
	mayBeLost := wasSeen || storeversion.IsRestored(storeversion.Era(readVersion))
	if mayBeLost && m.now().Sub(m.see(s, absentVersion, record{}).since) < m.timing.Duration {
		return
	}
	if wish == Acquire {
		m.take(ctx, s, 1, table.Absent{}, readVersion)
	}
}

// absentVersion is the version recorded in a sighting of a missing row.
const absentVersion = 0

// see notes since when a row has been at its version.
func (m *Manager) see(s Shard, version int64, held record) sighting {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen, ok := m.seen[s]
	if !ok || seen.version != version {
		seen = sighting{version, held.Epoch, held.Holder, m.now()}
		m.seen[s] = seen
	}
	return seen
}

// isFree reports whether a lease may be taken: a released one at once by who
// wants it, by a standby after a renewal's time; any other once it has been
// seen unchanged for its whole duration.
func (m *Manager) isFree(seen sighting, wish Intent) bool {
	waited := m.now().Sub(seen.since)
	if seen.holder == "" {
		return wish == Acquire || waited >= m.timing.RenewInterval
	}
	return waited >= m.timing.Duration
}

// take commits a grant of a shard if its row, read at readVersion, still meets the condition.
func (m *Manager) take(ctx context.Context, s Shard, epoch int64, condition table.Condition, readVersion int64) {
	started := m.now()
	ctx, cancel := context.WithTimeout(ctx, m.timing.RenewInterval)
	defer cancel()
	outcome := m.writer.Commit(ctx, table.Write{Key: rowKey(s), Value: encode(record{m.holder, epoch}), If: condition})
	done, ok := outcome.(table.Done)
	if !ok || storeversion.Era(done.Version) != storeversion.Era(readVersion) {
		// If the store was restored since the read, the condition may have matched although another
		// process holds the lease.
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, wasAbsent := condition.(table.Absent)
	_, wasSeen := m.seen[s]
	m.held[s] = &holding{epoch: done.Version, first: wasAbsent && !wasSeen, version: done.Version, until: m.deadline(started), since: started}
	delete(m.seen, s)
}
