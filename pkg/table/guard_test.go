package table_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// TestGuardSparesAStoreThatComesBack has callers ask all the time through an
// outage of an hour, and counts what reaches the store.
func TestGuardSparesAStoreThatComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		guard := table.NewGuardedStore(store, table.Budget{ReadsPerSecond: 50, WritesPerSecond: 30})
		ctx, cancel := context.WithCancel(context.Background())
		for range 20 {
			go func() {
				for ctx.Err() == nil {
					call, done := context.WithTimeout(ctx, time.Second)
					_, _, _ = guard.Get(call, "k")
					done()
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
		time.Sleep(time.Minute)
		if got := store.Count(tables.OperationGet); got < 45*60 || got > 51*60+100 {
			t.Errorf("reads in a minute at 200 asked for: got %d, want the budget of 50 a second", got)
		}
		store.SetFaults(func(tables.Call) tables.Fault { return tables.Down{} })
		before := store.Count(tables.OperationGet)
		time.Sleep(time.Hour)
		if got := store.Count(tables.OperationGet) - before; got > 600 {
			t.Errorf("reads during the outage: got %d, want one probe in some seconds", got)
		}
		store.SetFaults(nil)
		for guard.CircuitOpen() {
			time.Sleep(10 * time.Millisecond)
		}
		before = store.Count(tables.OperationGet)
		time.Sleep(time.Second)
		first := store.Count(tables.OperationGet) - before
		time.Sleep(29 * time.Second)
		before = store.Count(tables.OperationGet)
		time.Sleep(time.Second)
		full := store.Count(tables.OperationGet) - before
		if first > 15 || full < 45 {
			t.Errorf("reads in the first second: got %d, want few; after half a minute: got %d, want the budget", first, full)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestGuardRefusesAtOnceWhileTheStoreIsDown tells "not sent" from "unknown".
func TestGuardRefusesAtOnceWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		store.SetFaults(func(tables.Call) tables.Fault { return tables.Down{} })
		guard := table.NewGuardedStore(store, table.Budget{ReadsPerSecond: 50, WritesPerSecond: 30})
		write := table.Commit{Writes: []table.Write{{Key: "k", If: table.Absent{}}}}
		for range 5 {
			if _, ok := guard.Commit(context.Background(), write).(table.Unknown); !ok {
				t.Fatal("a commit the store did not answer: want Unknown")
			}
		}
		begun := time.Now()
		refused, ok := guard.Commit(context.Background(), write).(table.Refused)
		if !ok || !errors.Is(refused.Err, table.ErrCircuitOpen) || time.Since(begun) != 0 {
			t.Errorf("after five failures: got %v %v after %v, want Refused with ErrOpen at once", ok, refused.Err, time.Since(begun))
		}
		if got := store.Count(tables.OperationCommit); got != 5 {
			t.Errorf("commits that reached the store: got %d, want 5", got)
		}
	})
}
