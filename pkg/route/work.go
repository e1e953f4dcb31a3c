package route

import (
	"math"
	"time"
)

// demandWindow is the time constant over which the demand is averaged.
const demandWindow = 4 * time.Second

// batchSize is the number of requests that share a step of an engine without slowing it down. A
// token costs 1/batchSize of a step.
const batchSize = 16

// demand is a moving average of the requested engine time per second.
type demand struct {
	perSecond float64
	updatedAt time.Time
}

func (d *demand) add(cost time.Duration, now time.Time) {
	d.decay(now)
	d.perSecond += cost.Seconds() / demandWindow.Seconds()
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.perSecond *= math.Exp(-float64(elapsed) / float64(demandWindow))
		d.updatedAt = now
	}
}

// engineTime returns the engine time that a request needs. The group's lock must be held.
func (g *group) engineTime(uncached, answer int) time.Duration {
	f := g.speed.Timings()
	return time.Duration(uncached)*f.PrefillPerToken + time.Duration(answer)*f.TokenGap/batchSize
}

// EngineDemand returns the engine time per second that this entry's requests for a target need,
// averaged over some seconds. 1 is one endpoint that is never idle.
func (r *Router) EngineDemand(t Target, now time.Time) float64 {
	r.mu.RLock()
	g, known := r.groups[t]
	r.mu.RUnlock()
	if !known {
		// No request for this target was received.
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.demand.decay(now)
	return g.demand.perSecond
}
