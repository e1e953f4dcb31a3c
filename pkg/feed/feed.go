// Package feed follows the rows of a table in the platform's store: it reads a snapshot, then
// changes, and reads a snapshot again when the store no longer has the changes that follow.
package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ironhollow/pkg/httpx"
	"ironhollow/pkg/pause"
)

// ErrHistoryGone is returned when the store no longer has the requested changes.
var ErrHistoryGone = errors.New("feed: the store no longer has the requested changes")

// Row is the current value of a row or its deletion.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Batch is the result of one call to the store.
type Batch struct {
	// Full reports whether the batch is a snapshot: rows that are not listed do not exist.
	Full bool
	Rows []Row
	// Version is the version after which the next call reads changes.
	Version int64
	// StoreTime is the store's monotonic clock at the time of the response, relative to its own
	// zero.
	StoreTime time.Duration
	// CompleteAt is a time of the same clock at which the batch, with those before it, had all changes; 0 if unknown.
	// It is earlier than StoreTime if the batch comes from a relay.
	CompleteAt time.Duration
}

// AppendPage appends a page of the same snapshot. CompleteAt remains that of the first page.
func (b *Batch) AppendPage(page Batch) {
	b.Rows = append(b.Rows, page.Rows...)
	b.StoreTime = page.StoreTime
	if b.CompleteAt == 0 {
		b.CompleteAt = page.CompleteAt
	}
}

// Source is a store whose tables can be followed.
type Source interface {
	Snapshot(ctx context.Context, table string) (Batch, error)
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Batch, error)
}

// BatchHandler handles batches in order. It is called from one goroutine.
type BatchHandler func(Batch)

// HealthHandler is called with the result of each call to the store. A nil err is a success.
type HealthHandler func(table string, err error)

// longBatchRows is the number of rows from which a batch may have reached the maximum response
// length. More changes may be waiting then, and a follower that delays the next call falls behind
// a busy table.
const longBatchRows = 500

// minPollDelay is the least delay between a response and the next call that a follower is hurried to make.
const minPollDelay = 200 * time.Millisecond

// Timing holds the delays and timeouts of a follower.
type Timing struct {
	// PollTimeout is how long the store may hold a call for changes. It bounds the time until a
	// silently broken connection is detected.
	PollTimeout func() time.Duration
	// PollDelay is the delay between a response and the next call, so that the changes of a busy
	// table are read in batches. There is none after a long batch.
	PollDelay func() time.Duration
	// Hurry ends PollDelay early, after minPollDelay at the least; nil if nothing does.
	Hurry <-chan struct{}
	// RetryDelay is the mean delay after a failure. The actual delay is random, between 0.5 and
	// 1.5 times this value, so that nodes do not reconnect at the same time. There is none after
	// the first failure on a reused connection, which shows nothing about the store.
	RetryDelay time.Duration
}

// Follower follows one table.
type Follower struct {
	source       Source
	table        string
	timing       Timing
	handle       BatchHandler
	reportHealth HealthHandler
}

// New returns a follower of a table.
func New(source Source, table string, timing Timing, handle BatchHandler, reportHealth HealthHandler) *Follower {
	return &Follower{source: source, table: table, timing: timing, handle: handle, reportHealth: reportHealth}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	version := int64(-1)
	failed := false
	for ctx.Err() == nil {
		batch, err := f.next(ctx, version, failed)
		if err != nil {
			err = fmt.Errorf("after version %d: %w", version, err)
		}
		var reused *httpx.ReusedConnectionError
		retryNow := !failed && errors.As(err, &reused)
		failed = err != nil
		if ctx.Err() != nil {
			return
		}
		f.reportHealth(f.table, err)
		delay := f.timing.PollDelay()
		switch {
		case errors.Is(err, ErrHistoryGone):
			version = -1
			delay = 0
		case retryNow:
			delay = 0
		case err != nil:
			delay = f.timing.RetryDelay/2 + rand.N(f.timing.RetryDelay)
		default:
			f.handle(batch)
			version = batch.Version
			if len(batch.Rows) >= longBatchRows {
				delay = 0
			}
		}
		f.pause(ctx, delay, err == nil)
	}
}

// pause waits for a delay, part of which a follower may skip if it is hurried.
func (f *Follower) pause(ctx context.Context, delay time.Duration, skips bool) {
	least := delay
	if skips {
		least = min(delay, minPollDelay)
	}
	if !pause.For(ctx, least) || delay == least {
		return
	}
	rest := time.NewTimer(delay - least)
	defer rest.Stop()
	select {
	case <-ctx.Done():
	case <-rest.C:
	case <-f.timing.Hurry:
	}
}

// next makes one call to the store. After a failure it does not wait for changes, so that a
// recovered store is detected immediately.
func (f *Follower) next(ctx context.Context, version int64, failed bool) (Batch, error) {
	if version >= 0 {
		timeout := f.timing.PollTimeout()
		if failed {
			timeout = 0
		}
		return f.source.Changes(ctx, f.table, version, timeout)
	}
	batch, err := f.source.Snapshot(ctx, f.table)
	batch.Full = true
	return batch, err
}
