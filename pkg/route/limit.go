package route

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/ratelimit"
)

// noShareRetryAfter is the time after which a caller may retry at a host that has no share of the
// endpoints' limits. Another host that the caller tries may have one.
const noShareRetryAfter = time.Second

// endpointLimit is the rate limit of an endpoint's incarnation. It is kept when this host's subset
// of the endpoints changes.
type endpointLimit struct {
	incarnation int64
	bucket      *ratelimit.Bucket
}

// SetHosts sets the names of the hosts that take callers; they share the limits that endpoints
// set. If it is never called, this host uses the whole of each limit.
func (r *Router) SetHosts(names []string, now time.Time) {
	held := r.hosts.Load()
	if held == nil {
		r.hosts.Store(ratelimit.NewHosts(r.location.Node, names, now))
		return
	}
	r.hosts.Store(held.WithNames(names, now))
}

// limitHosts returns the hosts that share limits.
func (r *Router) limitHosts() *ratelimit.Hosts {
	if hosts := r.hosts.Load(); hosts != nil {
		return hosts
	}
	return r.onlySelf
}

// SetLimit sets the number of requests per second that an endpoint accepts from all hosts
// together; 0 for no limit.
func (r *Router) SetLimit(ref endpoint.Ref, limit endpoint.Limit, now time.Time) {
	r.mu.Lock()
	held := r.limits[ref.ID]
	if held.incarnation != ref.Incarnation {
		held = endpointLimit{incarnation: ref.Incarnation}
	}
	switch {
	case limit == 0:
		held.bucket = nil
	case held.bucket == nil:
		held.bucket = ratelimit.New(ref.ID, limit, r.limitHosts(), now)
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
		s.group.limitedCount += countLimited(held.bucket) - countLimited(s.load.bucket)
		s.load.bucket = held.bucket
	})
}

// countLimited returns 1 for an endpoint with a limit, otherwise 0.
func countLimited(bucket *ratelimit.Bucket) int {
	if bucket == nil {
		return 0
	}
	return 1
}

// bucketOf returns the bucket of an endpoint's incarnation; nil for no limit. The router's lock
// must be held.
func (r *Router) bucketOf(ref endpoint.Ref) *ratelimit.Bucket {
	held, ok := r.limits[ref.ID]
	if ok && held.incarnation != ref.Incarnation {
		delete(r.limits, ref.ID)
		return nil
	}
	return held.bucket
}

// allows reports whether the endpoint's limit, if any, has room for a request.
func (l *load) allows(hosts *ratelimit.Hosts, now time.Time) bool {
	return l.bucket == nil || l.bucket.Allows(hosts, now)
}

// take counts a request that is sent at now against the endpoint's limits, if any.
func (l *load) take(now time.Time) {
	if l.bucket != nil {
		l.bucket.Take()
	}
	if l.fragile != nil {
		l.fragile.Take(now)
	}
}

// timeUntilAvailable returns the time until the endpoint may get a request; 0 for now. The group's
// lock must be held.
func (s *slot) timeUntilAvailable(hosts *ratelimit.Hosts, now time.Time) time.Duration {
	l := &s.load
	remaining := max(l.backoff.requestedUntil.Sub(now), 0)
	if l.bucket != nil {
		delay, ok := l.bucket.Delay(hosts, now)
		if !ok {
			return noShareRetryAfter
		}
		remaining = max(remaining, delay)
	}
	slots := s.fragileShare(hosts, now)
	if slots == nil || slots.Allows(l.localRunning, hosts, now) {
		return remaining
	}
	limit, ok := slots.Limit(hosts, now)
	if !ok {
		return max(remaining, noSlotsRetryAfter)
	}
	return max(remaining, l.meanDuration/time.Duration(max(limit, 1)))
}
