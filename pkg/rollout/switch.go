package rollout

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
)

// Subset says which endpoints a request goes to.
type Subset int

// The sides.
const (
	// Default is all endpoints but those whose version may be ordered unheard: no order
	// concerns the service.
	Default Subset = iota
	// All is those too.
	All
	// Others are the endpoints that are not of an ordered version.
	Others
	// Target is the endpoints of the ordered version.
	Target
)

// Rule says which endpoints a side has. The zero value has all. What it holds is not
// to be changed.
type Rule struct {
	// OnlyRelease is the version that may take the request, empty for all but those in Not.
	OnlyRelease string
	ExcludedReleases  []string
	// OnlyEndpoints are the endpoints that may take it, nil for all.
	OnlyEndpoints map[string]bool
}

// Allows reports whether an endpoint may take the request.
func (r *Rule) Allows(info *endpoint.Info) bool {
	if r.OnlyRelease != "" && info.Release != r.OnlyRelease {
		return false
	}
	if len(r.ExcludedReleases) > 0 && slices.Contains(r.ExcludedReleases, info.Release) {
		return false
	}
	return r.OnlyEndpoints == nil || r.OnlyEndpoints[info.ID]
}

// Splitter splits one host's requests between versions and counts how they end. It is
// safe for concurrent use.
type Splitter struct {
	bounds Bounds

	mu       sync.RWMutex
	services map[string]*service
	// settled says that the endpoints of the start are known: versions of endpoints
	// that come from then on are new.
	settled bool
}

// New returns a switch; with bounds that are not enabled it lets all requests pass.
func New(bounds Bounds) *Splitter {
	return &Splitter{bounds: bounds, services: map[string]*service{}}
}

// Bounds returns what a bad version may get.
func (s *Splitter) Bounds() Bounds { return s.bounds }

// service is one service's split. Its fields are guarded by its lock.
type service struct {
	mu sync.Mutex
	// releases are the versions of its endpoints and when each was first seen, zero for
	// those of the start.
	releases map[string]time.Time
	// unvetted are versions that may be ordered unheard.
	unvetted []string
	// excluded are targets of orders that did not end in their completion.
	excluded   []string
	references map[Kind]*reference
	order      *split
	// running is the sends under way by version.
	running map[string]int
	longest time.Duration
	longAt  time.Time
}

// kindParts are the bits of a kind that tell the parts of an answer apart.
const kindParts = 3

// KindOf returns the kind of a name.
func KindOf(name string) Kind { return Kind(xxhash.Sum64String(name)) &^ kindParts }

func (s *Splitter) find(name string) *service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[name]
}

func (s *Splitter) of(name string) *service {
	if found := s.find(name); found != nil {
		return found
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.services[name]
	if !ok {
		found = &service{releases: map[string]time.Time{}, references: map[Kind]*reference{}, running: map[string]int{}}
		s.services[name] = found
	}
	return found
}

// AddOrder takes in an operator's order and reports whether it is news. One that is older
// than the one held is left. joined says that it was there when the process started.
func (s *Splitter) AddOrder(o Order, joined bool) bool {
	if !s.bounds.Enabled() || o.Check() != nil {
		return false
	}
	v := s.of(o.Service)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.order != nil && v.order.order.ID >= o.ID {
		return false
	}
	if v.order != nil && o.RenumberedFrom(v.order.order) {
		// The restore may have lost the row with the order's end: keep the order open until a row
		// confirms the end.
		v.order.formerID = v.order.order.ID
		v.order.order.ID, v.order.recorded = o.ID, false
		return false
	}
	if before := v.order; before != nil && before.phase != Completed {
		v.exclude(before.order.Target)
	}
	v.excluded = slices.DeleteFunc(v.excluded, func(release string) bool { return release == o.Target })
	_, known := v.releases[o.Target]
	v.order = &split{
		order: o, phase: Trying, joined: joined, inUse: known && !slices.Contains(v.unvetted, o.Target),
		kinds: map[Kind]*kindCount{}, tallies: map[tallyKey]*Count{}, pending: map[*Attempt]struct{}{},
	}
	v.rules()
	return true
}

func (v *service) exclude(release string) {
	if !slices.Contains(v.excluded, release) {
		v.excluded = append(v.excluded, release)
	}
}

// rules works out the rules of both sides. The lock is held.
func (v *service) rules() {
	not := append(slices.Clone(v.excluded), v.unvetted...)
	d := v.order
	if d == nil {
		return
	}
	d.target = Rule{OnlyRelease: d.order.Target, OnlyEndpoints: d.among}
	if d.alone {
		d.others = Rule{ExcludedReleases: not}
		return
	}
	d.others = Rule{ExcludedReleases: append(not, d.order.Target)}
}

// ApplyDirective applies the owner's directive. It reports whether the share or the phase changed.
func (s *Splitter) ApplyDirective(w Directive, now time.Time) bool {
	// A host that learns of an order by a directive may be late: it has no slack.
	s.AddOrder(w.order(), true)
	v := s.find(w.Service)
	if v == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.order
	if d == nil || !d.matches(w.order()) || d.phase.Ended() || !w.newer(d.directive) {
		return false
	}
	before, lapsed := d.directive, d.lapsed(now)
	d.directive, d.appliedAt = w, now
	entered := v.enter(w.Phase, now)
	if entered || before.Share != w.Share || len(before.Suspects) != len(w.Suspects) {
		d.tryAt()
		v.rules()
	}
	return lapsed || before.Share != w.Share || before.Phase != w.Phase
}

// ApplyState takes in how an order ended, or that everything goes to its target, as the
// store tells it.
func (s *Splitter) ApplyState(state State, now time.Time) bool {
	v := s.find(state.Order.Service)
	if v == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.order == nil || !v.order.matches(state.Order) || state.Phase < Draining {
		return false
	}
	v.order.recorded = v.order.recorded || state.Phase.Ended()
	return v.enter(state.Phase, now)
}

// enter raises the phase; draining stays in force unheard, whatever comes of the
// owner, until the order ends. The lock is held.
func (v *service) enter(phase Phase, now time.Time) bool {
	d := v.order
	if d.phase.Ended() || phase <= d.phase {
		return false
	}
	d.phase = phase
	switch phase {
	case Completed:
		d.endedAt = now
		v.excluded = nil
	case Reverted:
		d.endedAt = now
		v.exclude(d.order.Target)
	}
	d.tryAt()
	v.rules()
	return true
}

// NewlyExpired returns the open orders whose word has lapsed since it was last asked: this
// host sends their requests to the version before.
func (s *Splitter) NewlyExpired(now time.Time) []Order {
	var lapsed []Order
	s.each(func(v *service) {
		d := v.order
		if d == nil || d.phase >= Draining || d.appliedAt.IsZero() {
			return
		}
		isLapsed := d.lapsed(now)
		if isLapsed && !d.wasLapsed {
			lapsed = append(lapsed, d.order)
		}
		d.wasLapsed = isLapsed
	})
	return lapsed
}

// CountsTowardCapacity reports whether an endpoint counts as one that serves, where the number of a
// service's endpoints is planned: not those of a version that is not in use yet or any
// more.
func (s *Splitter) CountsTowardCapacity(info *endpoint.Info, now time.Time) bool {
	v := s.find(info.Service)
	if v == nil {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.order
	switch {
	case d == nil || d.alone:
		return true
	case d.phase == Completed:
		return info.Release == d.order.Target || now.Sub(d.endedAt) > targetOnly
	default:
		return info.Release != d.order.Target
	}
}

// CompletedOrder returns the order that last replaced a service's endpoints, 0 for none.
func (s *Splitter) CompletedOrder(name string) int64 {
	v := s.find(name)
	if v == nil {
		return 0
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.order == nil || v.order.phase != Completed || v.order.joined {
		return 0
	}
	return v.order.order.ID
}

// InProgress reports whether an order for a service is under way.
func (s *Splitter) InProgress(name string) bool {
	v := s.find(name)
	if v == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.watching() != nil
}

// OpenOrders returns the orders whose end is not known to stand in the store, those that all
// hosts were told to revert too: somebody has to write it.
func (s *Splitter) OpenOrders() []Order {
	var open []Order
	s.each(func(v *service) {
		if v.order != nil && !v.order.recorded {
			open = append(open, v.order.order)
		}
	})
	sort.Slice(open, func(i, j int) bool { return open[i].Service < open[j].Service })
	return open
}

// each calls visit for each service under its lock.
func (s *Splitter) each(visit func(*service)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, v := range s.services {
		v.mu.Lock()
		visit(v)
		v.mu.Unlock()
	}
}

// SubsetFor says where a request goes. A hash of its id decides, so that each further send
// of it goes the same way and no host needs another's word.
func (s *Splitter) SubsetFor(name string, kind Kind, request string, now time.Time) Subset {
	v := s.find(name)
	if v == nil {
		return Default
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.order
	if d == nil {
		return Default
	}
	d.asked++
	d.kindOf(kind).asked++
	return d.side(kind, request, now)
}

// Rule returns the endpoints of a side.
func (s *Splitter) Rule(name string, side Subset) Rule {
	v := s.find(name)
	if v == nil {
		return Rule{}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case side == All:
		return Rule{}
	case v.order == nil || side == Default:
		return Rule{ExcludedReleases: v.unvetted}
	case side == Target:
		return v.order.target
	default:
		return v.order.others
	}
}

// Fallback says where a request goes for whose side no endpoint takes work: back to the
// others from a target that is tried, and to the target where nothing else is left and
// its share allows. ok is false where there is nowhere.
func (s *Splitter) Fallback(name string, side Subset, now time.Time) (instead Subset, ok bool) {
	v := s.find(name)
	if v == nil || side == All {
		return All, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.order
	switch {
	case d == nil || side == Default:
		// A release may have replaced all endpoints faster than its version is vetted.
		return All, len(v.unvetted) > 0
	case side == Target:
		return Others, d.phase != Completed
	case d.phase == Reverted:
		return Target, now.Sub(d.endedAt) > revertKept
	default:
		return Target, float64(d.tried+1) <= s.bounds.Share*float64(d.asked)
	}
}
