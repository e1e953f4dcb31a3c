package table

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget is what one node may ask of the store.
type Budget struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// ErrCircuitOpen says that the store has failed and is not asked for a while. What
// was refused with it was not sent.
var ErrCircuitOpen = errors.New("table: the store does not answer; not asked again yet")

// ErrBudgetExceeded says that the node's budget did not allow a call within its time.
var ErrBudgetExceeded = errors.New("table: over the node's budget")

// Parameters of the guard.
const (
	// openAfter failures in a row stop calls for a while.
	openAfter = 5
	// firstOpen and mostOpen bound that while; it is drawn at random below a
	// bound that doubles, so that nodes do not come back together.
	firstOpen = time.Second
	mostOpen  = 30 * time.Second
	// A node takes as long to its full budget once the store is back as the
	// store was away, within these bounds: after a blink there is no crowd.
	leastRamp = time.Second
	mostRamp  = 20 * time.Second
	// rampStart is the part of the budget that it starts with.
	rampStart = 0.05
	// firstInFlight, mostInFlight and leastInFlight bound calls at once.
	firstInFlight = 8.0
	mostInFlight  = 64.0
	leastInFlight = 1.0
	// slowCall halves nothing but shrinks the bound as a failure does.
	slowCall = time.Second
	shrink   = 0.7
)

// GuardedStore keeps a node within its budget and spares a store that is in trouble.
// It is a Store over another.
type GuardedStore struct {
	store  Store
	reads  *rate.Limiter
	writes *rate.Limiter
	budget Budget

	mu       sync.Mutex
	failures int
	// opened counts how often in a row the guard opened without a success.
	opened  int
	retryAt time.Time
	probing bool
	// downSince is when the failures in a row began.
	downSince time.Time
	rampFrom  time.Time
	rampTime  time.Duration
	inFlight  int
	most      float64
	waiters   []chan struct{}
	counts    CallCounts
}

// CallCounts count calls.
type CallCounts struct {
	Reads, Writes int64
	// Refused were not sent because the guard was open, Failed were sent and
	// failed, Opened is how often the guard opened.
	Refused, Failed, Opened int64
}

// NewGuardedStore returns a guard over a store.
func NewGuardedStore(store Store, budget Budget) *GuardedStore {
	return &GuardedStore{
		store: store, budget: budget, most: firstInFlight,
		reads:  rate.NewLimiter(rate.Limit(budget.ReadsPerSecond), burstOf(budget.ReadsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(budget.WritesPerSecond), burstOf(budget.WritesPerSecond)),
	}
}

// burstOf allows two seconds' worth at once.
func burstOf(perSecond float64) int { return max(1, int(2*perSecond)) }

// Counts returns the counters so far.
func (g *GuardedStore) Counts() CallCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// CircuitOpen reports whether the store is not being asked at present.
func (g *GuardedStore) CircuitOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failures >= openAfter
}

// Commit sends a commit within the budget.
func (g *GuardedStore) Commit(ctx context.Context, c Commit) Outcome {
	if err := g.enter(ctx, g.writes); err != nil {
		return Refused{Err: err}
	}
	g.count(func(n *CallCounts) { n.Writes++ })
	started := time.Now()
	outcome := g.store.Commit(ctx, c)
	g.leave(commitFailed(ctx, outcome), time.Since(started))
	return outcome
}

// commitFailed reports whether the store is at fault. A commit cut short by
// its caller says nothing of the store, unless the time was up.
func commitFailed(ctx context.Context, o Outcome) bool {
	switch o := o.(type) {
	case Unknown:
		return !errors.Is(ctx.Err(), context.Canceled)
	case Refused:
		return len(o.Conflicts) == 0
	}
	return false
}

// Get reads a row within the budget.
func (g *GuardedStore) Get(ctx context.Context, key string) (Row, bool, error) {
	if err := g.enter(ctx, g.reads); err != nil {
		return Row{}, false, err
	}
	g.count(func(n *CallCounts) { n.Reads++ })
	started := time.Now()
	row, ok, err := g.store.Get(ctx, key)
	g.leave(err != nil && !errors.Is(ctx.Err(), context.Canceled), time.Since(started))
	return row, ok, err
}

// List reads rows within the budget.
func (g *GuardedStore) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	if err := g.enter(ctx, g.reads); err != nil {
		return nil, err
	}
	g.count(func(n *CallCounts) { n.Reads++ })
	started := time.Now()
	rows, err := g.store.List(ctx, prefix, after, limit)
	g.leave(err != nil && !errors.Is(ctx.Err(), context.Canceled), time.Since(started))
	return rows, err
}

func (g *GuardedStore) count(change func(*CallCounts)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.counts)
}

// enter waits for the budget and for a place among the calls in flight.
func (g *GuardedStore) enter(ctx context.Context, limiter *rate.Limiter) error {
	if !g.admit(time.Now()) {
		g.count(func(n *CallCounts) { n.Refused++ })
		return ErrCircuitOpen
	}
	if err := limiter.Wait(ctx); err != nil {
		g.abandon()
		return ErrBudgetExceeded
	}
	return g.acquire(ctx)
}

// admit lets calls pass while the store answers; while it does not, one probe
// once the pause is over.
func (g *GuardedStore) admit(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ramp(now)
	if g.failures < openAfter {
		return true
	}
	if g.probing || now.Before(g.retryAt) {
		return false
	}
	g.probing = true
	return true
}

// ramp raises the budget after an outage. The lock is held.
func (g *GuardedStore) ramp(now time.Time) {
	if g.rampFrom.IsZero() {
		return
	}
	part := rampStart + (1-rampStart)*now.Sub(g.rampFrom).Seconds()/g.rampTime.Seconds()
	if part >= 1 {
		part = 1
		g.rampFrom = time.Time{}
	}
	g.reads.SetLimitAt(now, rate.Limit(part*g.budget.ReadsPerSecond))
	g.writes.SetLimitAt(now, rate.Limit(part*g.budget.WritesPerSecond))
	g.reads.SetBurstAt(now, burstOf(part*g.budget.ReadsPerSecond))
	g.writes.SetBurstAt(now, burstOf(part*g.budget.WritesPerSecond))
}

func (g *GuardedStore) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
}

func (g *GuardedStore) acquire(ctx context.Context) error {
	g.mu.Lock()
	if float64(g.inFlight) < g.most {
		g.inFlight++
		g.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	g.waiters = append(g.waiters, turn)
	g.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		g.giveUp(turn)
		return ErrBudgetExceeded
	}
}

// giveUp leaves the queue; a turn that came meanwhile is passed on.
func (g *GuardedStore) giveUp(turn chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
	for i, waiter := range g.waiters {
		if waiter == turn {
			g.waiters = append(g.waiters[:i], g.waiters[i+1:]...)
			return
		}
	}
	g.inFlight--
	g.wake()
}

// wake gives free places to those who wait. The lock is held.
func (g *GuardedStore) wake() {
	for len(g.waiters) > 0 && float64(g.inFlight) < g.most {
		close(g.waiters[0])
		g.waiters = g.waiters[1:]
		g.inFlight++
	}
}

// leave ends a call and learns from it.
func (g *GuardedStore) leave(failed bool, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	now := time.Now()
	switch {
	case failed:
		g.fail(now)
	case took > slowCall:
		g.succeed(now)
		g.most = max(leastInFlight, g.most*shrink)
	default:
		g.succeed(now)
		g.most = min(mostInFlight, g.most+1/g.most)
	}
	g.probing = false
	g.wake()
}

func (g *GuardedStore) fail(now time.Time) {
	g.counts.Failed++
	if g.failures == 0 {
		g.downSince = now
	}
	g.failures++
	g.most = max(leastInFlight, g.most*shrink)
	if g.failures < openAfter {
		return
	}
	bound := min(firstOpen<<min(g.opened, 8), mostOpen)
	g.retryAt = now.Add(time.Duration(rand.Int64N(int64(bound)) + 1))
	g.opened++
	g.counts.Opened++
}

func (g *GuardedStore) succeed(now time.Time) {
	if g.failures >= openAfter {
		g.rampFrom = now
		g.rampTime = min(max(now.Sub(g.downSince), leastRamp), mostRamp)
		g.ramp(now)
	}
	g.failures = 0
	g.opened = 0
}
