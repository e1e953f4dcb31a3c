package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
)

// Times of a host's split.
const (
	// directiveTTL is how long a directive holds: a host that receives no other falls back to the
	// version before. It is less than half of what is allowed between a bad version's 50th bad
	// answer and its last request.
	directiveTTL = 2 * time.Second
	// shiftKept is the same while the share is raised, when two seconds may be more than what a bad
	// version may get in all.
	shiftKept = 800 * time.Millisecond
	// vetTime is how long endpoints of a version that was not there before get nothing
	// while no order for it is known: the order may be on its way. A host that follows
	// through others hears of the operator's rows 1.5 s late at most.
	vetTime = 3 * time.Second
	// targetOnly is how long after the completion the other endpoints, which have
	// ended, are left out: their rows go after three heartbeats.
	targetOnly = 10 * time.Second
	// revertKept is how long after a revert the target is left out even where no other
	// endpoint is left; its endpoints end some seconds after it.
	revertKept = time.Minute
	// longestKept is how long the longest time of a send counts.
	longestKept = 10 * time.Second
)

// Parameters of a host's split.
const (
	// mostOfKind is the part of a rare route's requests that may go to the target while
	// it is tried: each route is to have a verdict, and callers of one are not to bear
	// all of it.
	mostOfKind = 0.5
	// firstPart is the part of a route's requests that goes to the target at least before
	// the slack is used up: evidence that comes early ends a bad version early, and few
	// requests make too little of it otherwise.
	firstPart = 0.3
	// leastTried is how many endpoints a part of the requests is spread over at least:
	// one alone may be at fault itself.
	leastTried = 2
)

// split is the state of one order at a host.
type split struct {
	order Order
	// formerID is the order's ID before the latest restore of the store, 0 if this process has not
	// seen the ID change.
	formerID int64
	phase    Phase
	// directive is the latest.
	directive Directive
	// appliedAt is when the directive was last received, endedAt when the order ended.
	appliedAt, endedAt time.Time
	// wasLapsed says that the directive had lapsed when that was last asked.
	wasLapsed bool
	// joined says that this process heard of the order when it started: it may have
	// used a slack before.
	joined bool
	// recorded says that the order's end is known to stand in the store.
	recorded bool
	// inUse says that the target's endpoints served before the order.
	inUse bool
	// surveyed says that it is known whether there were other endpoints than the
	// target's; without there is nothing to split.
	surveyed, alone bool
	among           map[string]bool
	// targets are the endpoints of the target as last surveyed, otherCount how many
	// others took work then.
	targets      []*endpoint.Info
	otherCount   int
	others       Rule
	target       Rule
	asked, tried int
	kinds        map[Kind]*kindCount
	tallies      map[tallyKey]*Count
	// pending are sends under way at the target.
	pending map[*Attempt]struct{}
}

// kindCount is the requests of one route since the order.
type kindCount struct{ asked int }

type tallyKey struct {
	kind     Kind
	endpoint string
}

// matches reports whether o is the split's order, under its current ID or the one from before the
// latest restore of the store.
func (d *split) matches(o Order) bool {
	return o.ID == d.order.ID || o.ID == d.formerID && d.order.RenumberedFrom(o)
}

// side says where a request goes.
func (d *split) side(kind Kind, request string, now time.Time) Subset {
	switch {
	case d.phase == Completed && now.Sub(d.endedAt) > targetOnly:
		return Default
	case d.phase == Completed || d.phase == Draining:
		return Target
	case d.phase == Reverted || d.alone || d.lapsed(now):
		return Others
	}
	part := d.directive.Share
	if d.phase == Trying {
		part = d.partOf(kind)
	}
	if part > 0 && drawn(request, d.order.ID) < part {
		return Target
	}
	return Others
}

// lapsed reports whether the owner's word does not hold any more.
func (d *split) lapsed(now time.Time) bool {
	if d.phase == Shifting {
		return now.Sub(d.appliedAt) > shiftKept
	}
	return now.Sub(d.appliedAt) > directiveTTL
}

// partOf is the part of a route's requests that is tried: all routes get as many
// within the share, and nothing beyond it and the slack. The lock is held.
func (d *split) partOf(kind Kind) float64 {
	slack := float64(d.directive.Slack)
	if d.joined {
		slack = 0
	}
	left := d.directive.Share*float64(d.asked) + slack - float64(d.tried)
	if left < 1 || d.directive.Share <= 0 {
		return 0
	}
	each := d.directive.Share * float64(d.asked) / float64(len(d.kinds)*d.kindOf(kind).asked)
	if float64(d.tried) < slack {
		each = max(each, firstPart)
	}
	return min(each, mostOfKind)
}

func (d *split) kindOf(kind Kind) *kindCount {
	c, ok := d.kinds[kind]
	if !ok {
		c = &kindCount{}
		d.kinds[kind] = c
	}
	return c
}

// drawn is a number in [0, 1) that is the same for all sends of a request.
func drawn(request string, order int64) float64 {
	const bits = 53
	h := xxhash.Sum64String(request) ^ uint64(order)*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return float64(h>>(64-bits)) / (1 << bits)
}

// tryAt picks the endpoints of the target that take its share: as many as carry with
// it what each carries once it has all, since some faults show under load only. All
// hosts pick the same.
func (d *split) tryAt() {
	d.among = nil
	if d.phase >= Draining {
		return
	}
	targets := slices.DeleteFunc(slices.Clone(d.targets), func(info *endpoint.Info) bool {
		return slices.Contains(d.directive.Suspects, info.ID)
	})
	slices.SortFunc(targets, func(a, b *endpoint.Info) int {
		return cmp.Or(cmp.Compare(coldRank(a), coldRank(b)), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
	})
	count := int(math.Ceil(d.directive.Share * float64(d.otherCount)))
	d.among = map[string]bool{}
	for _, info := range targets[:min(max(count, leastTried), len(targets))] {
		d.among[info.ID] = true
	}
}

// tally counts an answer.
func (d *split) tally(kind Kind, isTarget bool, endpoint string, bad bool) {
	key := tallyKey{kind: kind}
	if isTarget {
		key.endpoint = d.placeOf(endpoint)
	}
	c, ok := d.tallies[key]
	if !ok {
		c = &Count{}
		d.tallies[key] = c
	}
	c.Answers++
	if bad {
		c.Bad++
	}
}

// manyEndpoints stands for the target's endpoints once it has a higher share: then all
// of them answer, and a report that told them apart would not fit a datagram.
const manyEndpoints = "*"

// placeOf returns what an endpoint of the target is counted as.
func (d *split) placeOf(endpoint string) string {
	if d.phase > Trying {
		return manyEndpoints
	}
	return endpoint
}

// coldRank puts endpoints that are slow from their start behind the others.
func coldRank(info *endpoint.Info) int {
	if info.Cold {
		return 1
	}
	return 0
}
