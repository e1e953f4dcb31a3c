// Package route chooses the endpoint of a request. It reads no clock and no socket: time, reports
// and endpoints are passed in. The expected time at each candidate is the sum of queueing, prefill
// of the tokens that are not cached, decoding, and the expected loss by a reclaim. It is computed
// from load reports that lag, corrected by what this process has sent since. naive.go has naive
// strategies for comparison.
package route

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/enginemodel"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/ratelimit"
)

// Parameters of the choice.
const (
	// scanLimit is the number of candidates up to which all are considered. Of more, a sample of
	// that size is considered, in addition to those that have the prefix cached.
	scanLimit = 32
	// ejectAfter is the number of failures in a row after which an endpoint is ejected.
	ejectAfter = 3
	// maxEjectShare is the share of unavailable endpoints above which ejected ones are used again.
	maxEjectShare = 0.5
	// minEjectTime and maxEjectTime bound how long an endpoint is ejected.
	minEjectTime = 2 * time.Second
	maxEjectTime = time.Minute
	// smoothing is the weight of a new measurement in a moving average.
	smoothing = 0.2
	// defaultSlots is assumed until an endpoint has reported its slots.
	defaultSlots = 16
)

// Router chooses endpoints. It is safe for concurrent use: each group of
// endpoints that serve the same target has its own lock.
type Router struct {
	directory    *endpoint.Directory
	hazard       *hazard.Estimator
	location     Location
	seed         uint64
	initialSpeed EngineSpeed
	// hasUnsentSpeeds is set if any slot has evidence on its speed that was not reported.
	hasUnsentSpeeds atomic.Bool
	// cut is set while this entry has lost its links to endpoints. linkedAt is when it last had them
	// again, in Unix nanoseconds; 0 if it never lost them.
	cut      atomic.Bool
	linkedAt atomic.Int64
	// inFlight is the number of choices that are not completed.
	inFlight atomic.Int64
	// entries is the number of entry hosts that share the endpoints; 0 if unknown.
	entries atomic.Int64

	mu               sync.RWMutex
	groups           map[Target]*group
	syncedGeneration uint64
	// byID maps the ID of each endpoint to its slot.
	byID map[string]*slot
	// backoffs are the backoffs of endpoints, by endpoint ID.
	backoffs map[string]backoff
	// limits are the limits that endpoints set, by endpoint ID.
	limits map[string]endpointLimit
	// fragileSlots are the shares of fragile endpoints' slots, by endpoint ID. fragileUntil is the
	// latest time until which any group has fragile endpoints, in Unix nanoseconds.
	fragileSlots map[string]endpointSlots
	fragileUntil atomic.Int64
	// releaseHandler may be nil.
	releaseHandler func(Target)
	// hosts are the hosts that share the limits, nil until they are set; onlySelf is this host
	// alone.
	hosts    atomic.Pointer[ratelimit.Hosts]
	onlySelf *ratelimit.Hosts
	// leavingWindow is how long after its notice a leaving endpoint may get requests, in
	// nanoseconds; 0 or less if it gets none.
	leavingWindow atomic.Int64
	// urgent holds the endpoints whose state is sent to the other entries at once.
	urgent chan string
}

// Node returns the name of this process's node.
func (r *Router) Node() string { return r.location.Node }

// Location identifies the node and data centre of this process.
type Location struct {
	Node, DataCenter string
}

// EngineSpeed is the speed that is assumed for a target's engines until answers are measured.
type EngineSpeed struct {
	// TokenGap is the time between tokens of one request, at low load.
	TokenGap time.Duration
	// Prefill is the prefill time of one prompt token.
	Prefill time.Duration
	// MeanRequestTime is the mean duration of a request.
	MeanRequestTime time.Duration
}

// DefaultEngineSpeed returns the speed of a large model on one host.
func DefaultEngineSpeed() EngineSpeed {
	return EngineSpeed{TokenGap: initialTokenGap, Prefill: initialPrefill, MeanRequestTime: initialRequestTime}
}

// New returns a router over a directory of endpoints. The seed makes its samples reproducible.
func New(directory *endpoint.Directory, estimator *hazard.Estimator, location Location, seed uint64) *Router {
	return NewWithEngineSpeed(directory, estimator, location, seed, DefaultEngineSpeed())
}

// NewWithEngineSpeed is New with another initial engine speed.
func NewWithEngineSpeed(directory *endpoint.Directory, estimator *hazard.Estimator, location Location, seed uint64, speed EngineSpeed) *Router {
	r := &Router{
		initialSpeed: speed,
		directory:    directory,
		hazard:       estimator,
		location:     location,
		seed:         seed,
		groups:       map[Target]*group{},
		byID:         map[string]*slot{},
		backoffs:     map[string]backoff{},
		limits:       map[string]endpointLimit{},
		fragileSlots: map[string]endpointSlots{},
		onlySelf:     ratelimit.NewHosts(location.Node, []string{location.Node}, time.Time{}),
		urgent:       make(chan string, maxUrgent),
	}
	r.syncedGeneration = ^uint64(0)
	return r
}

// TargetOf returns the target that an endpoint currently serves.
func TargetOf(i endpoint.Info) Target {
	if i.Kind == endpoint.Plain {
		return Target{Service: i.Service}
	}
	return Target{Model: i.Model, Version: i.Version, Adapter: i.Adapter}
}

// groupFor returns the target's group, synchronized with the directory, and the slots by endpoint
// ID. The map is never changed once it is built.
func (r *Router) groupFor(t Target) (*group, map[string]*slot) {
	byID := r.slots()
	r.mu.RLock()
	g, known := r.groups[t]
	r.mu.RUnlock()
	if known {
		return g, byID
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if g, known = r.groups[t]; !known {
		g = r.newGroup()
		r.groups[t] = g
	}
	return g, r.byID
}

// slots returns the slots by endpoint ID, synchronized with the directory.
func (r *Router) slots() map[string]*slot {
	view := r.directory.View()
	r.mu.RLock()
	byID := r.byID
	fresh := r.syncedGeneration == view.Generation()
	r.mu.RUnlock()
	if fresh {
		return byID
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.syncedGeneration != view.Generation() {
		r.sync(view)
	}
	return r.byID
}

func (r *Router) newGroup() *group {
	return &group{
		prefixes: newPrefixIndex(maxIndexSize),
		random:   rand.New(rand.NewPCG(r.seed, uint64(len(r.groups)))),
		speed:    enginemodel.NewEstimator(enginemodel.Timings{PrefillPerToken: r.initialSpeed.Prefill, TokenGap: r.initialSpeed.TokenGap}),
	}
}

// sync rebuilds the groups after a change of the directory. The load of an endpoint's incarnation
// is kept. The router's lock must be held.
func (r *Router) sync(view *endpoint.View) {
	old := r.byID
	for _, g := range r.groups {
		g.mu.Lock()
		g.slots, g.leaving, g.leavingUntil = nil, nil, time.Time{}
		g.ejectedCount = 0
		g.limitedCount = 0
		g.backoffsUntil, g.penaltiesUntil = time.Time{}, time.Time{}
		g.mu.Unlock()
	}
	r.byID = make(map[string]*slot, len(view.Infos()))
	for _, info := range Subset(r.location.Node, int(r.entries.Load()), view.Infos()) {
		target := TargetOf(info)
		g, ok := r.groups[target]
		if !ok {
			g = r.newGroup()
			r.groups[target] = g
		}
		r.byID[info.ID] = g.add(info, old[info.ID], r.newLoad(info))
	}
	r.keepLeaving(view, old)
	r.dropFragileSlots(view)
	r.syncedGeneration = view.Generation()
}

// SetEntryCount sets the number of entry hosts that share the endpoints.
func (r *Router) SetEntryCount(entries int) {
	if r.entries.Swap(int64(entries)) == int64(entries) {
		return
	}
	view := r.directory.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sync(view)
}

// Endpoints returns the endpoints that this entry may choose.
func (r *Router) Endpoints() []endpoint.Info {
	byID := r.slots()
	infos := make([]endpoint.Info, 0, len(byID))
	for _, s := range byID {
		s.group.mu.Lock()
		infos = append(infos, s.info)
		s.group.mu.Unlock()
	}
	return infos
}

// add adds an endpoint to the group. The slot of the same incarnation is reused, because requests
// in flight still refer to it and are completed there.
func (g *group) add(info endpoint.Info, previous *slot, initial load) *slot {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := previous
	if previous == nil || previous.group != g || previous.info.Ref() != info.Ref() {
		s = &slot{group: g, load: initial, hash: xxhash.Sum64String(info.ID)}
	}
	s.info = info
	g.noteBackoff(s.load.backoff)
	if s.load.failures >= ejectAfter {
		g.ejectedCount++
	}
	g.limitedCount += countLimited(s.load.bucket)
	g.slots = append(g.slots, s)
	return s
}

// Choose chooses an endpoint and records the request as sent there. The result is false if no
// endpoint accepts work for the target, or if the query does not accept the choice.
func (r *Router) Choose(q Query, strategy Strategy, now time.Time) (Choice, bool) {
	g, byID := r.groupFor(q.Target)
	g.mu.Lock()
	defer g.mu.Unlock()
	q.hosts = r.limitHosts()
	g.refreshFactors(now)
	var best *slot
	var score score
	if strategy == Expected || strategy == ExpectedStale {
		q.reportOnly = strategy == ExpectedStale
		best, score = r.pickExpected(g, byID, q, now)
	} else {
		best = g.pickNaive(q, strategy, now)
	}
	if best == nil {
		if !r.cut.Load() {
			g.countUnplaced(q, now)
		}
	} else {
		choice := newChoice(q, best, score, now)
		refused := q.Accepts != nil && !q.Accepts(choice)
		if !r.cut.Load() {
			g.countOffered(q, choice.uncachedTokens, refused, now)
		}
		if !refused {
			return r.take(q, choice, best), true
		}
	}
	if q.Continues {
		return Choice{}, false
	}
	// The work counts as refused even if a leaving endpoint takes it, as that must be replaced.
	if best, score = r.pickLeaving(g, byID, q, now); best != nil {
		if choice := newChoice(q, best, score, now); q.Accepts == nil || q.Accepts(choice) {
			return r.take(q, choice, best), true
		}
	}
	return Choice{}, false
}

func newChoice(q Query, s *slot, sc score, now time.Time) Choice {
	return Choice{
		Endpoint: s.info, Expected: sc.total, Wait: sc.wait, Queued: sc.queueTime, LeastQueued: sc.leastQueueTime,
		CachedTokens: sc.cachedTokens, sentAt: now, uncachedTokens: max(q.PromptTokens-sc.cachedTokens, 0), aheadTokens: sc.aheadTokens,
		batchShare: s.batchShare(),
	}
}

// take records the request as sent to the chosen slot. The group's lock must be held.
func (r *Router) take(q Query, choice Choice, s *slot) Choice {
	r.recordChoice(q, choice, s)
	r.inFlight.Add(1)
	return choice
}

// recordChoice records the request as sent to the chosen endpoint. The group's lock must be held.
func (r *Router) recordChoice(q Query, c Choice, s *slot) {
	g := s.group
	g.recordSend(s, c.sentAt)
	s.load.take(c.sentAt)
	s.load.sentSinceReport++
	s.load.localRunning++
	s.load.localPrefillTokens += c.uncachedTokens
	g.prefixes.record(q.PrefixHashes, s.info.ID)
	g.recordPlacement(q, s.info.ID)
	if time.Duration(c.uncachedTokens)*s.timings().PrefillPerToken >= urgentPrefill {
		r.MarkUrgent(s.info.ID)
	}
}

// pickExpected returns the candidate with the least expected time. The group's lock must be held.
func (r *Router) pickExpected(g *group, byID map[string]*slot, q Query, now time.Time) (*slot, score) {
	cachedSlots := g.markCached(q, byID, false)
	defer cachedSlots.clear()
	q.ignorePenalties = g.tooManyPenalized(now)
	q.mayExplore = g.countChoice()
	var best *slot
	var bestScore score
	least := time.Duration(math.MaxInt64)
	consider := func(s *slot) {
		if !g.usable(s, q, now) {
			return
		}
		sc := r.score(s, q, now)
		least = min(least, sc.queueTime)
		if best == nil || sc.total < bestScore.total {
			best, bestScore = s, sc
		}
	}
	sample := scanLimit
	if q.SampleSize > 0 {
		sample = q.SampleSize
	}
	if len(g.slots) <= sample {
		g.forEachSlot(consider)
	} else {
		for _, s := range cachedSlots.slots[:cachedSlots.count] {
			consider(s)
		}
		for range sample {
			consider(g.slots[g.random.IntN(len(g.slots))])
		}
	}
	if best == nil {
		// The sample had no usable endpoint: consider all before giving up.
		g.forEachSlot(consider)
	}
	bestScore.leastQueueTime = least
	return best, bestScore
}

func (g *group) forEachSlot(visit func(*slot)) {
	for _, s := range g.slots {
		visit(s)
	}
}

// usable reports whether a slot may take the request. Ejected endpoints stay usable once more than
// maxEjectShare of the group is unavailable, or of the release that alone may take the request. An
// endpoint that requested a backoff, or whose limit is used up, is never usable.
func (g *group) usable(s *slot, q Query, now time.Time) bool {
	if s.leaving || !q.Rule.Allows(&s.info) {
		return false
	}
	return g.usableNow(s, q, now)
}

// usableNow reports whether a slot whose endpoint the request may go to takes it now.
func (g *group) usableNow(s *slot, q Query, now time.Time) bool {
	if q.avoids(s.info.Ref()) {
		return false
	}
	if q.MayWait && !s.load.hasRoomForMayWait(q.reportOnly) {
		return false
	}
	if now.Before(s.load.backoff.requestedUntil) || !s.allows(q.hosts, now) {
		return false
	}
	if now.Before(s.load.ejectedUntil) && !g.usesEjected(&q, now) {
		return false
	}
	return q.Confirms == nil || q.Confirms(s.info)
}
