package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
)

// Times of an order at a host.
const (
	// directiveTTL is how long a directive is valid: a host that receives no other falls back to
	// the previous version. It is less than half of what is allowed between a bad version's 50th
	// bad answer and its last request.
	directiveTTL = 2 * time.Second
	// shiftingDirectiveTTL is the same while the share is raised, when two seconds may be more than
	// what a bad version may get in all.
	shiftingDirectiveTTL = 800 * time.Millisecond
	// withholdTime is how long endpoints of a new version get no requests while no order for it is
	// known: the order may still be on its way. A host that follows the operator's rows through
	// other hosts receives them at most 1.5 s late.
	withholdTime = 3 * time.Second
	// targetOnlyTime is how long after the completion the other endpoints, which have stopped, are
	// excluded: their rows are removed after three heartbeats.
	targetOnlyTime = 10 * time.Second
	// revertedExclusionTime is how long after a revert the target is excluded even if no other
	// endpoint is left; its endpoints stop some seconds after the revert.
	revertedExclusionTime = time.Minute
	// longestOtherTTL is how long the longest duration of an attempt counts.
	longestOtherTTL = 10 * time.Second
)

// Parameters of the split at a host.
const (
	// maxRouteShare is the largest share of a rare route's requests that may go to the target while
	// it is tried: each route needs a verdict, but the risk should not fall on the callers of one
	// alone.
	maxRouteShare = 0.5
	// minSlackShare is the smallest share of a route's requests that goes to the target before the
	// slack is used up: early evidence stops a bad version early, and with few requests there would
	// be too little of it otherwise.
	minSlackShare = 0.3
	// minTrialEndpoints is the minimum number of endpoints that the trial is spread over: a single
	// one may be faulty itself.
	minTrialEndpoints = 2
)

// orderState is the state of one order at a host.
type orderState struct {
	order Order
	// formerID is the order's ID before the latest restore of the store, 0 if this process has not
	// seen the ID change.
	formerID int64
	phase    Phase
	// directive is the latest one applied.
	directive Directive
	// appliedAt is when the directive was last received, endedAt when the order ended.
	appliedAt, endedAt time.Time
	// wasExpired is whether the directive had expired at the last call of NewlyExpired.
	wasExpired bool
	// learnedLate is whether the order was there when this process started, or was first seen in a
	// directive: the host may have used its slack before.
	learnedLate bool
	// endRecorded is whether the order's end is known to be in the store.
	endRecorded bool
	// targetInUse is whether the target's endpoints served before the order.
	targetInUse bool
	// endpointsKnown is whether the endpoints have been checked since the order. nothingToSplit is
	// whether the target was in use and there were no other endpoints then.
	endpointsKnown, nothingToSplit bool
	trialEndpoints                 map[string]bool
	// targetEndpoints are the endpoints of the target at the last update, otherEndpoints the number
	// of others that took work then.
	targetEndpoints          []*endpoint.Info
	otherEndpoints           int
	othersRule               Rule
	targetRule               Rule
	requests, targetRequests int
	kindCounts               map[Kind]*kindCount
	tallies                  map[tallyKey]*Count
	// pending are the attempts in progress at the target.
	pending map[*Attempt]struct{}
}

// kindCount is the number of requests of one route since the order.
type kindCount struct{ requests int }

type tallyKey struct {
	kind     Kind
	endpoint string
}

// matches reports whether o is this order, under its current ID or the one from before the latest
// restore of the store.
func (state *orderState) matches(o Order) bool {
	return o.ID == state.order.ID || o.ID == state.formerID && state.order.RenumberedFrom(o)
}

// subset returns the endpoints that a request is sent to.
func (state *orderState) subset(kind Kind, request string, now time.Time) Subset {
	switch {
	case state.phase == Completed && now.Sub(state.endedAt) > targetOnlyTime:
		return Default
	case state.phase == Completed || state.phase == Draining:
		return Target
	case state.phase == Reverted || state.nothingToSplit || state.expired(now):
		return Others
	}
	part := state.directive.Share
	if state.phase == Trying {
		part = state.trialShareOf(kind)
	}
	if part > 0 && hashFraction(request, state.order.ID) < part {
		return Target
	}
	return Others
}

// expired reports whether the latest directive is no longer valid.
func (state *orderState) expired(now time.Time) bool {
	if state.phase == Shifting {
		return now.Sub(state.appliedAt) > shiftingDirectiveTTL
	}
	return now.Sub(state.appliedAt) > directiveTTL
}

// trialShareOf returns the share of a route's requests that is sent to the target while it is
// tried. All routes get the same number of trial requests within the share, and none beyond the
// share and the slack. The caller holds the lock.
func (state *orderState) trialShareOf(kind Kind) float64 {
	slack := float64(state.directive.Slack)
	if state.learnedLate {
		slack = 0
	}
	budget := state.directive.Share*float64(state.requests) + slack - float64(state.targetRequests)
	if budget < 1 || state.directive.Share <= 0 {
		return 0
	}
	equalShare := state.directive.Share * float64(state.requests) / float64(len(state.kindCounts)*state.countOf(kind).requests)
	if float64(state.targetRequests) < slack {
		equalShare = max(equalShare, minSlackShare)
	}
	return min(equalShare, maxRouteShare)
}

func (state *orderState) countOf(kind Kind) *kindCount {
	c, ok := state.kindCounts[kind]
	if !ok {
		c = &kindCount{}
		state.kindCounts[kind] = c
	}
	return c
}

// hashFraction returns a number in [0, 1) that is the same for all attempts of a request.
func hashFraction(request string, order int64) float64 {
	const bits = 53
	h := xxhash.Sum64String(request) ^ uint64(order)*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return float64(h>>(64-bits)) / (1 << bits)
}

// selectTrialEndpoints selects the endpoints of the target that take its share. Their number is
// such that each has the load that it will have with all requests, since some faults show only
// under load. All hosts select the same.
func (state *orderState) selectTrialEndpoints() {
	state.trialEndpoints = nil
	if state.phase >= Draining {
		return
	}
	targets := slices.DeleteFunc(slices.Clone(state.targetEndpoints), func(info *endpoint.Info) bool {
		return slices.Contains(state.directive.Suspects, info.ID)
	})
	slices.SortFunc(targets, func(a, b *endpoint.Info) int {
		return cmp.Or(cmp.Compare(coldRank(a), coldRank(b)), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
	})
	count := int(math.Ceil(state.directive.Share * float64(state.otherEndpoints)))
	state.trialEndpoints = map[string]bool{}
	for _, info := range targets[:min(max(count, minTrialEndpoints), len(targets))] {
		state.trialEndpoints[info.ID] = true
	}
}

// tally counts an answer.
func (state *orderState) tally(kind Kind, isTarget bool, endpoint string, bad bool) {
	key := tallyKey{kind: kind}
	if isTarget {
		key.endpoint = state.tallyEndpoint(endpoint)
	}
	c, ok := state.tallies[key]
	if !ok {
		c = &Count{}
		state.tallies[key] = c
	}
	c.Answers++
	if bad {
		c.Bad++
	}
}

// allEndpoints replaces the IDs of the target's endpoints once it has a higher share: then all of
// them answer, and a report that counted them separately would not fit a datagram.
const allEndpoints = "*"

// tallyEndpoint returns the name under which answers of an endpoint of the target are counted.
func (state *orderState) tallyEndpoint(endpoint string) string {
	if state.phase > Trying {
		return allEndpoints
	}
	return endpoint
}

// coldRank sorts endpoints that are slow because they have just started after the others.
func coldRank(info *endpoint.Info) int {
	if info.Cold {
		return 1
	}
	return 0
}
