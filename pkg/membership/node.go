// Package membership holds what a process knows of the entry hosts: who they
// are, whether they live, and which of them to link to. It is a set of hints
// that all converge on; nothing is agreed through it.
package membership

import "github.com/cespare/xxhash/v2"

// Status says whether a node is thought to live.
type Status int

// The statuses. Dead is final for an incarnation.
const (
	Alive Status = iota + 1
	Suspect
	Dead
)

// String names the status.
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

// Node is what is known of one entry host. It is a value.
type Node struct {
	ID string
	// Incarnation grows with each start.
	Incarnation int64
	Status      Status
	// Leaving never goes back to false in one incarnation.
	Leaving bool
	// Counter is raised by the node itself alone: to refute a suspicion and
	// when a field below changes.
	Counter       int64
	DataCenter    string
	Region        string
	PeerAddress   string
	CallerAddress string
	// Ready says that the node knows enough to serve: a configuration, and the
	// endpoints. It is not named to callers before.
	Ready bool
	// HasControl says that a control process is attached to the node.
	HasControl bool
	// Load is used places in tenths of the node's capacity.
	Load int
}

// Owner names the node's incarnation, as rows in the table service do.
func (n Node) Owner() string { return OwnerOf(n.ID, n.Incarnation) }

// Serves reports whether callers may be sent to the node.
func (n Node) Serves() bool { return n.Status == Alive && n.Ready && !n.Leaving }

// Merge returns the newer of what is held and what was heard, and whether that
// differs from what is held. Later incarnations win; in one incarnation dead is
// final, then the higher counter wins, and of equal counters the suspicion.
func Merge(held, heard Node) (Node, bool) {
	if heard.Incarnation != held.Incarnation {
		if heard.Incarnation > held.Incarnation {
			return heard, true
		}
		return held, false
	}
	next := held
	if heard.Counter > held.Counter {
		next = heard
	}
	next.Leaving = held.Leaving || heard.Leaving
	switch {
	case held.Status == Dead || heard.Status == Dead:
		next.Status = Dead
	case heard.Counter == held.Counter:
		next.Status = max(held.Status, heard.Status)
	}
	return next, next != held
}

// sum is the node's part of a digest.
func (n Node) sum() uint64 {
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
