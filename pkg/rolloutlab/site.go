// Package rolloutlab simulates roll-outs of versions in virtual time against the production code in
// package rollout. Hosts that split their requests and exchange datagrams, an owner that can fail,
// a store that can be down and endpoints with faults of their own are simulated. Versions are good,
// or bad in one of the ways that users have described.
package rolloutlab

import (
	"fmt"
	"time"

	"ironhollow/pkg/rollout"
)

// Defect describes how a version is bad.
type Defect struct {
	// BadShare is the fraction of answers that are bad, 0 for a good version. Bad answers take
	// SlowFactor times as long, or fail if SlowFactor is 0.
	BadShare, SlowFactor float64
	// StartsAfter is the fraction of the period after which the defect appears.
	StartsAfter float64
	// OnlyUnderLoad limits the defect to endpoints that carry about as many requests as those of
	// the other version.
	OnlyUnderLoad bool
	// OnlyRarestRoute limits the defect to requests of the rarest route.
	OnlyRarestRoute bool
}

// IsBad reports whether the version is bad.
func (d Defect) IsBad() bool { return d.BadShare > 0 }

// String names the defect.
func (d Defect) String() string {
	if !d.IsBad() {
		return "good"
	}
	name := "fails"
	if d.SlowFactor > 0 {
		name = "slow"
	}
	if d.StartsAfter > 0 {
		name += ", later"
	}
	if d.OnlyUnderLoad {
		name += ", under load"
	}
	if d.OnlyRarestRoute {
		name += ", one route"
	}
	return name
}

// Fault is a fault that is independent of the version.
type Fault string

// The faults.
const (
	// Grey endpoints fail part of their answers, Slow ones take four times as long.
	Grey Fault = "grey"
	Slow Fault = "slow"
	// Burst raises the request rate for a time.
	Burst Fault = "burst"
	// OwnerKilled and HostKilled kill a process, which is then restarted; HostFrozen suspends one.
	OwnerKilled Fault = "owner-killed"
	HostKilled  Fault = "host-killed"
	HostFrozen  Fault = "host-frozen"
	// HostPartitioned cuts a host off from all datagrams and from the store.
	HostPartitioned Fault = "host-cut"
	// StoreDown makes the store reject reads and writes, StoreLate makes it apply writes but answer
	// late.
	StoreDown Fault = "store-down"
	StoreLate Fault = "store-late"
	// Reclaim stops a quarter of the endpoints of either version.
	Reclaim Fault = "reclaim"
)

// Faults lists all faults.
var Faults = []Fault{Grey, Slow, Burst, OwnerKilled, HostKilled, HostFrozen, HostPartitioned, StoreDown, StoreLate, Reclaim}

// affectsEndpoints reports whether a fault is injected into endpoints.
func (f Fault) affectsEndpoints() bool { return f == Grey || f == Slow || f == Reclaim }

// Scenario describes the fleet, the load, the target version and the faults of a roll-out.
type Scenario struct {
	Hosts, Endpoints int
	// Rate is the number of requests per second over all routes.
	Rate   float64
	Routes []Route
	Period time.Duration
	// BootTime is the time from the order until the target's endpoints are ready.
	BootTime time.Duration
	Target   Defect
	Faults   []Fault
	Bounds   rollout.Bounds
	Test     rollout.BayesTest
}

// Route describes one kind of request.
type Route struct {
	// TrafficShare is the fraction of all requests, FailureRate the fraction of answers that fail
	// regardless of the version.
	TrafficShare, FailureRate float64
	// MeanTime is the mean duration of a request, Spread the standard deviation of its logarithm.
	MeanTime time.Duration
	Spread   float64
}

// Outcome is the result of a roll-out.
type Outcome struct {
	Phase rollout.Phase
	// EndedAfter is the time from the order to its end, 0 if it did not end.
	EndedAfter time.Duration
	Reason     string
	// Requests is the number of requests between the order and the end of its period,
	// TargetRequests the number of those that hosts in contact with the owner sent to the target.
	// AllowedRequests is the number that a bad version may get.
	Requests, TargetRequests int
	AllowedRequests          float64
	// LateTargetRequests is the number of requests that hosts in contact sent to the target later
	// than the users allow after its 50th bad answer.
	LateTargetRequests int
	// BadAnswers is the number of the target's bad answers up to the last request sent to it.
	BadAnswers int
	// CutRequests is the number of requests in progress at the previous version's endpoints when
	// those were stopped.
	CutRequests int
	// UnservedRequests is the number of requests for which there was no endpoint.
	UnservedRequests int
}

// Exposed reports whether a bad version got more requests than allowed.
func (o Outcome) Exposed() bool {
	return float64(o.TargetRequests) > o.AllowedRequests || o.LateTargetRequests > 0
}

// String formats the outcome for test logs.
func (o Outcome) String() string {
	return fmt.Sprintf("%v after %v (%s); tried %d of %d, allowed %.0f, late %d; %d bad answers, %d cut, %d unserved",
		o.Phase, o.EndedAfter.Round(time.Millisecond), o.Reason, o.TargetRequests, o.Requests, o.AllowedRequests, o.LateTargetRequests, o.BadAnswers, o.CutRequests, o.UnservedRequests)
}
