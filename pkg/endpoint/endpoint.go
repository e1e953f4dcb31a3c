// Package endpoint holds what a process knows about the back ends: model engines and plain
// services. Updates arrive late and from many sources, so they are merged by fixed rules, and the
// state of an incarnation is monotone: one that is leaving never becomes live again.
package endpoint

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind distinguishes model engines from plain services.
type Kind string

// The kinds of endpoint.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// State is the lifecycle state of an endpoint's incarnation. It never goes back.
type State int

// The states, in the order in which an incarnation passes through them.
const (
	Live State = iota + 1
	Leaving
	Gone
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Info describes one endpoint. It is passed by value, and a published value is never changed.
type Info struct {
	// ID identifies the endpoint across all its incarnations.
	ID string
	// Incarnation grows with each start; a later incarnation supersedes all earlier ones.
	Incarnation int64
	// StartedMS is the time at which the incarnation started, in Unix milliseconds as reported by
	// the endpoint; 0 if not reported.
	StartedMS int64
	State     State
	// Counter grows with each change of the fields below within an incarnation.
	Counter    int64
	DataCenter string
	Class      string
	Kind       Kind
	// Service is the name of the plain service; empty for an engine.
	Service string
	// Model, Version and Adapter are what an engine has loaded; empty if nothing is loaded.
	Model, Version, Adapter string
	// Address is an IP address and port.
	Address string
	// ChecksOrders is set if the endpoint refuses orders of a lower epoch.
	ChecksOrders bool
	Reclaimable  bool
	// Slots is the number of requests that the endpoint runs concurrently; 0 if not reported.
	Slots int
	// Engine is set if the endpoint of a plain service runs batches of a model.
	Engine bool
	// Release is the version of the endpoint's software; empty if not reported.
	Release string
	// Cold is set if the endpoint has just started and is still slow.
	Cold bool
	// LeaveBy is the time at which a leaving endpoint stops at the latest, MayStopAt the earliest: its row has been
	// written before it is read. Both are zero if unknown.
	LeaveBy, MayStopAt time.Time
	// LeavingSince is the earliest time at which the endpoint's row may have said that it leaves; zero before it does.
	LeavingSince time.Time
	// WrittenAfter is a time after which the incarnation wrote its row; zero if none is known.
	WrittenAfter time.Time
	// LeavesIn is the time left to a leaving endpoint as its row states it; 0 if it states none. A
	// directory holds LeaveBy instead.
	LeavesIn time.Duration
}

// Ref identifies one incarnation of an endpoint.
type Ref struct {
	ID          string
	Incarnation int64
}

// Ref returns the reference to the endpoint's incarnation.
func (i Info) Ref() Ref { return Ref{i.ID, i.Incarnation} }

// EarliestStop returns the earliest time at which a leaving endpoint may stop; zero if unknown.
func (i Info) EarliestStop() time.Time {
	if i.MayStopAt.IsZero() {
		return i.LeaveBy
	}
	return i.MayStopAt
}

// AcceptsWork reports whether the endpoint may be sent new work.
func (i Info) AcceptsWork() bool { return i.State == Live }

// Merge merges received into held, and returns the result and whether it differs from held. A
// later incarnation wins. Within an incarnation the later state wins, then the higher counter.
func Merge(held, received Info) (Info, bool) {
	if received.Incarnation != held.Incarnation {
		return pick(held, received, received.Incarnation > held.Incarnation)
	}
	next := held
	if received.Counter > held.Counter {
		next = received
		next.State = held.State
		next.LeaveBy, next.MayStopAt, next.LeavingSince = held.LeaveBy, held.MayStopAt, held.LeavingSince
	}
	if received.State > held.State {
		next.State = received.State
	}
	if held.LeaveBy.IsZero() || (received.State > held.State && !received.LeaveBy.IsZero()) {
		next.LeaveBy, next.MayStopAt = received.LeaveBy, received.MayStopAt
	}
	if held.LeavingSince.IsZero() {
		next.LeavingSince = received.LeavingSince
	}
	return next, next != held
}

func pick(held, received Info, newer bool) (Info, bool) {
	if newer {
		return received, true
	}
	return held, false
}

// sum returns the endpoint's part of a digest: equal information gives equal sums.
func (i Info) sum() uint64 {
	var buffer [64]byte
	b := append(buffer[:0], i.ID...)
	b = appendInt(b, i.Incarnation)
	b = appendInt(b, int64(i.State))
	b = appendInt(b, i.Counter)
	return xxhash.Sum64(b)
}

func appendInt(b []byte, n int64) []byte {
	for shift := 0; shift < 64; shift += 8 {
		b = append(b, byte(n>>shift))
	}
	return b
}
