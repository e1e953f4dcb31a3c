package route

import (
	"time"

	"ironhollow/pkg/endpoint"
)

// Parameters of what a refusal counts for, where the endpoint names no rest. A refusal is
// cheap, leaves its connection open and frees the endpoint at once, so that each of these
// speaks for the endpoint that turns all away, and with it all callers.
const (
	// firstSetBack is for how long the first refusal in a while counts, doubled with each
	// further one up to mostSetBack: a prompt that is kept there speaks for some 0.5 s.
	firstSetBack = 250 * time.Millisecond
	// mostSetBack bounds the time after which an endpoint that serves again is found out.
	mostSetBack = time.Second
	// setBackFades is the time without refusal after which one is forgotten.
	setBackFades = 2 * mostSetBack
	// mostRefusals is from how many on no further one counts.
	mostRefusals = 2
	// setBackShare is from which part of the endpoints on set-backs are left out of the
	// choice: then the service is full, and requests are spread by loads alone.
	setBackShare = 0.5
)

// SetBack notes that an endpoint has turned a request of this entry away. Until a time
// after it a request is reckoned to wait there for what is left of that: the endpoint is
// asked again where all others would take longer, so that a service which is full as a
// whole loses none. Other hosts are not told: prompts kept at the endpoint would be read
// anew elsewhere by all of them, which on a day of refusals took 1.3 million tokens and
// two hundredths of the worth.
func (r *Router) SetBack(ref endpoint.Ref, now time.Time) {
	r.withSlot(ref, func(s *slot) { s.setBack(now) })
}

// setBack notes a refusal. The group's lock is held.
func (s *slot) setBack(now time.Time) {
	l := &s.load
	faded := int(now.Sub(l.refusedAt) / setBackFades)
	l.refusals = max(l.refusals-faded, 0)
	until := now.Add(min(firstSetBack<<l.refusals, mostSetBack))
	l.refusals = min(l.refusals+1, mostRefusals)
	l.refusedAt = now
	l.rest.told = later(l.rest.told, until)
	s.group.noteRest(l.rest)
}

// allSetBack reports whether more than setBackShare of the endpoints are set back. The
// group's lock is held.
func (g *group) allSetBack(now time.Time) bool {
	if !now.Before(g.setBacksUntil) {
		return false
	}
	count := 0
	for _, s := range g.slots {
		if now.Before(s.load.rest.told) {
			count++
		}
	}
	return float64(count) > setBackShare*float64(len(g.slots))
}
