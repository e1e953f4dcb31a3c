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

// Defect is how a version is bad.
type Defect struct {
	// BadShare is the part of its answers that are bad, 0 for a good version; SlowFactor makes
	// these SlowFactor times as long, 0 makes them fail.
	BadShare, SlowFactor float64
	// StartsAfter is the part of the period after which it begins.
	StartsAfter float64
	// OnlyUnderLoad says that only endpoints that carry what the others carry show it.
	OnlyUnderLoad bool
	// OnlyRarestRoute says that only the requests of the rarest route show it.
	OnlyRarestRoute bool
}

// IsBad reports whether the version is bad.
func (b Defect) IsBad() bool { return b.BadShare > 0 }

// String names the badness.
func (b Defect) String() string {
	if !b.IsBad() {
		return "good"
	}
	name := "fails"
	if b.SlowFactor > 0 {
		name = "slow"
	}
	if b.StartsAfter > 0 {
		name += ", later"
	}
	if b.OnlyUnderLoad {
		name += ", under load"
	}
	if b.OnlyRarestRoute {
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
	// HostPartitioned loses all datagrams of a host and the store.
	HostPartitioned Fault = "host-cut"
	// StoreDown refuses writes, StoreLate does them and answers nothing.
	StoreDown Fault = "store-down"
	StoreLate Fault = "store-late"
	// Reclaim takes a quarter of the endpoints of either version.
	Reclaim Fault = "reclaim"
)

// Faults are all of them.
var Faults = []Fault{Grey, Slow, Burst, OwnerKilled, HostKilled, HostFrozen, HostPartitioned, StoreDown, StoreLate, Reclaim}

// touchesEndpoints reports whether a fault is one of endpoints.
func (f Fault) touchesEndpoints() bool { return f == Grey || f == Slow || f == Reclaim }

// Scenario is what a roll-out is played on.
type Scenario struct {
	Hosts, Endpoints int
	// Rate is the requests a second, over routes of unequal parts.
	Rate   float64
	Routes []Route
	Period time.Duration
	// BootTime is how long after the order the target's endpoints are there.
	BootTime time.Duration
	Target   Defect
	Faults   []Fault
	Bounds   rollout.Bounds
	Test     rollout.BayesTest
}

// Route is one kind of request.
type Route struct {
	// Share is of all requests, FailureRate the part of the answers that fail by themselves.
	Share, FailureRate float64
	// MeanTime is how long an answer takes, Spread of its logarithm.
	MeanTime time.Duration
	Spread   float64
}

// Outcome is how a roll-out ended.
type Outcome struct {
	Phase rollout.Phase
	// EndedAfter is when it ended after the order, 0 if it did not.
	EndedAfter time.Duration
	Reason     string
	// Requests is the requests between the order and the limit, TargetRequests those of them that
	// hosts in touch sent to the target; Allowed is what a bad version may get.
	Requests, TargetRequests int
	AllowedRequests          float64
	// LateTargetRequests is requests sent by hosts in touch later than the users allow after the
	// target's 50th bad answer.
	LateTargetRequests int
	// BadAnswers are the target's until its last request was sent.
	BadAnswers int
	// CutRequests is the requests that ran at the others when these were ended.
	CutRequests int
	// UnservedRequests is requests that found no endpoint.
	UnservedRequests int
}

// Exposed reports whether a bad version got more than it may.
func (o Outcome) Exposed() bool {
	return float64(o.TargetRequests) > o.AllowedRequests || o.LateTargetRequests > 0
}

// String is an outcome for a test's log.
func (o Outcome) String() string {
	return fmt.Sprintf("%v after %v (%s); tried %d of %d, allowed %.0f, late %d; %d bad answers, %d cut, %d unserved",
		o.Phase, o.EndedAfter.Round(time.Millisecond), o.Reason, o.TargetRequests, o.Requests, o.AllowedRequests, o.LateTargetRequests, o.BadAnswers, o.CutRequests, o.UnservedRequests)
}
