package config_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
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

// TestMain sets a fixed seed for property tests, so that every run gives the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

// sectionsOf returns a configuration whose only team is named after the variant.
func sectionsOf(t testing.TB, variant int) []fleet.Section {
	t.Helper()
	text := fmt.Sprintf("[service s]\nkind = plain\npriority = %d\n[team t%d]\nkeys = %064x\nrate = 1\n", variant%100, variant, variant)
	parsed, err := fleet.Parse("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func teamOf(h *config.Holder) string {
	teams := h.Current().Teams()
	if len(teams) != 1 {
		return fmt.Sprintf("%d teams", len(teams))
	}
	return teams[0].Name()
}

func TestPublishedConfigurationIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tableStore := tables.New()
		store := config.NewStore(table.NewWriter(tableStore, "a"))
		follower := config.NewHolder()
		for variant := 1; variant <= 5; variant++ {
			revision, err := store.Publish(context.Background(), int64(variant-1), fmt.Sprint(variant), sectionsOf(t, variant))
			if err != nil || revision != int64(variant) {
				t.Fatalf("publish %d: got revision %d, error %v", variant, revision, err)
			}
			if variant == 2 {
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
			if got := teamOf(h); got != "t5" || h.Current().Revision() != 5 {
				t.Errorf("got %s at revision %d, want t5 at 5", got, h.Current().Revision())
			}
		}
		if changes := follower.ChangesAfter(3); len(changes) != 2 || changes[0].Snapshot {
			t.Errorf("changes after 3: got %d, want 2 single changes", len(changes))
		}
		if changes := fresh.ChangesAfter(3); len(changes) != 1 || !changes[0].Snapshot {
			t.Errorf("changes after 3 of a holder that loaded a snapshot: got %d, want 1 snapshot", len(changes))
		}
	})
}

// TestOneOfSeveralConcurrentPublishesSucceeds has 5 operators publish on the same base
// revision. One must succeed and the others must get RevisionConflict.
func TestOneOfSeveralConcurrentPublishesSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tableStore := tables.New()
		var mu sync.Mutex
		successes, conflicts := 0, 0
		var wait sync.WaitGroup
		for operator := range 5 {
			store := config.NewStore(table.NewWriter(tableStore, fmt.Sprint(operator)))
			wait.Go(func() {
				_, err := store.Publish(context.Background(), 0, fmt.Sprint(operator), sectionsOf(t, operator+1))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					successes++
				case code.Of(err).Number() == code.RevisionConflict.Number():
					conflicts++
				default:
					t.Errorf("operator %d: got %v", operator, err)
				}
			})
		}
		wait.Wait()
		if successes != 1 || conflicts != 4 {
			t.Errorf("got %d successes and %d conflicts, want 1 and 4", successes, conflicts)
		}
	})
}

// Guards against a conflict that names a revision that is no longer the latest, on which the next
// apply conflicts again.
func TestConflictNamesLatestRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tableStore := tables.New()
		slow, fast := config.NewStore(table.NewWriter(tableStore, "slow")), config.NewStore(table.NewWriter(tableStore, "fast"))
		// Three revisions are published between the reads and the commit of the slow operator.
		tableStore.SetFaults(func(c tables.Call) tables.Fault {
			if c.Operation == tables.OperationCommit {
				tableStore.SetFaults(nil)
				for base := range int64(3) {
					if _, err := fast.Publish(context.Background(), base, fmt.Sprint(base), sectionsOf(t, int(base)+1)); err != nil {
						t.Error(err)
					}
				}
			}
			return tables.NoFault{}
		})
		_, err := slow.Publish(context.Background(), 0, "slow", sectionsOf(t, 9))
		if code.Of(err).Number() != code.RevisionConflict.Number() || !strings.Contains(err.Error(), "but 3 is in force") {
			t.Errorf("got %v, want a conflict with revision 3", err)
		}
	})
}

// TestPublishIsIdempotentAfterLostResponse loses the response to each store call in
// turn and repeats the request with the same ID, as the command line does.
func TestPublishIsIdempotentAfterLostResponse(t *testing.T) {
	for n := int64(1); n <= 5; n++ {
		synctest.Test(t, func(t *testing.T) {
			tableStore := tables.New()
			tableStore.SetFaults(func(c tables.Call) tables.Fault {
				if c.Number == n {
					return tables.LoseResponse{}
				}
				return tables.NoFault{}
			})
			store := config.NewStore(table.NewWriter(tableStore, "a"))
			publish := func() (revision int64, err error) {
				for range 2 {
					if revision, err = store.Publish(context.Background(), 0, "request", sectionsOf(t, 1)); err == nil {
						return revision, nil
					}
				}
				return revision, err
			}
			revision, err := publish()
			again, errAgain := publish()
			if err != nil || errAgain != nil || revision != 1 || again != 1 {
				t.Errorf("response %d lost: got revisions %d and %d (%v, %v), want 1 and 1", n, revision, again, err, errAgain)
			}
		})
	}
}

// TestRevisionNeverDecreases applies single changes and snapshots in any order, with
// duplicates and gaps, and updates a peer from the holder after each one.
func TestRevisionNeverDecreases(t *testing.T) {
	const revisions = 8
	source := config.NewHolder()
	var changes []config.Change
	for r := int64(1); r <= revisions; r++ {
		old, _ := source.Sections()
		c := config.Change{Revision: r, Sections: fleet.Diff(old, sectionsOf(t, int(r)))}
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
		for _, index := range order {
			before := holder.Current().Revision()
			if _, err := holder.Apply(changes[index]); err != nil {
				rt.Fatal(err)
			}
			after := holder.Current().Revision()
			if after < before {
				rt.Fatalf("revision decreased from %d to %d", before, after)
			}
			if after > 0 && teamOf(holder) != fmt.Sprintf("t%d", after) {
				rt.Fatalf("revision %d has the configuration %s", after, teamOf(holder))
			}
			for _, c := range holder.ChangesAfter(peer.Current().Revision()) {
				if _, err := peer.Apply(c); err != nil {
					rt.Fatal(err)
				}
			}
			if peer.Current().Revision() != after || teamOf(peer) != teamOf(holder) {
				rt.Fatalf("peer: got %s, want %s", teamOf(peer), teamOf(holder))
			}
		}
	})
}

type applyInput struct{ baseRevision int64 }

type applyOutput struct {
	revision int64
	ok       bool
	unknown  bool
}

// register is the sequential model: a publish on the current revision increases it
// by one, and any other is rejected. A publish with an unknown outcome may do either.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, in, out any) []any {
		revision, a, r := state.(int64), in.(applyInput), out.(applyOutput)
		switch {
		case r.unknown && a.baseRevision == revision:
			return []any{revision, revision + 1}
		case r.unknown:
			return []any{revision}
		case r.ok && a.baseRevision == revision && r.revision == revision+1:
			return []any{revision + 1}
		case !r.ok && a.baseRevision != revision:
			return []any{revision}
		}
		return nil
	},
}

// TestPublishIsLinearizable checks histories of concurrent publishes under store faults.
func TestPublishIsLinearizable(t *testing.T) {
	for seed := range uint64(30) {
		var operations []porcupine.Operation
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			tableStore := tables.New()
			tableStore.SetFaults(func(c tables.Call) tables.Fault {
				switch (uint64(c.Number)*2654435761 + seed*97) % 13 {
				case 0:
					return tables.LoseResponse{}
				case 1:
					return tables.LateCommit{After: 300 * time.Millisecond}
				case 2:
					return tables.Down{}
				}
				return tables.NoFault{}
			})
			var mu sync.Mutex
			var wait sync.WaitGroup
			for operator := range 3 {
				store := config.NewStore(table.NewWriter(tableStore, fmt.Sprint(operator)))
				pause := time.Duration(random.IntN(300)) * time.Millisecond
				wait.Go(func() {
					for attempt := range 4 {
						time.Sleep(pause)
						baseRevision, err := store.Head(context.Background())
						if err != nil {
							continue
						}
						startedAt := time.Now().UnixNano()
						ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
						revision, err := store.Publish(ctx, baseRevision, fmt.Sprintf("%d/%d", operator, attempt), sectionsOf(t, 1+operator*10+attempt))
						cancel()
						number := code.Of(err).Number()
						out := applyOutput{revision, err == nil, err != nil && number != code.RevisionConflict.Number()}
						if err != nil && number == code.StoreDown.Number() {
							continue // Refused before anything was written, so it had no effect.
						}
						mu.Lock()
						operations = append(operations, porcupine.Operation{
							ClientId: operator, Input: applyInput{baseRevision}, Call: startedAt, Output: out, Return: time.Now().UnixNano(),
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
