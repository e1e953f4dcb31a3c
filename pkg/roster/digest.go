package roster

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// LiveHost says that a process is alive, in few bytes.
type LiveHost struct {
	// Hash is of its incarnation.
	Hash uint32
	// Age is how long ago it was last seen.
	Age     time.Duration
	Leaving bool
	// Advertised says that callers are given its address.
	Advertised bool
}

// hashOf returns the hash that identifies a process in digests.
func hashOf(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

// Digest is the part of the membership that an aggregator sends.
type Digest struct {
	// LiveHosts are processes that it has seen.
	LiveHosts []LiveHost
	// Hosts are some of them in full, for receivers that do not know them.
	Hosts []Host
	// RequestRate is how many a second recently began over all hosts, 0 for not known.
	RequestRate float64
	// HostCount is how many hosts may serve, 0 for not known.
	HostCount int
}

// Parameters of digests.
const (
	// maxAlive and maxHosts bound a digest to what a datagram holds.
	maxAlive = 90
	maxHosts = 6
)

// CoreDigests returns what an aggregator sends its subscribers in a round: the core, and some
// others of the data centre, from which they choose the next aggregators if both are lost.
func (r *Roster) CoreDigests(self Host, round int, now time.Time) []Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	core := r.core()
	advertised := r.advertised()
	members := append(sorted(core), r.candidates(self, core, round)...)
	var list []Digest
	for chunk := range slices.Chunk(members, maxAlive) {
		// The candidates come last: others in each round, so that they go in full.
		hosts := append(inTurn(chunk, round, maxHosts/2), hostsOf(chunk[max(len(chunk)-maxHosts/2, 0):])...)
		p := Digest{RequestRate: r.requests, HostCount: r.shared(), Hosts: hosts}
		for _, m := range chunk {
			p.LiveHosts = appendAlive(p.LiveHosts, m, now, r.silence, slices.Contains(advertised, m))
		}
		list = append(list, p)
	}
	return list
}

// candidates returns hosts of a host's data centre that are not of the core: the largest,
// and in turn some of the rest, as all of the largest may be lost. The lock is held.
func (r *Roster) candidates(self Host, core map[string]*member, round int) []*member {
	var others []*member
	for _, m := range r.largest(self.DataCenter) {
		if _, isCore := core[m.row.Node]; !isCore {
			others = append(others, m)
		}
	}
	const half = aggregatorsSought / 2
	if len(others) <= aggregatorsSought {
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
// send it datagrams, those in the core too, which other data centres may not know yet.
func (r *Roster) DataCenterDigests(self Host, round int, now time.Time) []Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var followers []*member
	for _, m := range r.largest(self.DataCenter) {
		if m.row.Node != self.Node && (now.Sub(m.subscribedAt) < subscriptionTTL || now.Sub(m.statusAt) < subscriptionTTL) {
			followers = append(followers, m)
		}
	}
	var list []Digest
	for chunk := range slices.Chunk(followers, maxAlive) {
		p := Digest{}
		for _, m := range chunk {
			p.LiveHosts = appendAlive(p.LiveHosts, m, now, r.silence, false)
		}
		p.Hosts = inTurn(chunk, round, maxHosts)
		list = append(list, p)
	}
	return list
}

// appendAlive adds a process that was seen within a time.
func appendAlive(list []LiveHost, m *member, now time.Time, within time.Duration, advertised bool) []LiveHost {
	age := max(now.Sub(m.seenAt()), 0)
	if age > within {
		return list
	}
	return append(list, LiveHost{Hash: hashOf(m.row.Incarnation), Age: age, Leaving: m.row.Leaving, Advertised: advertised})
}

// inTurn returns some of the members, others in each round.
func inTurn(members []*member, round, most int) []Host {
	var hosts []Host
	for i := range min(most, len(members)) {
		hosts = append(hosts, members[(round*most+i)%len(members)].row.Host)
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

// sorted returns members by the names of their hosts.
func sorted(members map[string]*member) []*member {
	list := make([]*member, 0, len(members))
	for _, m := range members {
		list = append(list, m)
	}
	slices.SortFunc(list, compareNames)
	return list
}

// Subscribe notes that a host subscribes to this one's digests.
func (r *Roster) Subscribe(host Host, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[host.Incarnation]
	if !ok {
		m = &member{row: Row{Host: host}}
		r.add(m)
	}
	if host.Leaving {
		r.leave(m)
	}
	m.subscribedAt = now
	m.seenByPeer(now)
	r.seenAt = now
}

// ApplyDigest applies an aggregator's digest.
func (r *Roster) ApplyDigest(aggregator string, p Digest, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.members[aggregator]; ok {
		m.digestAt = now
	}
	for _, host := range p.Hosts {
		m, ok := r.members[host.Incarnation]
		if ok {
			r.setUnknownSince(m, host.StartedAt)
		} else if host.Incarnation != "" && host.Node != "" {
			r.add(&member{row: Row{Host: host}})
		}
	}
	for _, alive := range p.LiveHosts {
		m, ok := r.members[r.byHash[alive.Hash]]
		if !ok {
			continue
		}
		if alive.Leaving {
			r.leave(m)
		}
		if alive.Advertised {
			m.advertisedAt, r.advertisedAt = now, now
			r.changed()
		}
		m.seenByPeer(now.Add(-alive.Age))
	}
	if p.RequestRate > 0 {
		r.requests = p.RequestRate
	}
	if p.HostCount > 0 {
		r.reportedSharing, r.sharingAt = p.HostCount, now
	}
	r.seenAt, r.digestAt = now, now
}

// seenByPeer notes when another host last saw the process.
func (m *member) seenByPeer(at time.Time) {
	if !at.After(m.aliveAt) {
		return
	}
	if !m.aliveAt.IsZero() {
		m.aliveGap = at.Sub(m.aliveAt)
	}
	m.aliveAt = at
}
