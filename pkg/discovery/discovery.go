// Package discovery keeps a directory of endpoints up to date from the rows that they write in the
// platform's store.
package discovery

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/storeversion"
)

// Clock is the clock of the process, related to that of the store.
type Clock interface {
	Now() time.Time
	// StoreTime returns the store's clock now, or false if it is not known.
	StoreTime() (time.Duration, bool)
}

// unknownAge is the assumed age of a notice if it is not known when its row was written.
const unknownAge = time.Minute

// DecodeFunc decodes an endpoint's row; id is its key.
type DecodeFunc func(id string, value []byte) (endpoint.Info, error)

// RenewalGrace is how long endpoints whose rows expired during an outage of the store have to renew
// them once the store is back. The users require about two seconds.
const RenewalGrace = 2 * time.Second

// Syncer applies batches of rows to a directory, in order. It is safe for concurrent use.
type Syncer struct {
	directory *endpoint.Directory
	decode    DecodeFunc
	clock     Clock

	// minOutage is the shortest outage of the store through which rows may expire.
	minOutage time.Duration
	// peerReachedStore reports whether another host has reached the store without interruption for
	// the given time. If one has, only this host was disconnected.
	peerReachedStore func(time.Duration) bool

	// onLeavingRow is called with each row that states that its endpoint leaves.
	onLeavingRow atomic.Pointer[func(endpoint.Info)]

	loaded           atomic.Bool
	storeUnavailable atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// era is the highest era of the store received in a batch.
	era int64
	// appliedAt is when rows were last applied, completeAt the CompleteAt of their batch.
	appliedAt  time.Time
	completeAt time.Duration
	// graceUntil is when the grace ends of endpoints whose rows expired during an outage.
	graceUntil map[string]time.Time
	// leftStartedAt is the start time of endpoints that were removed after they had reported that
	// they leave.
	leftStartedAt map[string]int64
	// changes logs the changes of the batch being applied.
	changes *changeLog
}

// minMissedHeartbeats is the number of consecutive heartbeats that an endpoint has certainly missed
// when its row expires: it expires after three.
const minMissedHeartbeats = 2

// New returns a syncer that has applied no rows. heartbeatInterval is the time between two writes
// of an endpoint's row; storeReachedByPeer becomes Syncer.peerReachedStore.
func New(directory *endpoint.Directory, decode DecodeFunc, heartbeatInterval time.Duration, storeReachedByPeer func(time.Duration) bool, clock Clock, logger *log.Logger) *Syncer {
	return &Syncer{
		directory: directory, decode: decode, minOutage: minMissedHeartbeats * heartbeatInterval, peerReachedStore: storeReachedByPeer, clock: clock, changes: newChangeLog(logger),
		graceUntil:    map[string]time.Time{},
		leftStartedAt: map[string]int64{},
	}
}

// Loaded reports whether the rows have been read once.
func (s *Syncer) Loaded() bool { return s.loaded.Load() }

// OnLeavingRow sets the function that is called with each row that states that its endpoint leaves,
// not with endpoints whose rows are missing. It must not call the syncer.
func (s *Syncer) OnLeavingRow(call func(endpoint.Info)) { s.onLeavingRow.Store(&call) }

// MarkStoreUnavailable records that the store did not respond. If the outage is long enough, rows
// that are missing afterwards may have expired because they could not be renewed. One or two failed
// calls expire no row.
func (s *Syncer) MarkStoreUnavailable() { s.storeUnavailable.Store(true) }

// Apply applies a batch of rows and removals.
func (s *Syncer) Apply(batch feed.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.changes.flush()
	now := s.clock.Now()
	sinceApplied := now.Sub(s.appliedAt)
	outage := s.storeUnavailable.Swap(false) && sinceApplied > s.minOutage && !s.peerReachedStore(sinceApplied)
	// After a restore, rows first written since the backup are missing until they are written
	// again.
	era := storeversion.Era(batch.Version)
	outage = outage || s.loaded.Load() && era > s.era
	s.appliedAt, s.era = now, max(s.era, era)
	written := s.writtenBetween(now)
	s.completeAt = batch.CompleteAt
	listed := map[string]bool{}
	for _, row := range batch.Rows {
		if row.Deleted {
			s.handleRemoval(row.Key, outage, now)
			continue
		}
		listed[row.Key] = true
		s.applyRow(row, written, batch.Full)
	}
	if batch.Full {
		for _, info := range s.directory.View().Infos() {
			if info.State != endpoint.Gone && !listed[info.ID] {
				s.handleRemoval(info.ID, outage, now)
			}
		}
	}
	s.expireGrace(now)
	s.loaded.Store(true)
}

// Expire removes endpoints whose grace after an outage has ended. It is needed because no batch
// arrives while the store has no changes.
func (s *Syncer) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireGrace(s.clock.Now())
	s.changes.flush()
}

func (s *Syncer) handleRemoval(id string, outage bool, now time.Time) {
	if !outage {
		delete(s.graceUntil, id)
		s.markGone(id, "row removed")
		return
	}
	if _, inGrace := s.graceUntil[id]; !inGrace {
		s.graceUntil[id] = now.Add(RenewalGrace)
		s.changes.keptInGrace(id)
	}
}

func (s *Syncer) expireGrace(now time.Time) {
	for id, deadline := range s.graceUntil {
		if now.After(deadline) {
			delete(s.graceUntil, id)
			s.markGone(id, "row not renewed after store outage")
		}
	}
}

func (s *Syncer) markGone(id, reason string) {
	info, ok := s.directory.Get(id)
	if !ok || info.State == endpoint.Gone {
		return
	}
	if info.State == endpoint.Leaving {
		s.leftStartedAt[id] = info.StartedMS
	}
	info.State = endpoint.Gone
	s.directory.Merge(info)
	s.changes.gone(info, reason)
}

// writeTime bounds the time at which a row was written.
type writeTime struct {
	earliest, latest time.Time
	isKnown          bool
}

// writtenBetween returns when the rows of a batch were written: after the batch before, which did not have them.
func (s *Syncer) writtenBetween(now time.Time) writeTime {
	storeNow, known := s.clock.StoreTime()
	if !known || s.completeAt == 0 {
		return writeTime{latest: now}
	}
	return writeTime{earliest: now.Add(-max(storeNow-s.completeAt, 0)), latest: now, isKnown: true}
}

// addNotice sets the times of a leaving endpoint's row.
func (t writeTime) addNotice(info *endpoint.Info) {
	info.LeavingSince = t.latest.Add(-unknownAge)
	if t.isKnown {
		info.LeavingSince = t.earliest
	}
	if info.LeavesIn > 0 {
		info.LeaveBy, info.MayStopAt = t.latest.Add(info.LeavesIn), t.earliest.Add(info.LeavesIn)
	}
}

// writtenAfter returns the time after which a row was written; zero if it is not known, as the rows of a snapshot may
// be from a backup.
func (t writeTime) writtenAfter(isSnapshot bool) time.Time {
	if !t.isKnown || isSnapshot {
		return time.Time{}
	}
	return t.earliest
}

func (s *Syncer) applyRow(row feed.Row, written writeTime, isSnapshot bool) {
	delete(s.graceUntil, row.Key)
	received, err := s.decode(row.Key, row.Value)
	if err != nil {
		s.changes.decodeFailed(err, row.Version)
		return
	}
	received.Counter = row.Version
	if received.State == endpoint.Leaving {
		written.addNotice(&received)
		if call := s.onLeavingRow.Load(); call != nil {
			(*call)(received)
		}
	}
	received.LeavesIn = 0
	received.WrittenAfter = written.writtenAfter(isSnapshot)
	current, known := s.directory.Get(row.Key)
	if known && current.State != endpoint.Gone && !hasRestarted(current, received) {
		received.Incarnation = current.Incarnation
		if received.WrittenAfter.Before(current.WrittenAfter) {
			received.WrittenAfter = current.WrittenAfter
		}
	} else {
		// A row that returns after its removal is from an endpoint that was disconnected and serves
		// again: it counts as a new incarnation. So does an endpoint that has restarted under its
		// ID; otherwise reports of its earlier run, such as that it leaves, would remain in force.
		received.Incarnation = row.Version
	}
	if startedAt, hasLeft := s.leftStartedAt[row.Key]; hasLeft && startedAt == received.StartedMS {
		// A heartbeat that the store applied late must not restore the endpoint.
		received.State = endpoint.Leaving
	}
	merged, _ := s.directory.Merge(received)
	if !known || current.State != merged.State {
		s.changes.stateChanged(received, merged.State, row.Version)
	}
}

// Leaving returns the start times of the runs of endpoints that have reported that they leave, by ID.
func (s *Syncer) Leaving() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := maps.Clone(s.leftStartedAt)
	for _, info := range s.directory.View().Infos() {
		if info.State == endpoint.Leaving {
			left[info.ID] = info.StartedMS
		}
	}
	return left
}

// MarkLeaving records that another host has received that a run of an endpoint leaves. The store may
// have a row from before that, and it may list the endpoint only later.
func (s *Syncer) MarkLeaving(id string, startedMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leftStartedAt[id] = max(s.leftStartedAt[id], startedMS)
	info, known := s.directory.Get(id)
	if !known || info.State != endpoint.Live || info.StartedMS != startedMS {
		return
	}
	info.State, info.LeavingSince = endpoint.Leaving, s.clock.Now().Add(-unknownAge)
	if merged, changed := s.directory.Merge(info); changed {
		s.changes.stateChanged(info, merged.State, info.Counter)
		s.changes.flush()
	}
}

// hasRestarted reports whether an endpoint has restarted since its current state was received.
func hasRestarted(current, received endpoint.Info) bool {
	return current.StartedMS > 0 && received.StartedMS > current.StartedMS
}
