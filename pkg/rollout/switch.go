package rollout

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
)

// Subset is the group of endpoints that a request may be sent to.
type Subset int

// The subsets.
const (
	// Default is all endpoints except those of withheld versions. It is used if no order concerns
	// the service.
	Default Subset = iota
	// All is all endpoints, including those of withheld versions.
	All
	// Others are the endpoints of versions other than the ordered one.
	Others
	// Target is the endpoints of the ordered version.
	Target
)

// Rule selects the endpoints of a subset. The zero value selects all. Its slice and map must not be
// modified.
type Rule struct {
	// OnlyRelease is the version that may take the request; if it is empty and IsPinned is not set,
	// all versions but ExcludedReleases may.
	OnlyRelease      string
	ExcludedReleases []string
	// IsPinned is set if only OnlyRelease may take the request also if it is empty, as it is for
	// endpoints that report no version.
	IsPinned bool
	// OnlyEndpoints are the endpoints that may take it, nil for all.
	OnlyEndpoints map[string]bool
}

// Allows reports whether an endpoint may take the request.
func (r *Rule) Allows(info *endpoint.Info) bool {
	if (r.IsPinned || r.OnlyRelease != "") && info.Release != r.OnlyRelease {
		return false
	}
	if len(r.ExcludedReleases) > 0 && slices.Contains(r.ExcludedReleases, info.Release) {
		return false
	}
	return r.OnlyEndpoints == nil || r.OnlyEndpoints[info.ID]
}

// Splitter splits one host's requests between versions and counts their results. It is safe for
// concurrent use.
type Splitter struct {
	bounds Bounds

	mu       sync.RWMutex
	services map[string]*service
	// initialEndpointsKnown is whether the endpoints present at start-up are known: versions that
	// appear later are new.
	initialEndpointsKnown bool
}

// New returns a splitter. If the bounds are not enabled, it restricts no requests.
func New(bounds Bounds) *Splitter {
	return &Splitter{bounds: bounds, services: map[string]*service{}}
}

// Bounds returns the limits of the requests to a bad version.
func (s *Splitter) Bounds() Bounds { return s.bounds }

// service is the state of one service. Its fields are guarded by its lock.
type service struct {
	mu sync.Mutex
	// firstSeen is when each version of its endpoints was first seen, zero for those present at
	// start-up.
	firstSeen map[string]time.Time
	// withheld are new versions whose order may not have been received yet.
	withheld []string
	// excluded are targets of orders that were not completed.
	excluded  []string
	baselines map[Kind]*baseline
	current   *orderState
	// inFlight is the number of attempts in progress by version.
	inFlight       map[string]int
	longestOther   time.Duration
	longestOtherAt time.Time
}

// kindMask is the bits of a kind that identify the parts of an answer.
const kindMask = 3

// KindOf returns the kind for the failures of a route by the route's name.
func KindOf(name string) Kind { return Kind(xxhash.Sum64String(name)) &^ kindMask }

func (s *Splitter) find(name string) *service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[name]
}

func (s *Splitter) getOrCreate(name string) *service {
	if found := s.find(name); found != nil {
		return found
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.services[name]
	if !ok {
		found = &service{firstSeen: map[string]time.Time{}, baselines: map[Kind]*baseline{}, inFlight: map[string]int{}}
		s.services[name] = found
	}
	return found
}

// AddOrder adds an operator's order and reports whether it is new. An order that is older than the
// current one is ignored. learnedLate is whether the order was there when the process started, or
// was first seen in a directive.
func (s *Splitter) AddOrder(o Order, learnedLate bool) bool {
	if !s.bounds.Enabled() || o.Check() != nil {
		return false
	}
	svc := s.getOrCreate(o.Service)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.current != nil && svc.current.order.ID >= o.ID {
		return false
	}
	if svc.current != nil && o.RenumberedFrom(svc.current.order) {
		// The restore may have lost the row with the order's end: keep the order open until a row
		// confirms the end.
		svc.current.formerID = svc.current.order.ID
		svc.current.order.ID, svc.current.endRecorded = o.ID, false
		return false
	}
	if before := svc.current; before != nil && before.phase != Completed {
		svc.exclude(before.order.Target)
	}
	svc.excluded = slices.DeleteFunc(svc.excluded, func(release string) bool { return release == o.Target })
	_, known := svc.firstSeen[o.Target]
	svc.current = &orderState{
		order: o, phase: Trying, learnedLate: learnedLate, targetInUse: known && !slices.Contains(svc.withheld, o.Target),
		kindCounts: map[Kind]*kindCount{}, tallies: map[tallyKey]*Count{}, pending: map[*Attempt]struct{}{},
	}
	svc.updateRules()
	return true
}

func (svc *service) exclude(release string) {
	if !slices.Contains(svc.excluded, release) {
		svc.excluded = append(svc.excluded, release)
	}
}

// updateRules computes the rules of both subsets. The caller holds the lock.
func (svc *service) updateRules() {
	excluded := append(slices.Clone(svc.excluded), svc.withheld...)
	state := svc.current
	if state == nil {
		return
	}
	state.targetRule = Rule{OnlyRelease: state.order.Target, OnlyEndpoints: state.trialEndpoints}
	if state.nothingToSplit {
		state.othersRule = Rule{ExcludedReleases: excluded}
		return
	}
	state.othersRule = Rule{ExcludedReleases: append(excluded, state.order.Target)}
}

// ApplyDirective applies the owner's directive. It reports whether the share or the phase changed,
// or the directive before had expired.
func (s *Splitter) ApplyDirective(directive Directive, now time.Time) bool {
	// A host that learns of an order from a directive may be late: it has no slack.
	s.AddOrder(directive.order(), true)
	svc := s.find(directive.Service)
	if svc == nil {
		return false
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	state := svc.current
	if state == nil || !state.matches(directive.order()) || state.phase.Ended() || !directive.newer(state.directive) {
		return false
	}
	before, wasExpired := state.directive, state.expired(now)
	state.directive, state.appliedAt = directive, now
	entered := svc.enterPhase(directive.Phase, now)
	if entered || before.Share != directive.Share || len(before.Suspects) != len(directive.Suspects) {
		state.selectTrialEndpoints()
		svc.updateRules()
	}
	return wasExpired || before.Share != directive.Share || before.Phase != directive.Phase
}

// ApplyState applies the state of an order from the store if the order has ended or all requests go
// to its target. It reports whether the phase changed.
func (s *Splitter) ApplyState(state State, now time.Time) bool {
	svc := s.find(state.Order.Service)
	if svc == nil {
		return false
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.current == nil || !svc.current.matches(state.Order) || state.Phase < Draining {
		return false
	}
	svc.current.endRecorded = svc.current.endRecorded || state.Phase.Ended()
	return svc.enterPhase(state.Phase, now)
}

// enterPhase raises the phase. Draining stays in force without directives until the order ends,
// even if the owner fails. The caller holds the lock.
func (svc *service) enterPhase(phase Phase, now time.Time) bool {
	state := svc.current
	if state.phase.Ended() || phase <= state.phase {
		return false
	}
	state.phase = phase
	switch phase {
	case Completed:
		state.endedAt = now
		svc.excluded = nil
	case Reverted:
		state.endedAt = now
		svc.exclude(state.order.Target)
	}
	state.selectTrialEndpoints()
	svc.updateRules()
	return true
}

// NewlyExpired returns the open orders whose directive has expired since the last call: this host
// sends their requests to the previous version.
func (s *Splitter) NewlyExpired(now time.Time) []Order {
	var expired []Order
	s.forEach(func(svc *service) {
		state := svc.current
		if state == nil || state.phase >= Draining || state.appliedAt.IsZero() {
			return
		}
		isExpired := state.expired(now)
		if isExpired && !state.wasExpired {
			expired = append(expired, state.order)
		}
		state.wasExpired = isExpired
	})
	return expired
}

// CountsTowardCapacity reports whether an endpoint counts as a serving one when the number of a
// service's endpoints is planned. Endpoints of a version that is not in use yet or no longer in use
// do not count.
func (s *Splitter) CountsTowardCapacity(info *endpoint.Info, now time.Time) bool {
	svc := s.find(info.Service)
	if svc == nil {
		return true
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	state := svc.current
	switch {
	case state == nil || state.nothingToSplit:
		return true
	case state.phase == Completed:
		return info.Release == state.order.Target || now.Sub(state.endedAt) > targetOnlyTime
	default:
		return info.Release != state.order.Target
	}
}

// CompletedOrder returns the ID of the order that last replaced a service's endpoints, 0 if there
// is none or the order was learned late.
func (s *Splitter) CompletedOrder(name string) int64 {
	svc := s.find(name)
	if svc == nil {
		return 0
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.current == nil || svc.current.phase != Completed || svc.current.learnedLate {
		return 0
	}
	return svc.current.order.ID
}

// InProgress reports whether an order for a service is in progress.
func (s *Splitter) InProgress(name string) bool {
	svc := s.find(name)
	if svc == nil {
		return false
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.inProgress() != nil
}

// OpenOrders returns the orders whose end is not known to be in the store, including those that all
// hosts were directed to revert: their end has yet to be written.
func (s *Splitter) OpenOrders() []Order {
	var open []Order
	s.forEach(func(svc *service) {
		if svc.current != nil && !svc.current.endRecorded {
			open = append(open, svc.current.order)
		}
	})
	sort.Slice(open, func(i, j int) bool { return open[i].Service < open[j].Service })
	return open
}

// forEach calls visit for each service under its lock.
func (s *Splitter) forEach(visit func(*service)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, svc := range s.services {
		svc.mu.Lock()
		visit(svc)
		svc.mu.Unlock()
	}
}

// SubsetFor counts a request and returns the subset that it is sent to. A hash of the request's ID
// decides, so that every attempt of it goes the same way without coordination between hosts.
func (s *Splitter) SubsetFor(name string, kind Kind, request string, now time.Time) Subset {
	svc := s.find(name)
	if svc == nil {
		return Default
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	state := svc.current
	if state == nil {
		return Default
	}
	state.requests++
	state.countOf(kind).requests++
	return state.subset(kind, request, now)
}

// Rule returns the rule that selects the endpoints of a subset.
func (s *Splitter) Rule(name string, subset Subset) Rule {
	svc := s.find(name)
	if svc == nil {
		return Rule{}
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	switch {
	case subset == All:
		return Rule{}
	case svc.current == nil || subset == Default:
		return Rule{ExcludedReleases: svc.withheld}
	case subset == Target:
		return svc.current.targetRule
	default:
		return svc.current.othersRule
	}
}

// StreamRule returns the rule for a request that continues a stream which began at a release: the
// output of two releases does not fit together, so only endpoints of that one may take it, whatever
// the phase of an order. ok is false if the release may get no requests, as an order for it was
// reverted or this host has no valid directive.
func (s *Splitter) StreamRule(name, release string, now time.Time) (rule Rule, ok bool) {
	rule = Rule{OnlyRelease: release, IsPinned: true}
	svc := s.find(name)
	if svc == nil {
		return rule, true
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	state := svc.current
	if state == nil || state.nothingToSplit {
		return rule, true
	}
	if release == state.order.Target && state.phase < Draining && !state.targetInUse {
		rule.OnlyEndpoints = state.trialEndpoints
		return rule, !state.expired(now)
	}
	return rule, !slices.Contains(svc.excluded, release)
}

// SubsetOf returns the subset that a release belongs to.
func (s *Splitter) SubsetOf(name, release string) Subset {
	svc := s.find(name)
	if svc == nil {
		return Default
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	switch state := svc.current; {
	case state == nil:
		return Default
	case release == state.order.Target:
		return Target
	default:
		return Others
	}
}

// Fallback returns where to send a request if no endpoint of its subset takes work: to the others
// instead of a target that is tried, and to the target if nothing else is left and its share
// allows. ok is false if there is no alternative.
func (s *Splitter) Fallback(name string, subset Subset, now time.Time) (fallback Subset, ok bool) {
	svc := s.find(name)
	if svc == nil || subset == All {
		return All, false
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	state := svc.current
	switch {
	case state == nil || subset == Default:
		// A new version may have replaced all endpoints while it was still withheld.
		return All, len(svc.withheld) > 0
	case subset == Target:
		return Others, state.phase != Completed
	case state.phase == Reverted:
		return Target, now.Sub(state.endedAt) > revertedExclusionTime
	default:
		return Target, float64(state.targetRequests+1) <= s.bounds.Share*float64(state.requests)
	}
}
