package lease_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/engine"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/standin/engines"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

var timing = lease.Timing{Duration: 6 * time.Second, RenewInterval: 2 * time.Second}

const shard = lease.Shard(3)

// holder steps a manager until it is paused or stopped.
type holder struct {
	*lease.Manager
	intent lease.Intent
	paused atomic.Bool
	stop   chan struct{}
}

func newHolder(store *tables.Store, name string, intent lease.Intent) *holder {
	h := &holder{Manager: lease.New(table.NewWriter(store, name), name, timing, time.Now, discardLogger), intent: intent, stop: make(chan struct{})}
	go func() {
		for {
			if !h.paused.Load() {
				ctx, cancel := context.WithTimeout(context.Background(), timing.RenewInterval)
				h.Step(ctx, map[lease.Shard]lease.Intent{shard: h.intent})
				cancel()
			}
			select {
			case <-h.stop:
				return
			case <-time.After(timing.RenewInterval):
			}
		}
	}()
	return h
}

func (h *holder) holds() bool {
	_, ok := h.Held(shard)
	return ok
}

// TestTakeOverAfterDeath stops a holder without a release and measures how long its standby
// takes to acquire the lease.
func TestTakeOverAfterDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		first := newHolder(store, "a", lease.Acquire)
		second := newHolder(store, "b", lease.Standby)
		time.Sleep(10 * time.Second)
		if !first.holds() || second.holds() {
			t.Fatalf("got holders %v, %v; want the first alone", first.holds(), second.holds())
		}
		before, _ := first.Held(shard)
		close(first.stop)
		stoppedAt := time.Now()
		for !second.holds() && time.Since(stoppedAt) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(stoppedAt); took > 10*time.Second {
			t.Errorf("taken over after %v, want within 10s", took)
		}
		if after, _ := second.Held(shard); after.Epoch <= before.Epoch {
			t.Errorf("epoch: got %d after %d, want a higher one", after.Epoch, before.Epoch)
		}
		close(second.stop)
	})
}

// exchangeVersions sends the row version of each holder to each other manager, except for
// messages that lost drops.
func exchangeVersions(holders []*holder, lost func(from, to int) bool) {
	for i, from := range holders {
		for j, to := range holders {
			if version := from.RowVersion(shard); i != j && version > 0 && !lost(i, j) && !from.paused.Load() {
				to.ObserveVersion(shard, version)
			}
		}
	}
}

// TestTakeOverByObservingStandby checks that a standby that receives the holder's row version
// need not read the row, and takes over as fast as one that reads it continuously.
func TestTakeOverByObservingStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		first := newHolder(store, "a", lease.Acquire)
		second := lease.New(table.NewWriter(store, "b"), "b", timing, time.Now, discardLogger)
		step := func() { second.Step(context.Background(), map[lease.Shard]lease.Intent{shard: lease.Acquire}) }
		holders := []*holder{first, {Manager: second}}
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			exchangeVersions(holders, func(int, int) bool { return false })
			if second.MayHaveExpired(shard) {
				t.Fatal("while the holder's versions arrive: got a lease that may have expired, want none")
			}
		}
		// The holder stops between two renewals, after its last version was received.
		time.Sleep(time.Second)
		exchangeVersions(holders, func(int, int) bool { return false })
		close(first.stop)
		stoppedAt := time.Now()
		for time.Since(stoppedAt) < time.Minute && second.RowVersion(shard) == 0 {
			time.Sleep(200 * time.Millisecond)
			if second.MayHaveExpired(shard) {
				step()
			}
		}
		if took := time.Since(stoppedAt); took > timing.Duration+time.Second {
			t.Errorf("taken over after %v, want about the lease's %v", took, timing.Duration)
		}
	})
}

// TestNeverTwoHolders pauses holders, makes the store fail, delay calls and lose answers, and
// checks every 50 ms that at most one process holds the shard. From seed 20 on the processes
// also exchange row versions, of which some are lost.
func TestNeverTwoHolders(t *testing.T) {
	for seed := range 40 {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := tables.New()
				store.SetFaults(func(c tables.Call) tables.Fault {
					switch (c.Number*7 + int64(seed)*13) % 11 {
					case 0:
						return tables.LoseResponse{}
					case 1:
						return tables.LateCommit{After: 1500 * time.Millisecond}
					case 2:
						return tables.Delay{Duration: 1900 * time.Millisecond}
					case 3:
						return tables.Down{}
					}
					return tables.NoFault{}
				})
				holders := []*holder{newHolder(store, "a", lease.Acquire), newHolder(store, "b", lease.Acquire), newHolder(store, "c", lease.Standby)}
				held := 0
				for step := range 2400 {
					if step%150 == 0 {
						holders[(step/150+seed)%3].paused.Store((step/150)%2 == 0)
					}
					time.Sleep(50 * time.Millisecond)
					if seed >= 20 && step%4 == 0 {
						exchangeVersions(holders, func(from, to int) bool { return (step/4+from+2*to+seed)%3 == 0 })
					}
					now := 0
					for _, h := range holders {
						if h.holds() {
							now++
						}
					}
					if now > 1 {
						t.Fatalf("after %v: got %d holders, want 1 at most", time.Duration(step)*50*time.Millisecond, now)
					}
					held += now
				}
				if held < 400 {
					t.Errorf("held in %d of 2400 checks, want at least 400: the test needs checks with a holder", held)
				}
				for _, h := range holders {
					close(h.stop)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestPausedHolderDoesNoHarm pauses a holder between the check of its lease and its order, for
// longer than the lease. An endpoint that checks epochs refuses the order. One that does not
// accepts it, and the current holder corrects the loaded model.
func TestPausedHolderDoesNoHarm(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("endpoint checks: %v", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := tables.New()
				options := engines.DefaultOptions()
				options.ChecksOrders = checks
				direct := engines.NewMemoryClient()
				direct.Add("e", engines.New(1, options))
				order := func(g lease.Grant, model string) error {
					return direct.Order(context.Background(), "e", engine.Order{Epoch: g.Epoch, Model: model, Version: "1"})
				}
				loaded := func() string {
					report, err := direct.Load(context.Background(), "e")
					if err != nil {
						t.Fatal(err)
					}
					return report.Model
				}
				paused := newHolder(store, "a", lease.Acquire)
				time.Sleep(5 * time.Second)
				stale, ok := paused.Held(shard)
				if !ok {
					t.Fatal("the first holder has no lease")
				}
				paused.paused.Store(true) // It has checked its lease, and sends its order after the pause.
				next := newHolder(store, "b", lease.Acquire)
				time.Sleep(15 * time.Second)
				grant, ok := next.Held(shard)
				if !ok {
					t.Fatal("the lease was not taken over")
				}
				if err := order(grant, "new"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				err := order(stale, "old")
				if checks != (err != nil) {
					t.Errorf("late order: got error %v; refused should be %v", err, checks)
				}
				// The current holder repeats its order until the endpoint reports its model.
				for range 5 {
					time.Sleep(time.Second)
					if loaded() != "new" {
						if err := order(grant, "new"); err != nil {
							t.Fatal(err)
						}
					}
				}
				if got := loaded(); got != "new" {
					t.Errorf("loaded: got %q, want %q", got, "new")
				}
				close(paused.stop)
				close(next.stop)
			})
		})
	}
}

// TestHandOverOnStop checks that a released lease is acquired within a renewal interval.
func TestHandOverOnStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		first := newHolder(store, "a", lease.Acquire)
		time.Sleep(5 * time.Second)
		second := newHolder(store, "b", lease.Acquire)
		close(first.stop)
		first.Release(context.Background())
		if first.holds() {
			t.Error("the shard is held after its release")
		}
		time.Sleep(timing.RenewInterval + time.Millisecond)
		if !second.holds() {
			t.Errorf("the shard was not acquired within a renewal interval of its release")
		}
		close(second.stop)
	})
}

// TestRenewalsAreOneCommit renews many shards and counts the commits of the store.
func TestRenewalsAreOneCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		m := lease.New(table.NewWriter(store, "a"), "a", timing, time.Now, discardLogger)
		intents := map[lease.Shard]lease.Intent{}
		for s := range 50 {
			intents[lease.Shard(s)] = lease.Acquire
		}
		m.Step(context.Background(), intents)
		before := store.Count(tables.OperationCommit)
		for range 10 {
			time.Sleep(timing.RenewInterval)
			m.Step(context.Background(), intents)
		}
		if got := store.Count(tables.OperationCommit) - before; got != 10 {
			t.Errorf("commits of 10 renewals of 50 shards: got %d, want 10", got)
		}
	})
}

// TestSuspendedHolderDoesNotAct suspends the machine of a holder for longer than the lease. A
// monotonic clock does not count that time, so the holder acted after the resume under a lease
// that another process held: it renewed up to 750 ms after the resume and considered its lease
// valid for 2.4 s, while users treat calls of the previous holder as faulty from 300 ms after the
// resume.
func TestSuspendedHolderDoesNotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		suspended := time.Duration(0)
		suspendedClock := func() time.Time { return time.Now().Add(suspended) }
		first := lease.New(table.NewWriter(store, "a"), "a", timing, suspendedClock, discardLogger)
		second := lease.New(table.NewWriter(store, "b"), "b", timing, time.Now, discardLogger)
		intents := map[lease.Shard]lease.Intent{0: lease.Acquire}
		first.Step(t.Context(), intents)
		if _, held := first.Held(0); !held {
			t.Fatal("first: got no lease, want it")
		}
		second.Step(t.Context(), intents)
		time.Sleep(timing.Duration)
		second.Step(t.Context(), intents)
		if _, held := second.Held(0); !held {
			t.Fatal("second, after the duration of a lease: got no lease, want it")
		}
		// The same time passes for a suspended holder, though its monotonic clock does not advance.
		third := lease.New(table.NewWriter(store, "c"), "c", timing, suspendedClock, discardLogger)
		third.Step(t.Context(), map[lease.Shard]lease.Intent{1: lease.Acquire})
		suspended += timing.Duration
		if grant, held := third.Held(1); held || third.Remaining(1) != 0 || third.RowVersion(1) != 0 || len(third.Grants()) != 0 {
			t.Errorf("after a suspension as long as the lease: got %+v for another %v, want none", grant, third.Remaining(1))
		}
	})
}
