package route

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
)

// Result is the outcome of a choice.
type Result struct {
	// Failed is set if the endpoint is at fault, but not if the caller disconnected.
	Failed bool
	// Refused is set if the endpoint rejected the request. This counts neither as a failure nor as
	// a success.
	Refused bool
	// Abandoned is set if the endpoint may still be working on the request for a moment.
	Abandoned bool
	// PrefillDone is set if Router.PrefillDone was called for the choice.
	PrefillDone bool
	// FirstToken is the time to the first token; 0 if there was none.
	FirstToken time.Duration
	// Tokens and Decode are the number of tokens and the decoding time, from which the gap between
	// tokens is computed; 0 if not measured.
	Tokens int
	Decode time.Duration
	// PromptTokens and CachedTokens are the counts reported by the engine; 0 if it reported none.
	// TokensReported is set if it did.
	PromptTokens, CachedTokens int
	TokensReported             bool
	// Canary is set if the endpoint runs a version under trial. Its speed is not used to estimate
	// that of the service.
	Canary bool
}

// Done completes a choice and updates the estimates from its result.
func (r *Router) Done(c Choice, result Result, now time.Time) {
	r.inFlight.Add(-1)
	if r.ignores(c) {
		// A result that counts neither as a failure nor as a success, and has no measurements.
		result = Result{Refused: true, PrefillDone: result.PrefillDone}
	}
	isFragile := false
	r.withSlot(c.Endpoint.Ref(), func(s *slot) {
		s.done(c, result, now)
		isFragile = s.load.fragile != nil
		if s.load.unsentSpeed.Weight > 0 {
			r.hasUnsentSpeeds.Store(true)
		}
	})
	if isFragile && r.releaseHandler != nil {
		r.releaseHandler(TargetOf(c.Endpoint))
	}
}

// withSlot calls update with the slot of an endpoint's incarnation, under its group's lock. It
// does nothing if the incarnation is not in use.
func (r *Router) withSlot(ref endpoint.Ref, update func(*slot)) {
	s, ok := r.slots()[ref.ID]
	if !ok {
		return
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.info.Ref() == ref {
		update(s)
	}
}

// done completes a choice of the slot. The group's lock must be held.
func (s *slot) done(c Choice, result Result, now time.Time) {
	l := &s.load
	l.localRunning = max(l.localRunning-1, 0)
	if l.fragile != nil {
		l.fragile.Release(c.sentAt, result.Abandoned, now)
	}
	if !result.PrefillDone {
		l.localPrefillTokens = max(l.localPrefillTokens-c.uncachedTokens, 0)
	}
	// The report counts the requests sent before it; sentSinceReport counts those sent after it.
	if l.reportSequence > c.sentAt.UnixMilli() {
		l.endedSinceReport++
	} else {
		l.sentSinceReport = max(l.sentSinceReport-1, 0)
	}
	if result.Failed {
		s.group.recordFailure(s, now)
		return
	}
	if result.Refused {
		return
	}
	s.group.recordSuccess(s)
	l.meanDuration = smooth(l.meanDuration, now.Sub(c.sentAt))
	if !result.Canary {
		s.updateSpeed(c, result, now)
	}
	if result.TokensReported && c.CachedTokens > 0 {
		l.updateCacheTrust(c.CachedTokens, result.CachedTokens)
	}
}

// PrefillDone records that a request's prompt has been prefilled: its first token has arrived. If
// it is not called, Done records this.
func (r *Router) PrefillDone(c Choice) {
	r.withSlot(c.Endpoint.Ref(), func(s *slot) { s.load.localPrefillTokens = max(s.load.localPrefillTokens-c.uncachedTokens, 0) })
}

// LocalLoad is the load of this entry's requests in flight at an endpoint.
type LocalLoad struct {
	Endpoint endpoint.Info
	Running  int
	// PrefillTokens counts the prompt tokens of requests that have no first token yet.
	PrefillTokens int
}

// HasInFlight reports whether this entry has requests in flight.
func (r *Router) HasInFlight() bool { return r.inFlight.Load() > 0 }

// LocalLoads returns the endpoints at which this entry has requests in flight. An entry without
// any does not update its groups for this: most hosts of a large fleet take no callers, while
// thousands of endpoints may come and go.
func (r *Router) LocalLoads() []LocalLoad {
	if !r.HasInFlight() {
		return nil
	}
	var list []LocalLoad
	for _, s := range r.slots() {
		s.group.mu.Lock()
		if s.load.localRunning > 0 {
			list = append(list, LocalLoad{s.info, s.load.localRunning, s.load.localPrefillTokens})
		}
		s.group.mu.Unlock()
	}
	return list
}

// minCacheTrust is the minimum of cacheTrust. It keeps an endpoint's cache in use, so that the
// trust can recover.
const minCacheTrust = 0.1

// updateCacheTrust compares the estimated number of cached tokens with the number reported by the
// engine. Cache events arrive late and with gaps; only the number reported with each answer shows
// that an endpoint evicts sooner than this process estimates.
func (l *load) updateCacheTrust(estimated, actual int) {
	accuracy := min(1, float64(actual)/float64(estimated))
	l.cacheTrust = max(minCacheTrust, l.cacheTrust+smoothing*(accuracy-l.cacheTrust))
}

func smooth(average, sample time.Duration) time.Duration {
	return average + time.Duration(smoothing*float64(sample-average))
}

// recordFailure counts a failure and ejects the endpoint after several in a row, for longer each
// time.
func (g *group) recordFailure(s *slot, now time.Time) {
	l := &s.load
	l.failures++
	l.failedAt = now
	if l.failures < ejectAfter {
		return
	}
	if l.failures == ejectAfter && !s.leaving {
		g.ejectedCount++
	}
	l.ejectedUntil = now.Add(min(minEjectTime<<min(l.ejections, 8), maxEjectTime))
	l.ejections++
}

func (g *group) recordSuccess(s *slot) {
	if s.load.failures >= ejectAfter && !s.leaving {
		g.ejectedCount--
	}
	s.load.failures = 0
	s.load.ejections = 0
	s.load.ejectedUntil = time.Time{}
}

// ApplyReport applies an endpoint's load report. A report that is not newer than the latest is
// dropped.
func (r *Router) ApplyReport(ref endpoint.Ref, report engine.Report) {
	r.withSlot(ref, func(s *slot) { s.load.applyReport(report) })
}

func (l *load) applyReport(report engine.Report) {
	if report.Sequence <= l.reportSequence {
		return
	}
	l.reportSequence = report.Sequence
	l.polledAt = time.UnixMilli(report.Sequence)
	l.running, l.waiting, l.slots = report.Running, report.Waiting, max(report.Slots, 1)
	l.queuedTokens = report.QueuedTokens
	l.queuedAt = report.QueuedAt
	if l.queuedAt.IsZero() {
		l.queuedAt = time.UnixMilli(report.Sequence)
	}
	l.freeTokens = report.FreeTokens
	l.sentSinceReport, l.endedSinceReport = 0, 0
}

// minPollInterval is the minimum time between polls of an endpoint's load. A more frequent poll
// would return nothing new.
const minPollInterval = time.Second

// NextToPoll returns the engine whose load was polled or reported longest ago, and marks it as
// polled. The result is false if that was less than minPollInterval ago.
func (r *Router) NextToPoll(now time.Time) (endpoint.Info, bool) {
	var oldest *slot
	var oldestAt time.Time
	for _, s := range r.slots() {
		s.group.mu.Lock()
		at, isModel := s.load.polledAt, s.info.Kind == endpoint.Model
		s.group.mu.Unlock()
		if isModel && (oldest == nil || at.Before(oldestAt)) {
			oldest, oldestAt = s, at
		}
	}
	if oldest == nil || now.Sub(oldestAt) < minPollInterval {
		return endpoint.Info{}, false
	}
	oldest.group.mu.Lock()
	defer oldest.group.mu.Unlock()
	oldest.load.polledAt = now
	return oldest.info, true
}

// Candidate is one endpoint in the explanation of a choice.
type Candidate struct {
	Endpoint     endpoint.Info
	Usable       bool
	Wait         time.Duration
	Decode       time.Duration
	Risk         time.Duration
	Total        time.Duration
	CachedTokens int
	Running      int
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// FreeTokens is the free KV memory in tokens, as last reported.
	FreeTokens int
	// SpeedFactor is the time that the endpoint takes relative to the others of its target.
	SpeedFactor float64
	// HazardPerHour is the reclaim rate from which Risk was computed.
	HazardPerHour float64
}

// Explain returns the estimates for every candidate, without choosing one.
func (r *Router) Explain(q Query, now time.Time) []Candidate {
	g, byID := r.groupFor(q.Target)
	g.mu.Lock()
	defer g.mu.Unlock()
	cachedSlots := g.markCached(q, byID, false)
	defer cachedSlots.clear()
	q.hosts = r.limitHosts()
	g.refreshFactors(now)
	list := make([]Candidate, 0, len(g.slots))
	for _, s := range g.slots {
		sc := r.score(s, q, now)
		list = append(list, Candidate{
			Endpoint: s.info, Usable: g.usable(s, q, now), Wait: sc.wait, Decode: sc.decode, Risk: sc.risk,
			Total: sc.total, CachedTokens: sc.cachedTokens, Running: s.load.running + s.load.sentSinceReport - s.load.endedSinceReport,
			Slots: s.load.slots, FreeTokens: s.load.freeTokens, SpeedFactor: s.load.factor, HazardPerHour: s.load.hazardPerHour,
		})
	}
	return list
}

// ChooseAt chooses an endpoint that was selected before. ok is false if it does not accept the
// request; later is true if it may do so later, because the request can wait and the endpoint has
// no room at present.
func (r *Router) ChooseAt(q Query, ref endpoint.Ref, now time.Time) (c Choice, ok, later bool) {
	g, byID := r.groupFor(q.Target)
	g.mu.Lock()
	defer g.mu.Unlock()
	s, known := byID[ref.ID]
	if !known || s.group != g || s.info.Ref() != ref {
		return Choice{}, false, false
	}
	q.hosts = r.limitHosts()
	ignoringRoom := q
	ignoringRoom.MayWait = false
	if !g.usable(s, ignoringRoom, now) {
		return Choice{}, false, false
	}
	if !g.usable(s, q, now) {
		return Choice{}, false, true
	}
	return r.take(q, Choice{Endpoint: s.info, sentAt: now}, s), true, false
}

// Lookup returns the directory's information on an endpoint.
func (r *Router) Lookup(id string) (endpoint.Info, bool) { return r.directory.Get(id) }

// TokenGap returns the estimated time between tokens at an endpoint.
func (r *Router) TokenGap(id string) time.Duration {
	s, ok := r.slots()[id]
	if !ok {
		return initialTokenGap
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.timings().TokenGap
}

// TotalSlots returns the number of requests that the endpoints of a target run concurrently.
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

// EndpointCount returns the number of endpoints that accept work for a target.
func (r *Router) EndpointCount(t Target) int {
	g, _ := r.groupFor(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.slots)
}

// OtherVersion returns a target of the same model and adapter that an endpoint serves in another
// version, so that the service stays available while versions are rolled out. The result is false
// if there is none.
func (r *Router) OtherVersion(t Target) (Target, bool) {
	for _, info := range r.directory.View().Infos() {
		other := TargetOf(info)
		if info.AcceptsWork() && t.Model != "" && other.Model == t.Model && other.Adapter == t.Adapter {
			return other, true
		}
	}
	return t, false
}
