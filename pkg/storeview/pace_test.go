package storeview_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/feed"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
)

// namedTables gives the tables different names.
type namedTables struct{ decoder }

func (namedTables) Tables() storeview.Tables {
	return storeview.Tables{Configuration: "configuration", Endpoints: "endpoints"}
}

// busyEndpoints is a store whose table of endpoints always has a change; it counts the reads.
type busyEndpoints struct {
	rows
	reads atomic.Int64
}

func (s *busyEndpoints) Changes(ctx context.Context, name string, _ int64, _ time.Duration) (feed.Batch, error) {
	if name != "endpoints" {
		<-ctx.Done()
		return feed.Batch{}, ctx.Err()
	}
	s.reads.Add(1)
	return feed.Batch{Version: s.reads.Load()}, nil
}

// The host that orders endpoints read their rows up to 1.3 s late, of 1.7 to 2.8 s of notice. Others
// must not call the store more often.
func TestOnlyHostThatOrdersReadsEndpointsOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		members := roster.New(time.Minute, func(int) time.Duration { return time.Second })
		logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		view := storeview.New(namedTables{}, time.Second, storeclock.New(), members, route.Location{Node: "h"}, "h", rollout.New(rollout.Bounds{}), logger)
		store := &busyEndpoints{}
		var orders atomic.Bool
		view.Follow(ctx, store, false)
		readsIn := func(d time.Duration) int64 {
			before := store.reads.Load()
			time.Sleep(d)
			return store.reads.Load() - before
		}
		time.Sleep(2 * time.Second)
		usual := readsIn(13 * time.Second)
		view.SetOrdersEndpoints(orders.Load)
		unheld := readsIn(13 * time.Second)
		orders.Store(true)
		time.Sleep(2 * time.Second)
		held := readsIn(3 * time.Second)
		orders.Store(false)
		time.Sleep(time.Second)
		after := readsIn(13 * time.Second)
		if usual != 10 || unheld != 10 || held != 10 || after != 10 {
			t.Errorf("reads in 13 s before, in 13 s without the lease, in 3 s with it, in 13 s after: got %d, %d, %d and %d, want 10 each", usual, unheld, held, after)
		}
		cancel()
	})
}
