package roster

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// LiveHost reports in a few bytes that a process is alive.
type LiveHost struct {
	// Hash is the hash of its incarnation.
	Hash uint32
	// Age is the time since it was last seen.
	Age     time.Duration
	Leaving bool
	// Advertised reports whether callers are given its address.
	Advertised bool
}

// hashOf returns the hash that identifies a process in digests.
func hashOf(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

// Digest is the part of the membership that an aggregator sends.
type Digest struct {
	// LiveHosts are the processes that it has seen recently.
	LiveHosts []LiveHost
	// Hosts describes some hosts in full, for receivers that do not know them.
	Hosts []Host
	// RequestRate is the number of requests per second that recently started on all hosts, 0 if
	// unknown.
	RequestRate float64
	// HostCount is the number of hosts that may serve, 0 if unknown.
	HostCount int
}

// Limits of a digest.
const (
	// maxLiveHosts and maxFullHosts keep a digest small enough for one datagram.
	maxLiveHosts = 90
	maxFullHosts = 6
)

// CoreDigests returns what an aggregator sends its subscribers in a round: the core, and some other
// hosts of its data centre, from which they choose the next aggregators if both aggregators are lost.
func (r *Roster) CoreDigests(self Host, round int, now time.Time) []Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	core := r.core()
	advertised := r.advertised()
	members := append(sortedByName(core), r.candidates(self, core, round)...)
	var list []Digest
	for chunk := range slices.Chunk(members, maxLiveHosts) {
		// The candidates are the last members and change in each round. They are described in full.
		hosts := append(rotatingHosts(chunk, round, maxFullHosts/2), hostsOf(chunk[max(len(chunk)-maxFullHosts/2, 0):])...)
		digest := Digest{RequestRate: r.requestRate, HostCount: r.hostCount(), Hosts: hosts}
		for _, m := range chunk {
			digest.LiveHosts = appendLiveHost(digest.LiveHosts, m, now, r.silenceTimeout, slices.Contains(advertised, m))
		}
		list = append(list, digest)
	}
	return list
}

// candidates returns hosts of a host's data centre outside the core: the largest ones and, in
// rotation, some of the rest, as all of the largest may be lost. The caller must hold r.mu.
func (r *Roster) candidates(self Host, core map[string]*member, round int) []*member {
	var others []*member
	for _, m := range r.largest(self.DataCenter) {
		if _, isCore := core[m.row.Node]; !isCore {
			others = append(others, m)
		}
	}
	const half = fallbackAggregators / 2
	if len(others) <= fallbackAggregators {
		return others
	}
	list := slices.Clone(others[:half])
	rest := others[half:]
	for i := range half {
		list = append(list, rest[(round*half+i)%len(rest)])
	}
	return list
}

// DataCenterDigests returns what an aggregator sends the core: the hosts of its data centre that
// send it datagrams. Hosts of the core are included, as other data centres may not know them yet.
func (r *Roster) DataCenterDigests(self Host, round int, now time.Time) []Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var senders []*member
	for _, m := range r.largest(self.DataCenter) {
		if m.row.Node != self.Node && (now.Sub(m.subscribedAt) < subscriptionTTL || now.Sub(m.statusAt) < subscriptionTTL) {
			senders = append(senders, m)
		}
	}
	var list []Digest
	for chunk := range slices.Chunk(senders, maxLiveHosts) {
		digest := Digest{HostCount: r.hostCount()}
		for _, m := range chunk {
			digest.LiveHosts = appendLiveHost(digest.LiveHosts, m, now, r.silenceTimeout, false)
		}
		digest.Hosts = rotatingHosts(chunk, round, maxFullHosts)
		list = append(list, digest)
	}
	return list
}

// appendLiveHost appends a process to the list if it was seen within maxAge.
func appendLiveHost(list []LiveHost, m *member, now time.Time, maxAge time.Duration, advertised bool) []LiveHost {
	age := max(now.Sub(m.seenAt()), 0)
	if age > maxAge {
		return list
	}
	return append(list, LiveHost{Hash: hashOf(m.row.Incarnation), Age: age, Leaving: m.row.Leaving, Advertised: advertised})
}

// rotatingHosts returns maxCount hosts at most, different ones in each round.
func rotatingHosts(members []*member, round, maxCount int) []Host {
	var hosts []Host
	for i := range min(maxCount, len(members)) {
		hosts = append(hosts, members[(round*maxCount+i)%len(members)].row.Host)
	}
	return hosts
}

func hostsOf(members []*member) []Host {
	hosts := make([]Host, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, m.row.Host)
	}
	return hosts
}

// sortedByName returns members sorted by the names of their hosts.
func sortedByName(members map[string]*member) []*member {
	list := make([]*member, 0, len(members))
	for _, m := range members {
		list = append(list, m)
	}
	slices.SortFunc(list, compareNames)
	return list
}

// Subscribe records that a host subscribes to this host's digests.
func (r *Roster) Subscribe(host Host, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[host.Incarnation]
	if !ok {
		m = &member{row: Row{Host: host}}
		r.add(m)
	}
	if host.Leaving {
		r.markLeaving(m)
	}
	m.subscribedAt = now
	m.noteSeenByPeer(now)
	r.lastReceivedAt = now
}

// ApplyDigest applies a digest that the process with the incarnation aggregator has sent.
func (r *Roster) ApplyDigest(aggregator string, digest Digest, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.members[aggregator]; ok {
		m.digestAt = now
	}
	for _, host := range digest.Hosts {
		m, ok := r.members[host.Incarnation]
		if ok {
			r.setMissingStartTime(m, host.StartedAt)
		} else if host.Incarnation != "" && host.Node != "" {
			r.add(&member{row: Row{Host: host}})
		}
	}
	for _, live := range digest.LiveHosts {
		m, ok := r.members[r.byHash[live.Hash]]
		if !ok {
			continue
		}
		if live.Leaving {
			r.markLeaving(m)
		}
		if live.Advertised {
			m.advertisedAt, r.advertisedAt = now, now
			r.invalidateCaches()
		}
		m.noteSeenByPeer(now.Add(-live.Age))
	}
	if digest.RequestRate > 0 {
		r.requestRate = digest.RequestRate
	}
	if digest.HostCount >= minHierarchicalFleet {
		// Aggregators too stay in the hierarchy while another one knows enough hosts.
		r.hierarchicalAt = now
	}
	if digest.HostCount > 0 {
		r.reportedHostCount, r.reportedHostCountAt = digest.HostCount, now
	}
	r.lastReceivedAt, r.digestAt = now, now
}

// noteSeenByPeer records when another host last saw the process.
func (m *member) noteSeenByPeer(at time.Time) {
	if !at.After(m.peerSeenAt) {
		return
	}
	if !m.peerSeenAt.IsZero() {
		m.peerSeenInterval = at.Sub(m.peerSeenAt)
	}
	m.peerSeenAt = at
}
