package route

import (
	"math"
	"time"
)

// workTime is how far back the work asked for is averaged.
const workTime = 4 * time.Second

// batchShare is how many requests share a step of an engine while it keeps
// its latency: the part of a step that a token costs.
const batchShare = 16

// work is engine time asked for, per second.
type work struct {
	rate float64
	at   time.Time
}

func (w *work) add(cost time.Duration, now time.Time) {
	w.fade(now)
	w.rate += cost.Seconds() / workTime.Seconds()
}

func (w *work) fade(now time.Time) {
	if elapsed := now.Sub(w.at); elapsed > 0 {
		w.rate *= math.Exp(-float64(elapsed) / float64(workTime))
		w.at = now
	}
}

// engineTime is what a request takes of an engine. The group's lock is held.
func (g *group) engineTime(uncached, answer int) time.Duration {
	f := g.model.Timings()
	return time.Duration(uncached)*f.PrefillPerToken + time.Duration(answer)*f.TokenGap/batchShare
}

// EngineDemand returns the engine time a second that this entry's requests for a
// target ask for, averaged over some seconds: 1 is one endpoint, never idle.
func (r *Router) EngineDemand(t Target, now time.Time) float64 {
	r.mu.RLock()
	g, known := r.groups[t]
	r.mu.RUnlock()
	if !known {
		// No request has asked for it.
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.work.fade(now)
	return g.work.rate
}
