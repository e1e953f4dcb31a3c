// Package lease assigns shards of control work to processes by leases that are
// rows of the table service. Each grant increases the shard's epoch. The holder
// stops by its own clock before another process may start by its own. Clocks need
// not agree: a process that waits for a lease to expire counts from when it first
// read the row at its current version.
package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/storeversion"
	"ironhollow/pkg/table"
)

// Shard is the number of a part of the control work, from 0.
type Shard int

// Grant is a lease held on a shard.
type Grant struct {
	Shard Shard
	// Epoch is the version of the row at the grant and is sent with every order. It increases with
	// each grant of the shard, even if a restore of the store has lost earlier grants.
	Epoch int64
	// First is set if no earlier grant of the shard is known.
	First bool
}

// Intent is what a process intends to do with a shard.
type Intent int

// The intents.
const (
	// Release releases the shard if it is held.
	Release Intent = iota
	// Standby acquires the shard once its lease has expired, or a renewal interval after its
	// release.
	Standby
	// Acquire also acquires, without a delay, a shard that was released or never held.
	Acquire
)

// record is the JSON value of a lease row.
type record struct {
	// Holder is empty for a shard that was released.
	Holder string `json:"holder"`
	// Epoch is the epoch of the grant once the holder has renewed it. Before that, it is the previous
	// row's value plus one, because the version is known only after the commit.
	Epoch int64 `json:"epoch"`
}

// Timing is the timing of a manager.
type Timing struct {
	// Duration is how long a lease is valid without renewal.
	Duration time.Duration
	// RenewInterval is the time between renewals, less than a third of Duration.
	RenewInterval time.Duration
}

// usableFraction is the fraction of the duration for which the holder acts under a lease.
const usableFraction = 0.8

// Manager holds and renews the leases of one process. It is safe for
// concurrent use.
type Manager struct {
	writer *table.Writer
	holder string
	timing Timing
	now    func() time.Time
	log    *log.Logger

	mu   sync.Mutex
	held map[Shard]*heldLease
	// observed has the last known row of shards that are not held.
	observed map[Shard]observation
}

// heldLease is a lease held by this process.
type heldLease struct {
	epoch   int64
	first   bool
	version int64
	// expiresAt is when this process stops acting under the lease, by its own clock.
	expiresAt  time.Time
	acquiredAt time.Time
}

// observation is a row as first seen at a version.
type observation struct {
	version int64
	epoch   int64
	holder  string
	since   time.Time
}

// New returns a manager; holder is this process's incarnation. The clock now must include the
// time for which the machine is suspended, as another process may hold the lease when it resumes.
func New(writer *table.Writer, holder string, timing Timing, now func() time.Time, logger *log.Logger) *Manager {
	return &Manager{writer: writer, holder: holder, timing: timing, now: now, log: logger, held: map[Shard]*heldLease{}, observed: map[Shard]observation{}}
}

func rowKey(s Shard) string { return fmt.Sprintf("lease/%04d", s) }

// Held returns the grant of a shard if it is currently held. Callers must check again
// right before each action under the grant.
func (m *Manager) Held(s Shard) (Grant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.held[s]
	if !ok || !m.now().Before(h.expiresAt) {
		return Grant{}, false
	}
	return Grant{s, h.epoch, h.first}, true
}

// Remaining returns how much longer a shard is held without a renewal, by this process's
// own clock, or 0 if it is not held.
func (m *Manager) Remaining(s Shard) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.held[s]
	if !ok {
		return 0
	}
	return max(h.expiresAt.Sub(m.now()), 0)
}

// RowVersion returns the version of the lease row of a held shard, or 0 if the shard is
// not held. Processes that receive it need not read the row.
func (m *Manager) RowVersion(s Shard) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.held[s]
	if !ok || !m.now().Before(h.expiresAt) {
		return 0
	}
	return h.version
}

// ObserveVersion records a row version that the shard's holder has just sent. The row was at
// that version or a later one, so if it is at that version when it is read, it has not been
// renewed since.
func (m *Manager) ObserveVersion(s Shard, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last, ok := m.observed[s]; !ok || last.version != version {
		m.observed[s] = observation{version: version, holder: unreadHolder, since: m.now()}
	}
}

// unreadHolder is the holder in an observation whose row has not been read, unknownHolder that in one whose
// row cannot be decoded.
const (
	unreadHolder  = "heard"
	unknownHolder = "unknown"
)

// MayHaveExpired reports whether no renewal of a shard has been observed for the duration
// of a lease.
func (m *Manager) MayHaveExpired(s Shard) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.observed[s]
	return !ok || m.now().Sub(last.since) >= m.timing.Duration
}

// HeldFor returns how long a shard has been held, or 0 if it is not held.
func (m *Manager) HeldFor(s Shard) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.held[s]
	if !ok {
		return 0
	}
	return m.now().Sub(h.acquiredAt)
}

// Grants returns the grants of all shards currently held, by shard.
func (m *Manager) Grants() []Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var list []Grant
	for s, h := range m.held {
		if now.Before(h.expiresAt) {
			list = append(list, Grant{s, h.epoch, h.first})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Shard < list[j].Shard })
	return list
}

// Step renews, acquires and releases leases according to the intents. It must be called
// every Timing.RenewInterval. All renewals are one commit.
func (m *Manager) Step(ctx context.Context, intents map[Shard]Intent) {
	m.renew(ctx, intents)
	for _, s := range sortedShards(intents) {
		if intents[s] != Release && !m.isHeld(s) {
			m.tryAcquire(ctx, s, intents[s])
		}
	}
}

func sortedShards(intents map[Shard]Intent) []Shard {
	list := make([]Shard, 0, len(intents))
	for s := range intents {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func (m *Manager) isHeld(s Shard) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.held[s]
	return ok
}

// renew renews held leases and releases those with the intent Release. A lease held with
// the intent Standby is renewed until the preferred node can acquire it; the caller then
// changes the intent to Release.
func (m *Manager) renew(ctx context.Context, intents map[Shard]Intent) {
	sentAt := m.now()
	shards, writes := m.renewalWrites(intents)
	for len(shards) > 0 {
		outcome := m.writer.Commit(ctx, writes...)
		refused, isRefused := outcome.(table.Refused)
		if !isRefused || len(refused.Conflicts) == 0 {
			m.applyRenewal(shards, intents, outcome, sentAt)
			return
		}
		// Drop the leases that can no longer be renewed and renew the rest.
		m.resolveConflicts(refused.Conflicts)
		shards, writes = m.renewalWrites(intents)
	}
}

func (m *Manager) renewalWrites(intents map[Shard]Intent) ([]Shard, []table.Write) {
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
		if intents[s] == Release {
			// Stop acting under the lease before its release is committed.
			h.expiresAt = time.Time{}
			next.Holder = ""
		}
		writes[i] = table.Write{Key: rowKey(s), Value: encode(next), If: table.AtVersion{Version: h.version}}
	}
	return shards, writes
}

func (m *Manager) applyRenewal(shards []Shard, intents map[Shard]Intent, outcome table.Outcome, sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	done, ok := outcome.(table.Committed)
	if !ok {
		m.dropExpired(shards)
		return
	}
	for _, s := range shards {
		if intents[s] == Release || storeversion.Era(done.Version) != storeversion.Era(m.held[s].version) {
			// The lease was released, or renewed in a restored store, where the condition may have
			// matched another holder's row.
			delete(m.held, s)
			continue
		}
		m.held[s].version = done.Version
		m.held[s].expiresAt = m.expiryFrom(sentAt)
	}
}

// dropExpired drops leases that have expired by this process's clock and whose renewal is
// not confirmed. Their rows are read again before they are acquired again.
func (m *Manager) dropExpired(shards []Shard) {
	now := m.now()
	for _, s := range shards {
		if now.After(m.held[s].expiresAt) {
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
// this holder's own, at a later version, and the lease has not expired. A restored store returns an
// earlier row of the holder at a later version. No other process can have acquired the lease
// meanwhile.
func (m *Manager) canRenewAt(h *heldLease, row table.Row) bool {
	var held record
	if json.Unmarshal(row.Value, &held) != nil {
		return false
	}
	return held.Holder == m.holder && row.Version > h.version && m.now().Before(h.expiresAt)
}

// expiryFrom returns the expiry by this process's clock of a lease whose commit was sent at
// sentAt. The row cannot have been written before that.
func (m *Manager) expiryFrom(sentAt time.Time) time.Time {
	return sentAt.Add(time.Duration(usableFraction * float64(m.timing.Duration)))
}

// Release releases all leases, for a planned stop.
func (m *Manager) Release(ctx context.Context) { m.renew(ctx, nil) }

func encode(r record) []byte {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic(err) // Cannot fail: the record has only a string and a number.
	}
	return encoded
}
