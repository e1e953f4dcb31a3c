package route

import (
	"time"

	"ironhollow/pkg/endpoint"
)

// Parameters of the penalty for a refusal for which the endpoint requests no backoff. A refusal is
// cheap, leaves its connection open and frees the endpoint at once. Without a penalty, all of
// these would favour an endpoint that refuses everything.
const (
	// firstPenalty is the penalty for the first refusal. It doubles with each further refusal, up
	// to maxPenalty.
	firstPenalty = 250 * time.Millisecond
	// maxPenalty bounds the time until an endpoint that serves again is detected.
	maxPenalty = time.Second
	// penaltyDecayTime is the time without a refusal after which one refusal is no longer counted.
	penaltyDecayTime = 2 * maxPenalty
	// maxRefusalDoublings is the number of refusals that lengthen the penalty.
	maxRefusalDoublings = 2
	// maxPenalizedShare is the share of penalized endpoints above which penalties are ignored: the
	// service is full then, and requests are spread by load alone.
	maxPenalizedShare = 0.5
)

// Penalize records that an endpoint refused a request of this entry. The remaining penalty counts
// as waiting time, so that the endpoint is still chosen if all others would take longer. Penalties
// are not sent to other hosts: otherwise all of them would have the prompts that the endpoint has
// cached computed again elsewhere.
func (r *Router) Penalize(ref endpoint.Ref, now time.Time) {
	r.withSlot(ref, func(s *slot) { s.penalize(now) })
}

// penalize extends the penalty for a refusal. The group's lock must be held.
func (s *slot) penalize(now time.Time) {
	l := &s.load
	decayed := int(now.Sub(l.refusedAt) / penaltyDecayTime)
	l.refusals = max(l.refusals-decayed, 0)
	until := now.Add(min(firstPenalty<<l.refusals, maxPenalty))
	l.refusals = min(l.refusals+1, maxRefusalDoublings)
	l.refusedAt = now
	l.backoff.penaltyUntil = later(l.backoff.penaltyUntil, until)
	s.group.noteBackoff(l.backoff)
}

// tooManyPenalized reports whether more than maxPenalizedShare of the endpoints have a penalty.
// The group's lock must be held.
func (g *group) tooManyPenalized(now time.Time) bool {
	if !now.Before(g.penaltiesUntil) {
		return false
	}
	count := 0
	for _, s := range g.slots {
		if now.Before(s.load.backoff.penaltyUntil) {
			count++
		}
	}
	return float64(count) > maxPenalizedShare*float64(len(g.slots))
}
