package route

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/ratelimit"
)

// backoff holds the times until which an endpoint gets no requests, or fewer. The zero value means
// no backoff.
type backoff struct {
	incarnation int64
	// requestedUntil is the end of the backoff that the endpoint requested from this entry. No
	// request is sent before it.
	requestedUntil time.Time
	// penaltyUntil is the end of the penalty for a backoff requested from another entry, or for a
	// refusal. The remaining penalty counts as waiting time, so that the endpoint is chosen only
	// if all others would take longer.
	penaltyUntil time.Time
}

// expired reports whether both times have passed.
func (b backoff) expired(now time.Time) bool {
	return !now.Before(b.requestedUntil) && !now.Before(b.penaltyUntil)
}

// backoffCleanupSize is the number of stored backoffs from which expired ones are removed.
const backoffCleanupSize = 256

// SetBackoff stops this entry from sending requests to an endpoint until the given time, or until
// the end of an earlier backoff if that is later. It reports whether this starts a new backoff.
func (r *Router) SetBackoff(ref endpoint.Ref, until, now time.Time) (started bool) {
	r.changeBackoff(ref, now, func(held *backoff) {
		started = !now.Before(held.requestedUntil)
		held.requestedUntil = later(held.requestedUntil, until)
	})
	return started
}

// SetPeerBackoff records that an endpoint requested a backoff from another entry.
func (r *Router) SetPeerBackoff(ref endpoint.Ref, until, now time.Time) {
	r.changeBackoff(ref, now, func(held *backoff) { held.penaltyUntil = later(held.penaltyUntil, until) })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// changeBackoff changes the backoff of an endpoint's incarnation, and the copy in its slot if the
// endpoint is in use. The backoff is stored outside the slot because slots are rebuilt when this
// entry's subset of the endpoints changes.
func (r *Router) changeBackoff(ref endpoint.Ref, now time.Time, change func(*backoff)) {
	r.mu.Lock()
	held := r.backoffs[ref.ID]
	if held.incarnation != ref.Incarnation {
		held = backoff{incarnation: ref.Incarnation}
	}
	change(&held)
	r.dropExpiredBackoffs(now)
	r.backoffs[ref.ID] = held
	r.mu.Unlock()
	r.withSlot(ref, func(s *slot) {
		s.load.backoff = s.load.backoff.merge(held)
		s.group.noteBackoff(s.load.backoff)
	})
}

// noteBackoff updates the times at which the group's last backoff and last penalty end. The
// group's lock must be held.
func (g *group) noteBackoff(b backoff) {
	g.backoffsUntil = later(g.backoffsUntil, b.requestedUntil)
	g.penaltiesUntil = later(g.penaltiesUntil, b.penaltyUntil)
}

// merge returns the longer of two backoffs of an incarnation, and the longer of their penalties.
func (b backoff) merge(other backoff) backoff {
	return backoff{b.incarnation, later(b.requestedUntil, other.requestedUntil), later(b.penaltyUntil, other.penaltyUntil)}
}

// dropExpiredBackoffs removes expired backoffs once there are many. The router's lock must be
// held.
func (r *Router) dropExpiredBackoffs(now time.Time) {
	if len(r.backoffs) < backoffCleanupSize {
		return
	}
	for id, held := range r.backoffs {
		if held.expired(now) {
			delete(r.backoffs, id)
		}
	}
}

// backoffOf returns the backoff of an endpoint's incarnation. The router's lock must be held.
func (r *Router) backoffOf(ref endpoint.Ref) backoff {
	if held := r.backoffs[ref.ID]; held.incarnation == ref.Incarnation {
		return held
	}
	return backoff{incarnation: ref.Incarnation}
}

// TimeUntilAvailable returns the time until the first endpoint's backoff ends or its limit has
// room; 0 if an endpoint accepts work now, or if there is none. Endpoints to be avoided are
// included, because the caller's next attempt may use them.
func (r *Router) TimeUntilAvailable(q Query, now time.Time) time.Duration {
	g, _ := r.groupFor(q.Target)
	hosts := r.limitHosts()
	g.mu.Lock()
	defer g.mu.Unlock()
	var shortest time.Duration
	for _, s := range g.slots {
		if !q.Rule.Allows(&s.info) {
			continue
		}
		remaining := s.timeUntilAvailable(hosts, now)
		if remaining <= 0 {
			return 0
		}
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}

// unavailableOf returns the number of slots that may take a request and, of these, how many are ejected,
// in backoff or at their limit. The group's lock must be held.
func (g *group) unavailableOf(q *Query, now time.Time) (unavailable, total int) {
	for _, s := range g.slots {
		if !q.Rule.Allows(&s.info) {
			continue
		}
		total++
		if now.Before(s.load.ejectedUntil) || now.Before(s.load.backoff.requestedUntil) || !s.load.allows(q.hosts, now) {
			unavailable++
		}
	}
	return unavailable, total
}

// unavailable returns the number of slots that are ejected, in backoff or at their limit. The
// group's lock must be held.
func (g *group) unavailable(hosts *ratelimit.Hosts, now time.Time) int {
	count := g.ejectedCount
	if !now.Before(g.backoffsUntil) && g.limitedCount == 0 {
		return count
	}
	for _, s := range g.slots {
		if s.load.failures < ejectAfter && (now.Before(s.load.backoff.requestedUntil) || !s.load.allows(hosts, now)) {
			count++
		}
	}
	return count
}

// usesEjected reports whether ejected endpoints may take the request.
func (g *group) usesEjected(q *Query, now time.Time) bool {
	unavailable, total := g.unavailable(q.hosts, now), len(g.slots)
	if q.Rule.IsPinned {
		unavailable, total = g.unavailableOf(q, now)
	}
	return float64(unavailable) > maxEjectShare*float64(total)
}
