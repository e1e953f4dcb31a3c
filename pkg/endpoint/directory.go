package endpoint

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is how many parts a directory's digest has: peers that differ send
// only the parts in which they do.
const BucketCount = 64

// shardCount is how many locks a directory is spread over.
const shardCount = 16

// Directory keeps all endpoints known to a process. It is safe for concurrent
// use. Gone endpoints are kept so that late news can't revive them.
type Directory struct {
	shards [shardCount]shard
	// generation grows with every change.
	generation atomic.Uint64
	view       atomic.Pointer[View]
	viewMu     sync.Mutex
	sumMu      sync.Mutex
	sums       [BucketCount]uint64
	onLeave    atomic.Pointer[func(Info)]
}

type shard struct {
	mu    sync.RWMutex
	infos map[string]Info
}

// View is all endpoints at one moment, in the order of their ids.
type View struct {
	generation uint64
	infos      []Info
}

// Generation tells views apart; it grows with every change.
func (v *View) Generation() uint64 { return v.generation }

// Infos returns the endpoints in the order of their ids; not to be changed.
func (v *View) Infos() []Info { return v.infos }

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{}
	for i := range d.shards {
		d.shards[i].infos = map[string]Info{}
	}
	d.view.Store(&View{})
	return d
}

func (d *Directory) shardOf(id string) *shard {
	return &d.shards[xxhash.Sum64String(id)%shardCount]
}

// Bucket returns the part of the digest an id belongs to.
func Bucket(id string) int { return int(xxhash.Sum64String(id) >> 8 % BucketCount) }

// Merge takes in what was heard and returns what is now known, and whether
// that was news.
func (d *Directory) Merge(heard Info) (Info, bool) {
	s := d.shardOf(heard.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.infos[heard.ID]
	if !known {
		d.store(s, Info{}, heard, 0)
		return heard, true
	}
	next, isNews := Merge(held, heard)
	if isNews {
		d.store(s, held, next, held.sum())
	}
	return next, isNews
}

func (d *Directory) store(s *shard, held, next Info, oldSum uint64) {
	s.infos[next.ID] = next
	d.sumMu.Lock()
	d.sums[Bucket(next.ID)] ^= oldSum ^ next.sum()
	d.sumMu.Unlock()
	d.generation.Add(1)
	if next.State == Leaving && (held.State != Leaving || held.LeaveBy != next.LeaveBy) {
		if call := d.onLeave.Load(); call != nil {
			go (*call)(next)
		}
	}
}

// OnLeaving sets what is called, on a goroutine of its own, when an endpoint is
// found to be leaving, and again when it is learned when.
func (d *Directory) OnLeaving(call func(Info)) { d.onLeave.Store(&call) }

// Update marks an incarnation as leaving and reports the result and whether that
// was news. An endpoint that is not known, or of another incarnation, is left.
func (d *Directory) Update(ref Ref, change func(*Info)) (Info, bool) {
	held, known := d.Get(ref.ID)
	if !known || held.Incarnation != ref.Incarnation {
		return held, false
	}
	change(&held)
	return d.Merge(held)
}

// Get returns what is known of one endpoint.
func (d *Directory) Get(id string) (Info, bool) {
	s := d.shardOf(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	info, ok := s.infos[id]
	return info, ok
}

// View returns all endpoints, made anew only after a change.
func (d *Directory) View() *View {
	if v := d.view.Load(); v.generation == d.generation.Load() {
		return v
	}
	d.viewMu.Lock()
	defer d.viewMu.Unlock()
	// Read first: a change during the walk makes the view stale, not wrong.
	generation := d.generation.Load()
	if v := d.view.Load(); v.generation == generation {
		return v
	}
	v := &View{generation: generation, infos: d.collect(func(Info) bool { return true })}
	d.view.Store(v)
	return v
}

// BucketSums returns the digest, part by part.
func (d *Directory) BucketSums() [BucketCount]uint64 {
	d.sumMu.Lock()
	defer d.sumMu.Unlock()
	return d.sums
}

// InBuckets returns the endpoints of the parts for which want is true.
func (d *Directory) InBuckets(want [BucketCount]bool) []Info {
	return d.collect(func(i Info) bool { return want[Bucket(i.ID)] })
}

func (d *Directory) collect(keep func(Info) bool) []Info {
	var infos []Info
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.RLock()
		for _, info := range s.infos {
			if keep(info) {
				infos = append(infos, info)
			}
		}
		s.mu.RUnlock()
	}
	sort.Slice(infos, func(i, j int) bool { return infos[i].ID < infos[j].ID })
	return infos
}
