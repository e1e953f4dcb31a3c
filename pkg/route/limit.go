package route

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/ratelimit"
)

// noShareComeBack is when a caller comes back to a host that has no share of the endpoints'
// limits: another host that it asks may have one.
const noShareComeBack = time.Second

// limited is the bucket of an endpoint's incarnation that names a limit. It outlives a new
// draw of this host's part of the endpoints.
type limited struct {
	incarnation int64
	bucket      *ratelimit.Bucket
}

// SetHosts sets the hosts that take callers, by name: they share the limits that endpoints name.
// Where it is never called this host has the whole of each.
func (r *Router) SetHosts(names []string, now time.Time) {
	held := r.hosts.Load()
	if held == nil {
		r.hosts.Store(ratelimit.NewHosts(r.home.Node, names, now))
		return
	}
	r.hosts.Store(held.With(names, now))
}

// sharers returns the hosts that share limits.
func (r *Router) sharers() *ratelimit.Hosts {
	if hosts := r.hosts.Load(); hosts != nil {
		return hosts
	}
	return r.alone
}

// SetLimit notes how many requests a second an endpoint takes from all hosts together, 0 for
// no limit.
func (r *Router) SetLimit(ref endpoint.Ref, limit endpoint.Limit, now time.Time) {
	r.mu.Lock()
	held := r.limits[ref.ID]
	if held.incarnation != ref.Incarnation {
		held = limited{incarnation: ref.Incarnation}
	}
	switch {
	case limit == 0:
		held.bucket = nil
	case held.bucket == nil:
		held.bucket = ratelimit.New(ref.ID, limit, r.sharers(), now)
	default:
		held.bucket.SetLimit(limit, now)
	}
	if held.bucket == nil {
		delete(r.limits, ref.ID)
	} else {
		r.limits[ref.ID] = held
	}
	r.mu.Unlock()
	r.withSlot(ref, func(s *slot) {
		s.group.limited += countLimited(held.bucket) - countLimited(s.load.bucket)
		s.load.bucket = held.bucket
	})
}

// countLimited is 1 for an endpoint with a limit, else 0.
func countLimited(a *ratelimit.Bucket) int {
	if a == nil {
		return 0
	}
	return 1
}

// bucketOf returns the bucket of an endpoint's incarnation, nil for no limit. The
// router's lock is held.
func (r *Router) bucketOf(ref endpoint.Ref) *ratelimit.Bucket {
	held, ok := r.limits[ref.ID]
	if ok && held.incarnation != ref.Incarnation {
		delete(r.limits, ref.ID)
		return nil
	}
	return held.bucket
}

// allows reports whether the endpoint's limit, if any, leaves room for a request.
func (l *load) allows(hosts *ratelimit.Hosts, now time.Time) bool {
	return l.bucket == nil || l.bucket.Allows(hosts, now)
}

// take counts a request against the endpoint's limit, if any.
func (l *load) take() {
	if l.bucket != nil {
		l.bucket.Take()
	}
}

// freeIn returns how long it is until the endpoint may get a request, 0 for now. ok is
// false where this host has no share of its limit.
func (l *load) freeIn(hosts *ratelimit.Hosts, now time.Time) (left time.Duration, ok bool) {
	left = max(l.backoff.own.Sub(now), 0)
	if l.bucket == nil {
		return left, true
	}
	limited, ok := l.bucket.Left(hosts, now)
	return max(left, limited), ok
}
