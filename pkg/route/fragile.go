package route

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/ratelimit"
)

const (
	// fragileMemory is how long after an endpoint of a target was last known to be fragile those that
	// have not answered yet are treated as fragile too: an endpoint that is back after a failure has a
	// new ID.
	fragileMemory = 30 * time.Second
	// noSlotsRetryAfter is the time after which a caller may retry at a host that holds no slots of
	// fragile endpoints. Another host that the caller tries may hold some.
	noSlotsRetryAfter = 300 * time.Millisecond
)

// endpointSlots is the share of the slots of a fragile endpoint's incarnation. It is kept when this
// host's subset of the endpoints changes.
type endpointSlots struct {
	incarnation int64
	slots       *ratelimit.Slots
}

// fragility is what a group knows of its fragile endpoints, which fail if they have to reject too
// many requests within a second.
type fragility struct {
	// maxRejections is the number of rejections that the endpoint that last reported one stands.
	maxRejections int
	// since is when the first of the endpoints became fragile; until then, and until the time until,
	// endpoints that have not answered count as fragile.
	since, until time.Time
}

// HasFragile reports whether endpoints that have not answered yet may be treated as fragile.
func (r *Router) HasFragile(now time.Time) bool { return now.UnixNano() < r.fragileUntil.Load() }

// SetMaxRejections sets the number of requests that an endpoint may reject within a second without
// failing; 0 for no bound.
func (r *Router) SetMaxRejections(ref endpoint.Ref, maxRejections int, now time.Time) {
	var slots *ratelimit.Slots
	if maxRejections > 0 {
		slots = r.slotsOf(ref, maxRejections, now)
	}
	r.mu.Lock()
	if slots == nil {
		delete(r.fragileSlots, ref.ID)
	} else {
		r.fragileSlots[ref.ID] = endpointSlots{ref.Incarnation, slots}
	}
	r.mu.Unlock()
	r.withSlot(ref, func(s *slot) {
		s.load.fragile, s.load.isProvisional, s.load.isSturdy = slots, false, slots == nil
		if slots == nil {
			return
		}
		s.group.noteFragile(maxRejections, now)
		r.fragileUntil.Store(now.Add(fragileMemory).UnixNano())
	})
}

// slotsOf returns this host's share of the slots of an endpoint that has reported how many rejections
// it stands: the previous one, if the endpoint was treated as fragile before.
func (r *Router) slotsOf(ref endpoint.Ref, maxRejections int, now time.Time) *ratelimit.Slots {
	var held *ratelimit.Slots
	count := defaultSlots
	r.withSlot(ref, func(s *slot) { held, count = s.load.fragile, s.slotCount() })
	if held == nil {
		r.mu.RLock()
		held = r.fragileSlotsOf(ref)
		r.mu.RUnlock()
	}
	if held == nil {
		return ratelimit.NewSlots(ref.ID, count, maxRejections, r.limitHosts(), now)
	}
	held.SetMaxRejections(maxRejections, now)
	return held
}

// slotCount returns the number of the endpoint's slots; an endpoint that does not report it is
// assumed to have defaultSlots, and rejections lower the share that is used.
func (s *slot) slotCount() int {
	if s.info.Slots > 0 {
		return s.info.Slots
	}
	return defaultSlots
}

// MarkSturdy records that a response to a request that was sent at sent names no number of
// rejections.
func (r *Router) MarkSturdy(ref endpoint.Ref, sent time.Time) {
	if !r.HasFragile(sent) {
		return
	}
	r.withSlot(ref, func(s *slot) {
		l := &s.load
		if (l.fragile == nil || l.isProvisional) && sent.After(s.group.fragile.since) {
			l.fragile, l.isProvisional, l.isSturdy = nil, false, true
		}
	})
}

// fragileSlotsOf returns the share of an endpoint's incarnation; nil for none. The router's lock must
// be held.
func (r *Router) fragileSlotsOf(ref endpoint.Ref) *ratelimit.Slots {
	if held, ok := r.fragileSlots[ref.ID]; ok && held.incarnation == ref.Incarnation {
		return held.slots
	}
	return nil
}

// dropFragileSlots removes the shares of endpoints that are gone. The router's lock must be held.
func (r *Router) dropFragileSlots(view *endpoint.View) {
	if len(r.fragileSlots) == 0 {
		return
	}
	known := make(map[string]bool, len(r.fragileSlots))
	for _, info := range view.Infos() {
		known[info.ID] = info.State < endpoint.Gone
	}
	for id := range r.fragileSlots {
		if !known[id] {
			delete(r.fragileSlots, id)
		}
	}
}

// noteFragile records that an endpoint of the group is fragile at now. The group's lock must be held.
func (g *group) noteFragile(maxRejections int, now time.Time) {
	if !g.mayBeFragile(now) {
		g.fragile.since = now
	}
	g.fragile.maxRejections = maxRejections
	g.fragile.until = now.Add(fragileMemory)
}

// mayBeFragile reports whether endpoints that have not answered are treated as fragile. The group's
// lock must be held.
func (g *group) mayBeFragile(now time.Time) bool { return now.Before(g.fragile.until) }

// allows reports whether the endpoint's limits, if any, have room for a request. The group's lock
// must be held.
func (s *slot) allows(hosts *ratelimit.Hosts, now time.Time) bool {
	if !s.load.allows(hosts, now) {
		return false
	}
	slots := s.fragileShare(hosts, now)
	return slots == nil || slots.Allows(s.load.localRunning, hosts, now)
}

// fragileShare returns this host's share of the slots of a fragile endpoint, nil if the endpoint is not
// fragile. One that has not answered yet counts as fragile while others of its group are, and gets few
// requests at first. The group's lock must be held.
func (s *slot) fragileShare(hosts *ratelimit.Hosts, now time.Time) *ratelimit.Slots {
	l := &s.load
	mayBeFragile := s.group.mayBeFragile(now)
	switch {
	case l.fragile != nil && !l.isProvisional:
		s.group.fragile.until = now.Add(fragileMemory)
	case !mayBeFragile:
		l.fragile, l.isProvisional = nil, false
	case l.fragile == nil && !l.isSturdy:
		l.fragile = ratelimit.NewSlowStartSlots(s.info.ID, s.slotCount(), s.group.fragile.maxRejections, hosts, now)
		l.isProvisional = true
	}
	return l.fragile
}

// RecordRejection records that an endpoint rejected a request that this host sent at sent and that is
// still counted as in flight.
func (r *Router) RecordRejection(ref endpoint.Ref, sent, now time.Time) {
	if !r.HasFragile(now) {
		return
	}
	r.withSlot(ref, func(s *slot) {
		if s.load.fragile != nil {
			s.load.fragile.RecordRejection(s.load.localRunning-1, sent, now)
		}
	})
}

// Room is what this host may send to the endpoints of a target, of which some are fragile.
type Room struct {
	// Slots is the number of requests that this host may have in flight.
	Slots int
	// Service is the mean time for which a request holds a slot.
	Service time.Duration
}

// Room returns what this host may send to the endpoints that a request may go to; ok is false if none
// of them is fragile, so that requests are not bounded.
func (r *Router) Room(q Query, now time.Time) (room Room, ok bool) {
	if !r.HasFragile(now) {
		return room, false
	}
	g, _ := r.groupFor(q.Target)
	hosts := r.limitHosts()
	g.mu.Lock()
	defer g.mu.Unlock()
	var total time.Duration
	for _, s := range g.slots {
		slots := s.fragileShare(hosts, now)
		if slots == nil || !q.Rule.Allows(&s.info) || q.avoids(s.info.Ref()) {
			continue
		}
		ok = true
		limit, _ := slots.Limit(hosts, now)
		room.Slots += limit
		total += time.Duration(limit) * s.load.meanDuration
	}
	if room.Slots > 0 {
		room.Service = total / time.Duration(room.Slots)
	}
	if ok {
		r.fragileUntil.Store(now.Add(fragileMemory).UnixNano())
	}
	return room, ok
}

// OnRelease sets the function to call after a request to a target with fragile endpoints is completed,
// so that another one may be sent. It must be called before the first choice.
func (r *Router) OnRelease(handler func(Target)) { r.releaseHandler = handler }
