package route

import "time"

// pickNaive chooses by a naive strategy, as a baseline for the choice by expected time. It ignores
// caches, reclaims, failures other than the request's own, and queues beyond the latest reports.
// Backoffs and limits still apply. The group's lock must be held.
func (g *group) pickNaive(q Query, strategy Strategy, now time.Time) *slot {
	usable := func(s *slot) bool {
		if now.Before(s.load.backoff.requestedUntil) || !s.allows(q.hosts, now) {
			return false
		}
		return !q.avoids(s.info.Ref())
	}
	count := len(g.slots)
	if count == 0 {
		return nil
	}
	switch strategy {
	case LeastReported:
		return g.leastReportedLoad(usable)
	case PowerOfTwo:
		return lessLoaded(g.nextUsable(g.random.IntN(count), usable), g.nextUsable(g.random.IntN(count), usable))
	case Random:
		return g.nextUsable(g.random.IntN(count), usable)
	default:
		g.roundRobinIndex++
		return g.nextUsable(g.roundRobinIndex%count, usable)
	}
}

// nextUsable returns the first usable slot at or after an index, wrapping around.
func (g *group) nextUsable(from int, usable func(*slot) bool) *slot {
	for i := range g.slots {
		s := g.slots[(from+i)%len(g.slots)]
		if usable(s) {
			return s
		}
	}
	return nil
}

// leastReportedLoad returns the usable slot with the lowest load in the latest reports, however
// stale.
func (g *group) leastReportedLoad(usable func(*slot) bool) *slot {
	var best *slot
	for _, s := range g.slots {
		if usable(s) && (best == nil || s.load.running+s.load.waiting < best.load.running+best.load.waiting) {
			best = s
		}
	}
	return best
}

// lessLoaded returns the slot with the lower load in the latest reports.
func lessLoaded(a, b *slot) *slot {
	if a == nil || (b != nil && b.load.running+b.load.waiting < a.load.running+a.load.waiting) {
		return b
	}
	return a
}
