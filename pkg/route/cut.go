package route

import (
	"time"

	"ironhollow/pkg/enginemodel"
)

// SetCut records that this entry has lost its links to endpoints, or has them again. since is when an
// endpoint last answered before the loss. Failures since then show nothing about endpoints, and the work
// of requests that are forwarded is counted by the entries that send them: what was counted is
// discarded, and while the links are lost nothing is counted.
func (r *Router) SetCut(cut bool, since, now time.Time) {
	if cut {
		r.cut.Store(true)
	}
	r.mu.RLock()
	for _, g := range r.groups {
		g.discardCut(since, now)
	}
	r.mu.RUnlock()
	if !cut {
		r.linkedAt.Store(now.UnixNano())
		r.cut.Store(false)
	}
}

// discardCut discards work, placements, evidence on speeds that was not sent, and failures since a
// given time.
func (g *group) discardCut(since, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.demand = demand{updatedAt: now, hitShare: g.demand.hitShare}
	g.placements = nil
	for _, list := range [][]*slot{g.slots, g.leaving} {
		for _, s := range list {
			s.load.unsentSpeed = enginemodel.Evidence{}
			if !s.load.failedAt.Before(since) {
				g.recordSuccess(s)
			}
		}
	}
}

// ignores reports whether the result of a choice shows nothing about its endpoint, as the links to
// endpoints were lost after the choice.
func (r *Router) ignores(c Choice) bool {
	return r.cut.Load() || c.sentAt.UnixNano() < r.linkedAt.Load()
}
