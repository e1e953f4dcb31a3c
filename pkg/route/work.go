package route

import (
	"math"
	"time"

	"ironhollow/pkg/rollout"
)

// demandWindow is the time constant over which the demand is averaged.
const demandWindow = 4 * time.Second

// batchSize is the number of requests that share a step of an engine without slowing it down. A
// token costs 1/batchSize of a step.
const batchSize = 16

// Parameters of the measurement of refused work.
const (
	// refusedWeight is the weight of refused work: callers return once after a refusal, so that
	// most of it is offered twice.
	refusedWeight = 0.5
	// hitShareSmoothing is the weight of one request in the share of prompt tokens that are cached:
	// about the latest hundred requests count.
	hitShareSmoothing = 0.01
)

// demand holds moving averages, per second, of the work that was offered.
type demand struct {
	// engineTime is the requested engine time. Of it, refusedTime is the time of requests that
	// were refused for lack of room, weighted by refusedWeight; offeredTime is that time and the
	// time of all requests that were sent.
	engineTime, offeredTime, refusedTime float64
	// slotTime is the time for which requests hold a slot, tokenTime the number of tokens that they
	// hold in memory multiplied by that time. Both determine the need for endpoints, not the choice.
	slotTime, tokenTime float64
	updatedAt           time.Time
	// hitShare is the share of prompt tokens that were estimated to be cached.
	hitShare float64
}

// Work is the work that was offered to a target, per second.
type Work struct {
	// SlotTime is the time for which requests hold a slot of an endpoint, in slot seconds a second.
	SlotTime float64
	// TokenTime is the number of tokens that requests hold in memory at a time.
	TokenTime float64
	// Offered is the engine time requested, in engine seconds a second; Refused is the part of it
	// that was refused for lack of room.
	Offered, Refused float64
}

// cost is the work of one request.
type cost struct {
	engineTime, slotTime, tokenTime float64
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(demandWindow))
	for _, average := range []*float64{&d.engineTime, &d.offeredTime, &d.refusedTime, &d.slotTime, &d.tokenTime} {
		*average *= factor
	}
	d.updatedAt = now
}

// add adds a request's work, multiplied by weight, to the averages of engine, slot and token time.
func (d *demand) add(c cost, weight float64) {
	weight /= demandWindow.Seconds()
	d.engineTime += weight * c.engineTime
	d.slotTime += weight * c.slotTime
	d.tokenTime += weight * c.tokenTime
}

// addOffered adds a request for which an endpoint was found.
func (d *demand) addOffered(c cost, refused bool, now time.Time) {
	d.decay(now)
	d.add(c, 1)
	share := c.engineTime / demandWindow.Seconds()
	if refused {
		share *= refusedWeight
		d.refusedTime += share
	}
	d.offeredTime += share
}

// addUnplaced adds a request for which no endpoint was found.
func (d *demand) addUnplaced(c cost, now time.Time) {
	d.decay(now)
	d.add(c, refusedWeight)
	share := refusedWeight * c.engineTime / demandWindow.Seconds()
	d.refusedTime += share
	d.offeredTime += share
}

// costOf returns the work of a request with the given number of prompt tokens that need prefill.
// The group's lock must be held.
func (g *group) costOf(q Query, uncached int) cost {
	f := g.speed.Timings()
	held := f.TimeToFirstToken(uncached).Seconds() + float64(q.AnswerTokens)*f.TokenGap.Seconds()
	tokens := float64(q.PromptTokens+q.GeneratedTokens) + float64(q.AnswerTokens)/2
	return cost{engineTime: g.engineTime(uncached, q.AnswerTokens).Seconds(), slotTime: held, tokenTime: held * tokens}
}

// countOffered counts the work of a request for which an endpoint was found. It does not count requests
// that were sent before, as they are counted already: while connections to endpoints fail, each attempt
// would count as a further request. The group's lock must be held.
func (g *group) countOffered(q Query, uncached int, refused bool, now time.Time) {
	if q.Continues || len(q.Avoid) > 0 {
		return
	}
	g.demand.addOffered(g.costOf(q, uncached), refused, now)
	if q.PromptTokens > 0 {
		hit := 1 - float64(uncached)/float64(q.PromptTokens)
		g.demand.hitShare += hitShareSmoothing * (hit - g.demand.hitShare)
	}
}

// countUnplaced counts the work of a request for which no endpoint was found. It does not count
// requests that were sent before, as they are counted already, work that may wait, and requests
// that only the rule of a roll-out keeps from an endpoint, as they are sent to another version.
// The group's lock must be held.
func (g *group) countUnplaced(q Query, now time.Time) {
	if len(q.Avoid) > 0 || q.MayWait || q.Continues {
		return
	}
	anyVersion := q
	anyVersion.Rule, anyVersion.Confirms = rollout.Rule{}, nil
	for _, s := range g.slots {
		if g.usable(s, anyVersion, now) {
			return
		}
	}
	g.countUnsent(q, now)
}

// countUnsent counts the work of a request that was refused before an endpoint was chosen. The
// group's lock must be held.
func (g *group) countUnsent(q Query, now time.Time) {
	uncached := int((1 - g.demand.hitShare) * float64(q.PromptTokens))
	g.demand.addUnplaced(g.costOf(q, uncached), now)
}

// RecordRefusal counts the work of a request that was refused for lack of room without a call of
// Choose.
func (r *Router) RecordRefusal(q Query, now time.Time) {
	if r.cut.Load() {
		return
	}
	g, _ := r.groupFor(q.Target)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.countUnsent(q, now)
}

// engineTime returns the engine time that a request needs. The group's lock must be held.
func (g *group) engineTime(uncached, answer int) time.Duration {
	f := g.speed.Timings()
	step := f.StepTime
	if step == 0 {
		step = f.TokenGap
	}
	// The token gap also contains the prefill of other prompts, which would be counted again with
	// each answer: the need would grow as the number of engines falls.
	return time.Duration(uncached)*f.PrefillPerToken + time.Duration(answer)*step/batchSize
}

// EngineDemand returns the engine time per second that this entry's requests for a target need,
// averaged over some seconds. 1 is one endpoint that is never idle.
func (r *Router) EngineDemand(t Target, now time.Time) float64 {
	return r.demandOf(t, now).engineTime
}

// Work returns the work that this entry's callers offered to a target, averaged over some seconds.
func (r *Router) Work(t Target, now time.Time) Work {
	d := r.demandOf(t, now)
	return Work{SlotTime: d.slotTime, TokenTime: d.tokenTime, Offered: d.offeredTime, Refused: d.refusedTime}
}

// demandOf returns a target's averages as of now.
func (r *Router) demandOf(t Target, now time.Time) demand {
	r.mu.RLock()
	g, known := r.groups[t]
	r.mu.RUnlock()
	if !known {
		// No request for this target was received.
		return demand{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.demand.decay(now)
	return g.demand
}
