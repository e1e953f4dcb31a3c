package limit

import (
	"context"
	"math"
	"sync"
	"time"
)

// ConcurrencyLimiter bounds the number of requests that run at a time. A free permit is
// granted at once; otherwise requests queue by priority, and within a priority by the
// weights of their teams, so that a large team cannot starve a small one. A request whose
// deadline cannot be met is rejected before it queues.
type ConcurrencyLimiter struct {
	mu       sync.Mutex
	capacity int
	inUse    int
	// meanHold is the mean time that a permit is held, in seconds.
	meanHold float64
	queues   map[queueKey]*queue
	queued   int
	// preemptibles are the permits whose holders may be asked to yield, oldest first.
	preemptibles []*preemptiblePermit
	// virtualTime is the pass of the queue served last. A new queue starts at it, so that
	// idle time earns no credit.
	virtualTime float64
}

type queueKey struct {
	priority int
	team     string
	// mayWait marks work that may use only a part of the permits.
	mayWait bool
}

// queue holds one team's waiting requests of one priority, oldest first.
type queue struct {
	weight  float64
	pass    float64
	waiters []*waiter
}

type waiter struct {
	ready     chan struct{}
	admitted  bool
	abandoned bool
}

// PermitRequest is a request for a permit.
type PermitRequest struct {
	Team     string
	Weight   int
	Priority int
	// Deadline is the time from which a permit is of no use.
	Deadline time.Time
	// MayWait marks work without a waiting caller, which leaves some permits free for
	// requests with one.
	MayWait bool
	// Yield asks such work to release its permit and to queue again; it reports whether the
	// work will. It is nil for work that cannot, and is called without locks held.
	Yield func() bool
}

// Parameters of the permits.
const (
	// PermitsPerSlot is the number of permits for each slot of the endpoints. It is above 1
	// because requests with a waiting caller may queue at an endpoint, which serves them by
	// priority.
	PermitsPerSlot = 2.0
	// mayWaitShare is the part of the permits that work that may wait can use.
	mayWaitShare = 0.35
)

// key returns the key of the queue for a request.
func (r PermitRequest) key() queueKey { return queueKey{r.Priority, r.Team, r.MayWait} }

// Permit allows one request to run. It must be released exactly once.
type Permit struct {
	limiter    *ConcurrencyLimiter
	acquiredAt time.Time
	// preemptible is the permit's entry in the limiter's preemptibles, nil if its holder
	// cannot yield.
	preemptible *preemptiblePermit
}

// preemptiblePermit is a permit whose holder may be asked to yield.
type preemptiblePermit struct {
	yield func() bool
	// requested is set while the holder has been asked and has not released the permit.
	requested bool
}

// initialMeanHold is the mean hold time before the first release, in seconds.
const initialMeanHold = 2.0

// meanHoldWeight is the weight of a new sample in the mean hold time.
const meanHoldWeight = 0.05

// NewConcurrencyLimiter returns a limiter with capacity permits, at least 1.
func NewConcurrencyLimiter(capacity int) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{capacity: max(capacity, 1), meanHold: initialMeanHold, queues: map[queueKey]*queue{}}
}

// SetCapacity changes the number of permits. Permits in use are not revoked.
func (l *ConcurrencyLimiter) SetCapacity(capacity int) {
	l.mu.Lock()
	l.capacity = max(capacity, 1)
	l.dispatch()
	l.mu.Unlock()
	l.requestYields()
}

// DeadlineError is returned where a deadline cannot be met. RetryAfter is the time after
// which a permit is expected to be free.
type DeadlineError struct{ RetryAfter time.Duration }

// Error implements error.
func (e DeadlineError) Error() string { return "limit: the deadline cannot be met" }

// Acquire waits for a permit. It returns a DeadlineError at once if the expected wait
// exceeds the deadline, and the context's error if the context ends.
func (l *ConcurrencyLimiter) Acquire(ctx context.Context, request PermitRequest, now time.Time) (Permit, error) {
	if err := ctx.Err(); err != nil {
		return Permit{}, err
	}
	l.mu.Lock()
	if l.queued == 0 && l.hasFree(request.MayWait) {
		l.inUse++
		permit := l.issue(request, now)
		l.mu.Unlock()
		return permit, nil
	}
	expected := l.expectedWait(request)
	if !request.Deadline.IsZero() && now.Add(expected).After(request.Deadline) {
		l.mu.Unlock()
		return Permit{}, DeadlineError{expected}
	}
	w := &waiter{ready: make(chan struct{})}
	l.enqueue(request, w)
	l.dispatch()
	l.mu.Unlock()
	if !request.MayWait {
		l.requestYields()
	}
	select {
	case <-w.ready:
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.issue(request, time.Now()), nil
	case <-ctx.Done():
		return Permit{}, l.abandon(ctx, w)
	}
}

// issue returns a permit and registers it as preemptible if its holder can yield. The
// caller holds the lock.
func (l *ConcurrencyLimiter) issue(request PermitRequest, now time.Time) Permit {
	p := Permit{limiter: l, acquiredAt: now}
	if request.Yield != nil {
		p.preemptible = &preemptiblePermit{yield: request.Yield}
		l.preemptibles = append(l.preemptibles, p.preemptible)
	}
	return p
}

// requestYields asks work that may wait to yield as many permits as requests with a waiting
// caller lack. The latest permit is asked for first: its holder has the least to recompute.
func (l *ConcurrencyLimiter) requestYields() {
	declined := map[*preemptiblePermit]bool{}
	for {
		p := l.nextPreemptible(declined)
		if p == nil {
			return
		}
		if !p.yield() {
			// The holder is between two attempts or about to finish. Ask the next one, and
			// this one again when another request lacks a permit.
			declined[p] = true
			l.clearYieldRequest(p)
		}
	}
}

func (l *ConcurrencyLimiter) clearYieldRequest(p *preemptiblePermit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.requested = false
}

// nextPreemptible returns a permit to ask for and marks it as requested. It returns nil if
// enough are requested or none is left.
func (l *ConcurrencyLimiter) nextPreemptible(declined map[*preemptiblePermit]bool) *preemptiblePermit {
	l.mu.Lock()
	defer l.mu.Unlock()
	shortage := 0
	for key, q := range l.queues {
		if !key.mayWait {
			shortage += len(q.waiters)
		}
	}
	shortage -= max(l.capacity-l.inUse, 0)
	for _, p := range l.preemptibles {
		if p.requested {
			shortage--
		}
	}
	if shortage <= 0 {
		return nil
	}
	for i := len(l.preemptibles) - 1; i >= 0; i-- {
		if !l.preemptibles[i].requested && !declined[l.preemptibles[i]] {
			l.preemptibles[i].requested = true
			return l.preemptibles[i]
		}
	}
	return nil
}

// hasFree reports whether a permit is free. At least one permit is open to work that may
// wait, however small the capacity. The caller holds the lock.
func (l *ConcurrencyLimiter) hasFree(mayWait bool) bool {
	if mayWait {
		return l.inUse < max(1, int(mayWaitShare*float64(l.capacity)))
	}
	return l.inUse < l.capacity
}

// abandon ends a wait; a permit that was granted meanwhile goes to the next waiter.
func (l *ConcurrencyLimiter) abandon(ctx context.Context, w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.admitted {
		l.inUse--
		l.dispatch()
		return ctx.Err()
	}
	w.abandoned = true
	l.queued--
	return ctx.Err()
}

// Release returns the permit to its limiter.
func (p Permit) Release(now time.Time) {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.limiter.inUse--
	p.limiter.removePreemptible(p.preemptible)
	p.limiter.meanHold += meanHoldWeight * (now.Sub(p.acquiredAt).Seconds() - p.limiter.meanHold)
	p.limiter.dispatch()
}

func (l *ConcurrencyLimiter) removePreemptible(released *preemptiblePermit) {
	for i, p := range l.preemptibles {
		if p == released {
			l.preemptibles = append(l.preemptibles[:i], l.preemptibles[i+1:]...)
			return
		}
	}
}

// Waiting returns the number of queued requests.
func (l *ConcurrencyLimiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queued
}

// Load returns the permits in use and the queued requests as a part of the capacity. It is
// above 1 if requests queue at full use.
func (l *ConcurrencyLimiter) Load() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.inUse+l.queued) / float64(l.capacity)
}

// expectedWait estimates the wait behind the requests that are served first: all of a higher
// priority, those of the same team, and of each other team as many as its weight allows while
// the team's own ones are served. The caller holds the lock.
func (l *ConcurrencyLimiter) expectedWait(request PermitRequest) time.Duration {
	ahead := 0.0
	own := 1.0
	if q, ok := l.queues[request.key()]; ok {
		own += float64(len(q.waiters))
	}
	for key, q := range l.queues {
		switch {
		case key.priority > request.Priority:
			ahead += float64(len(q.waiters))
		case key.priority == request.Priority && key.team != request.Team:
			ahead += math.Min(float64(len(q.waiters)), own*q.weight/float64(max(request.Weight, 1)))
		}
	}
	perSecond := float64(l.capacity) / math.Max(l.meanHold, 1e-3)
	return time.Duration((ahead + own) / perSecond * float64(time.Second))
}

func (l *ConcurrencyLimiter) enqueue(request PermitRequest, w *waiter) {
	key := request.key()
	q, ok := l.queues[key]
	if !ok {
		q = &queue{pass: l.virtualTime}
		l.queues[key] = q
	}
	q.weight = float64(max(request.Weight, 1))
	q.waiters = append(q.waiters, w)
	l.queued++
}

// dispatch grants free permits to waiters. The caller holds the lock.
func (l *ConcurrencyLimiter) dispatch() {
	for l.inUse < l.capacity {
		w := l.next()
		if w == nil {
			return
		}
		w.admitted = true
		l.inUse++
		l.queued--
		close(w.ready)
	}
}

// next removes and returns the next waiter: of the highest priority, and of the queue with the
// lowest pass (stride scheduling). It returns nil if there is none.
func (l *ConcurrencyLimiter) next() *waiter {
	for {
		key, q := l.nextQueue()
		if q == nil {
			return nil
		}
		w := q.waiters[0]
		q.waiters = q.waiters[1:]
		if len(q.waiters) == 0 {
			delete(l.queues, key)
		}
		if w.abandoned {
			continue
		}
		l.virtualTime = math.Max(l.virtualTime, q.pass)
		q.pass += 1 / q.weight
		return w
	}
}

func (l *ConcurrencyLimiter) nextQueue() (queueKey, *queue) {
	var bestKey queueKey
	var best *queue
	for key, q := range l.queues {
		if !l.hasFree(key.mayWait) {
			continue
		}
		if best == nil || precedes(key, q, bestKey, best) {
			bestKey, best = key, q
		}
	}
	return bestKey, best
}

func precedes(key queueKey, q *queue, otherKey queueKey, other *queue) bool {
	if key.priority != otherKey.priority {
		return key.priority > otherKey.priority
	}
	if q.pass != other.pass {
		return q.pass < other.pass
	}
	return key.team < otherKey.team
}
