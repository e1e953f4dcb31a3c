package storeview

import (
	"hash/fnv"
	"slices"
	"time"

	"ironhollow/pkg/roster"
)

// Parameters of relays.
const (
	// relaysEach is how many hosts of a data centre follow the store in a large
	// fleet. While one is lost the others of its data centre follow another's.
	relaysEach = 1
	// relayLag is how long ago the store may have spoken to a relay of what must
	// be in force within seconds.
	relayLag = 1500 * time.Millisecond
	// relayedFleet is the hosts from which on relays are used: below, all follow
	// the store, which costs little and depends on nobody. Where hosts of different
	// sizes start at once the largest are known first: with 24 the others found fewer
	// hosts than that and followed the store.
	relayedFleet = 16
)

// Relays returns the addresses of the hosts through which this one follows the store,
// the one of its own data centre first and then those of the others, none for a host
// that follows the store itself.
func (v *View) Relays() []string {
	if !v.UsesRelays() {
		return nil
	}
	own := v.roster.Relays(v.home.DataCenter, relaysEach)
	if len(own) == 0 || slices.ContainsFunc(own, func(h roster.Host) bool { return h.Node == v.home.Node }) {
		return nil
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(v.home.Node))
	turn := int(hash.Sum32())
	addresses := []string{own[turn%len(own)].PeerAddress}
	// Followers of a relay that is lost are spread over the others.
	others := v.otherRelays()
	for i := range others {
		addresses = append(addresses, others[(i+turn)%len(others)].PeerAddress)
	}
	return addresses
}

// otherRelays returns a relay of each other data centre, by name of the data centre.
func (v *View) otherRelays() []roster.Host {
	var hosts []roster.Host
	for _, dataCenter := range v.roster.DataCenters() {
		if dataCenter != v.home.DataCenter {
			hosts = append(hosts, v.roster.Relays(dataCenter, 1)...)
		}
	}
	return hosts
}

// IsAdvertised reports whether this host is advertised to callers in a fleet with relays.
func (v *View) IsAdvertised() bool { return v.UsesRelays() && v.roster.IsAdvertised(v.home.Node) }

// UsesRelays reports whether the fleet is large enough for relays.
func (v *View) UsesRelays() bool { return v.roster.Sharing() >= relayedFleet }

// IsRelay reports whether this host follows the store for others too.
func (v *View) IsRelay() bool {
	return v.UsesRelays() && len(v.Relays()) == 0
}

// MaxRelayLag returns how far a relay may be behind the store with a table. The hosts' rows are read
// rarely in a large fleet: what is urgent comes in datagrams.
func (v *View) MaxRelayLag(table string) time.Duration {
	if table == RosterTable {
		return 2*v.rosterPause() + relayLag
	}
	return relayLag
}
