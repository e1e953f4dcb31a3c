// Package storecalls counts a host's calls to the platform's store by operation and table. Every
// call is charged for, including refused ones.
package storecalls

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/feed"
	"ironhollow/pkg/table"
)

// Store is the store that the calls are passed to.
type Store interface {
	table.Store
	feed.Source
}

// CountingStore wraps a store and counts the calls to it. It is safe for concurrent use.
type CountingStore struct {
	store Store
	total *prometheus.CounterVec

	mu sync.Mutex
	// sinceSummary counts the calls since the last summary.
	sinceSummary map[call]int
}

// call identifies a kind of call.
type call struct{ operation, table string }

// New returns a store that passes calls on to store and counts them in a metric of registry. A
// snapshot counts as one call, even if it takes several pages.
func New(store Store, registry prometheus.Registerer) *CountingStore {
	c := &CountingStore{store: store, sinceSummary: map[call]int{}, total: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ironhollow_store_calls_total", Help: "Calls to the platform's store by what they do and by table.",
	}, []string{"does", "table"})}
	registry.MustRegister(c.total)
	return c
}

func (c *CountingStore) count(operation, key string) {
	name, _, _ := strings.Cut(key, "/")
	c.total.WithLabelValues(operation, name).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sinceSummary[call{operation, name}]++
}

// Summary returns the calls since the previous summary as a comma-separated list of "operation
// table=count", empty if there were none.
func (c *CountingStore) Summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]string, 0, len(c.sinceSummary))
	for k, n := range c.sinceSummary {
		list = append(list, fmt.Sprintf("%s %s=%d", k.operation, k.table, n))
	}
	clear(c.sinceSummary)
	sort.Strings(list)
	return strings.Join(list, ", ")
}

// Commit implements table.Store.
func (c *CountingStore) Commit(ctx context.Context, commit table.Commit) table.Outcome {
	key := ""
	if len(commit.Writes) > 0 {
		key = commit.Writes[0].Key
	}
	c.count("write", key)
	return c.store.Commit(ctx, commit)
}

// Get implements table.Store.
func (c *CountingStore) Get(ctx context.Context, key string) (row table.Row, ok bool, err error) {
	c.count("read", key)
	return c.store.Get(ctx, key)
}

// List implements table.Store.
func (c *CountingStore) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	c.count("list", prefix)
	return c.store.List(ctx, prefix, after, limit)
}

// Snapshot implements feed.Source.
func (c *CountingStore) Snapshot(ctx context.Context, name string) (feed.Batch, error) {
	c.count("snapshot", name)
	return c.store.Snapshot(ctx, name)
}

// Changes implements feed.Source.
func (c *CountingStore) Changes(ctx context.Context, name string, after int64, wait time.Duration) (feed.Batch, error) {
	c.count("changes", name)
	return c.store.Changes(ctx, name, after, wait)
}
