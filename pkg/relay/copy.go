// Package relay lets most hosts of a large fleet follow the store's tables through a few relays,
// hosts that follow the store itself: each call to the store costs money, a call between hosts
// does not. Relays use the store's versions, so that a follower can switch between a relay and the
// store without a gap.
package relay

import (
	"sort"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/feed"
)

// maxChanges is the number of changes of a table that are kept for followers. A follower that asks
// for older ones has to read a snapshot.
const maxChanges = 4096

// ChangeFilter reports whether followers need a row's new value, given the previous one.
type ChangeFilter func(table string, previous, current []byte) bool

// Replica is a host's replica of the store's tables, which it reads from the store itself. It is
// safe for concurrent use.
type Replica struct {
	now func() time.Time
	// isRelevant reports whether followers need a row's new value.
	isRelevant ChangeFilter

	mu     sync.Mutex
	tables map[string]*tableReplica
}

// tableReplica is the replica of one table.
type tableReplica struct {
	rows map[string]feed.Row
	// changes are sorted by version; those up to droppedVersion have been dropped.
	changes        []feed.Row
	droppedVersion int64
	version        int64
	// storeTime is the store's clock at syncedAt.
	storeTime time.Duration
	syncedAt  time.Time
	// changed is closed at the next change.
	changed chan struct{}
	// encoded caches the encoded rows of responses as of version. The key is the version that the
	// rows come after, or snapshotKey for the whole table.
	encoded map[int64]encodedRows
}

// encodedRows holds the encoded rows of a response.
type encodedRows struct {
	// plain is an encoded wireRows. compressed is the same in gzip, empty if it is too short to be
	// compressed.
	plain, compressed []byte
}

const (
	// snapshotKey is the key of the whole table in tableReplica.encoded.
	snapshotKey = -1
	// maxEncoded bounds the cached responses: followers ask for the changes after one of the
	// latest few versions.
	maxEncoded = 4
)

// NewReplica returns an empty replica. Row updates that isRelevant rejects are not sent to
// followers as changes: 3,000 endpoints that each write their row every 1.2 s cause 2,500 row
// updates per second, and sending them all to each of a relay's 75 followers took 9 MB/s at the
// busiest of 300 hosts.
func NewReplica(now func() time.Time, isRelevant ChangeFilter) *Replica {
	return &Replica{now: now, isRelevant: isRelevant, tables: map[string]*tableReplica{}}
}

func (rep *Replica) table(name string) *tableReplica {
	t, ok := rep.tables[name]
	if !ok {
		t = &tableReplica{rows: map[string]feed.Row{}, changed: make(chan struct{}), version: -1}
		rep.tables[name] = t
	}
	return t
}

// Version returns the version up to which this host has followed a table without a gap, -1 if it
// has not followed it.
func (rep *Replica) Version(name string) int64 {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.table(name).version
}

// Reset replaces a table with a snapshot that was read from the store.
func (rep *Replica) Reset(name string, batch feed.Batch) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	t := rep.table(name)
	t.reset(batch)
	t.recordSync(rep.now(), batch, true)
}

// Apply applies the changes after Version that were read from the store.
func (rep *Replica) Apply(name string, batch feed.Batch) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	t := rep.table(name)
	relevant := rep.relevantChanges(name, t, batch.Rows)
	t.apply(batch.Rows, relevant)
	t.recordSync(rep.now(), batch, len(relevant) > 0)
}

// relevantChanges returns the rows that followers need, in order.
func (rep *Replica) relevantChanges(name string, t *tableReplica, rows []feed.Row) []feed.Row {
	latest := map[string]feed.Row{}
	var relevant []feed.Row
	for _, row := range rows {
		previous, ok := latest[row.Key]
		if !ok {
			previous, ok = t.rows[row.Key]
		}
		if !ok || row.Deleted || previous.Deleted || rep.isRelevant(name, previous.Value, row.Value) {
			relevant = append(relevant, row)
		}
		latest[row.Key] = row
	}
	return relevant
}

func (t *tableReplica) recordSync(now time.Time, batch feed.Batch, changed bool) {
	t.syncedAt = now
	t.storeTime = batch.StoreTime
	t.version = max(t.version, batch.Version)
	if len(batch.Rows) > 0 {
		t.encoded = nil
	}
	if changed {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// reset starts again from a snapshot. The changes in between are not known, so followers have to
// read a snapshot too.
func (t *tableReplica) reset(batch feed.Batch) {
	t.rows = make(map[string]feed.Row, len(batch.Rows))
	for _, row := range batch.Rows {
		t.rows[row.Key] = row
	}
	t.changes = nil
	t.encoded = nil
	t.droppedVersion = batch.Version
	t.version = batch.Version
}

// apply applies rows and keeps the relevant ones as changes for followers.
func (t *tableReplica) apply(rows, relevant []feed.Row) {
	for _, row := range rows {
		if row.Deleted {
			delete(t.rows, row.Key)
		} else {
			t.rows[row.Key] = row
		}
	}
	t.changes = append(t.changes, relevant...)
	if extra := len(t.changes) - maxChanges; extra > 0 {
		t.droppedVersion = t.changes[extra-1].Version
		t.changes = append([]feed.Row(nil), t.changes[extra:]...)
	}
}

// snapshot returns the whole table. The replica's lock is held.
func (t *tableReplica) snapshot() (tableResponse, error) {
	rows, err := t.encode(snapshotKey, func() []feed.Row {
		list := make([]feed.Row, 0, len(t.rows))
		for _, row := range t.rows {
			list = append(list, row)
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
		return list
	})
	return tableResponse{rows: rows, version: t.version}, err
}

// changesAfter returns the changes after a version. The replica's lock is held.
func (t *tableReplica) changesAfter(version int64) (tableResponse, error) {
	if version < t.droppedVersion {
		return tableResponse{}, feed.ErrHistoryGone
	}
	rows, err := t.encode(version, func() []feed.Row {
		first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].Version > version })
		return t.changes[first:]
	})
	return tableResponse{rows: rows, version: max(t.version, version)}, err
}

// encode returns the encoded rows of a response, empty if there are none. They are encoded once
// for all followers that make the same request. The replica's lock is held.
func (t *tableReplica) encode(key int64, list func() []feed.Row) (encodedRows, error) {
	if rows, ok := t.encoded[key]; ok {
		return rows, nil
	}
	rows := list()
	if len(rows) == 0 {
		return encodedRows{}, nil
	}
	wire := wireRows{Rows: make([]wireRow, 0, len(rows))}
	for _, row := range rows {
		wire.Rows = append(wire.Rows, wireRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	plain, err := cbor.Marshal(wire)
	if err != nil {
		return encodedRows{}, err
	}
	compressed, err := compress(plain)
	if err != nil {
		return encodedRows{}, err
	}
	if t.encoded == nil || len(t.encoded) >= maxEncoded {
		t.encoded = map[int64]encodedRows{}
	}
	t.encoded[key] = encodedRows{plain, compressed}
	return t.encoded[key], nil
}
