package origin

import (
	"sync"
	"time"
	"unique"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxRecords bounds the records of a host, of which each takes some 200 bytes. The least recently
	// used ones are dropped first; their streams cannot be taken up at other hosts.
	maxRecords = 32 << 10
	// maxLife bounds the time for which a record is kept.
	maxLife = 15 * time.Minute
)

// table holds the records of a host. It is safe for concurrent use.
type table struct {
	mu      sync.Mutex
	records *simplelru.LRU[Key, entry]
}

type entry struct {
	source unique.Handle[Source]
	// since is when the stream began, until when the record expires.
	since, until time.Time
	conflicts    bool
	host         string
	hostSince    time.Time
}

func newTable() *table {
	// The size is positive, which is all that the constructor checks.
	records, _ := simplelru.NewLRU[Key, entry](maxRecords, nil)
	return &table{records: records}
}

// merge adds a record. The result does not depend on the order in which records arrive.
func (t *table) merge(r Record, now time.Time) {
	next := entry{unique.Make(r.Source), now.Add(-max(r.Age, 0)), now.Add(min(max(r.Life, 0), maxLife)), r.Conflicts, r.Host, now.Add(-max(r.HostAge, 0))}
	t.mu.Lock()
	defer t.mu.Unlock()
	if held, ok := t.records.Get(r.Key); ok && now.Before(held.until) {
		next.conflicts = next.conflicts || held.conflicts || held.source != next.source
		if held.since.Before(next.since) {
			next.since = held.since
		}
		if held.until.After(next.until) {
			next.until = held.until
		}
		if next.host == "" || held.host != "" && held.hostSince.After(next.hostSince) {
			next.host, next.hostSince = held.host, held.hostSince
		}
	}
	t.records.Add(r.Key, next)
}

// find returns the record of a key.
func (t *table) find(key Key, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, ok := t.records.Get(key)
	if !ok {
		return Record{}, false
	}
	if !now.Before(held.until) {
		t.records.Remove(key)
		return Record{}, false
	}
	return Record{Key: key, Source: held.source.Value(), Conflicts: held.conflicts, Age: now.Sub(held.since), Life: held.until.Sub(now), Host: held.host, HostAge: now.Sub(held.hostSince)}, true
}
