package config_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"ironhollow/pkg/code"
	"ironhollow/pkg/config"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// TestMain fixes the seed of property tests: the same verdict on each run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

// sections returns a configuration that is told apart by its mark.
func sections(t testing.TB, mark int) []fleet.Section {
	t.Helper()
	text := fmt.Sprintf("[service s]\nkind = plain\npriority = %d\n[team t%d]\nkeys = %064x\nrate = 1\n", mark%100, mark, mark)
	parsed, err := fleet.Parse("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func markOf(h *config.Holder) string {
	teams := h.Current().Teams()
	if len(teams) != 1 {
		return fmt.Sprintf("%d teams", len(teams))
	}
	return teams[0].Name()
}

func TestPublishedConfigurationIsLoadedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := tables.New()
		store := config.NewStore(table.NewWriter(rows, "a"))
		follower := config.NewHolder()
		for mark := 1; mark <= 5; mark++ {
			revision, err := store.Publish(context.Background(), int64(mark-1), fmt.Sprint(mark), sections(t, mark))
			if err != nil || revision != int64(mark) {
				t.Fatalf("publish %d: got revision %d, error %v", mark, revision, err)
			}
			if mark == 2 {
				if err := store.Load(context.Background(), follower); err != nil {
					t.Fatal(err)
				}
			}
		}
		fresh := config.NewHolder()
		for _, h := range []*config.Holder{follower, fresh} {
			if err := store.Load(context.Background(), h); err != nil {
				t.Fatal(err)
			}
			if got := markOf(h); got != "t5" || h.Current().Revision() != 5 {
				t.Errorf("got %s at revision %d, want t5 at 5", got, h.Current().Revision())
			}
		}
		if changes := follower.ChangesAfter(3); len(changes) != 2 || changes[0].Snapshot {
			t.Errorf("changes after 3: got %d, want the 2 single ones", len(changes))
		}
		if changes := fresh.ChangesAfter(3); len(changes) != 1 || !changes[0].Snapshot {
			t.Errorf("changes after 3 of one that loaded the whole: got %d, want the whole", len(changes))
		}
	})
}

// TestRacingOperators has operators apply at once, and the loser told of the
// revision that won.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := tables.New()
		var mu sync.Mutex
		won, lost := 0, 0
		var wait sync.WaitGroup
		for operator := range 5 {
			store := config.NewStore(table.NewWriter(rows, fmt.Sprint(operator)))
			wait.Go(func() {
				_, err := store.Publish(context.Background(), 0, fmt.Sprint(operator), sections(t, operator+1))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					won++
				case code.Of(err).Number() == code.RevisionConflict.Number():
					lost++
				default:
					t.Errorf("operator %d: got %v", operator, err)
				}
			})
		}
		wait.Wait()
		if won != 1 || lost != 4 {
			t.Errorf("got %d won and %d lost, want 1 and 4", won, lost)
		}
	})
}

// TestLostAnswerOfApplyIsResolved loses the answer of each call in turn and
// repeats the apply under its name, as the command line does.
func TestLostAnswerOfApplyIsResolved(t *testing.T) {
	for n := int64(1); n <= 5; n++ {
		synctest.Test(t, func(t *testing.T) {
			rows := tables.New()
			rows.SetFaults(func(c tables.Call) tables.Fault {
				if c.Number == n {
					return tables.LoseAnswer{}
				}
				return tables.None{}
			})
			store := config.NewStore(table.NewWriter(rows, "a"))
			publish := func() (revision int64, err error) {
				for range 2 {
					if revision, err = store.Publish(context.Background(), 0, "request", sections(t, 1)); err == nil {
						return revision, nil
					}
				}
				return revision, err
			}
			revision, err := publish()
			again, errAgain := publish()
			if err != nil || errAgain != nil || revision != 1 || again != 1 {
				t.Errorf("answer %d lost: got revisions %d and %d (%v, %v), want 1 and 1", n, revision, again, err, errAgain)
			}
		})
	}
}

// TestRevisionNeverGoesBack delivers changes in any order, doubled and with
// gaps, whole and single, and restarts from peers in between.
func TestRevisionNeverGoesBack(t *testing.T) {
	const revisions = 8
	source := config.NewHolder()
	var changes []config.Change
	for r := int64(1); r <= revisions; r++ {
		old, _ := source.Sections()
		c := config.Change{Revision: r, Sections: fleet.Diff(old, sections(t, int(r)))}
		if ok, err := source.Apply(c); !ok || err != nil {
			t.Fatal(err)
		}
		changes = append(changes, c)
		whole, _ := source.Sections()
		changes = append(changes, config.Change{Revision: r, Snapshot: true, Sections: whole})
	}
	rapid.Check(t, func(rt *rapid.T) {
		order := rapid.SliceOfN(rapid.IntRange(0, len(changes)-1), 1, 60).Draw(rt, "order")
		holder, peer := config.NewHolder(), config.NewHolder()
		for _, at := range order {
			before := holder.Current().Revision()
			if _, err := holder.Apply(changes[at]); err != nil {
				rt.Fatal(err)
			}
			after := holder.Current().Revision()
			if after < before {
				rt.Fatalf("revision went from %d back to %d", before, after)
			}
			if after > 0 && markOf(holder) != fmt.Sprintf("t%d", after) {
				rt.Fatalf("revision %d has %s", after, markOf(holder))
			}
			for _, c := range holder.ChangesAfter(peer.Current().Revision()) {
				if _, err := peer.Apply(c); err != nil {
					rt.Fatal(err)
				}
			}
			if peer.Current().Revision() != after || markOf(peer) != markOf(holder) {
				rt.Fatalf("peer: got %s, want %s", markOf(peer), markOf(holder))
			}
		}
	})
}

type applied struct{ seen int64 }

type result struct {
	revision int64
	ok       bool
	unknown  bool
}

// register is the sequential behaviour: an apply on the revision seen takes it
// one further, any other is refused.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, in, out any) []any {
		revision, a, r := state.(int64), in.(applied), out.(result)
		switch {
		case r.unknown && a.seen == revision:
			return []any{revision, revision + 1}
		case r.unknown:
			return []any{revision}
		case r.ok && a.seen == revision && r.revision == revision+1:
			return []any{revision + 1}
		case !r.ok && a.seen != revision:
			return []any{revision}
		}
		return nil
	},
}

// TestAppliesAreLinearizable checks histories of racing operators under faults.
func TestAppliesAreLinearizable(t *testing.T) {
	for seed := range uint64(30) {
		var operations []porcupine.Operation
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			rows := tables.New()
			rows.SetFaults(func(c tables.Call) tables.Fault {
				switch (uint64(c.Number)*2654435761 + seed*97) % 13 {
				case 0:
					return tables.LoseAnswer{}
				case 1:
					return tables.Late{For: 300 * time.Millisecond}
				case 2:
					return tables.Down{}
				}
				return tables.None{}
			})
			var mu sync.Mutex
			var wait sync.WaitGroup
			for operator := range 3 {
				store := config.NewStore(table.NewWriter(rows, fmt.Sprint(operator)))
				pause := time.Duration(random.IntN(300)) * time.Millisecond
				wait.Go(func() {
					for try := range 4 {
						time.Sleep(pause)
						seen, err := store.Head(context.Background())
						if err != nil {
							continue
						}
						begun := time.Now().UnixNano()
						ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
						revision, err := store.Publish(ctx, seen, fmt.Sprintf("%d/%d", operator, try), sections(t, 1+operator*10+try))
						cancel()
						number := code.Of(err).Number()
						out := result{revision, err == nil, err != nil && number != code.RevisionConflict.Number()}
						if err != nil && number == code.StoreDown.Number() {
							continue // Refused before it was written: no effect.
						}
						mu.Lock()
						operations = append(operations, porcupine.Operation{
							ClientId: operator, Input: applied{seen}, Call: begun, Output: out, Return: time.Now().UnixNano(),
						})
						mu.Unlock()
					}
				})
			}
			wait.Wait()
			time.Sleep(time.Minute)
		})
		if !porcupine.CheckOperations(register.ToModel(), operations) {
			t.Fatalf("seed %d: the history is not linearizable: %+v", seed, operations)
		}
	}
}
