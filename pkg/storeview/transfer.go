package storeview

import (
	"sync"

	"ironhollow/pkg/feed"
	"ironhollow/pkg/statetransfer"
)

// rowCache holds the rows of tables as they were received, for hosts that start while the store is
// away. It is safe for concurrent use.
type rowCache struct {
	mu     sync.Mutex
	tables map[string]*cachedTable
}

type cachedTable struct {
	rows    map[string]feed.Row
	version int64
}

// apply applies a batch of a table.
func (c *rowCache) apply(name string, batch feed.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tables == nil {
		c.tables = map[string]*cachedTable{}
	}
	t := c.tables[name]
	if t == nil || batch.Full {
		t = &cachedTable{rows: map[string]feed.Row{}}
		c.tables[name] = t
	}
	t.version = batch.Version
	for _, row := range batch.Rows {
		if row.Deleted {
			delete(t.rows, row.Key)
		} else {
			t.rows[row.Key] = row
		}
	}
}

// batches returns all tables as snapshots.
func (c *rowCache) batches() map[string]feed.Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batches := make(map[string]feed.Batch, len(c.tables))
	for name, t := range c.tables {
		batch := feed.Batch{Full: true, Version: t.version}
		for _, row := range t.rows {
			batch.Rows = append(batch.Rows, row)
		}
		batches[name] = batch
	}
	return batches
}

// ConfigurationVersion returns the version of the configuration in force, 0 if there is none.
func (v *View) ConfigurationVersion() int64 {
	if current := v.configuration.Load(); current != nil {
		return current.Version
	}
	return 0
}

// IsConfirmed reports whether the store has recently answered about the configuration.
func (v *View) IsConfirmed() bool {
	_, fresh := v.routeTables.Current()
	return fresh
}

// State returns what this host knows, for another one: the configuration if it is newer than after.
func (v *View) State(after int64, withTables bool) statetransfer.State {
	var state statetransfer.State
	if current := v.configuration.Load(); current != nil && current.Version > after {
		state.Configuration = *current
	}
	for id, startedMS := range v.endpoints.Leaving() {
		state.Leaving = append(state.Leaving, statetransfer.LeavingEndpoint{ID: id, StartedMS: startedMS})
	}
	storeTime, known := v.clock.StoreTime()
	if !withTables || !known {
		return state
	}
	state.Tables = v.rows.batches()
	for name, batch := range state.Tables {
		batch.StoreTime = storeTime
		state.Tables[name] = batch
	}
	return state
}

// Apply applies the state of another host. Its rows are applied only until the store has answered,
// since they may be older than the store's.
func (v *View) Apply(state statetransfer.State) {
	v.applyMu.Lock()
	defer v.applyMu.Unlock()
	if state.Configuration.Version > 0 {
		v.adoptConfiguration(state.Configuration.Row, "host", v.routeTables.Unconfirmed())
	}
	for _, e := range state.Leaving {
		v.endpoints.MarkLeaving(e.ID, e.StartedMS)
	}
	if batch, ok := state.Tables[RosterTable]; ok && !v.roster.Loaded() {
		v.clock.Observe(batch.StoreTime)
		v.rows.apply(RosterTable, batch)
		v.applyRoster(batch)
	}
	endpoints := v.decoder.Tables().Endpoints
	if batch, ok := state.Tables[endpoints]; ok && !v.endpoints.Loaded() {
		v.rows.apply(endpoints, batch)
		v.endpoints.Apply(batch)
	}
}
