// Package peer is how the system's own processes talk: links of WebSocket with
// CBOR between neighbours, over which news floods and digests mend what was
// missed. The protocol itself (Mesh) does no I/O and reads no clock.
package peer

import (
	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/membership"
)

// Role tells the kinds of process on a link.
type Role string

// The roles. Only entries are members of the mesh; a control process is
// attached to an entry and hears and tells news through it.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Message is one message on a link.
type Message interface{ message() }

// Hello is the first message of each side.
type Hello struct {
	Node membership.Node
	Role Role
}

// Digest is the heartbeat: what the sender knows, in few words.
type Digest struct {
	Revision  int64
	Nodes     uint64
	Endpoints uint64
	Demands   []Demand
}

// Demand is the sender's estimate of one team's mean demand for one node.
type Demand struct {
	// Team is a hash of the team's name.
	Team  uint32
	Value float64
}

// Pull asks for what the sender lacks. Nil sums ask for none of that kind.
type Pull struct {
	// After is the sender's revision.
	After     int64
	Nodes     []uint64
	Endpoints []uint64
}

// Update carries states and changes.
type Update struct {
	Nodes     []membership.Node
	Endpoints []endpoint.Info
	Changes   []config.Change
}

// empty reports whether there is nothing in the news.
func (n Update) empty() bool {
	return len(n.Nodes) == 0 && len(n.Endpoints) == 0 && len(n.Changes) == 0
}

// Accept asks the receiver to commit rows of an accepted job in its batch.
type Accept struct {
	Request int64
	Rows    []AcceptRow
}

// AcceptRow is one row to insert.
type AcceptRow struct {
	Key   string
	Value []byte
}

// Accepted answers an Accept.
type Accepted struct {
	Request int64
	Outcome AcceptOutcome
	// Version is that of the rows, if they were inserted.
	Version int64
}

// AcceptOutcome is how a commit ended, as told to another process.
type AcceptOutcome int

// The outcomes.
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
