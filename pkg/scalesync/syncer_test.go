package scalesync_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/scalesync"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/table"
)

// newSyncer returns the syncer of a host whose clock is offset from that of the store.
func newSyncer(store table.Store, name string, storeNow time.Duration) (*scalesync.Syncer, *storeclock.Clock) {
	clock := storeclock.New()
	clock.Observe(storeNow)
	return scalesync.New(table.NewWriter(store, name), clock, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}), clock
}

// newStore returns a store at a version: the epoch of a holder is a version before those of its rows.
func newStore(version int) *tables.Store {
	store := tables.New()
	for range version {
		store.Commit(context.Background(), table.Commit{Writes: []table.Write{{Key: "lease/0000", Value: []byte("{}"), If: table.Always{}}}})
	}
	return store
}

func stateAt(now time.Time, ordered int) autoscale.State {
	pool := autoscale.Pool{Service: "svc", DataCenter: "a", Reclaimable: true}
	return autoscale.State{
		Rollout: 7,
		Pools:   []autoscale.PoolState{{Pool: pool, Ordered: ordered, Booting: 4, OrderedAt: now.Add(-time.Second)}},
		Losses:  autoscale.LossState{LostAt: map[string]time.Time{"b": now.Add(-3 * time.Second)}, Pending: true, Followed: 2, Ended: 1, Delays: 9 * time.Second},
		Demand:  autoscale.DemandState{At: now, FirstLoadAt: now.Add(-time.Minute), Load: 17, Refused: 30},
	}
}

// The next holder reads the state with its times, and the holder before it no longer changes the
// row.
func TestStatePassesToNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		store := newStore(12)
		first, clock := newSyncer(store, "first", time.Hour)
		go first.Run(t.Context())
		firstGrant := lease.Grant{Epoch: 5, First: true}
		first.Load(t.Context(), "svc", firstGrant)
		saved := stateAt(clock.Now(), 40)
		first.Save("svc", firstGrant, saved)
		time.Sleep(2 * time.Second)

		second, secondClock := newSyncer(store, "second", time.Hour+time.Since(began))
		go second.Run(t.Context())
		grant := lease.Grant{Epoch: 9}
		got, ok := second.Load(t.Context(), "svc", grant)
		if !ok || len(got.Pools) != 1 || got.Pools[0].Ordered != 40 || got.Pools[0].Booting != 4 || got.Demand.Load != 17 || got.Rollout != 7 || got.Losses.Followed != 2 || !got.Losses.Pending {
			t.Fatalf("state: got %+v, %v, want %+v", got, ok, saved)
		}
		if age := secondClock.Now().Sub(got.Losses.LostAt["b"]); age != 5*time.Second {
			t.Errorf("age of the loss: got %v, want 5 s", age)
		}
		second.Save("svc", grant, stateAt(secondClock.Now(), 30))
		time.Sleep(2 * time.Second)
		first.Save("svc", firstGrant, stateAt(clock.Now(), 10))
		time.Sleep(5 * time.Second)
		third, _ := newSyncer(store, "third", time.Hour+time.Since(began))
		if got, _ := third.Load(t.Context(), "svc", lease.Grant{Epoch: 12}); len(got.Pools) != 1 || got.Pools[0].Ordered != 30 {
			t.Errorf("state after a late write of the first holder: got %+v, want 30 ordered", got.Pools)
		}
	})
}

// Orders must neither wait for a store that does not answer nor follow a row of another format, and
// a row of a later holder is left unchanged.
func TestUnusableStateIsNotLoaded(t *testing.T) {
	for name, c := range map[string]struct {
		value []byte
		fault tables.Fault
	}{
		"store refuses": {nil, tables.Refuse{}},
		"other format":  {[]byte("no CBOR"), nil},
		"later holder":  {[]byte{0xa1, 0x01, 0x18, 0x63}, nil},
		"negative":      {[]byte{0xa2, 0x01, 0x01, 0x02, 0x81, 0x86, 0x61, 'a', 0xf5, 0x20, 0x00, 0x00, 0x00}, nil},
	} {
		synctest.Test(t, func(t *testing.T) {
			store := newStore(99)
			store.Commit(t.Context(), table.Commit{Token: table.Token{Writer: "x", Sequence: 1}, Writes: []table.Write{{Key: "autoscale/svc", Value: c.value, If: table.Absent{}}}})
			if c.fault != nil {
				store.SetFaults(func(tables.Call) tables.Fault { return c.fault })
			}
			s, clock := newSyncer(store, "host", time.Hour)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go s.Run(ctx)
			started := time.Now()
			grant := lease.Grant{Epoch: 20}
			if got, ok := s.Load(ctx, "svc", grant); ok || time.Since(started) > 500*time.Millisecond {
				t.Errorf("%s: got %+v, %v after %v, want none within 0.5 s", name, got, ok, time.Since(started))
			}
			store.SetFaults(nil)
			s.Save("svc", grant, stateAt(clock.Now(), 40))
			time.Sleep(3 * time.Second)
			row, _, _ := store.Get(ctx, "autoscale/svc")
			if unchanged := row.Token.Writer == "x"; unchanged != (name == "later holder") {
				t.Errorf("%s: row unchanged: got %v", name, unchanged)
			}
		})
	}
}

// Orders that change with every round must not cost more than a call a second, and unchanged ones
// none.
func TestWritesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		s, clock := newSyncer(store, "host", time.Hour)
		go s.Run(t.Context())
		grant := lease.Grant{Epoch: 5, First: true}
		s.Load(t.Context(), "svc", grant)
		for i := range 40 {
			s.Save("svc", grant, stateAt(clock.Now(), 10+i))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		if got := store.Count(tables.OperationCommit); got < 4 || got > 6 {
			t.Errorf("writes within 4 s of changes: got %d, want 4 to 6", got)
		}
		last := stateAt(clock.Now(), 50)
		s.Save("svc", grant, last)
		time.Sleep(3 * time.Second)
		before := store.Count(tables.OperationCommit)
		for range 20 {
			last.Demand.At = clock.Now()
			s.Save("svc", grant, last)
			time.Sleep(750 * time.Millisecond)
		}
		if got := store.Count(tables.OperationCommit) - before; got != 0 {
			t.Errorf("writes of unchanged orders: got %d, want none", got)
		}
	})
}
