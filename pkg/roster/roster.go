package roster

import (
	"slices"
	"sync"
	"time"
)

// Roster is what this process knows about the fleet's hosts. It is safe for concurrent use.
type Roster struct {
	// silenceTimeout is how long a process may go unseen, in both its row and its datagrams, before
	// it counts as gone. It is longer for a process whose datagrams are rare.
	silenceTimeout time.Duration
	// statusInterval returns the time between two datagrams of a host in a fleet of the given size.
	statusInterval func(hosts int) time.Duration

	mu      sync.Mutex
	members map[string]*member
	// selfIncarnation is this process's incarnation, empty until the first MergeSelf.
	selfIncarnation string
	// lastReceivedAt is when the store last responded or another process was last seen. Silence is
	// measured up to this time: a host that receives nothing cannot judge which others are gone.
	lastReceivedAt time.Time
	loaded         bool
	// advertisedHosts are the hosts whose addresses callers are given, as of rankedAt; nil after a
	// change.
	advertisedHosts []*member
	rankedAt        time.Time
	// liveByNode are the hosts that were not silent at liveAt, nil after a change. bySize are those
	// of them that can be advertised, by data centre, the largest first; nil until needed.
	liveByNode map[string]*member
	liveAt     time.Time
	bySize     map[string][]*member
	// coreByNode are the hosts of the core as of rankedAt, nil after a change.
	coreByNode map[string]*member
	// byHash maps the hashes in digests to incarnations.
	byHash map[uint32]string
	// cachedHostCount is the number of hosts that may serve as of cachedHostCountAt, which is zero
	// after a change.
	cachedHostCount   int
	cachedHostCountAt time.Time
	// digestAt is when the last digest was received, initially the time of the first round.
	digestAt time.Time
	// aggregatorName is the name of this host while it is an aggregator, else empty.
	aggregatorName string
	// advertisedAt is when a digest last listed advertised hosts.
	advertisedAt time.Time
	// hierarchicalAt is when the fleet was last known to be large enough for a hierarchy.
	hierarchicalAt time.Time
	// reportedHostCount is the number of hosts that may serve according to the digest received at
	// reportedHostCountAt. Hosts outside the core do not know all hosts.
	reportedHostCount   int
	reportedHostCountAt time.Time
	// requestRate is the number of requests per second that recently started on all hosts.
	requestRate float64
}

// recentIntervals is how many datagrams of a host may be lost in a row while its status still
// counts as recent.
const recentIntervals = 5

// unscaledFleet is the number of hosts up to which the intervals of rows are not scaled. In larger
// fleets the store's load would otherwise grow with the square of the fleet.
const unscaledFleet = 16

// ScaleInterval scales an interval between writes or reads of rows to the number of hosts.
func ScaleInterval(interval time.Duration, hosts int) time.Duration {
	return interval * time.Duration(max(hosts, unscaledFleet)) / unscaledFleet
}

// New returns an empty roster. interval returns the time between two datagrams of a host in a fleet
// of the given size.
func New(silenceTimeout time.Duration, interval func(hosts int) time.Duration) *Roster {
	return &Roster{silenceTimeout: silenceTimeout, statusInterval: interval, members: map[string]*member{}, byHash: map[uint32]string{}}
}

// recentAge returns the age up to which the latest datagram of a host counts as recent. The caller
// must hold r.mu.
func (r *Roster) recentAge() time.Duration {
	if r.isHierarchical() {
		return recentIntervals * r.statusInterval(len(r.core()))
	}
	return recentIntervals * r.statusInterval(len(r.members))
}

// Loaded reports whether the rows have been read once.
func (r *Roster) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Remove removes a process whose row is no longer in the store.
func (r *Roster) Remove(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(incarnation)
}

// add adds a process that was not known. The caller must hold r.mu.
func (r *Roster) add(m *member) {
	r.members[m.row.Incarnation] = m
	r.byHash[hashOf(m.row.Incarnation)] = m.row.Incarnation
	r.invalidateCaches()
}

// remove removes a process. The caller must hold r.mu.
func (r *Roster) remove(incarnation string) {
	delete(r.members, incarnation)
	delete(r.byHash, hashOf(incarnation))
	r.invalidateCaches()
}

// invalidateCaches discards the cached results derived from the members. The caller must hold r.mu.
func (r *Roster) invalidateCaches() {
	r.advertisedHosts, r.coreByNode, r.liveByNode = nil, nil, nil
	r.cachedHostCountAt = time.Time{}
}

// markLeaving records that a process has begun to stop. The caller must hold r.mu.
func (r *Roster) markLeaving(m *member) {
	if !m.row.Leaving {
		m.row.Leaving = true
		r.invalidateCaches()
	}
}

// Retain removes all processes that are not in a snapshot of the rows: those for which keep returns
// false.
func (r *Roster) Retain(keep func(incarnation string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for incarnation := range r.members {
		if !keep(incarnation) {
			r.remove(incarnation)
		}
	}
}

// live returns the processes that are not silent, the newest of each node. The map must not be
// changed. It is cached for a short time, as each round and each call to a relay needs it several
// times. The caller must hold r.mu.
func (r *Roster) live() map[string]*member {
	if r.liveByNode != nil && r.lastReceivedAt.Sub(r.liveAt) < cacheTTL && !r.lastReceivedAt.Before(r.liveAt) {
		return r.liveByNode
	}
	byNode := make(map[string]*member, len(r.members))
	for _, m := range r.members {
		if r.isSilent(m) {
			continue
		}
		if other, ok := byNode[m.row.Node]; !ok || m.seenAt().After(other.seenAt()) {
			byNode[m.row.Node] = m
		}
	}
	r.liveByNode, r.liveAt = byNode, r.lastReceivedAt
	r.bySize = nil
	return byNode
}

// largest returns the live hosts of a data centre that are not leaving and can be advertised, the
// largest first. The caller must hold r.mu.
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

// PeerReachedStore reports whether another host with a recent status has reached the store without
// interruption for the given period.
func (r *Roster) PeerReachedStore(self string, period time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.recentAge()
	for _, m := range r.members {
		if m.row.Incarnation != self && now.Sub(m.statusAt) < recent && m.status.StoreReachableFor >= period {
			return true
		}
	}
	return false
}

// DutiesHeld reports whether another process has sent within the given time that it holds the lease
// of the duties.
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

// HolderWithoutStore returns the process that holds the lease of the duties, by statuses received
// within the given time, if it is another one that cannot reach the store.
func (r *Roster) HolderWithoutStore(self string, within time.Duration, now time.Time) (Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var holder *member
	for _, m := range r.members {
		if m.status.LeaseVersion > 0 && now.Sub(m.statusAt) < within && (holder == nil || m.status.LeaseVersion > holder.status.LeaseVersion) {
			holder = m
		}
	}
	if holder == nil || holder.row.Incarnation == self || holder.status.StoreReachableFor > 0 || holder.row.PeerAddress == "" {
		return Host{}, false
	}
	return holder.row.Host, true
}

// LiveIncarnations returns the incarnations of the hosts that are not silent, including those that
// are about to stop.
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
// others may serve but have not: they are restarting, or the network to them is interrupted.
func (r *Roster) CountHosts(self string, now time.Time) (recent, silent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent = 1
	within := r.recentAge()
	hierarchical := r.isHierarchical()
	for _, m := range r.possibleHosts() {
		switch {
		case m.row.Incarnation == self:
		case now.Sub(m.statusAt) < within, hierarchical && !m.peerSeenAt.IsZero() && !r.isSilent(m):
			recent++
		default:
			silent++
		}
	}
	return recent, silent
}

// possibleHosts returns the newest process of every host that may serve, including silent hosts but
// not those that have shut down cleanly. The caller must hold r.mu.
func (r *Roster) possibleHosts() map[string]*member {
	byNode := map[string]*member{}
	for _, m := range r.members {
		if r.isSilent(m) && m.row.Leaving {
			continue
		}
		if other, ok := byNode[m.row.Node]; !ok || m.seenAt().After(other.seenAt()) {
			byNode[m.row.Node] = m
		}
	}
	return byNode
}

// silenceIntervals is the minimum time that a host may go unseen, as a multiple of the interval
// between its datagrams: one datagram may be lost.
const silenceIntervals = 2.2

func (r *Roster) isSilent(m *member) bool {
	interval := m.interval
	if m.peerSeenAt.After(m.statusAt) {
		interval = m.peerSeenInterval
	}
	return r.lastReceivedAt.Sub(m.seenAt()) > max(r.silenceTimeout, time.Duration(silenceIntervals*float64(interval)))
}

// Sharing returns the number of hosts that may serve, including silent ones, at least 1.
func (r *Roster) Sharing() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.hostCount(), 1)
}

// hostCount returns the number of hosts that may serve. It is cached for a short time, as each
// round and each request needs it. The caller must hold r.mu.
func (r *Roster) hostCount() int {
	if r.cachedHostCountAt.IsZero() || r.lastReceivedAt.Sub(r.cachedHostCountAt) >= cacheTTL {
		r.cachedHostCount, r.cachedHostCountAt = len(r.possibleHosts()), r.lastReceivedAt
	}
	if r.reportedHostCount > r.cachedHostCount && r.aggregatorName == "" && r.lastReceivedAt.Sub(r.reportedHostCountAt) < hostCountTTL {
		return r.reportedHostCount
	}
	return r.cachedHostCount
}

// StartedRequests returns the number of requests that started in a window, by team, over all
// processes, including dead ones.
func (r *Roster) StartedRequests(window int64) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for _, m := range r.members {
		for team, started := range m.counts[window] {
			counts[team] += started
		}
	}
	return counts
}

// ClockOffset returns the median of the differences between the hosts' wall clocks and the store's
// clock, which a minority of clocks that have jumped does not move far. Hosts known only by their
// datagrams report no clock. The second result is false if no row is known.
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

// Prune removes processes that have no row and were not seen for the given time, as no removal of a
// row will show that they are gone.
func (r *Roster) Prune(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for incarnation, m := range r.members {
		if !m.hasRow() && r.lastReceivedAt.Sub(m.seenAt()) > after {
			r.remove(incarnation)
		}
	}
}

// SilentIncarnations returns the processes with a row that were not seen for the given time.
func (r *Roster) SilentIncarnations(after time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for incarnation, m := range r.members {
		if m.hasRow() && r.lastReceivedAt.Sub(m.seenAt()) > after {
			list = append(list, incarnation)
		}
	}
	return list
}
