package storecalls_test

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/feed"
	"ironhollow/pkg/storecalls"
	"ironhollow/pkg/table"
)

// store is a store without rows.
type store struct{}

func (store) Commit(context.Context, table.Commit) table.Outcome { return table.Committed{} }

func (store) Get(context.Context, string) (row table.Row, ok bool, err error) { return }

func (store) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (store) Snapshot(context.Context, string) (feed.Batch, error) { return feed.Batch{}, nil }

func (store) Changes(context.Context, string, int64, time.Duration) (feed.Batch, error) {
	return feed.Batch{}, nil
}

func TestCallsAreCountedByTable(t *testing.T) {
	registry := prometheus.NewRegistry()
	c := storecalls.New(store{}, registry)
	ctx := context.Background()
	c.Commit(ctx, table.Commit{Writes: []table.Write{{Key: "hosts/a"}}})
	for range 2 {
		if _, err := c.Changes(ctx, "hosts", 1, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := c.Get(ctx, "lease/0000"); err != nil {
		t.Fatal(err)
	}
	if got, want := c.Summary(), "changes hosts=2, read lease=1, write hosts=1"; got != want {
		t.Errorf("calls: got %q, want %q", got, want)
	}
	if got := c.Summary(); got != "" {
		t.Errorf("calls since the last summary: got %q, want none", got)
	}
	families, err := registry.Gather()
	if err != nil || len(families) != 1 || len(families[0].GetMetric()) != 3 {
		t.Errorf("metrics: got %v, %v, want one with three kinds of call", families, err)
	}
}
