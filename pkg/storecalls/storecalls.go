// Package storecalls counts a host's calls to the platform's store by what they do
// and by table: every call is paid for, refused ones too.
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

// Store is what calls go to.
type Store interface {
	table.Store
	feed.Source
}

// CountingStore is a store whose calls are counted. It is safe for concurrent use.
type CountingStore struct {
	store Store
	total *prometheus.CounterVec

	mu sync.Mutex
	// since is the calls since the last summary.
	since map[kind]int
}

// kind is one kind of call.
type kind struct{ does, table string }

// New returns a store that counts into a registry. A snapshot counts as one call,
// also where it takes several pages.
func New(store Store, registry prometheus.Registerer) *CountingStore {
	c := &CountingStore{store: store, since: map[kind]int{}, total: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ironhollow_store_calls_total", Help: "Calls to the platform's store by what they do and by table.",
	}, []string{"does", "table"})}
	registry.MustRegister(c.total)
	return c
}

func (c *CountingStore) count(does, key string) {
	name, _, _ := strings.Cut(key, "/")
	c.total.WithLabelValues(does, name).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since[kind{does, name}]++
}

// Summary returns the calls since it was last asked, as "does table=count", empty for
// none.
func (c *CountingStore) Summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]string, 0, len(c.since))
	for k, n := range c.since {
		list = append(list, fmt.Sprintf("%s %s=%d", k.does, k.table, n))
	}
	clear(c.since)
	sort.Strings(list)
	return strings.Join(list, ", ")
}

// Commit is a call of table.Store.
func (c *CountingStore) Commit(ctx context.Context, commit table.Commit) table.Outcome {
	key := ""
	if len(commit.Writes) > 0 {
		key = commit.Writes[0].Key
	}
	c.count("write", key)
	return c.store.Commit(ctx, commit)
}

// Get is a call of table.Store.
func (c *CountingStore) Get(ctx context.Context, key string) (row table.Row, ok bool, err error) {
	c.count("read", key)
	return c.store.Get(ctx, key)
}

// List is a call of table.Store.
func (c *CountingStore) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	c.count("list", prefix)
	return c.store.List(ctx, prefix, after, limit)
}

// Snapshot is a call of feed.Source.
func (c *CountingStore) Snapshot(ctx context.Context, name string) (feed.Batch, error) {
	c.count("snapshot", name)
	return c.store.Snapshot(ctx, name)
}

// Changes is a call of feed.Source.
func (c *CountingStore) Changes(ctx context.Context, name string, after int64, wait time.Duration) (feed.Batch, error) {
	c.count("changes", name)
	return c.store.Changes(ctx, name, after, wait)
}
