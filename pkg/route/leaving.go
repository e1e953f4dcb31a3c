package route

import (
	"math"
	"time"

	"ironhollow/pkg/endpoint"
)

// Parameters of the use of leaving endpoints. Endpoints ordered after a reclaim boot for longer than
// the notice lasts, and until its end the leaving endpoints still serve.
const (
	// leavingMargin is the least time between the expected end of a request and the time at which
	// its endpoint stops.
	leavingMargin = 200 * time.Millisecond
	// leavingDurationFactor is the factor by which a request may take longer than expected: the
	// length of an answer is known only roughly.
	leavingDurationFactor = 2
)

// SetLeavingWindow sets how long after its notice a leaving endpoint may get requests that it
// finishes in time, while no other endpoint has room. The default is 0: it gets none.
func (r *Router) SetLeavingWindow(window time.Duration) { r.leavingWindow.Store(int64(window)) }

// keepLeaving adds the leaving endpoints that this entry used to their groups. The router's lock
// must be held.
func (r *Router) keepLeaving(view *endpoint.View, old map[string]*slot) {
	if r.leavingWindow.Load() <= 0 {
		return
	}
	for _, info := range view.Infos() {
		previous, used := old[info.ID]
		if used && info.State == endpoint.Leaving && !info.LeaveBy.IsZero() && previous.group.keepLeaving(previous, info, r.leavingEnd(info)) {
			r.byID[info.ID] = previous
		}
	}
}

// leavingEnd returns the time from which a leaving endpoint gets no request.
func (r *Router) leavingEnd(info endpoint.Info) time.Time {
	end := info.LeavingSince.Add(time.Duration(r.leavingWindow.Load()))
	if stop := info.EarliestStop(); stop.Before(end) {
		return stop
	}
	return end
}

// keepLeaving adds a slot whose endpoint leaves, and reports whether it did. A slot that is ejected,
// or whose endpoint has a rate limit or is fragile, is not added.
func (g *group) keepLeaving(s *slot, info endpoint.Info, end time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.info.Ref() != info.Ref() || s.load.failures >= ejectAfter || s.load.bucket != nil || s.load.fragile != nil {
		return false
	}
	// The row of a leaving endpoint need not contain its address.
	s.info.State, s.info.LeaveBy, s.info.MayStopAt, s.info.LeavingSince = info.State, info.LeaveBy, info.MayStopAt, info.LeavingSince
	s.leaving = true
	g.leaving = append(g.leaving, s)
	if end.After(g.leavingUntil) {
		g.leavingUntil = end
	}
	return true
}

// pickLeaving returns the leaving endpoint with the least expected time among those that finish the
// request before they stop; nil if there is none. The group's lock must be held.
func (r *Router) pickLeaving(g *group, byID map[string]*slot, q Query, now time.Time) (*slot, score) {
	if len(g.leaving) == 0 || !now.Before(g.leavingUntil) {
		return nil, score{}
	}
	cachedSlots := g.markCached(q, byID, true)
	defer cachedSlots.clear()
	var best *slot
	var bestScore score
	least := time.Duration(math.MaxInt64)
	consider := func(s *slot) {
		if !now.Before(r.leavingEnd(s.info)) || !q.Rule.Allows(&s.info) || !g.usableNow(s, q, now) {
			return
		}
		sc := r.score(s, q, now)
		if !finishesBeforeLeaving(s, sc, now) {
			return
		}
		least = min(least, sc.queueTime)
		if best == nil || sc.total < bestScore.total {
			best, bestScore = s, sc
		}
	}
	for range q.SampleSize {
		consider(g.leaving[g.random.IntN(len(g.leaving))])
	}
	if best == nil {
		// The number considered is bounded, as in a shortage every refused request gets here.
		first := g.random.IntN(len(g.leaving))
		for i := range min(len(g.leaving), scanLimit) {
			consider(g.leaving[(first+i)%len(g.leaving)])
		}
	}
	bestScore.leastQueueTime = least
	return best, bestScore
}

// finishesBeforeLeaving reports whether a leaving endpoint is expected to finish the request before it
// stops.
func finishesBeforeLeaving(s *slot, sc score, now time.Time) bool {
	duration := leavingDurationFactor*(sc.wait+sc.decode) + leavingMargin
	return now.Add(duration).Before(s.info.EarliestStop())
}
