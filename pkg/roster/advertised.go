package roster

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// AdvertisedHost is an entry host whose address is given to callers.
type AdvertisedHost struct {
	Node, DataCenter, CallerAddress string
	// PeerAddress is the address for datagrams of other hosts, empty if it is not known.
	PeerAddress string
}

// Parameters of the set of hosts that are advertised to callers. In a large fleet a few hosts serve
// all callers: they reuse connections to endpoints before these time out, and only a few hosts have
// to agree on loads and limits.
const (
	// advertiseAllBelow is the number of hosts below which all are advertised.
	advertiseAllBelow = 24
	// maxAdvertisedFraction is the largest fraction of the fleet's cores that is advertised.
	maxAdvertisedFraction = 0.25
	// minAdvertisedMillicores is the minimum of advertised cores, in thousandths of a core, unless
	// maxAdvertisedFraction of the fleet is less. It is kept low because each further host
	// exchanges loads, limits and placements with all others.
	minAdvertisedMillicores = 24_000
	// millicoresPerRequest is what one request per second needs, in thousandths of a core, with a
	// reserve for hosts that run several times slower.
	millicoresPerRequest = 10
	// advertisedGrowthFactor is the factor between the steps in which the advertised cores grow
	// with the request rate. Steps let hosts with slightly different rates advertise the same
	// hosts.
	advertisedGrowthFactor = 1.5
	// minAdvertisedPerDataCenter is the minimum number of advertised hosts per data centre.
	minAdvertisedPerDataCenter = 2
	// advertisedLimitShare is the fraction of a fleet-wide limit that all advertised hosts have
	// together. The other hosts have the rest, as they still serve callers with outdated addresses.
	advertisedLimitShare = 0.8
)

// AdvertisedHosts returns the advertised hosts, sorted by name.
func (r *Roster) AdvertisedHosts() []AdvertisedHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []AdvertisedHost
	for _, m := range r.advertised() {
		list = append(list, AdvertisedHost{m.row.Node, m.row.DataCenter, m.row.CallerAddress, m.row.PeerAddress})
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

// Advertised returns the number of advertised hosts, at least 1.
func (r *Roster) Advertised() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(len(r.advertised()), 1)
}

// LimitShare returns the fraction of a fleet-wide limit that a host may use.
func (r *Roster) LimitShare(node string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	advertised := r.advertised()
	others := len(r.live()) - len(advertised)
	switch {
	case others <= 0:
		return 1 / float64(max(len(advertised), 1))
	case slices.ContainsFunc(advertised, func(m *member) bool { return m.row.Node == node }):
		return advertisedLimitShare / float64(len(advertised))
	default:
		return (1 - advertisedLimitShare) / float64(others)
	}
}

// cacheTTL is how long results derived from the members are cached. The advertised hosts, for
// example, are needed for each request.
const cacheTTL = 100 * time.Millisecond

// advertised returns the hosts that are advertised to callers. The caller must hold r.mu.
func (r *Roster) advertised() []*member {
	if r.advertisedHosts == nil || r.lastReceivedAt.Sub(r.rankedAt) >= cacheTTL {
		r.advertisedHosts, r.rankedAt = r.selectAdvertised(), r.lastReceivedAt
		r.coreByNode = nil
	}
	return r.advertisedHosts
}

// selectAdvertised selects the hosts to advertise: all hosts of a small fleet, and in a large fleet
// the largest hosts of each data centre and of the whole fleet. The caller must hold r.mu.
func (r *Roster) selectAdvertised() []*member {
	if advertised := r.advertisedByDigest(); len(advertised) > 0 {
		return advertised
	}
	var ranked []*member
	for _, m := range r.live() {
		// A host that was not seen for silenceTimeout is not advertised, however rarely it sends:
		// callers must not be sent to a host that has stopped.
		timeout := r.silenceTimeout
		if m.peerSeenAt.After(m.statusAt) {
			timeout += maxDigestDelay
		}
		if !m.row.Leaving && r.lastReceivedAt.Sub(m.seenAt()) <= timeout {
			ranked = append(ranked, m)
		}
	}
	if len(ranked) < advertiseAllBelow {
		return ranked
	}
	slices.SortFunc(ranked, compareSize)
	var advertised []*member
	perDataCenter := map[string]int{}
	selectedMillicores := 0
	for _, m := range ranked {
		if perDataCenter[m.row.DataCenter] < minAdvertisedPerDataCenter {
			perDataCenter[m.row.DataCenter]++
			selectedMillicores += m.size()
			advertised = append(advertised, m)
		}
	}
	targetMillicores := min(maxAdvertisedFraction*float64(r.fleetMillicores()), r.requiredMillicores())
	for _, m := range ranked {
		if float64(selectedMillicores) >= targetMillicores {
			break
		}
		if !slices.Contains(advertised, m) {
			selectedMillicores += m.size()
			advertised = append(advertised, m)
		}
	}
	return advertised
}

// fleetMillicores returns the cores of all hosts that are not leaving, in thousandths of a core. A
// host known by digests counts for maxDigestDelay longer than it is advertised: its digests arrive
// late on some hosts only, and these would advertise fewer hosts than the others. The caller must
// hold r.mu.
func (r *Roster) fleetMillicores() int {
	total := 0
	for _, m := range r.possibleHosts() {
		timeout := r.silenceTimeout
		if m.peerSeenAt.After(m.statusAt) {
			timeout += maxDigestDelay
		}
		if !m.row.Leaving && r.lastReceivedAt.Sub(m.seenAt()) <= timeout {
			total += m.size()
		}
	}
	return total
}

// requiredMillicores returns the cores that the request rate requires, in thousandths of a core.
// The caller must hold r.mu.
func (r *Roster) requiredMillicores() float64 {
	millicores := float64(minAdvertisedMillicores)
	for millicores < millicoresPerRequest*r.requestRate {
		millicores *= advertisedGrowthFactor
	}
	return millicores
}

// SetRequestRate sets the number of requests per second that recently started on all hosts.
func (r *Roster) SetRequestRate(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestRate = rate
}

// standbyCount is the number of hosts that watch the lease of the duties: two may be lost at once.
const standbyCount = 3

// Standbys returns the hosts that watch the lease of the duties. They are the hosts that have run
// longest and so have received the others' counts; of equally old hosts, those that are not
// advertised come first.
func (r *Roster) Standbys() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var hosts []Host
	for _, m := range r.standbys() {
		hosts = append(hosts, m.row.Host)
	}
	return hosts
}

// standbys implements Standbys. The caller must hold r.mu.
func (r *Roster) standbys() []*member {
	advertised := map[*member]bool{}
	for _, m := range r.advertised() {
		advertised[m] = true
	}
	// Hosts whose start time is unknown rank last.
	compare := func(a, b *member) int {
		return cmp.Or(compareBool(a.row.StartedAt == 0, b.row.StartedAt == 0), cmp.Compare(a.row.StartedAt, b.row.StartedAt), compareBool(advertised[a], advertised[b]), cmp.Compare(a.row.Node, b.row.Node))
	}
	var oldest []*member
	outsideCore := r.isOutsideCore()
	for _, m := range r.live() {
		if m.row.Leaving || outsideCore && m.row.Incarnation == r.selfIncarnation {
			continue
		}
		index, _ := slices.BinarySearchFunc(oldest, m, compare)
		if index < standbyCount {
			oldest = slices.Insert(oldest, index, m)
			oldest = oldest[:min(standbyCount, len(oldest))]
		}
	}
	return oldest
}

// compareBool orders false before true.
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

// PeerAddresses returns the datagram addresses of the other hosts, including silent ones, where a
// new process may respond. The frequent addresses are those of hosts that, like this one, are
// advertised or standbys; all others are infrequent.
func (r *Roster) PeerAddresses(self Host) (frequent, infrequent []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerAddresses(self)
}

// LivePeerAddresses returns the peer addresses of all live hosts but the given node.
func (r *Roster) LivePeerAddresses(node string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for _, m := range r.live() {
		if m.row.Node != node && m.row.PeerAddress != "" {
			addresses = append(addresses, m.row.PeerAddress)
		}
	}
	return addresses
}

// peerAddresses implements PeerAddresses. The caller must hold r.mu.
func (r *Roster) peerAddresses(self Host) (frequent, infrequent []string) {
	frequentNodes := map[string]bool{}
	for _, m := range append(r.standbys(), r.advertised()...) {
		frequentNodes[m.row.Node] = true
	}
	for _, m := range r.possibleHosts() {
		if m.row.Incarnation == self.Incarnation || m.row.PeerAddress == "" {
			continue
		}
		if frequentNodes[self.Node] && frequentNodes[m.row.Node] {
			frequent = append(frequent, m.row.PeerAddress)
			continue
		}
		infrequent = append(infrequent, m.row.PeerAddress)
	}
	return frequent, infrequent
}

// compareSize orders members like compareHosts.
func compareSize(a, b *member) int { return compareHosts(a.row.Host, b.row.Host) }

// compareHosts orders hosts from the largest to the smallest, and hosts of equal size by name.
func compareHosts(a, b Host) int {
	return cmp.Or(cmp.Compare(b.size(), a.size()), cmp.Compare(a.Node, b.Node))
}

func compareNames(a, b *member) int { return cmp.Compare(a.row.Node, b.row.Node) }

// size returns the process's processor share in thousandths of a core. Hosts whose share is unknown
// count as one core.
func (h Host) size() int {
	if h.Millicores <= 0 {
		return 1000
	}
	return h.Millicores
}

func (m *member) size() int { return m.row.size() }

// Relays returns the hosts of a data centre that read the store for the others: the largest ones,
// maxCount at most.
func (r *Roster) Relays(dataCenter string, maxCount int) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	ranked := r.largest(dataCenter)
	var hosts []Host
	for _, m := range ranked[:min(maxCount, len(ranked))] {
		hosts = append(hosts, m.row.Host)
	}
	return hosts
}

// DataCenters returns the data centres that have live hosts, sorted by name.
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
