package route

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/enginemodel"
)

// Result is how a choice ended.
type Result struct {
	// Failed says that the endpoint is at fault; false also for a caller who
	// went away.
	Failed bool
	// Refused says that the endpoint turned the request away: it has shown neither a
	// failure nor that it serves.
	Refused bool
	// PrefillDone says that Router.PrefillDone was called for the choice.
	PrefillDone bool
	// FirstToken is the time to the first token, 0 if there was none.
	FirstToken time.Duration
	// Tokens and Decode give the gap between tokens; 0 if not measured.
	Tokens int
	Decode time.Duration
	// PromptTokens and CachedTokens are the engine's own account, 0 if it gave
	// none. Measured says whether it did.
	PromptTokens, CachedTokens int
	TokensReported             bool
	// Canary says that the endpoint is of a version that is tried: what it shows is no
	// measure of the service's speed.
	Canary bool
}

// Done ends a choice and learns from it.
func (r *Router) Done(c Choice, result Result, now time.Time) {
	r.underWay.Add(-1)
	r.withSlot(c.Endpoint.Ref(), func(s *slot) { s.done(c, result, now) })
}

// withSlot does something to the slot of an endpoint's incarnation, under its group's lock;
// nothing where that is not in use.
func (r *Router) withSlot(ref endpoint.Ref, do func(*slot)) {
	s, ok := r.slots()[ref.ID]
	if !ok {
		return
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.info.Ref() == ref {
		do(s)
	}
}

// done ends a choice of the slot. The group's lock is held.
func (s *slot) done(c Choice, result Result, now time.Time) {
	l := &s.load
	l.ownRunning = max(l.ownRunning-1, 0)
	if !result.PrefillDone {
		l.ownPrefill = max(l.ownPrefill-c.uncached, 0)
	}
	// Requests sent before the report are in its count, later ones in ours.
	if l.sequence > c.sent.UnixMilli() {
		l.endedSince++
	} else {
		l.sentSince = max(l.sentSince-1, 0)
	}
	if result.Failed {
		s.group.fail(s, now)
		return
	}
	if result.Refused {
		return
	}
	s.group.succeed(s)
	l.meanDuration = smooth(l.meanDuration, now.Sub(c.sent))
	if !result.Canary {
		s.group.learn(c, result)
	}
	if result.TokensReported && c.CachedTokens > 0 {
		l.learnTrust(c.CachedTokens, result.CachedTokens)
	}
}

// PrefillDone notes that a request's prompt has been prefilled: its first token is there. Where it is
// not called, Done does the same.
func (r *Router) PrefillDone(c Choice) {
	r.withSlot(c.Endpoint.Ref(), func(s *slot) { s.load.ownPrefill = max(s.load.ownPrefill-c.uncached, 0) })
}

// LocalLoad is what this entry has under way at an endpoint.
type LocalLoad struct {
	Endpoint endpoint.Info
	Running  int
	// PrefillTokens are of requests that have no first token yet.
	PrefillTokens int
}

// HasInFlight reports whether this entry has requests under way.
func (r *Router) HasInFlight() bool { return r.underWay.Load() > 0 }

// LocalLoads returns the endpoints at which this entry has requests under way. One that has
// none does not bring its groups up to date for that: most hosts of a large fleet take no
// callers, and thousands of endpoints may come and go.
func (r *Router) LocalLoads() []LocalLoad {
	if !r.HasInFlight() {
		return nil
	}
	var list []LocalLoad
	for _, s := range r.slots() {
		s.group.mu.Lock()
		if s.load.ownRunning > 0 {
			list = append(list, LocalLoad{s.info, s.load.ownRunning, s.load.ownPrefill})
		}
		s.group.mu.Unlock()
	}
	return list
}

// learn takes what an answer shows into the estimate of speed.
func (g *group) learn(c Choice, result Result) {
	uncached := c.uncached
	if result.TokensReported {
		uncached = max(result.PromptTokens-result.CachedTokens, 0)
	}
	g.model.Observe(enginemodel.Sample{PrefillTokens: uncached + c.ahead, FirstToken: result.FirstToken, DecodedTokens: result.Tokens, DecodeTime: result.Decode})
}

// leastTrust keeps an endpoint's cache in play, so that its trust can recover.
const leastTrust = 0.1

// learnTrust compares what was estimated to be cached with the engine's own account. Events of a
// cache come late and with gaps; its account of each answer is what shows that an endpoint
// evicts sooner than this process thinks.
func (l *load) learnTrust(reckoned, actual int) {
	part := min(1, float64(actual)/float64(reckoned))
	l.trust = max(leastTrust, l.trust+smoothing*(part-l.trust))
}

func smooth(held, heard time.Duration) time.Duration {
	return held + time.Duration(smoothing*float64(heard-held))
}

// fail counts a failure and takes the endpoint out after some in a row, for
// longer each time.
func (g *group) fail(s *slot, now time.Time) {
	l := &s.load
	l.failures++
	if l.failures < ejectAfter {
		return
	}
	if l.failures == ejectAfter {
		g.ejected++
	}
	l.ejectedUntil = now.Add(min(firstEject<<min(l.ejections, 8), mostEject))
	l.ejections++
}

func (g *group) succeed(s *slot) {
	if s.load.failures >= ejectAfter {
		g.ejected--
	}
	s.load.failures = 0
	s.load.ejections = 0
	s.load.ejectedUntil = time.Time{}
}

// ApplyReport applies an endpoint's load report. An older one than held is dropped.
func (r *Router) ApplyReport(ref endpoint.Ref, report engine.Report) {
	r.withSlot(ref, func(s *slot) { s.load.report(report) })
}

// report applies a report.
func (l *load) report(report engine.Report) {
	if report.Sequence <= l.sequence {
		return
	}
	l.sequence = report.Sequence
	l.askedAt = time.UnixMilli(report.Sequence)
	l.running, l.waiting, l.slots = report.Running, report.Waiting, max(report.Slots, 1)
	l.queuedTokens = report.QueuedTokens
	l.queuedAt = report.QueuedAt
	if l.queuedAt.IsZero() {
		l.queuedAt = time.UnixMilli(report.Sequence)
	}
	l.freeTokens = report.FreeTokens
	l.sentSince, l.endedSince = 0, 0
}

// freshFor is how long a report is good for: asking sooner shows nothing new.
const freshFor = time.Second

// NextToPoll returns the engine whose load was reported longest ago, if that is long enough, and
// notes it as asked.
func (r *Router) NextToPoll(now time.Time) (endpoint.Info, bool) {
	var oldest *slot
	var oldestAt time.Time
	for _, s := range r.slots() {
		s.group.mu.Lock()
		at, isModel := s.load.askedAt, s.info.Kind == endpoint.Model
		s.group.mu.Unlock()
		if isModel && (oldest == nil || at.Before(oldestAt)) {
			oldest, oldestAt = s, at
		}
	}
	if oldest == nil || now.Sub(oldestAt) < freshFor {
		return endpoint.Info{}, false
	}
	oldest.group.mu.Lock()
	defer oldest.group.mu.Unlock()
	oldest.load.askedAt = now
	return oldest.info, true
}

// Candidate is one line of an explanation.
type Candidate struct {
	Endpoint     endpoint.Info
	Usable       bool
	Wait         time.Duration
	Decode       time.Duration
	Risk         time.Duration
	Total        time.Duration
	CachedTokens int
	Running      int
	// Slots is how many run at once.
	Slots int
	// FreeTokens is KV memory left, in tokens, as last reported.
	FreeTokens int
	// HazardPerHour is the rate the risk was worked out with.
	HazardPerHour float64
}

// Explain returns the sums of every candidate, without choosing.
func (r *Router) Explain(q Query, now time.Time) []Candidate {
	g, byID := r.groupFor(q.Target)
	g.mu.Lock()
	defer g.mu.Unlock()
	cachedSlots := g.markCached(q, byID)
	defer cachedSlots.clear()
	q.hosts = r.sharers()
	list := make([]Candidate, 0, len(g.slots))
	for _, s := range g.slots {
		sc := r.score(s, q, now)
		list = append(list, Candidate{
			Endpoint: s.info, Usable: g.usable(s, q, now), Wait: sc.wait, Decode: sc.decode, Risk: sc.risk,
			Total: sc.total, CachedTokens: sc.cached, Running: s.load.running + s.load.sentSince - s.load.endedSince,
			Slots: s.load.slots, FreeTokens: s.load.freeTokens, HazardPerHour: s.load.rate,
		})
	}
	return list
}

// ChooseAt picks one endpoint that was decided on before. ok is false where it
// does not take the request: later is true if it may do so yet, because the
// request can wait and the endpoint has no room at the moment.
func (r *Router) ChooseAt(q Query, ref endpoint.Ref, now time.Time) (c Choice, ok, later bool) {
	g, byID := r.groupFor(q.Target)
	g.mu.Lock()
	defer g.mu.Unlock()
	s, known := byID[ref.ID]
	if !known || s.group != g || s.info.Ref() != ref {
		return Choice{}, false, false
	}
	if now.Before(s.load.backoff.own) || !s.load.allows(r.sharers(), now) {
		return Choice{}, false, false
	}
	if q.MayWait && !s.load.hasRoomForWaiting(q.stale) {
		return Choice{}, false, true
	}
	s.load.take()
	s.load.sentSince++
	s.load.ownRunning++
	r.underWay.Add(1)
	return Choice{Endpoint: s.info, sent: now}, true, false
}

// Lookup returns what is known of an endpoint.
func (r *Router) Lookup(id string) (endpoint.Info, bool) { return r.directory.Get(id) }

// TokenGap returns the time between tokens at an endpoint, as learned from all of
// its service.
func (r *Router) TokenGap(id string) time.Duration {
	s, ok := r.slots()[id]
	if !ok {
		return startTokenGap
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.group.model.Timings().TokenGap
}

// TotalSlots returns how many requests the endpoints of a target run at once.
func (r *Router) TotalSlots(t Target) int {
	g, _ := r.groupFor(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	for _, s := range g.slots {
		total += s.load.slots
	}
	return total
}

// EndpointCount returns how many endpoints take work for a target.
func (r *Router) EndpointCount(t Target) int {
	g, _ := r.groupFor(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.slots)
}

// OtherVersion returns a target of the same model and adapter that some endpoint
// serves in another version: while versions are rolled, a service must not go
// without. ok is false where there is none.
func (r *Router) OtherVersion(t Target) (Target, bool) {
	for _, info := range r.directory.View().Infos() {
		other := TargetOf(info)
		if info.AcceptsWork() && t.Model != "" && other.Model == t.Model && other.Adapter == t.Adapter {
			return other, true
		}
	}
	return t, false
}
