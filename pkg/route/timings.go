package route

import "ironhollow/pkg/enginemodel"

// Timings returns the estimated speed of the engines of a target.
func (r *Router) Timings(t Target) enginemodel.Timings {
	g, _ := r.groupFor(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.speed.Timings()
}
