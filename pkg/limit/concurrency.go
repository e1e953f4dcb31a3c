package limit

import (
	"context"
	"math"
	"sync"
	"time"
)

// ConcurrencyLimiter shares out a bounded number of places. Free places are given at once;
// otherwise requests wait, by priority, and among equals by the weights of
// their teams, so that a large team can't starve a small one. A request whose
// deadline can't be met is turned away before it waits.
type ConcurrencyLimiter struct {
	mu       sync.Mutex
	capacity int
	used     int
	// mean is how long a place is held, in seconds.
	mean   float64
	queues map[queueKey]*queue
	length int
	// yielders are the places that can be asked for, oldest first.
	yielders []*yielder
	// clock is the pass of the queue served last: a queue that starts anew
	// starts from here, so that idle time earns no credit.
	clock float64
}

type queueKey struct {
	priority int
	team     string
	// mayWait marks work that gets only a part of the places.
	mayWait bool
}

// queue is one team's waiting requests of one priority, oldest first.
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

// PermitRequest is one request for a place.
type PermitRequest struct {
	Team     string
	Weight   int
	Priority int
	// Deadline is when a place is of no more use.
	Deadline time.Time
	// MayWait marks work that leaves some places free for callers who wait.
	MayWait bool
	// Yield asks such work to give its place up and queue anew; it reports
	// whether the work will. Nil for work that can't. It is called with no lock
	// held.
	Yield func() bool
}

// Parameters of the places.
const (
	// PermitsPerSlot is how many places there are for each slot of the endpoints: callers
	// who wait may queue at an endpoint, which serves them by priority.
	PermitsPerSlot = 2.0
	// waitingShare is the part of the places that work that can wait may fill.
	waitingShare = 0.35
)

// key names the queue an ask waits in.
func (a PermitRequest) key() queueKey { return queueKey{a.Priority, a.Team, a.MayWait} }

// Permit is a place held; it must be released once.
type Permit struct {
	gate  *ConcurrencyLimiter
	since time.Time
	// yielding is the place's entry among those that can be asked for, nil for
	// a place that can't.
	yielding *yielder
}

// yielder is a place that its holder may be asked to give up.
type yielder struct {
	yield func() bool
	// asked says that the holder was asked and has not given the place up yet.
	asked bool
}

// firstMean is assumed until places have been released, in seconds.
const firstMean = 2.0

// meanWeight is the weight of a new measurement.
const meanWeight = 0.05

// NewConcurrencyLimiter returns a gate with capacity places.
func NewConcurrencyLimiter(capacity int) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{capacity: max(capacity, 1), mean: firstMean, queues: map[queueKey]*queue{}}
}

// SetCapacity changes the number of places; those held stay held.
func (g *ConcurrencyLimiter) SetCapacity(capacity int) {
	g.mu.Lock()
	g.capacity = max(capacity, 1)
	g.dispatch()
	g.mu.Unlock()
	g.askForPlaces()
}

// DeadlineError says that the deadline can't be met. RetryAfter is when there should
// be room.
type DeadlineError struct{ RetryAfter time.Duration }

// Error describes the refusal.
func (e DeadlineError) Error() string { return "limit: the deadline can't be met" }

// Acquire waits for a place. It returns TooLate at once where the wait that is
// to be expected passes the deadline, and the context's error if that ends.
func (g *ConcurrencyLimiter) Acquire(ctx context.Context, ask PermitRequest, now time.Time) (Permit, error) {
	if err := ctx.Err(); err != nil {
		return Permit{}, err
	}
	g.mu.Lock()
	if g.length == 0 && g.hasRoom(ask.MayWait) {
		g.used++
		ticket := g.ticket(ask, now)
		g.mu.Unlock()
		return ticket, nil
	}
	expected := g.expectedWait(ask)
	if !ask.Deadline.IsZero() && now.Add(expected).After(ask.Deadline) {
		g.mu.Unlock()
		return Permit{}, DeadlineError{expected}
	}
	w := &waiter{ready: make(chan struct{})}
	g.enqueue(ask, w)
	g.dispatch()
	g.mu.Unlock()
	if !ask.MayWait {
		g.askForPlaces()
	}
	select {
	case <-w.ready:
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.ticket(ask, time.Now()), nil
	case <-ctx.Done():
		return Permit{}, g.abandon(ctx, w)
	}
}

// ticket notes a place as one that can be asked for, if it can. The lock is held.
func (g *ConcurrencyLimiter) ticket(ask PermitRequest, now time.Time) Permit {
	t := Permit{gate: g, since: now}
	if ask.Yield != nil {
		t.yielding = &yielder{yield: ask.Yield}
		g.yielders = append(g.yielders, t.yielding)
	}
	return t
}

// askForPlaces asks work that can wait for as many places as callers who wait
// lack. The latest comer is asked first: it has the least to compute again.
func (g *ConcurrencyLimiter) askForPlaces() {
	declined := map[*yielder]bool{}
	for {
		y := g.nextYielder(declined)
		if y == nil {
			return
		}
		if !y.yield() {
			// It is between two attempts or at its end: the next one is asked,
			// and this one again when the next caller lacks a place.
			declined[y] = true
			g.notAsked(y)
		}
	}
}

func (g *ConcurrencyLimiter) notAsked(y *yielder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	y.asked = false
}

// nextYielder returns a place to ask for and marks it as asked, nil if enough
// are asked or none is left.
func (g *ConcurrencyLimiter) nextYielder(declined map[*yielder]bool) *yielder {
	g.mu.Lock()
	defer g.mu.Unlock()
	lacking := 0
	for key, q := range g.queues {
		if !key.mayWait {
			lacking += len(q.waiters)
		}
	}
	lacking -= max(g.capacity-g.used, 0)
	for _, y := range g.yielders {
		if y.asked {
			lacking--
		}
	}
	if lacking <= 0 {
		return nil
	}
	for i := len(g.yielders) - 1; i >= 0; i-- {
		if !g.yielders[i].asked && !declined[g.yielders[i]] {
			g.yielders[i].asked = true
			return g.yielders[i]
		}
	}
	return nil
}

// hasRoom reports whether a place is free. At least one place is open to work
// that can wait, however small the gate. The lock is held.
func (g *ConcurrencyLimiter) hasRoom(mayWait bool) bool {
	if mayWait {
		return g.used < max(1, int(waitingShare*float64(g.capacity)))
	}
	return g.used < g.capacity
}

// abandon gives up a wait; a place that was given meanwhile is passed on.
func (g *ConcurrencyLimiter) abandon(ctx context.Context, w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.admitted {
		g.used--
		g.dispatch()
		return ctx.Err()
	}
	w.abandoned = true
	g.length--
	return ctx.Err()
}

// Release gives the place back.
func (t Permit) Release(now time.Time) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.used--
	t.gate.forget(t.yielding)
	t.gate.mean += meanWeight * (now.Sub(t.since).Seconds() - t.gate.mean)
	t.gate.dispatch()
}

func (g *ConcurrencyLimiter) forget(gone *yielder) {
	for i, y := range g.yielders {
		if y == gone {
			g.yielders = append(g.yielders[:i], g.yielders[i+1:]...)
			return
		}
	}
}

// Waiting returns how many requests wait.
func (g *ConcurrencyLimiter) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.length
}

// Load returns used places as a part of all; more than 1 counts those waiting.
func (g *ConcurrencyLimiter) Load() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.used+g.length) / float64(g.capacity)
}

// expectedWait reckons the wait behind those that go first: all of a higher
// priority, the own team's, and of other teams as many as their weights give
// them while the own ones are served. The lock is held.
func (g *ConcurrencyLimiter) expectedWait(ask PermitRequest) time.Duration {
	ahead := 0.0
	own := 1.0
	if q, ok := g.queues[ask.key()]; ok {
		own += float64(len(q.waiters))
	}
	for key, q := range g.queues {
		switch {
		case key.priority > ask.Priority:
			ahead += float64(len(q.waiters))
		case key.priority == ask.Priority && key.team != ask.Team:
			ahead += math.Min(float64(len(q.waiters)), own*q.weight/float64(max(ask.Weight, 1)))
		}
	}
	perSecond := float64(g.capacity) / math.Max(g.mean, 1e-3)
	return time.Duration((ahead + own) / perSecond * float64(time.Second))
}

func (g *ConcurrencyLimiter) enqueue(ask PermitRequest, w *waiter) {
	key := ask.key()
	q, ok := g.queues[key]
	if !ok {
		q = &queue{pass: g.clock}
		g.queues[key] = q
	}
	q.weight = float64(max(ask.Weight, 1))
	q.waiters = append(q.waiters, w)
	g.length++
}

// dispatch gives free places to those who wait. The lock is held.
func (g *ConcurrencyLimiter) dispatch() {
	for g.used < g.capacity {
		w := g.next()
		if w == nil {
			return
		}
		w.admitted = true
		g.used++
		g.length--
		close(w.ready)
	}
}

// next takes the waiter whose turn it is: the highest priority, then the queue
// with the least pass (stride scheduling).
func (g *ConcurrencyLimiter) next() *waiter {
	for {
		key, q := g.first()
		if q == nil {
			return nil
		}
		w := q.waiters[0]
		q.waiters = q.waiters[1:]
		if len(q.waiters) == 0 {
			delete(g.queues, key)
		}
		if w.abandoned {
			continue
		}
		g.clock = math.Max(g.clock, q.pass)
		q.pass += 1 / q.weight
		return w
	}
}

func (g *ConcurrencyLimiter) first() (queueKey, *queue) {
	var bestKey queueKey
	var best *queue
	for key, q := range g.queues {
		if !g.hasRoom(key.mayWait) {
			continue
		}
		if best == nil || goesBefore(key, q, bestKey, best) {
			bestKey, best = key, q
		}
	}
	return bestKey, best
}

func goesBefore(key queueKey, q *queue, otherKey queueKey, other *queue) bool {
	if key.priority != otherKey.priority {
		return key.priority > otherKey.priority
	}
	if q.pass != other.pass {
		return q.pass < other.pass
	}
	return key.team < otherKey.team
}
