package route

import (
	"math"
	"time"

	"ironhollow/pkg/endpoint"
)

// Parameters of the use of leaving endpoints. After a reclaim of many endpoints, those that replace
// them boot for longer than the notice, and the leaving ones still serve until its end.
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
		if !used || info.State != endpoint.Leaving || info.LeaveBy.IsZero() || previous.info.Ref() != info.Ref() {
			continue
		}
		if previous.load.failures >= ejectAfter || previous.load.bucket != nil {
			continue
		}
		previous.group.keepLeaving(previous, info)
		r.byID[info.ID] = previous
	}
}

func (g *group) keepLeaving(s *slot, info endpoint.Info) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.info = info
	s.leaving = true
	g.leaving = append(g.leaving, s)
}

// pickLeaving returns the leaving endpoint with the least expected time among those that finish the
// request before they stop; nil if there is none. The group's lock must be held.
func (r *Router) pickLeaving(g *group, byID map[string]*slot, q Query, now time.Time) (*slot, score) {
	if len(g.leaving) == 0 {
		return nil, score{}
	}
	cachedSlots := g.markCached(q, byID, true)
	defer cachedSlots.clear()
	var best *slot
	var bestScore score
	least := time.Duration(math.MaxInt64)
	consider := func(s *slot) {
		sc := r.score(s, q, now)
		if !r.finishesBeforeLeaving(s, sc, now) || !q.Rule.Allows(&s.info) || !g.usableNow(s, q, now) {
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
		for _, s := range g.leaving {
			consider(s)
		}
	}
	bestScore.leastQueueTime = least
	return best, bestScore
}

// finishesBeforeLeaving reports whether a leaving endpoint may still get the request and is expected
// to finish it in time.
func (r *Router) finishesBeforeLeaving(s *slot, sc score, now time.Time) bool {
	if now.Sub(s.info.LeavingSince) >= time.Duration(r.leavingWindow.Load()) {
		return false
	}
	duration := leavingDurationFactor*(sc.wait+sc.decode) + leavingMargin
	return now.Add(duration).Before(s.info.LeaveBy)
}
