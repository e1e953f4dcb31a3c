// Package route chooses the endpoint of a request. It reads no clock and no
// socket: time, reports and endpoints are passed in. The expected time of each
// candidate is queueing, prefill of what is not cached and decoding, from load
// reports that lag, corrected by what this process sent since; on top comes
// what a reclaim would lose. naive.go has a naive choice to compare it with.
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
	// scanLimit is how many candidates are looked at one by one; of more, a
	// sample of that size is taken, next to those that have the prefix cached.
	scanLimit = 32
	// ejectAfter is how many failures in a row take an endpoint out.
	ejectAfter = 3
	// ejectShare bounds the endpoints that are taken out at once.
	ejectShare = 0.5
	// firstEject and mostEject bound how long an endpoint is out.
	firstEject = 2 * time.Second
	mostEject  = time.Minute
	// smoothing is the weight of a new measurement.
	smoothing = 0.2
	// defaultSlots is assumed until an endpoint has reported its own.
	defaultSlots = 16
)

// Router chooses endpoints. It is safe for concurrent use: each group of
// endpoints that serve the same target has its own lock.
type Router struct {
	directory *endpoint.Directory
	hazard    *hazard.Estimator
	home      Location
	seed      uint64
	figures   EngineSpeed
	// underWay is the choices that have not ended.
	underWay atomic.Int64
	// entries is how many entry hosts share the endpoints, 0 if not known.
	entries atomic.Int64

	mu     sync.RWMutex
	groups map[Target]*group
	synced uint64
	// byID finds the group and place of each endpoint.
	byID map[string]*slot
	// backoffs are those that endpoints asked for, by endpoint.
	backoffs map[string]backoff
	// limits are those that endpoints name, by endpoint.
	limits map[string]limited
	// hosts share the limits, nil until they are set; alone is this one.
	hosts atomic.Pointer[ratelimit.Hosts]
	alone *ratelimit.Hosts
	// urgent holds endpoints whose state the other entries are sent at once.
	urgent chan string
}

// Node returns the name of this process's node.
func (r *Router) Node() string { return r.home.Node }

// Location says where this process is.
type Location struct {
	Node, DataCenter string
}

// EngineSpeed are those of a target's engines until answers have shown their speed.
type EngineSpeed struct {
	// TokenGap is the time between tokens of one request, at little load.
	TokenGap time.Duration
	// Prefill is the time for one token of a prompt.
	Prefill time.Duration
	// MeanRequestTime is how long a request runs.
	MeanRequestTime time.Duration
}

// DefaultEngineSpeed are those of a large model on one host.
func DefaultEngineSpeed() EngineSpeed {
	return EngineSpeed{TokenGap: startTokenGap, Prefill: startPrefill, MeanRequestTime: startMeanAnswer}
}

// New returns a router over a directory of endpoints. The seed makes its
// samples repeatable.
func New(directory *endpoint.Directory, estimator *hazard.Estimator, home Location, seed uint64) *Router {
	return NewWithEngineSpeed(directory, estimator, home, seed, DefaultEngineSpeed())
}

// NewWithEngineSpeed is New with other figures to begin with.
func NewWithEngineSpeed(directory *endpoint.Directory, estimator *hazard.Estimator, home Location, seed uint64, figures EngineSpeed) *Router {
	r := &Router{
		figures:   figures,
		directory: directory,
		hazard:    estimator,
		home:      home,
		seed:      seed,
		groups:    map[Target]*group{},
		byID:      map[string]*slot{},
		backoffs:  map[string]backoff{},
		limits:    map[string]limited{},
		alone:     ratelimit.NewHosts(home.Node, []string{home.Node}, time.Time{}),
		urgent:    make(chan string, mostUrgent),
	}
	r.synced = ^uint64(0)
	return r
}

// TargetOf returns the target that an endpoint serves at present.
func TargetOf(i endpoint.Info) Target {
	if i.Kind == endpoint.Plain {
		return Target{Service: i.Service}
	}
	return Target{Model: i.Model, Version: i.Version, Adapter: i.Adapter}
}

// groupFor returns the target's group, brought up to date with the directory,
// and the slots by endpoint. That map is not changed once it is made.
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

// slots returns the slots by endpoint, brought up to date with the directory.
func (r *Router) slots() map[string]*slot {
	view := r.directory.View()
	r.mu.RLock()
	byID := r.byID
	fresh := r.synced == view.Generation()
	r.mu.RUnlock()
	if fresh {
		return byID
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.synced != view.Generation() {
		r.sync(view)
	}
	return r.byID
}

func (r *Router) newGroup() *group {
	return &group{
		index:  newPrefixIndex(indexLimit),
		random: rand.New(rand.NewPCG(r.seed, uint64(len(r.groups)))),
		model:  enginemodel.NewEstimator(enginemodel.Timings{PrefillPerToken: r.figures.Prefill, TokenGap: r.figures.TokenGap}),
	}
}

// sync rebuilds the groups after a change of the directory; the load known of
// an endpoint's incarnation is kept. The router's lock is held.
func (r *Router) sync(view *endpoint.View) {
	old := r.byID
	for _, g := range r.groups {
		g.mu.Lock()
		g.slots = nil
		g.ejected = 0
		g.limited = 0
		g.backoffsUntil, g.penaltiesUntil = time.Time{}, time.Time{}
		g.mu.Unlock()
	}
	r.byID = make(map[string]*slot, len(view.Infos()))
	for _, info := range Subset(r.home.Node, int(r.entries.Load()), view.Infos()) {
		target := TargetOf(info)
		g, ok := r.groups[target]
		if !ok {
			g = r.newGroup()
			r.groups[target] = g
		}
		r.byID[info.ID] = g.add(info, old[info.ID], r.newLoad(info))
	}
	r.synced = view.Generation()
}

// SetEntryCount sets how many entry hosts share the endpoints.
func (r *Router) SetEntryCount(entries int) {
	if r.entries.Swap(int64(entries)) == int64(entries) {
		return
	}
	view := r.directory.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sync(view)
}

// Endpoints returns the endpoints this entry may choose.
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

// add puts an endpoint into the group. The slot of the same incarnation is
// used again: requests under way still hold it, and end there.
func (g *group) add(info endpoint.Info, before *slot, start load) *slot {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := before
	if before == nil || before.group != g || before.info.Ref() != info.Ref() {
		s = &slot{group: g, load: start, hash: xxhash.Sum64String(info.ID)}
	}
	s.info = info
	g.noteBackoff(s.load.backoff)
	if s.load.failures >= ejectAfter {
		g.ejected++
	}
	g.limited += countLimited(s.load.bucket)
	g.slots = append(g.slots, s)
	return s
}

// Choose picks an endpoint and notes the request as sent there; ok is false
// where no endpoint takes work for the target or the query does not accept it.
func (r *Router) Choose(q Query, strategy Strategy, now time.Time) (Choice, bool) {
	g, byID := r.groupFor(q.Target)
	g.mu.Lock()
	defer g.mu.Unlock()
	q.hosts = r.sharers()
	var best *slot
	var score score
	if strategy == Expected || strategy == ExpectedStale {
		q.stale = strategy == ExpectedStale
		best, score = r.pickExpected(g, byID, q, now)
	} else {
		best = g.pickNaive(q, strategy, now)
	}
	if best == nil {
		return Choice{}, false
	}
	uncached := max(q.PromptTokens-score.cached, 0)
	g.work.add(g.engineTime(uncached, q.AnswerTokens), now)
	choice := Choice{
		Endpoint: best.info, Expected: score.total, Wait: score.wait, Queued: score.queued, LeastQueued: score.least,
		CachedTokens: score.cached, sent: now, uncached: uncached, ahead: score.ahead,
	}
	if q.Accepts != nil && !q.Accepts(choice) {
		return Choice{}, false
	}
	r.send(q, choice, best)
	r.underWay.Add(1)
	return choice, true
}

// send notes a choice as sent. The group's lock is held.
func (r *Router) send(q Query, c Choice, s *slot) {
	g := s.group
	g.noteSent(s, c.sent)
	s.load.take()
	s.load.sentSince++
	s.load.ownRunning++
	s.load.ownPrefill += c.uncached
	g.index.note(q.PrefixHashes, s.info.ID)
	g.place(q, s.info.ID)
	if time.Duration(c.uncached)*g.model.Timings().PrefillPerToken >= heavyPrefill {
		r.MarkUrgent(s.info.ID)
	}
}

// pickExpected returns the candidate with the least expected time. The group's
// lock is held.
func (r *Router) pickExpected(g *group, byID map[string]*slot, q Query, now time.Time) (*slot, score) {
	cachedSlots := g.markCached(q, byID)
	defer cachedSlots.clear()
	q.allPenalized = g.allPenalized(now)
	q.mayExplore = g.countChoice()
	var best *slot
	var bestScore score
	least := time.Duration(math.MaxInt64)
	consider := func(s *slot) {
		if !g.usable(s, q, now) {
			return
		}
		sc := r.score(s, q, now)
		least = min(least, sc.queued)
		if best == nil || sc.total < bestScore.total {
			best, bestScore = s, sc
		}
	}
	sample := scanLimit
	if q.SampleSize > 0 {
		sample = q.SampleSize
	}
	if len(g.slots) <= sample {
		g.each(consider)
	} else {
		for _, s := range cachedSlots.slots[:cachedSlots.count] {
			consider(s)
		}
		for range sample {
			consider(g.slots[g.random.IntN(len(g.slots))])
		}
	}
	if best == nil {
		// The sample met only endpoints that are out: look at all before giving up.
		g.each(consider)
	}
	bestScore.least = least
	return best, bestScore
}

func (g *group) each(visit func(*slot)) {
	for _, s := range g.slots {
		visit(s)
	}
}

// usable reports whether a slot may take the request at all. Endpoints that
// are out for failures stay usable once more than ejectShare of the group is out; one
// that asked for backoff, or whose limit is used up, is not, whatever else there is.
func (g *group) usable(s *slot, q Query, now time.Time) bool {
	if !q.Rule.Allows(&s.info) {
		return false
	}
	for _, ref := range q.Avoid {
		if ref == s.info.Ref() {
			return false
		}
	}
	if q.MayWait && !s.load.hasRoomForWaiting(q.stale) {
		return false
	}
	if now.Before(s.load.backoff.own) || !s.load.allows(q.hosts, now) {
		return false
	}
	if now.Before(s.load.ejectedUntil) {
		return float64(g.out(q.hosts, now)) > ejectShare*float64(len(g.slots))
	}
	return true
}
