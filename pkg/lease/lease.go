// Package lease holds shards of control work by lease. Leases stand in the
// table service; every grant raises the shard's epoch, and the holder stops by
// its own clock before anyone else may start by theirs. No two clocks need to
// agree: whoever waits for a lease to lapse counts from when it first saw the
// row unchanged.
package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"ironhollow/pkg/storeversion"
	"ironhollow/pkg/table"
)

// Shard numbers a part of the control work, from 0.
type Shard int

// Grant is a shard held.
type Grant struct {
	Shard Shard
	// Epoch is the version of the row at the grant; every order carries it. It increases with each
	// grant of the shard, even if a restore of the store has lost earlier grants.
	Epoch int64
	// First is set if no earlier grant of the shard is known.
	First bool
}

// Intent is how much a node wants a shard.
type Intent int

// The wishes.
const (
	// Release shards are released if held.
	Release Intent = iota
	// Standby watches a shard and takes it once its lease has lapsed.
	Standby
	// Acquire takes a shard that is free as well.
	Acquire
)

// record is a lease row's JSON.
type record struct {
	// Holder is empty for a shard that was released.
	Holder string `json:"holder"`
	// Epoch is the epoch of the grant once the holder has renewed it. Before that, it is the previous
	// row's value plus one, because the version is known only after the commit.
	Epoch int64 `json:"epoch"`
}

// Timing of a manager.
type Timing struct {
	// Duration is how long a lease lasts without renewal.
	Duration time.Duration
	// RenewInterval is the time between renewals, under a third of Duration.
	RenewInterval time.Duration
}

// safety is the part of the duration that the holder itself counts on.
const safety = 0.8

// Manager holds and renews the leases of one process. It is safe for
// concurrent use.
type Manager struct {
	writer *table.Writer
	holder string
	timing Timing
	now    func() time.Time

	mu   sync.Mutex
	held map[Shard]*holding
	// seen is what was read of shards that are not held.
	seen map[Shard]sighting
}

// holding is a lease of ours.
type holding struct {
	epoch   int64
	first   bool
	version int64
	// until is by this process's own clock.
	until time.Time
	since time.Time
}

// sighting is a row as first read at a version.
type sighting struct {
	version int64
	epoch   int64
	holder  string
	since   time.Time
}

// New returns a manager; holder names this process's incarnation. now must count the time
// that the machine is suspended for: another may hold the lease when it is awake again.
func New(writer *table.Writer, holder string, timing Timing, now func() time.Time) *Manager {
	return &Manager{writer: writer, holder: holder, timing: timing, now: now, held: map[Shard]*holding{}, seen: map[Shard]sighting{}}
}

func rowKey(s Shard) string { return fmt.Sprintf("lease/%04d", s) }

// Held returns the grant of a shard if it is held at the moment. Whoever acts
// under a grant asks again right before each act.
func (m *Manager) Held(s Shard) (Grant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.held[s]
	if !ok || !m.now().Before(h.until) {
		return Grant{}, false
	}
	return Grant{s, h.epoch, h.first}, true
}

// Remaining returns how long a shard is held yet without a renewal, by this process's
// own clock; 0 if it is not held.
func (m *Manager) Remaining(s Shard) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.held[s]
	if !ok {
		return 0
	}
	return max(h.until.Sub(m.now()), 0)
}

// RowVersion returns the row's version of a shard that is held, 0 if it is not: others
// that hear of it need not read the row.
func (m *Manager) RowVersion(s Shard) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.held[s]
	if !ok || !m.now().Before(h.until) {
		return 0
	}
	return h.version
}

// ObserveVersion notes a shard's version that its holder has just sent. The row was at that version or
// a later one: if it still has it when it is read, it has not been renewed since.
func (m *Manager) ObserveVersion(s Shard, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if seen, ok := m.seen[s]; !ok || seen.version != version {
		m.seen[s] = sighting{version: version, holder: observedHolder, since: m.now()}
	}
}

// heardHolder stands for a holder whose row has not been read.
const observedHolder = "heard"

// MayHaveExpired reports whether a shard has not been seen to be renewed for the
// duration of a lease.
func (m *Manager) MayHaveExpired(s Shard) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen, ok := m.seen[s]
	return !ok || m.now().Sub(seen.since) >= m.timing.Duration
}

// HeldFor returns how long a shard has been held, 0 if it is not.
func (m *Manager) HeldFor(s Shard) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.held[s]
	if !ok {
		return 0
	}
	return m.now().Sub(h.since)
}

// Grants returns all shards held at the moment, in order.
func (m *Manager) Grants() []Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var list []Grant
	for s, h := range m.held {
		if now.Before(h.until) {
			list = append(list, Grant{s, h.epoch, h.first})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Shard < list[j].Shard })
	return list
}

// Step renews, takes and releases leases as wished; it is to be called every
// Renew. All renewals go in one commit.
func (m *Manager) Step(ctx context.Context, wishes map[Shard]Intent) {
	m.renew(ctx, wishes)
	for _, s := range sortedShards(wishes) {
		if wishes[s] != Release && !m.has(s) {
			m.tryTake(ctx, s, wishes[s])
		}
	}
}

func sortedShards(wishes map[Shard]Intent) []Shard {
	list := make([]Shard, 0, len(wishes))
	for s := range wishes {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func (m *Manager) has(s Shard) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.held[s]
	return ok
}

// renew renews the leases still wished for, and releases the others. A shard
// on standby that is held is kept until the node that wants it is there to
// take it; the caller wishes Release then.
func (m *Manager) renew(ctx context.Context, wishes map[Shard]Intent) {
	started := m.now()
	shards, writes := m.renewals(wishes)
	for len(shards) > 0 {
		outcome := m.writer.Commit(ctx, writes...)
		refused, isRefused := outcome.(table.Refused)
		if !isRefused || len(refused.Conflicts) == 0 {
			m.noteRenewed(shards, wishes, outcome, started)
			return
		}
		// Drop the leases that can no longer be renewed, and renew the rest.
		m.resolveConflicts(refused.Conflicts)
		shards, writes = m.renewals(wishes)
	}
}

func (m *Manager) renewals(wishes map[Shard]Intent) ([]Shard, []table.Write) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var shards []Shard
	for s := range m.held {
		shards = append(shards, s)
	}
	sort.Slice(shards, func(i, j int) bool { return shards[i] < shards[j] })
	writes := make([]table.Write, len(shards))
	for i, s := range shards {
		h := m.held[s]
		next := record{m.holder, h.epoch}
		if wishes[s] == Release {
			// From here on this process does not act under it any more.
			h.until = time.Time{}
			next.Holder = ""
		}
		writes[i] = table.Write{Key: rowKey(s), Value: encode(next), If: table.AtVersion{Version: h.version}}
	}
	return shards, writes
}

func (m *Manager) noteRenewed(shards []Shard, wishes map[Shard]Intent, outcome table.Outcome, started time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	done, ok := outcome.(table.Done)
	if !ok {
		m.forgetLapsed(shards)
		return
	}
	for _, s := range shards {
		if wishes[s] == Release || storeversion.Era(done.Version) != storeversion.Era(m.held[s].version) {
			// Released, or renewed in a restored store, where the condition may have matched another
			// holder's row.
			delete(m.held, s)
			continue
		}
		m.held[s].version = done.Version
		m.held[s].until = m.deadline(started)
	}
}

// forgetLapsed drops leases whose renewal is not known to stand and whose time
// is over by our own clock: they are read anew before they are taken again.
func (m *Manager) forgetLapsed(shards []Shard) {
	now := m.now()
	for _, s := range shards {
		if now.After(m.held[s].until) {
			delete(m.held, s)
		}
	}
}

func (m *Manager) resolveConflicts(rows []table.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s, h := range m.held {
		for _, row := range rows {
			if row.Key != rowKey(s) {
				continue
			}
			if m.canRenewAt(h, row) {
				h.version = row.Version
			} else {
				delete(m.held, s)
			}
		}
	}
}

// canRenewAt reports whether a lease can be renewed at the version of a conflicting row: the row is
// this holder's own, at a later version, and the lease has not lapsed. A restored store returns an
// earlier row of the holder at such a version. No other process can have taken the lease meanwhile.
func (m *Manager) canRenewAt(h *holding, row table.Row) bool {
	var held record
	if json.Unmarshal(row.Value, &held) != nil {
		return false
	}
	return held.Holder == m.holder && row.Version > h.version && m.now().Before(h.until)
}

// deadline counts from before the commit was sent: the row can't be older.
func (m *Manager) deadline(started time.Time) time.Time {
	return started.Add(time.Duration(safety * float64(m.timing.Duration)))
}

// Release gives back all leases, for a planned stop.
func (m *Manager) Release(ctx context.Context) { m.renew(ctx, nil) }

func encode(r record) []byte {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic(err) // A string and a number.
	}
	return encoded
}
