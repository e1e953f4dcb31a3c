// Package rolloutlab plays roll-outs of versions in virtual time against the decisions
// as shipped (package rollout): hosts that split their requests and tell each other by
// datagrams, an owner that may die, a store that may be away, endpoints with faults of
// their own, and versions that are good or bad in the ways that users name.
package rolloutlab

import (
	"fmt"
	"time"

	"ironhollow/pkg/rollout"
)

// Badness is how a version is bad.
type Badness struct {
	// Harmed is the part of its answers that are bad, 0 for a good version; Slow makes
	// these Slow times as long, 0 makes them fail.
	Harmed, Slow float64
	// After is the part of the period after which it begins.
	After float64
	// UnderLoad says that only endpoints that carry what the others carry show it.
	UnderLoad bool
	// OneRoute says that only the requests of the rarest route show it.
	OneRoute bool
}

// Bad reports whether the version is bad.
func (b Badness) Bad() bool { return b.Harmed > 0 }

// String names the badness.
func (b Badness) String() string {
	if !b.Bad() {
		return "good"
	}
	name := "fails"
	if b.Slow > 0 {
		name = "slow"
	}
	if b.After > 0 {
		name += ", later"
	}
	if b.UnderLoad {
		name += ", under load"
	}
	if b.OneRoute {
		name += ", one route"
	}
	return name
}

// Fault is something that goes wrong beside the version.
type Fault string

// The faults.
const (
	// Grey endpoints fail a part of their answers, Slow ones take four times as long.
	Grey Fault = "grey"
	Slow Fault = "slow"
	// Burst is more requests for a time.
	Burst Fault = "burst"
	// OwnerKilled and HostKilled end processes, which start anew; Frozen ones stand still.
	OwnerKilled Fault = "owner-killed"
	HostKilled  Fault = "host-killed"
	HostFrozen  Fault = "host-frozen"
	// HostCut loses all datagrams of a host and the store.
	HostCut Fault = "host-cut"
	// StoreDown refuses writes, StoreLate does them and answers nothing.
	StoreDown Fault = "store-down"
	StoreLate Fault = "store-late"
	// Reclaim takes a quarter of the endpoints of either version.
	Reclaim Fault = "reclaim"
)

// Faults are all of them.
var Faults = []Fault{Grey, Slow, Burst, OwnerKilled, HostKilled, HostFrozen, HostCut, StoreDown, StoreLate, Reclaim}

// touchesEndpoints reports whether a fault is one of endpoints.
func (f Fault) touchesEndpoints() bool { return f == Grey || f == Slow || f == Reclaim }

// Site is what a roll-out is played on.
type Site struct {
	Hosts, Endpoints int
	// Rate is the requests a second, over routes of unequal parts.
	Rate   float64
	Routes []Route
	Period time.Duration
	// Boot is how long after the order the target's endpoints are there.
	Boot   time.Duration
	Target Badness
	Faults []Fault
	Bounds rollout.Bounds
	Judge  rollout.BayesTest
}

// Route is one kind of request.
type Route struct {
	// Part is of all requests, Fails the part of the answers that fail by themselves.
	Part, Fails float64
	// Mean is how long an answer takes, Spread of its logarithm.
	Mean   time.Duration
	Spread float64
}

// Outcome is how a roll-out ended.
type Outcome struct {
	Phase rollout.Phase
	// Ended is when it ended after the order, 0 if it did not.
	Ended time.Duration
	Why   string
	// Asked is the requests between the order and the limit, Tried those of them that
	// hosts in touch sent to the target; Allowed is what a bad version may get.
	Asked, Tried int
	Allowed      float64
	// LateTried is requests sent by hosts in touch later than the users allow after the
	// target's 50th bad answer.
	LateTried int
	// BadAnswers are the target's until its last request was sent.
	BadAnswers int
	// Cut is the requests that ran at the others when these were ended.
	Cut int
	// Unserved is requests that found no endpoint.
	Unserved int
}

// Exposed reports whether a bad version got more than it may.
func (o Outcome) Exposed() bool { return float64(o.Tried) > o.Allowed || o.LateTried > 0 }

// String is an outcome for a test's log.
func (o Outcome) String() string {
	return fmt.Sprintf("%v after %v (%s); tried %d of %d, allowed %.0f, late %d; %d bad answers, %d cut, %d unserved",
		o.Phase, o.Ended.Round(time.Millisecond), o.Why, o.Tried, o.Asked, o.Allowed, o.LateTried, o.BadAnswers, o.Cut, o.Unserved)
}
