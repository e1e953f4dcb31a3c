package table_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// commitTimeout is the timeout of each commit, in the fake time of synctest.
const commitTimeout = 5 * time.Second

func commit(w *table.Writer, writes ...table.Write) table.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	return w.Commit(ctx, writes...)
}

// faultAt returns a function that injects f into the n-th call only.
func faultAt(n int64, f tables.Fault) func(tables.Call) tables.Fault {
	return func(c tables.Call) tables.Fault {
		if c.Number == n {
			return f
		}
		return tables.NoFault{}
	}
}

func TestCommitResolvesUnknownOutcomes(t *testing.T) {
	cases := []struct {
		name  string
		fault tables.Fault
	}{
		{"the response is lost after the write took effect", tables.LoseResponse{}},
		{"the request is lost", tables.Down{}},
		{"the write takes effect after its caller stopped waiting", tables.LateCommit{After: 30 * time.Millisecond}},
		{"the write takes effect while it is being resolved", tables.LateCommit{After: 300 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := tables.New()
				store.SetFaults(faultAt(1, c.fault))
				w := table.NewWriter(store, "w")
				outcome := commit(w, table.Write{Key: "a", Value: []byte("1"), If: table.Absent{}})
				if _, ok := outcome.(table.Committed); !ok {
					t.Errorf("got %#v, want Committed", outcome)
				}
				time.Sleep(time.Second)
				row, _, _ := store.Get(context.Background(), "a")
				if got, want := string(row.Value), "1"; got != want {
					t.Errorf("row: got %q, want %q", got, want)
				}
			})
		})
	}
}

// TestOutcomesAgreeWithStoredRows has two writers insert rows while the store
// injects faults at any call. There must be at least as many rows as Committed
// outcomes, at most as many as Committed and Unknown ones together, and no row
// for a Refused outcome.
func TestOutcomesAgreeWithStoredRows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 7), 1, 40).Draw(rt, "faults")
		committed, unknown, refused := 0, 0, map[string]bool{}
		var rows []table.Row
		synctest.Test(t, func(*testing.T) {
			store := tables.New()
			store.SetFaults(func(c tables.Call) tables.Fault {
				switch faults[int(c.Number)%len(faults)] {
				case 0:
					return tables.LoseResponse{}
				case 1:
					return tables.Down{}
				case 2:
					return tables.LateCommit{After: 200 * time.Millisecond}
				case 3:
					return tables.Refuse{}
				}
				return tables.NoFault{}
			})
			writers := []*table.Writer{table.NewWriter(store, "w1"), table.NewWriter(store, "w2")}
			for i := range 12 {
				key := string(rune('a' + i))
				switch commit(writers[i%2], table.Write{Key: key, Value: []byte(key), If: table.Absent{}}).(type) {
				case table.Committed:
					committed++
				case table.Unknown:
					unknown++
				case table.Refused:
					refused[key] = true
				}
			}
			time.Sleep(time.Second)
			store.SetFaults(nil)
			rows, _ = store.List(context.Background(), "", "", 100)
		})
		if len(rows) < committed || len(rows) > committed+unknown {
			rt.Fatalf("rows: got %d, want %d to %d", len(rows), committed, committed+unknown)
		}
		for _, row := range rows {
			if refused[row.Key] {
				rt.Fatalf("row %s exists, want none after Refused", row.Key)
			}
		}
	})
}
