// Package relay lets most hosts of a large fleet follow the store's tables
// through a few that follow the store itself: every call to the store is paid
// for, a call between hosts is not. Versions are the store's own, so that a
// follower changes between a relay and the store without a gap.
package relay

import (
	"sort"
	"sync"
	"time"

	"ironhollow/pkg/feed"
)

// mostChanges is how many changes of a table are kept for followers; one that
// asks for older ones reads a snapshot.
const mostChanges = 4096

// Copy is what a host has read of the store's tables itself. It is safe for
// concurrent use.
type Copy struct {
	now func() time.Time

	mu     sync.Mutex
	tables map[string]*tableCopy
}

// tableCopy is one table.
type tableCopy struct {
	rows map[string]feed.Row
	// changes are in the order of their versions; those up to dropped are gone.
	changes []feed.Row
	dropped int64
	version int64
	// storeTime is the store's clock at heardAt.
	storeTime time.Duration
	heardAt   time.Time
	// changed is closed at the next change.
	changed chan struct{}
}

// NewCopy returns a copy of nothing.
func NewCopy(now func() time.Time) *Copy {
	return &Copy{now: now, tables: map[string]*tableCopy{}}
}

func (c *Copy) table(name string) *tableCopy {
	t, ok := c.tables[name]
	if !ok {
		t = &tableCopy{rows: map[string]feed.Row{}, changed: make(chan struct{}), version: -1}
		c.tables[name] = t
	}
	return t
}

// Version returns up to where a table has been followed without a gap, -1 for
// not at all.
func (c *Copy) Version(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table(name).version
}

// Restart takes in a snapshot that was read from the store.
func (c *Copy) Restart(name string, batch feed.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(name)
	t.restart(batch)
	t.heard(c.now(), batch, true)
}

// Add takes in the changes after Version that were read from the store.
func (c *Copy) Add(name string, batch feed.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(name)
	t.add(batch)
	t.heard(c.now(), batch, len(batch.Rows) > 0)
}

func (t *tableCopy) heard(now time.Time, batch feed.Batch, changed bool) {
	t.heardAt = now
	t.storeTime = batch.StoreTime
	t.version = max(t.version, batch.Version)
	if changed {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// restart begins anew from a snapshot: what happened in between is not known,
// so that followers read a snapshot too.
func (t *tableCopy) restart(batch feed.Batch) {
	t.rows = make(map[string]feed.Row, len(batch.Rows))
	for _, row := range batch.Rows {
		t.rows[row.Key] = row
	}
	t.changes = nil
	t.dropped = batch.Version
	t.version = batch.Version
}

func (t *tableCopy) add(batch feed.Batch) {
	for _, row := range batch.Rows {
		if row.Deleted {
			delete(t.rows, row.Key)
		} else {
			t.rows[row.Key] = row
		}
		t.changes = append(t.changes, row)
	}
	if extra := len(t.changes) - mostChanges; extra > 0 {
		t.dropped = t.changes[extra-1].Version
		t.changes = append([]feed.Row(nil), t.changes[extra:]...)
	}
}

// snapshot returns the whole table. The copy's lock is held.
func (t *tableCopy) snapshot() feed.Batch {
	batch := feed.Batch{Full: true, Version: t.version}
	for _, row := range t.rows {
		batch.Rows = append(batch.Rows, row)
	}
	sort.Slice(batch.Rows, func(i, j int) bool { return batch.Rows[i].Key < batch.Rows[j].Key })
	return batch
}

// after returns the changes after a version. The copy's lock is held.
func (t *tableCopy) after(version int64) (feed.Batch, error) {
	if version < t.dropped {
		return feed.Batch{}, feed.ErrHistoryGone
	}
	first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].Version > version })
	return feed.Batch{Rows: append([]feed.Row(nil), t.changes[first:]...), Version: max(t.version, version)}, nil
}
