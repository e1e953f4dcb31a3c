package endpoint

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of buckets in a directory's digest. Peers whose digests differ send
// each other only the buckets that differ.
const BucketCount = 64

// shardCount is the number of shards of a directory. Each shard has its own lock.
const shardCount = 16

// Directory holds all endpoints known to a process. It is safe for concurrent use. Endpoints that
// are gone are kept, so that a delayed update cannot bring them back.
type Directory struct {
	shards [shardCount]shard
	// generation is incremented on every change.
	generation atomic.Uint64
	view       atomic.Pointer[View]
	viewMu     sync.Mutex
	sumMu      sync.Mutex
	sums       [BucketCount]uint64
	onLeave    atomic.Pointer[func(Info)]
	// leaveSubscribers are called in addition to onLeave. The slice is replaced, never changed.
	leaveSubscribers atomic.Pointer[[]func(Info)]
}

type shard struct {
	mu    sync.RWMutex
	infos map[string]Info
}

// View is a snapshot of all endpoints, sorted by ID.
type View struct {
	generation uint64
	infos      []Info
}

// Generation identifies the snapshot. It grows with every change of the directory.
func (v *View) Generation() uint64 { return v.generation }

// Infos returns the endpoints sorted by ID. The caller must not modify the slice.
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

// Bucket returns the digest bucket of an endpoint ID.
func Bucket(id string) int { return int(xxhash.Sum64String(id) >> 8 % BucketCount) }

// Merge applies received information on an endpoint and returns the resulting information and
// whether the directory changed.
func (d *Directory) Merge(received Info) (Info, bool) {
	s := d.shardOf(received.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.infos[received.ID]
	if !known {
		d.store(s, Info{}, received, 0)
		return received, true
	}
	next, changed := Merge(held, received)
	if changed {
		d.store(s, held, next, held.sum())
	}
	return next, changed
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
		if subscribers := d.leaveSubscribers.Load(); subscribers != nil {
			for _, call := range *subscribers {
				go call(next)
			}
		}
	}
}

// OnLeaving sets the function that is called, on its own goroutine, when an endpoint is found to
// be leaving, and again when the time at which it leaves becomes known.
func (d *Directory) OnLeaving(call func(Info)) { d.onLeave.Store(&call) }

// SubscribeLeaving adds a function that is called like that of OnLeaving, which it does not replace.
func (d *Directory) SubscribeLeaving(call func(Info)) {
	for {
		current := d.leaveSubscribers.Load()
		var next []func(Info)
		if current != nil {
			next = append(next, *current...)
		}
		next = append(next, call)
		if d.leaveSubscribers.CompareAndSwap(current, &next) {
			return
		}
	}
}

// Update applies a change to an incarnation, such as marking it as leaving, and returns the result
// and whether the directory changed. An endpoint that is unknown or of another incarnation is not changed.
func (d *Directory) Update(ref Ref, change func(*Info)) (Info, bool) {
	held, known := d.Get(ref.ID)
	if !known || held.Incarnation != ref.Incarnation {
		return held, false
	}
	change(&held)
	return d.Merge(held)
}

// Get returns the current information on one endpoint.
func (d *Directory) Get(id string) (Info, bool) {
	s := d.shardOf(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	info, ok := s.infos[id]
	return info, ok
}

// View returns a snapshot of all endpoints. It is rebuilt only after a change.
func (d *Directory) View() *View {
	if v := d.view.Load(); v.generation == d.generation.Load() {
		return v
	}
	d.viewMu.Lock()
	defer d.viewMu.Unlock()
	// The generation is read before the endpoints: after a change in between, the next call
	// rebuilds the view.
	generation := d.generation.Load()
	if v := d.view.Load(); v.generation == generation {
		return v
	}
	v := &View{generation: generation, infos: d.collect(func(Info) bool { return true })}
	d.view.Store(v)
	return v
}

// BucketSums returns the digest, one sum per bucket.
func (d *Directory) BucketSums() [BucketCount]uint64 {
	d.sumMu.Lock()
	defer d.sumMu.Unlock()
	return d.sums
}

// InBuckets returns the endpoints of the buckets for which want is true.
func (d *Directory) InBuckets(want [BucketCount]bool) []Info {
	return d.collect(func(i Info) bool { return want[Bucket(i.ID)] })
}

func (d *Directory) collect(include func(Info) bool) []Info {
	var infos []Info
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.RLock()
		for _, info := range s.infos {
			if include(info) {
				infos = append(infos, info)
			}
		}
		s.mu.RUnlock()
	}
	sort.Slice(infos, func(i, j int) bool { return infos[i].ID < infos[j].ID })
	return infos
}
