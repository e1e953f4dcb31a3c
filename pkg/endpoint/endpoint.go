// Package endpoint holds what a process knows of the back ends: model engines
// and plain services. What is known comes late and from many sides, so every
// fact is merged by rule, and leaving is monotone for each incarnation.
package endpoint

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells model engines from plain services.
type Kind string

// The kinds of endpoint.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// State is how far an endpoint's incarnation is on its way. It never goes back.
type State int

// The states, in their only order.
const (
	Live State = iota + 1
	Leaving
	Gone
)

// String names the state.
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

// Info is what is known of one endpoint. It is a value and is never changed
// once handed out.
type Info struct {
	// ID names the endpoint over all its incarnations.
	ID string
	// Incarnation grows with each start; a later one supersedes all before.
	Incarnation int64
	// StartedMS is the Unix millisecond of the incarnation's start by the endpoint's own word, 0
	// if it did not tell.
	StartedMS int64
	State     State
	// Counter grows with each change of the fields below in one incarnation.
	Counter    int64
	DataCenter string
	Class      string
	Kind       Kind
	// Service is the plain service behind the endpoint, empty for an engine.
	Service string
	// Model, Version and Adapter are what an engine has loaded, empty for none.
	Model, Version, Adapter string
	// Address is an IP number and port.
	Address string
	// ChecksOrders says that the endpoint refuses orders of a lower epoch.
	ChecksOrders bool
	Reclaimable  bool
	// Slots is how many requests it runs at once, 0 if it did not tell.
	Slots int
	// Engine says that a plain service's endpoint runs batches of a model.
	Engine bool
	// Release is the version of the endpoint's software, empty if it did not tell.
	Release string
	// Cold says that it has started a moment ago and is slow for it.
	Cold bool
	// LeaveBy is when a leaving endpoint goes, zero if not known.
	LeaveBy time.Time
}

// Ref names one incarnation of an endpoint.
type Ref struct {
	ID          string
	Incarnation int64
}

// Ref returns the incarnation this information is about.
func (i Info) Ref() Ref { return Ref{i.ID, i.Incarnation} }

// AcceptsWork reports whether the endpoint may get new work.
func (i Info) AcceptsWork() bool { return i.State == Live }

// Merge returns the newer of what is held and what was heard, and whether that
// differs from what is held. A later incarnation wins; within one the later
// state, then the higher counter.
func Merge(held, heard Info) (Info, bool) {
	if heard.Incarnation != held.Incarnation {
		return pick(held, heard, heard.Incarnation > held.Incarnation)
	}
	next := held
	if heard.Counter > held.Counter {
		next = heard
		next.State = held.State
		next.LeaveBy = held.LeaveBy
	}
	if heard.State > held.State {
		next.State = heard.State
	}
	if held.LeaveBy.IsZero() || (heard.State > held.State && !heard.LeaveBy.IsZero()) {
		next.LeaveBy = heard.LeaveBy
	}
	return next, next != held
}

func pick(held, heard Info, newer bool) (Info, bool) {
	if newer {
		return heard, true
	}
	return held, false
}

// sum is the endpoint's part of a digest: equal facts give equal sums.
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
