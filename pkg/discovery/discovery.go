// Package discovery keeps a directory of endpoints up to date from the rows
// that they write in the platform's store.
package discovery

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/storeversion"
)

// DecodeFunc reads an endpoint's row; id is its key.
type DecodeFunc func(id string, value []byte) (endpoint.Info, error)

// RenewalGrace is how long endpoints whose rows lapsed while the store was away
// have to be back: the users say about two seconds from the store's return.
const RenewalGrace = 2 * time.Second

// Syncer takes batches of rows in order. It is safe for concurrent use.
type Syncer struct {
	directory *endpoint.Directory
	decode    DecodeFunc
	now       func() time.Time

	// lapseTime is how long the store must have been away for rows to lapse by it.
	lapseTime time.Duration
	// othersInTouch reports whether another host has been in touch with the store for the whole of a
	// time: then it was this host that was away.
	othersInTouch func(time.Duration) bool

	known atomic.Bool
	lost  atomic.Bool

	// mu guards what follows.
	mu sync.Mutex
	// era is the latest era of the store seen in a batch.
	era int64
	// heardAt is when rows were last taken.
	appliedAt time.Time
	// lapsed are endpoints whose rows went while the store was away, and until
	// when they have time to come back.
	lapsed map[string]time.Time
	// left are endpoints that went after they had said that they leave, with the start of
	// the life that said so.
	left map[string]int64
	// lines are of the batch that is taken.
	lines *lines
}

// heartbeatsMissed is how many heartbeats in a row an endpoint surely misses
// before its row lapses: it goes after three.
const heartbeatsMissed = 2

// New returns rows of nothing; heartbeat is the time between two writes of an endpoint's row,
// othersInTouch is as in Rows.
func New(directory *endpoint.Directory, decode DecodeFunc, heartbeat time.Duration, othersHeard func(time.Duration) bool, now func() time.Time, logger *log.Logger) *Syncer {
	return &Syncer{
		directory: directory, decode: decode, lapseTime: heartbeatsMissed * heartbeat, othersInTouch: othersHeard, now: now, lines: newLines(logger),
		lapsed: map[string]time.Time{},
		left:   map[string]int64{},
	}
}

// Loaded reports whether the rows have been read once.
func (r *Syncer) Loaded() bool { return r.known.Load() }

// MarkStoreUnavailable notes that the store did not answer. Rows that are gone when it does
// again may have gone because nobody could renew them, if it was away for long
// enough; a call or two that fail take no row away.
func (r *Syncer) MarkStoreUnavailable() { r.lost.Store(true) }

// Apply applies rows and removals.
func (r *Syncer) Apply(batch feed.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.lines.flush()
	now := r.now()
	gap := now.Sub(r.appliedAt)
	away := r.lost.Swap(false) && gap > r.lapseTime && !r.othersInTouch(gap)
	// After a restore, rows first written since the backup are missing until they are written again.
	era := storeversion.Era(batch.Version)
	away = away || r.known.Load() && era > r.era
	r.appliedAt, r.era = now, max(r.era, era)
	named := map[string]bool{}
	for _, row := range batch.Rows {
		if row.Deleted {
			r.lapse(row.Key, away, now)
			continue
		}
		named[row.Key] = true
		r.take(row)
	}
	if batch.Full {
		for _, info := range r.directory.View().Infos() {
			if info.State != endpoint.Gone && !named[info.ID] {
				r.lapse(info.ID, away, now)
			}
		}
	}
	r.expire(now)
	r.known.Store(true)
}

// Expire removes endpoints that are not back in time after the store was. The store may have no
// changes just then, so that no batch comes.
func (r *Syncer) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(r.now())
	r.lines.flush()
}

func (r *Syncer) lapse(id string, away bool, now time.Time) {
	if !away {
		delete(r.lapsed, id)
		r.gone(id, "row removed")
		return
	}
	if _, waiting := r.lapsed[id]; !waiting {
		r.lapsed[id] = now.Add(RenewalGrace)
		r.lines.lapsed(id)
	}
}

func (r *Syncer) expire(now time.Time) {
	for id, until := range r.lapsed {
		if now.After(until) {
			delete(r.lapsed, id)
			r.gone(id, "not back after the store was")
		}
	}
}

func (r *Syncer) gone(id, why string) {
	info, ok := r.directory.Get(id)
	if !ok || info.State == endpoint.Gone {
		return
	}
	if info.State == endpoint.Leaving {
		r.left[id] = info.StartedMS
	}
	info.State = endpoint.Gone
	r.directory.Merge(info)
	r.lines.gone(info, why)
}

func (r *Syncer) take(row feed.Row) {
	delete(r.lapsed, row.Key)
	heard, err := r.decode(row.Key, row.Value)
	if err != nil {
		r.lines.unread(err, row.Version)
		return
	}
	heard.Counter = row.Version
	held, known := r.directory.Get(row.Key)
	if known && held.State != endpoint.Gone && !startedAnew(held, heard) {
		heard.Incarnation = held.Incarnation
	} else {
		// A row that is back after it went is of one that was cut off and serves
		// again: it counts as a new life. So does one that started again under its id,
		// or what its earlier life said, as that it leaves, would hold for ever.
		heard.Incarnation = row.Version
	}
	if born, left := r.left[row.Key]; left && born == heard.StartedMS {
		// A heartbeat that the store applied late must not bring it back.
		heard.State = endpoint.Leaving
	}
	next, _ := r.directory.Merge(heard)
	if !known || held.State != next.State {
		r.lines.seen(heard, next.State, row.Version)
	}
}

// startedAnew reports whether an endpoint has started again since what is held of it.
func startedAnew(held, heard endpoint.Info) bool {
	return held.StartedMS > 0 && heard.StartedMS > held.StartedMS
}
