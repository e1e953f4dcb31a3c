package scalesync_test

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/lease"
	"ironhollow/pkg/scalesync"
	"ironhollow/pkg/standin/malformedrows"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// maxDemand is more than any fleet's, and can be converted to an int on every machine.
const maxDemand = 1e15

// Guards against orders that no holder can pass on because another writer left a row under the service's key, also
// one whose epoch is higher than any.
func TestMalformedStateIsReplaced(t *testing.T) {
	values, err := malformedrows.CBOR(map[int]any{
		1: 1, 2: []any{[]any{"dc", true, 3, 1, 1000, 1000}}, 3: []any{[]any{"dc", 1000}}, 4: []any{false, 0, 0, 0}, 5: []any{1000, 1000, 0.5, 0.5, 0.5, 0.5}, 6: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	maps.Copy(values, malformedrows.Values())
	for name, value := range values {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := tables.New()
				table.NewWriter(store, "other").Commit(t.Context(), table.Write{Key: scalesync.Table + "/svc", Value: value, If: table.Always{}})
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				first, clock := newSyncer(store, "first", time.Hour)
				go first.Run(ctx)
				grant := lease.Grant{Epoch: 1}
				loaded, _ := first.Load(ctx, "svc", grant)
				if d := loaded.Demand; max(d.Load, d.SlotTime, d.TokenTime, d.Refused) > maxDemand {
					t.Errorf("demand: got %+v, want at most %g", d, maxDemand)
				}
				first.Save("svc", grant, stateAt(clock.Now(), 40))
				time.Sleep(3 * time.Second)
				next, _ := newSyncer(store, "next", time.Hour+3*time.Second)
				got, ok := next.Load(ctx, "svc", lease.Grant{Epoch: 2})
				if want := stateAt(clock.Now(), 40); !ok || len(got.Pools) != len(want.Pools) {
					t.Errorf("state of the next holder: got %+v, %v, want that of the first one", got, ok)
				}
			})
		})
	}
}
