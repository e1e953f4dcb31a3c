package roster

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// AdvertisedHost is an entry host that serves.
type AdvertisedHost struct {
	Node, DataCenter, CallerAddress string
}

// Parameters of the hosts that are advertised to callers. In a large fleet a few take all
// callers: they reuse connections to endpoints before these time out, and few hosts have to
// agree on loads and limits.
const (
	// smallFleet is the number of hosts below which all are advertised.
	smallFleet = 24
	// advertisedPart is the part of the fleet's cores that is advertised at most.
	advertisedPart = 0.25
	// leastAdvertised is the cores that are advertised at least, in thousandths of a core, where
	// advertisedPart of the fleet's is more: each further host exchanges loads, limits and
	// placements with all others.
	leastAdvertised = 24_000
	// requestWork is what one request a second takes, in thousandths of a core, with a reserve
	// for hosts that run several times slower.
	requestWork = 10
	// advertisedStep is by how much the cores grow with the requests at a time, so that hosts with
	// slightly different counts advertise the same hosts.
	advertisedStep = 1.5
	// advertisedEach is how many hosts of a data centre are advertised at least.
	advertisedEach = 2
	// advertisedShare is the part of bounds on all hosts together that the advertised ones have; the
	// others serve callers with old answers.
	advertisedShare = 0.8
)

// AdvertisedHosts returns the advertised hosts, by name.
func (r *Roster) AdvertisedHosts() []AdvertisedHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []AdvertisedHost
	for _, m := range r.advertised() {
		list = append(list, AdvertisedHost{m.row.Node, m.row.DataCenter, m.row.CallerAddress})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Node < list[j].Node })
	return list
}

// IsAdvertised reports whether a host is advertised to callers.
func (r *Roster) IsAdvertised(node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.advertised(), func(m *member) bool { return m.row.Node == node })
}

// Advertised returns how many hosts are advertised, at least 1.
func (r *Roster) Advertised() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(len(r.advertised()), 1)
}

// LimitShare returns the part of a bound on all hosts together that a host may use.
func (r *Roster) LimitShare(node string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	advertised := r.advertised()
	others := len(r.live()) - len(advertised)
	switch {
	case others <= 0:
		return 1 / float64(max(len(advertised), 1))
	case slices.ContainsFunc(advertised, func(m *member) bool { return m.row.Node == node }):
		return advertisedShare / float64(len(advertised))
	default:
		return (1 - advertisedShare) / float64(others)
	}
}

// rankedFor is how long the advertised hosts are kept: they are asked for with each request.
const rankedFor = 100 * time.Millisecond

// advertised returns the hosts that are advertised to callers. The lock is held.
func (r *Roster) advertised() []*member {
	if r.advertisedHosts == nil || r.seenAt.Sub(r.rankedAt) >= rankedFor {
		r.advertisedHosts, r.rankedAt = r.rank(), r.seenAt
		r.coreOf = nil
	}
	return r.advertisedHosts
}

// rank picks the hosts to advertise: all of a small fleet, the largest of each data centre and
// of all of a large one. The lock is held.
func (r *Roster) rank() []*member {
	if advertised := r.advertisedByDigest(); len(advertised) > 0 {
		return advertised
	}
	var ranked []*member
	all := 0
	for _, m := range r.live() {
		// A host that was not seen for the silence is not advertised, however rarely it sends:
		// callers must not be sent to a host that has ended.
		silence := r.silence
		if m.aliveAt.After(m.statusAt) {
			silence += digestDelay
		}
		if !m.row.Leaving && r.seenAt.Sub(m.seenAt()) <= silence {
			ranked = append(ranked, m)
			all += m.size()
		}
	}
	if len(ranked) < smallFleet {
		return ranked
	}
	slices.SortFunc(ranked, compareSize)
	var advertised []*member
	each := map[string]int{}
	sum := 0
	for _, m := range ranked {
		if each[m.row.DataCenter] < advertisedEach {
			each[m.row.DataCenter]++
			sum += m.size()
			advertised = append(advertised, m)
		}
	}
	wanted := min(advertisedPart*float64(all), r.wanted())
	for _, m := range ranked {
		if float64(sum) >= wanted {
			break
		}
		if !slices.Contains(advertised, m) {
			sum += m.size()
			advertised = append(advertised, m)
		}
	}
	return advertised
}

// wanted is the cores that the requests ask for, in thousandths. The lock is held.
func (r *Roster) wanted() float64 {
	cores := float64(leastAdvertised)
	for cores < requestWork*r.requests {
		cores *= advertisedStep
	}
	return cores
}

// SetRequestRate sets how many requests a second recently began over all hosts.
func (r *Roster) SetRequestRate(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = rate
}

// standbys is how many hosts watch the lease of the duties: two may be lost at
// once.
const standbys = 3

// Standbys returns the hosts that watch the lease of the duties: those that have served for
// longest and so have received the others' counts, preferably without callers.
func (r *Roster) Standbys() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var hosts []Host
	for _, m := range r.standbys() {
		hosts = append(hosts, m.row.Host)
	}
	return hosts
}

// standbys is Standbys for a caller that holds the lock.
func (r *Roster) standbys() []*member {
	advertised := map[*member]bool{}
	for _, m := range r.advertised() {
		advertised[m] = true
	}
	// Hosts whose start time is unknown rank last.
	compare := func(a, b *member) int {
		return cmp.Or(compareBool(a.row.StartedAt == 0, b.row.StartedAt == 0), cmp.Compare(a.row.StartedAt, b.row.StartedAt), compareBool(advertised[a], advertised[b]), cmp.Compare(a.row.Node, b.row.Node))
	}
	var first []*member
	outsideCore := r.isOutsideCore()
	for _, m := range r.live() {
		if m.row.Leaving || outsideCore && m.row.Incarnation == r.selfIncarnation {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, m, compare)
		if at < standbys {
			first = slices.Insert(first, at, m)
			first = first[:min(standbys, len(first))]
		}
	}
	return first
}

// compareBool puts false first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// PeerAddresses returns the addresses for datagrams of the other hosts, also of silent ones: a new
// process may answer there. Near are those that share the callers with this host or keep what
// it counts, far all others.
func (r *Roster) PeerAddresses(self Host) (near, far []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers(self)
}

// peers is Peers for a caller that holds the lock.
func (r *Roster) peers(self Host) (near, far []string) {
	group := map[string]bool{}
	for _, m := range append(r.standbys(), r.advertised()...) {
		group[m.row.Node] = true
	}
	for _, m := range r.sharing() {
		if m.row.Incarnation == self.Incarnation || m.row.PeerAddress == "" {
			continue
		}
		if group[self.Node] && group[m.row.Node] {
			near = append(near, m.row.PeerAddress)
			continue
		}
		far = append(far, m.row.PeerAddress)
	}
	return near, far
}

// compareSize puts the largest hosts first.
func compareSize(a, b *member) int { return compareHosts(a.row.Host, b.row.Host) }

// compareHosts is compareSize of hosts.
func compareHosts(a, b Host) int {
	return cmp.Or(cmp.Compare(b.size(), a.size()), cmp.Compare(a.Node, b.Node))
}

func compareNames(a, b *member) int { return cmp.Compare(a.row.Node, b.row.Node) }

// size is the process's processor share in thousandths of a core; hosts of
// unknown size count alike.
func (h Host) size() int {
	if h.Millicores <= 0 {
		return 1000
	}
	return h.Millicores
}

func (m *member) size() int { return m.row.size() }

// Relays returns the hosts of a data centre that follow the store for the others:
// the largest few.
func (r *Roster) Relays(dataCenter string, most int) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	ranked := r.largest(dataCenter)
	var hosts []Host
	for _, m := range ranked[:min(most, len(ranked))] {
		hosts = append(hosts, m.row.Host)
	}
	return hosts
}

// DataCenters returns the data centres that have hosts, by name.
func (r *Roster) DataCenters() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, m := range r.live() {
		if !slices.Contains(names, m.row.DataCenter) {
			names = append(names, m.row.DataCenter)
		}
	}
	slices.Sort(names)
	return names
}
