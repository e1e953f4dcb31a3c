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

// TestGuardedStoreLimitsLoadDuringAndAfterOutage counts the calls that reach the
// store while 20 callers keep reading before, during and after an outage of an hour.
func TestGuardedStoreLimitsLoadDuringAndAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		guard := table.NewGuardedStore(store, table.Budget{ReadsPerSecond: 50, WritesPerSecond: 30})
		ctx, cancel := context.WithCancel(context.Background())
		for range 20 {
			go func() {
				for ctx.Err() == nil {
					callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
					_, _, _ = guard.Get(callCtx, "k")
					cancelCall()
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
		time.Sleep(time.Minute)
		if got := store.Count(tables.OperationGet); got < 45*60 || got > 51*60+100 {
			t.Errorf("reads in a minute at 200 requested per second: got %d, want the budget of 50 per second", got)
		}
		store.SetFaults(func(tables.Call) tables.Fault { return tables.Down{} })
		before := store.Count(tables.OperationGet)
		time.Sleep(time.Hour)
		if got := store.Count(tables.OperationGet) - before; got > 600 {
			t.Errorf("reads during the outage: got %d, want one probe every few seconds", got)
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
			t.Errorf("reads in the first second: got %d, want 15 or fewer; after half a minute: got %d, want 45 or more", first, full)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestGuardedStoreRejectsCallsWhileCircuitIsOpen checks that commits the store did
// not answer are Unknown, and that commits not sent are Refused.
func TestGuardedStoreRejectsCallsWhileCircuitIsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		store.SetFaults(func(tables.Call) tables.Fault { return tables.Down{} })
		guard := table.NewGuardedStore(store, table.Budget{ReadsPerSecond: 50, WritesPerSecond: 30})
		write := table.Commit{Writes: []table.Write{{Key: "k", If: table.Absent{}}}}
		for range 5 {
			if _, ok := guard.Commit(context.Background(), write).(table.Unknown); !ok {
				t.Fatal("commit that the store did not answer: want Unknown")
			}
		}
		started := time.Now()
		refused, ok := guard.Commit(context.Background(), write).(table.Refused)
		if !ok || !errors.Is(refused.Err, table.ErrCircuitOpen) || time.Since(started) != 0 {
			t.Errorf("after five failures: got %v %v after %v, want Refused with ErrCircuitOpen immediately", ok, refused.Err, time.Since(started))
		}
		if got := store.Count(tables.OperationCommit); got != 5 {
			t.Errorf("commits that reached the store: got %d, want 5", got)
		}
	})
}
