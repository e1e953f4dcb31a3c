// Package quarantinesync keeps requests that are held back in the store, a row each, so that
// hosts still hold them back after all have begun anew at once.
package quarantinesync

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/pause"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/table"
)

// Table is the store's table of requests held back.
const Table = "quarantine"

// Times of a keeper.
const (
	// keepPause is the time between two looks for what is to be written: hosts that die
	// together within it take the latest case with them.
	keepPause = 200 * time.Millisecond
	// writeTime bounds a write, retryPause is the time to the next where one failed.
	writeTime  = 2 * time.Second
	retryPause = time.Second
	// readTime bounds one read of the rows at a start.
	readTime = 2 * time.Second
)

// page is how many rows one call reads: the store's most.
const page = 500

// Syncer writes the cases of this process and reads all at a start.
type Syncer struct {
	watch  *quarantine.Watch
	writer *table.Writer
	clock  *storeclock.Clock
	log    *log.Logger

	storeEra func() int64
	// era is the highest store era that step has seen.
	era int64
}

// NewSyncer returns a keeper. storeEra returns the store's era as last read by this host.
func NewSyncer(watch *quarantine.Watch, writer *table.Writer, clock *storeclock.Clock, storeEra func() int64, logger *log.Logger) *Syncer {
	return &Syncer{watch: watch, writer: writer, clock: clock, storeEra: storeEra, log: logger}
}

// Load reads all rows, again and again until the store has answered or ctx ends. Other
// hosts tell what is held back, so that this counts where all have just begun.
func (k *Syncer) Load(ctx context.Context) {
	for ctx.Err() == nil {
		if k.load(ctx) {
			return
		}
		pause.For(ctx, retryPause)
	}
}

func (k *Syncer) load(ctx context.Context) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	for after := ""; ; {
		rows, err := k.writer.Store().List(ctx, Table+"/", after, page)
		if err != nil {
			k.log.Warn().Err(err).Msg("requests held back not read from the store")
			return false
		}
		k.take(ctx, rows)
		if len(rows) < page {
			return true
		}
		after = rows[len(rows)-1].Key
	}
}

// take takes rows in and removes those of which the time is over.
func (k *Syncer) take(ctx context.Context, rows []table.Row) {
	now := k.clock.Now()
	storeNow, known := k.clock.Store()
	for _, row := range rows {
		if !known {
			return
		}
		stored, err := decode(row.Key, row.Value)
		if err != nil {
			k.log.Error().Err(err).Str("row", row.Key).Msg("request held back not taken")
			continue
		}
		c := stored.at(now, storeNow)
		if quarantine.Expired(c, now) {
			k.remove(ctx, row)
			continue
		}
		k.watch.ApplyReports([]quarantine.Case{c}, "store", now)
		k.watch.MarkSaved(c)
	}
}

func (k *Syncer) remove(ctx context.Context, row table.Row) {
	write := table.Write{Key: row.Key, Delete: true, If: table.AtVersion{Version: row.Version}}
	// Another host that starts may be first; what stays is removed at the next start.
	if refused, isRefused := k.writer.Commit(ctx, write).(table.Refused); isRefused {
		k.log.Debug().Err(refused.Err).Str("row", row.Key).Msg("row of a request held back not removed")
	}
}

// Run writes what is held back and seen by this process, and removes rows of what was
// answered whole since, until ctx ends.
func (k *Syncer) Run(ctx context.Context) {
	for pause.For(ctx, keepPause) {
		if !k.step(ctx) {
			pause.For(ctx, retryPause)
		}
	}
}

// step ends early where the store does not take a write.
func (k *Syncer) step(ctx context.Context) (done bool) {
	if era := k.storeEra(); era > k.era {
		k.era = era
		k.watch.StoreRestored()
	}
	for _, c := range k.watch.Unsaved(k.clock.Now()) {
		if !k.write(ctx, c) {
			return false
		}
	}
	for _, f := range k.watch.StaleRows() {
		if !k.clear(ctx, f) {
			return false
		}
	}
	return true
}

// clear removes the row of a request that does not end endpoints. What another host has
// written of it meanwhile goes too: it hears of the answer as well.
func (k *Syncer) clear(ctx context.Context, f quarantine.Fingerprint) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	outcome := k.writer.Commit(ctx, table.Write{Key: key(f), Delete: true, If: table.Always{}})
	if _, isDone := outcome.(table.Done); !isDone {
		k.log.Warn().Stringer("fingerprint", f).Msg("row of a request that was held back not removed")
		return false
	}
	k.watch.MarkDeleted(f)
	return true
}

// write writes a case over what another host has written of it: all know three ends of
// it, and any three hold it back.
func (k *Syncer) write(ctx context.Context, c quarantine.Case) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	storeNow, known := k.clock.Store()
	if !known {
		return false
	}
	value, err := encode(c, k.clock.Now(), storeNow)
	if err != nil {
		k.log.Error().Err(err).Msg("request held back not encoded")
		return false
	}
	outcome := k.writer.Commit(ctx, table.Write{Key: key(c.Fingerprint), Value: value, If: table.Always{}})
	if _, isDone := outcome.(table.Done); !isDone {
		k.log.Warn().Stringer("fingerprint", c.Fingerprint).Msg("request held back not written to the store")
		return false
	}
	k.watch.MarkSaved(c)
	return true
}
