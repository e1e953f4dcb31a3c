// Package feed follows the rows of a table of the platform's store: a snapshot
// first, then changes, a snapshot again where the history is gone.
package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ironhollow/pkg/pause"
)

// ErrHistoryGone says that the store no longer has the changes asked for.
var ErrHistoryGone = errors.New("feed: the store has dropped this history")

// Row is one row or the removal of one.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Batch is what one call brought.
type Batch struct {
	// Full says that rows not listed do not exist.
	Full bool
	Rows []Row
	// Version is where the next call goes on.
	Version int64
	// StoreTime is the store's steady clock at the answer, from its own zero.
	StoreTime time.Duration
}

// AppendPage appends a page of the same snapshot.
func (b *Batch) AppendPage(page Batch) {
	b.Rows = append(b.Rows, page.Rows...)
	b.StoreTime = page.StoreTime
}

// Source is a store that can be followed.
type Source interface {
	Snapshot(ctx context.Context, table string) (Batch, error)
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Batch, error)
}

// BatchHandler receives batches in order. It is called from one goroutine.
type BatchHandler func(Batch)

// HealthHandler is called when the store is lost and when it is back. A nil err is a success.
type HealthHandler func(table string, err error)

// longBatch is the rows from which on a batch may be as long as one answer gets. More wait then,
// and a follower that pauses before the next call falls behind a busy table.
const longBatch = 500

// Timing of a follower.
type Timing struct {
	// PollTimeout is how long the store holds a call for changes. It bounds how long a
	// silent cut stays unnoticed.
	PollTimeout func() time.Duration
	// PollDelay is the least time between two calls, so that a table with many
	// changes is read in batches.
	PollDelay func() time.Duration
	// RetryDelay is the mean pause after a failure; the actual one is half to one
	// and a half of it, so that nodes do not come back together.
	RetryDelay time.Duration
}

// Follower follows one table.
type Follower struct {
	source Source
	table  string
	timing Timing
	take   BatchHandler
	health HealthHandler
}

// New returns a follower of a table.
func New(source Source, table string, timing Timing, take BatchHandler, health HealthHandler) *Follower {
	return &Follower{source: source, table: table, timing: timing, take: take, health: health}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	version := int64(-1)
	failed := false
	for ctx.Err() == nil {
		batch, err := f.next(ctx, version, failed)
		if err != nil {
			err = fmt.Errorf("after version %d: %w", version, err)
		}
		failed = err != nil
		if ctx.Err() != nil {
			return
		}
		f.health(f.table, err)
		rest := f.timing.PollDelay()
		switch {
		case errors.Is(err, ErrHistoryGone):
			version = -1
			rest = 0
		case err != nil:
			rest = f.timing.RetryDelay/2 + rand.N(f.timing.RetryDelay)
		default:
			f.take(batch)
			version = batch.Version
			if len(batch.Rows) >= longBatch {
				rest = 0
			}
		}
		pause.For(ctx, rest)
	}
}

// next makes one call. After a failure it does not wait for changes: whether the
// store is back is to be known at once.
func (f *Follower) next(ctx context.Context, version int64, failed bool) (Batch, error) {
	if version >= 0 {
		wait := f.timing.PollTimeout()
		if failed {
			wait = 0
		}
		return f.source.Changes(ctx, f.table, version, wait)
	}
	batch, err := f.source.Snapshot(ctx, f.table)
	batch.Full = true
	return batch, err
}
