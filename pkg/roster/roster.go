package roster

import (
	"slices"
	"sync"
	"time"
)

// Roster is what this process knows of the fleet's hosts. It is safe for concurrent use.
type Roster struct {
	// silence is how long a process may go unseen, in its row or its datagrams, before it counts
	// as gone; longer for one whose datagrams come rarely.
	silence time.Duration
	// interval returns the time between two datagrams of a host in a fleet of a
	// size.
	interval func(hosts int) time.Duration

	mu      sync.Mutex
	members map[string]*member
	// selfIncarnation is this process's incarnation, empty until the first MergeSelf.
	selfIncarnation string
	// seenAt is when the store or any other process was last seen. Silence is judged against it:
	// a host that receives nothing cannot judge which others are gone.
	seenAt time.Time
	known  bool
	// advertisedHosts are those whose addresses callers are given, as of rankedAt; nil after a
	// change.
	advertisedHosts []*member
	rankedAt        time.Time
	// liveOf are the hosts that are not silent as of liveAt, nil after a change, bySize those that
	// can be advertised, by data centre, the largest first, nil until asked for.
	liveOf map[string]*member
	liveAt time.Time
	bySize map[string][]*member
	// coreOf are the hosts of the core as of rankedAt, nil after a change.
	coreOf map[string]*member
	// byHash finds incarnations by the hashes in digests.
	byHash map[uint32]string
	// sharedHosts is how many hosts may serve as of sharedAt, zero after a change.
	sharedHosts int
	sharedAt    time.Time
	// digestAt is when the last digest was received, counted from the first round.
	digestAt time.Time
	// aggregatesAs is the name of this host while it aggregates, else empty.
	aggregatesAs string
	// advertisedAt is when a digest last named advertised hosts.
	advertisedAt time.Time
	// leveledAt is when the fleet was last known to be large enough for levels.
	leveledAt time.Time
	// reportedSharing is how many hosts may serve by a digest of sharingAt: hosts outside the core
	// do not know all.
	reportedSharing int
	sharingAt       time.Time
	// requests is how many a second recently began over all hosts.
	requests float64
}

// missed is how many datagrams of a host may be missing in a row while its status counts as
// recent.
const missed = 5

// pacedFleet is the hosts up to which rows keep their pace; above, the store's load
// would grow with the square of the fleet.
const pacedFleet = 16

// ScaleInterval stretches a pause between writes or reads of rows for a number of hosts.
func ScaleInterval(pause time.Duration, hosts int) time.Duration {
	return pause * time.Duration(max(hosts, pacedFleet)) / pacedFleet
}

// New returns an empty roster; interval returns the time between two datagrams
// of a host in a fleet of a size.
func New(silence time.Duration, interval func(hosts int) time.Duration) *Roster {
	return &Roster{silence: silence, interval: interval, members: map[string]*member{}, byHash: map[uint32]string{}}
}

// recent is the age up to which the latest datagram of a host counts as recent. The lock is
// held.
func (r *Roster) recent() time.Duration {
	if r.isLeveled() {
		return missed * r.interval(len(r.core()))
	}
	return missed * r.interval(len(r.members))
}

// Loaded reports whether the rows have been read once.
func (r *Roster) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

// Remove drops a row that the store no longer has.
func (r *Roster) Remove(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(incarnation)
}

// add adds a process that was not known. The lock is held.
func (r *Roster) add(m *member) {
	r.members[m.row.Incarnation] = m
	r.byHash[hashOf(m.row.Incarnation)] = m.row.Incarnation
	r.changed()
}

// drop forgets a process. The lock is held.
func (r *Roster) drop(incarnation string) {
	delete(r.members, incarnation)
	delete(r.byHash, hashOf(incarnation))
	r.changed()
}

// changed has what is worked out from the members be worked out anew. The lock is held.
func (r *Roster) changed() {
	r.advertisedHosts, r.coreOf, r.liveOf = nil, nil, nil
	r.sharedAt = time.Time{}
}

// leave notes that a process has begun to stop. The lock is held.
func (r *Roster) leave(m *member) {
	if !m.row.Leaving {
		m.row.Leaving = true
		r.changed()
	}
}

// Retain drops all rows that a snapshot does not name.
func (r *Roster) Retain(named func(incarnation string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for incarnation := range r.members {
		if !named(incarnation) {
			r.drop(incarnation)
		}
	}
}

// live returns the rows that are still written, the newest of each node; not to be
// changed. Each round and each call to a relay asks for them several times, so that they
// are kept for a moment. The lock is held.
func (r *Roster) live() map[string]*member {
	if r.liveOf != nil && r.seenAt.Sub(r.liveAt) < rankedFor && !r.seenAt.Before(r.liveAt) {
		return r.liveOf
	}
	byNode := make(map[string]*member, len(r.members))
	for _, m := range r.members {
		if r.silent(m) {
			continue
		}
		if other, ok := byNode[m.row.Node]; !ok || m.seenAt().After(other.seenAt()) {
			byNode[m.row.Node] = m
		}
	}
	r.liveOf, r.liveAt = byNode, r.seenAt
	r.bySize = nil
	return byNode
}

// largest returns the live hosts of a data centre that do not leave and can be advertised, the
// largest first. The lock is held.
func (r *Roster) largest(dataCenter string) []*member {
	live := r.live()
	if r.bySize == nil {
		r.bySize = map[string][]*member{}
		for _, m := range live {
			if !m.row.Leaving && m.row.PeerAddress != "" {
				r.bySize[m.row.DataCenter] = append(r.bySize[m.row.DataCenter], m)
			}
		}
		for _, list := range r.bySize {
			slices.SortFunc(list, compareSize)
		}
	}
	return r.bySize[dataCenter]
}

// PeerReachedStore reports whether another host with a recent status has been in touch with the
// store for the whole of a time.
func (r *Roster) PeerReachedStore(self string, whole time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.recent()
	for _, m := range r.members {
		if m.row.Incarnation != self && now.Sub(m.statusAt) < recent && m.status.StoreReachableFor >= whole {
			return true
		}
	}
	return false
}

// DutiesHeld reports whether another process has sent within a time that it holds
// the lease of the duties.
func (r *Roster) DutiesHeld(self string, within time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if m.row.Incarnation != self && m.status.LeaseVersion > 0 && now.Sub(m.statusAt) < within {
			return true
		}
	}
	return false
}

// LiveIncarnations returns the incarnations of the hosts that are not silent, those that are about
// to stop too.
func (r *Roster) LiveIncarnations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for _, m := range r.live() {
		list = append(list, m.row.Incarnation)
	}
	return list
}

// CountHosts returns how many hosts have sent recent datagrams, this one included, and how many
// others may serve that have not: restarting, or cut off.
func (r *Roster) CountHosts(self string, now time.Time) (recent, silent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent = 1
	within := r.recent()
	leveled := r.isLeveled()
	for _, m := range r.sharing() {
		switch {
		case m.row.Incarnation == self:
		case now.Sub(m.statusAt) < within, leveled && !m.aliveAt.IsZero() && !r.silent(m):
			recent++
		default:
			silent++
		}
	}
	return recent, silent
}

// sharing returns the newest row of every host that may serve: the silent ones
// too, but not those that have stopped in order. The lock is held.
func (r *Roster) sharing() map[string]*member {
	byNode := map[string]*member{}
	for _, m := range r.members {
		if r.silent(m) && m.row.Leaving {
			continue
		}
		if other, ok := byNode[m.row.Node]; !ok || m.seenAt().After(other.seenAt()) {
			byNode[m.row.Node] = m
		}
	}
	return byNode
}

// pacesMissed is for how many times the pace of its datagrams a host may go unseen at least: one
// datagram may be lost.
const pacesMissed = 2.2

func (r *Roster) silent(m *member) bool {
	pace := m.pace
	if m.aliveAt.After(m.statusAt) {
		pace = m.aliveGap
	}
	return r.seenAt.Sub(m.seenAt()) > max(r.silence, time.Duration(pacesMissed*float64(pace)))
}

// Sharing returns how many hosts may serve, those that are silent too, at
// least 1.
func (r *Roster) Sharing() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.shared(), 1)
}

// shared returns how many hosts may serve. It is asked for with each round and request,
// and kept for a moment. The lock is held.
func (r *Roster) shared() int {
	if r.sharedAt.IsZero() || r.seenAt.Sub(r.sharedAt) >= rankedFor {
		r.sharedHosts, r.sharedAt = len(r.sharing()), r.seenAt
	}
	if r.reportedSharing > r.sharedHosts && r.aggregatesAs == "" && r.seenAt.Sub(r.sharingAt) < sharingTTL {
		return r.reportedSharing
	}
	return r.sharedHosts
}

// StartedRequests returns the requests that began in a window, by team, over all rows,
// those of dead processes too.
func (r *Roster) StartedRequests(window int64) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for _, m := range r.members {
		for team, begun := range m.counts[window] {
			counts[team] += begun
		}
	}
	return counts
}

// ClockOffset returns the median of the hosts' time of day less the store's
// clock: a minority of stepped clocks does not move it far. Hosts known by their
// datagrams alone report no clock. ok is false while no row is known.
func (r *Roster) ClockOffset() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var offsets []time.Duration
	for _, m := range r.live() {
		if m.hasRow() {
			offsets = append(offsets, m.row.ClockOffset)
		}
	}
	if len(offsets) == 0 {
		return 0, false
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2], true
}

// Prune drops processes that have no row and were not seen for a time: no removal of a row will
// show that they are gone.
func (r *Roster) Prune(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for incarnation, m := range r.members {
		if !m.hasRow() && r.seenAt.Sub(m.seenAt()) > after {
			r.drop(incarnation)
		}
	}
}

// SilentIncarnations returns processes with a row that were not seen for a time.
func (r *Roster) SilentIncarnations(after time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for incarnation, m := range r.members {
		if m.hasRow() && r.seenAt.Sub(m.seenAt()) > after {
			list = append(list, incarnation)
		}
	}
	return list
}
