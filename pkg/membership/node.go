// Package membership holds what a process knows about the entry hosts: who they are, whether they
// are alive, and which of them to link to. The information is eventually consistent and serves only
// as a hint; no consensus is reached through it.
package membership

import "github.com/cespare/xxhash/v2"

// Status is whether a node is considered alive.
type Status int

// The statuses of a node. Dead is final for an incarnation.
const (
	Alive Status = iota + 1
	Suspect
	Dead
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Node is what is known about one entry host. It is a value.
type Node struct {
	ID string
	// Incarnation increases with each start.
	Incarnation int64
	Status      Status
	// Leaving never returns to false in one incarnation.
	Leaving bool
	// Counter is increased only by the node itself: to refute a suspicion, and when a field below
	// changes.
	Counter       int64
	DataCenter    string
	Region        string
	PeerAddress   string
	CallerAddress string
	// Ready reports whether the node knows enough to serve: a configuration and the endpoints.
	// Callers are not given its address before.
	Ready bool
	// HasControl reports whether a control process is attached to the node.
	HasControl bool
	// Load is the used part of the node's capacity in tenths.
	Load int
}

// Owner returns the name of the node's incarnation as used in rows of the table service.
func (n Node) Owner() string { return OwnerOf(n.ID, n.Incarnation) }

// Serves reports whether callers may be sent to the node.
func (n Node) Serves() bool { return n.Status == Alive && n.Ready && !n.Leaving }

// Merge returns the newer of the current and the received state, and whether it differs from the
// current one. Later incarnations win. Within an incarnation Dead is final; otherwise the higher
// counter wins, and with equal counters the more suspicious status.
func Merge(current, received Node) (Node, bool) {
	if received.Incarnation != current.Incarnation {
		if received.Incarnation > current.Incarnation {
			return received, true
		}
		return current, false
	}
	merged := current
	if received.Counter > current.Counter {
		merged = received
	}
	merged.Leaving = current.Leaving || received.Leaving
	switch {
	case current.Status == Dead || received.Status == Dead:
		merged.Status = Dead
	case received.Counter == current.Counter:
		merged.Status = max(current.Status, received.Status)
	}
	return merged, merged != current
}

// checksum returns the node's contribution to the checksum of its bucket.
func (n Node) checksum() uint64 {
	var buffer [96]byte
	b := append(buffer[:0], n.ID...)
	for _, part := range [...]int64{n.Incarnation, int64(n.Status), n.Counter} {
		for shift := 0; shift < 64; shift += 8 {
			b = append(b, byte(part>>shift))
		}
	}
	if n.Leaving {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}
