package storeview

import (
	"hash/fnv"
	"slices"
	"time"

	"ironhollow/pkg/roster"
)

// Parameters of the relays.
const (
	// relaysPerDataCenter is how many hosts of each data centre follow the store in a large
	// fleet. While a relay is down, the other hosts of its data centre follow the relays of
	// other data centres.
	relaysPerDataCenter = 1
	// baseRelayLag is how long ago the store may have last answered a relay about tables whose
	// changes must apply within seconds.
	baseRelayLag = 1500 * time.Millisecond
	// minRelayedFleet is the number of hosts from which relays are used. In a smaller fleet
	// all hosts follow the store, which costs little and depends on no other host. When hosts
	// of different sizes start together, the largest are known first: with a value of 24 the
	// others found fewer hosts than that and followed the store.
	minRelayedFleet = 16
)

// Relays returns the addresses of the relays of this host: that of its own data centre
// first, then those of the others. It returns none for a host that follows the store
// directly.
func (v *View) Relays() []string {
	if !v.UsesRelays() {
		return nil
	}
	own := v.roster.Relays(v.home.DataCenter, relaysPerDataCenter)
	if len(own) == 0 || slices.ContainsFunc(own, func(h roster.Host) bool { return h.Node == v.home.Node }) {
		return nil
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(v.home.Node))
	offset := int(hash.Sum32())
	addresses := []string{own[offset%len(own)].PeerAddress}
	// Spread the followers of a failed relay over the other relays.
	others := v.otherRelays()
	for i := range others {
		addresses = append(addresses, others[(i+offset)%len(others)].PeerAddress)
	}
	return addresses
}

// otherRelays returns one relay of each other data centre, sorted by data centre.
func (v *View) otherRelays() []roster.Host {
	var hosts []roster.Host
	for _, dataCenter := range v.roster.DataCenters() {
		if dataCenter != v.home.DataCenter {
			hosts = append(hosts, v.roster.Relays(dataCenter, 1)...)
		}
	}
	return hosts
}

// IsAdvertised reports whether the fleet uses relays and this host is advertised to callers.
func (v *View) IsAdvertised() bool { return v.UsesRelays() && v.roster.IsAdvertised(v.home.Node) }

// UsesRelays reports whether the fleet is large enough to use relays.
func (v *View) UsesRelays() bool { return v.roster.Sharing() >= minRelayedFleet }

// IsRelay reports whether this host follows the store on behalf of other hosts.
func (v *View) IsRelay() bool {
	return v.UsesRelays() && len(v.Relays()) == 0
}

// MaxRelayLag returns how far a relay may be behind the store with a table. The rows of hosts are
// read rarely in a large fleet, as urgent changes are sent in datagrams.
func (v *View) MaxRelayLag(table string) time.Duration {
	if table == RosterTable {
		return 2*v.rosterPause() + baseRelayLag
	}
	return baseRelayLag
}
