package route

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/ratelimit"
)

// backoff is until when an endpoint gets no requests, or fewer. The zero value is for none.
type backoff struct {
	incarnation int64
	// own ends the backoff that the endpoint asked this entry for: nothing is sent before.
	own time.Time
	// penalty ends a backoff that it asked another entry for, or that follows a refusal. What
	// is left of it counts as time that a request would wait there, so that the endpoint is
	// chosen where all others would take longer.
	penalty time.Time
}

// over reports whether nothing is left of the backoff.
func (r backoff) over(now time.Time) bool { return !now.Before(r.own) && !now.Before(r.penalty) }

// maxBackoffs is how many backoffs are kept before those that are over are dropped.
const maxBackoffs = 256

// SetBackoff keeps requests of this entry from an endpoint until a time, or a later one that was
// set before. It reports whether that begins a backoff.
func (r *Router) SetBackoff(ref endpoint.Ref, until, now time.Time) (begins bool) {
	r.changeBackoff(ref, now, func(held *backoff) {
		begins = !now.Before(held.own)
		held.own = later(held.own, until)
	})
	return begins
}

// SetPeerBackoff notes that an endpoint asked another entry for backoff until a time.
func (r *Router) SetPeerBackoff(ref endpoint.Ref, until, now time.Time) {
	r.changeBackoff(ref, now, func(held *backoff) { held.penalty = later(held.penalty, until) })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// changeBackoff changes the backoff of an endpoint's incarnation, and of its slot if it is in
// use: a slot is made anew when this entry's part of the endpoints changes, and a backoff
// must outlive that.
func (r *Router) changeBackoff(ref endpoint.Ref, now time.Time, change func(*backoff)) {
	r.mu.Lock()
	held := r.backoffs[ref.ID]
	if held.incarnation != ref.Incarnation {
		held = backoff{incarnation: ref.Incarnation}
	}
	change(&held)
	r.dropBackoffs(now)
	r.backoffs[ref.ID] = held
	r.mu.Unlock()
	r.withSlot(ref, func(s *slot) {
		s.load.backoff = s.load.backoff.merge(held)
		s.group.noteBackoff(s.load.backoff)
	})
}

// noteBackoff notes when the last backoff and penalty of any endpoint end. The group's
// lock is held.
func (g *group) noteBackoff(r backoff) {
	g.backoffsUntil = later(g.backoffsUntil, r.own)
	g.penaltiesUntil = later(g.penaltiesUntil, r.penalty)
}

// merge returns the longer of two backoffs of an incarnation.
func (r backoff) merge(other backoff) backoff {
	return backoff{r.incarnation, later(r.own, other.own), later(r.penalty, other.penalty)}
}

// dropBackoffs drops backoffs that are over, once there are many. The router's lock is
// held.
func (r *Router) dropBackoffs(now time.Time) {
	if len(r.backoffs) < maxBackoffs {
		return
	}
	for id, held := range r.backoffs {
		if held.over(now) {
			delete(r.backoffs, id)
		}
	}
}

// backoffOf returns the backoff of an endpoint's incarnation. The router's
// lock is held.
func (r *Router) backoffOf(ref endpoint.Ref) backoff {
	if held := r.backoffs[ref.ID]; held.incarnation == ref.Incarnation {
		return held
	}
	return backoff{incarnation: ref.Incarnation}
}

// TimeUntilAvailable returns how long it takes until some endpoint's backoff is over or its limit leaves
// room; 0 where one takes work now, or there is none. Endpoints to be
// avoided count: the caller's next try may go there.
func (r *Router) TimeUntilAvailable(q Query, now time.Time) time.Duration {
	g, _ := r.groupFor(q.Target)
	hosts := r.sharers()
	g.mu.Lock()
	defer g.mu.Unlock()
	var first time.Duration
	for _, s := range g.slots {
		if !q.Rule.Allows(&s.info) {
			continue
		}
		left, ok := s.load.freeIn(hosts, now)
		if !ok {
			left = noShareComeBack
		}
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

// out returns how many slots are out, for failures, backoff or their limit. The group's
// lock is held.
func (g *group) out(hosts *ratelimit.Hosts, now time.Time) int {
	out := g.ejected
	if !now.Before(g.backoffsUntil) && g.limited == 0 {
		return out
	}
	for _, s := range g.slots {
		if s.load.failures < ejectAfter && (now.Before(s.load.backoff.own) || !s.load.allows(hosts, now)) {
			out++
		}
	}
	return out
}
