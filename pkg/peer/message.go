// Package peer implements the protocol between the system's own processes. Neighbours are connected
// by WebSocket links and send CBOR messages: updates are flooded over all links, and digests find
// and repair what was missed. The protocol itself (Mesh) does no I/O and reads no clock.
package peer

import (
	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/membership"
)

// Role is the kind of process at the other end of a link.
type Role string

// Roles of processes. Only entries are members of the mesh; a control process is attached to an
// entry and receives and publishes updates through it.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Message is a message on a link.
type Message interface{ message() }

// Hello is the first message that each side sends on a link.
type Hello struct {
	Node membership.Node
	Role Role
}

// Digest is the heartbeat: a summary of the sender's state.
type Digest struct {
	Revision  int64
	Nodes     uint64
	Endpoints uint64
	Demands   []Demand
}

// Demand is the sender's estimate of a team's mean demand per node.
type Demand struct {
	// Team is a hash of the team's name; see TeamHash.
	Team  uint32
	Value float64
}

// Pull requests the state that the sender lacks. Nodes and Endpoints are the sender's checksums
// per bucket; nil requests none of that kind.
type Pull struct {
	// After is the sender's configuration revision.
	After     int64
	Nodes     []uint64
	Endpoints []uint64
}

// Update holds states of nodes and endpoints, and configuration changes.
type Update struct {
	Nodes     []membership.Node
	Endpoints []endpoint.Info
	Changes   []config.Change
}

// empty reports whether the update holds nothing.
func (u Update) empty() bool {
	return len(u.Nodes) == 0 && len(u.Endpoints) == 0 && len(u.Changes) == 0
}

// Accept asks the receiver to commit the rows of an accepted job in its next batch.
type Accept struct {
	Request int64
	Rows    []AcceptRow
}

// AcceptRow is a row to insert.
type AcceptRow struct {
	Key   string
	Value []byte
}

// Accepted is the response to an Accept.
type Accepted struct {
	Request int64
	Outcome AcceptOutcome
	// Version is the version of the rows if they were inserted.
	Version int64
}

// AcceptOutcome is the result of a commit, as reported to the process that requested it.
type AcceptOutcome int

// Outcomes of an Accept.
const (
	AcceptCommitted AcceptOutcome = iota + 1
	AcceptConflict
	AcceptRefused
	AcceptUnknown
)

func (Hello) message()    {}
func (Digest) message()   {}
func (Pull) message()     {}
func (Update) message()   {}
func (Accept) message()   {}
func (Accepted) message() {}
