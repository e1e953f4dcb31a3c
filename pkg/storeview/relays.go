package storeview

import (
	"hash/fnv"
	"time"
)

// Parameters of relays.
const (
	// relaysEach is how many hosts of a data centre follow the store in a large
	// fleet. While one is lost the others of its data centre follow the store.
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

// Relay returns the address of the host through which this one follows the
// store, empty if it follows the store itself.
func (v *View) Relay() string {
	if !v.IsRelayed() {
		return ""
	}
	relays := v.roster.Relays(v.home.DataCenter, relaysEach)
	for _, r := range relays {
		if r.Node == v.home.Node {
			return ""
		}
	}
	if len(relays) == 0 {
		return ""
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(v.home.Node))
	return relays[int(hash.Sum32()%uint32(len(relays)))].Peers
}

// IsRelayed reports whether the fleet is large enough for relays.
func (v *View) IsRelayed() bool { return v.roster.Sharing() >= relayedFleet }

// IsRelay reports whether this host follows the store for others too.
func (v *View) IsRelay() bool {
	return v.IsRelayed() && v.Relay() == ""
}

// RelayLag returns how far a relay may be behind the store with a table. The
// hosts' rows are read rarely in a large fleet: datagrams tell what is urgent.
func (v *View) RelayLag(table string) time.Duration {
	if table == RosterTable {
		return 2*v.rosterPause() + relayLag
	}
	return relayLag
}
