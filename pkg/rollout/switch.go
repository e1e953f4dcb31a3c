package rollout

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
)

// Side says which endpoints a request goes to.
type Side int

// The sides.
const (
	// Any is all endpoints: no order concerns the service.
	Any Side = iota
	// Others are the endpoints that are not of an ordered version.
	Others
	// Target is the endpoints of the ordered version.
	Target
)

// Rule says which endpoints a side has. The zero value has all. What it holds is not
// to be changed.
type Rule struct {
	// Only is the version that may take the request, empty for all but those in Not.
	Only string
	Not  []string
	// Among are the endpoints that may take it, nil for all.
	Among map[string]bool
}

// Allows reports whether an endpoint may take the request.
func (r *Rule) Allows(info *endpoint.Info) bool {
	if r.Only != "" && info.Release != r.Only {
		return false
	}
	if len(r.Not) > 0 && slices.Contains(r.Not, info.Release) {
		return false
	}
	return r.Among == nil || r.Among[info.ID]
}

// Times of a host's split.
const (
	// wordKept is how long the owner's word holds: a host that does not hear it any more
	// falls back to the version before. It is half of what users allow between a bad
	// version's 50th bad answer and its last request (5 s); the owner tells each host
	// twice a second or more often.
	wordKept = 2 * time.Second
	// shiftKept is the same while the share is raised, when two seconds may be more than
	// what a bad version may get in all; three words in a row are lost then.
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

// Switch splits one host's requests between versions and counts how they end. It is
// safe for concurrent use.
type Switch struct {
	bounds Bounds

	mu       sync.RWMutex
	services map[string]*service
	// settled says that the endpoints of the start are known: versions of endpoints
	// that come from then on are new.
	settled bool
}

// New returns a switch; with bounds that are not enabled it lets all requests pass.
func New(bounds Bounds) *Switch {
	return &Switch{bounds: bounds, services: map[string]*service{}}
}

// Bounds returns what a bad version may get.
func (s *Switch) Bounds() Bounds { return s.bounds }

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

// split is the state of one order at a host.
type split struct {
	order Order
	phase Phase
	word  Word
	// heardAt is when the word was last told, endedAt when the order ended.
	heardAt, endedAt time.Time
	// wasLapsed says that the word had lapsed when that was last asked.
	wasLapsed bool
	// joined says that this process heard of the order when it started: it may have
	// used a slack before.
	joined bool
	// recorded says that the order's end is known to stand in the store.
	recorded bool
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
	pending map[*Send]struct{}
}

type kindCount struct{ asked int }

type tallyKey struct {
	kind     Kind
	endpoint string
}

// kindParts are the bits of a kind that tell the parts of an answer apart.
const kindParts = 3

// KindOf returns the kind of a name.
func KindOf(name string) Kind { return Kind(xxhash.Sum64String(name)) &^ kindParts }

func (s *Switch) find(name string) *service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[name]
}

func (s *Switch) of(name string) *service {
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

// Take takes in an operator's order and reports whether it is news. One that is older
// than the one held is left. joined says that it was there when the process started.
func (s *Switch) Take(o Order, joined bool) bool {
	if !s.bounds.Enabled() || o.Check() != nil {
		return false
	}
	v := s.of(o.Service)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.order != nil && v.order.order.ID >= o.ID {
		return false
	}
	if before := v.order; before != nil && before.phase != Completed {
		v.exclude(before.order.Target)
	}
	v.excluded = slices.DeleteFunc(v.excluded, func(release string) bool { return release == o.Target })
	v.order = &split{
		order: o, phase: Trying, joined: joined,
		kinds: map[Kind]*kindCount{}, tallies: map[tallyKey]*Count{}, pending: map[*Send]struct{}{},
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
	d.target = Rule{Only: d.order.Target, Among: d.among}
	if d.alone {
		d.others = Rule{Not: not}
		return
	}
	d.others = Rule{Not: append(not, d.order.Target)}
}

// Hear takes in the owner's word. It reports whether the share or the phase changed.
func (s *Switch) Hear(w Word, now time.Time) bool {
	v := s.find(w.Service)
	if v == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.order
	if d == nil || d.order.ID != w.Order || d.phase.Ended() || !w.newer(d.word) {
		return false
	}
	before, lapsed := d.word, d.lapsed(now)
	d.word, d.heardAt = w, now
	entered := v.enter(w.Phase, now)
	if entered || before.Share != w.Share || len(before.Suspects) != len(w.Suspects) {
		d.tryAt()
		v.rules()
	}
	return lapsed || before.Share != w.Share || before.Phase != w.Phase
}

// Ended takes in how an order ended, or that everything goes to its target, as the
// store tells it.
func (s *Switch) Ended(state State, now time.Time) bool {
	v := s.find(state.Order.Service)
	if v == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.order == nil || v.order.order.ID != state.Order.ID || state.Phase < Draining {
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

// Lapsed returns the open orders whose word has lapsed since it was last asked: this
// host sends their requests to the version before.
func (s *Switch) Lapsed(now time.Time) []Order {
	var lapsed []Order
	s.each(func(v *service) {
		d := v.order
		if d == nil || d.phase >= Draining || d.heardAt.IsZero() {
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

// Counts reports whether an endpoint counts as one that serves, where the number of a
// service's endpoints is planned: not those of a version that is not in use yet or any
// more.
func (s *Switch) Counts(info *endpoint.Info, now time.Time) bool {
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

// Completed returns the order that last replaced a service's endpoints, 0 for none.
func (s *Switch) Completed(name string) int64 {
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

// IsOpen reports whether an order for a service is under way.
func (s *Switch) IsOpen(name string) bool {
	v := s.find(name)
	if v == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.watching() != nil
}

// Open returns the orders whose end is not known to stand in the store, those that all
// hosts were told to revert too: somebody has to write it.
func (s *Switch) Open() []Order {
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
func (s *Switch) each(visit func(*service)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, v := range s.services {
		v.mu.Lock()
		visit(v)
		v.mu.Unlock()
	}
}

// Side says where a request goes. A hash of its id decides, so that each further send
// of it goes the same way and no host needs another's word.
func (s *Switch) Side(name string, kind Kind, request string, now time.Time) Side {
	v := s.find(name)
	if v == nil {
		return Any
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.order
	if d == nil {
		return Any
	}
	d.asked++
	d.kindOf(kind).asked++
	return d.side(kind, request, now)
}

func (d *split) side(kind Kind, request string, now time.Time) Side {
	switch {
	case d.phase == Completed && now.Sub(d.endedAt) > targetOnly:
		return Any
	case d.phase == Completed || d.phase == Draining:
		return Target
	case d.phase == Reverted || d.alone || d.lapsed(now):
		return Others
	}
	part := d.word.Share
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
		return now.Sub(d.heardAt) > shiftKept
	}
	return now.Sub(d.heardAt) > wordKept
}

// partOf is the part of a route's requests that is tried: all routes get as many
// within the share, and nothing beyond it and the slack. The lock is held.
func (d *split) partOf(kind Kind) float64 {
	slack := float64(d.word.Slack)
	if d.joined {
		slack = 0
	}
	left := d.word.Share*float64(d.asked) + slack - float64(d.tried)
	if left < 1 || d.word.Share <= 0 {
		return 0
	}
	each := d.word.Share * float64(d.asked) / float64(len(d.kinds)*d.kindOf(kind).asked)
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

// Rule returns the endpoints of a side.
func (s *Switch) Rule(name string, side Side) Rule {
	v := s.find(name)
	if v == nil {
		return Rule{}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.order == nil || side == Any:
		return Rule{Not: v.unvetted}
	case side == Target:
		return v.order.target
	default:
		return v.order.others
	}
}

// Instead says where a request goes for whose side no endpoint takes work: back to the
// others from a target that is tried, and to the target where nothing else is left and
// its share allows. ok is false where there is nowhere.
func (s *Switch) Instead(name string, side Side, now time.Time) (instead Side, ok bool) {
	v := s.find(name)
	if v == nil || side == Any {
		return Any, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.order
	switch {
	case side == Target:
		return Others, d.phase != Completed
	case d.phase == Reverted:
		return Target, now.Sub(d.endedAt) > revertKept
	default:
		return Target, float64(d.tried+1) <= s.bounds.Share*float64(d.asked)
	}
}
