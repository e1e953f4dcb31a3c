package table

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget limits the call rates of one node to the table service.
type Budget struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// ErrCircuitOpen is returned for calls that are rejected without being sent
// because recent calls to the store failed.
var ErrCircuitOpen = errors.New("table: the store does not answer; not asked again yet")

// ErrBudgetExceeded is returned for calls that were not sent because the rate
// and concurrency limits did not admit them before their context ended.
var ErrBudgetExceeded = errors.New("table: over the node's budget")

// ErrBadRequest is the error of calls that the store refused as malformed. It shows that the store
// works.
var ErrBadRequest = errors.New("table: bad request")

// Parameters of GuardedStore.
const (
	// failureThreshold is the number of consecutive failures that opens the
	// circuit.
	failureThreshold = 5
	// The time until the next probe is random, below a bound that starts at
	// initialOpenTime and doubles up to maxOpenTime with each failed probe. The
	// randomness keeps nodes from retrying at the same moment.
	initialOpenTime = time.Second
	maxOpenTime     = 30 * time.Second
	// After an outage the rate limits ramp up to the full budget over a time
	// equal to the length of the outage, within these bounds. After a short
	// outage few calls are waiting, so a short ramp is enough.
	minRampTime = time.Second
	maxRampTime = 20 * time.Second
	// rampStartFraction is the fraction of the budget at the start of the ramp.
	rampStartFraction = 0.05
	// The limit on concurrent calls starts at initialConcurrencyLimit and adapts to
	// the results of calls between minConcurrencyLimit and maxConcurrencyLimit.
	initialConcurrencyLimit = 8.0
	maxConcurrencyLimit     = 64.0
	minConcurrencyLimit     = 1.0
	// A call slower than slowCallThreshold multiplies the concurrency limit by
	// decreaseFactor, as a failure does, but does not count as a failure.
	slowCallThreshold = time.Second
	decreaseFactor    = 0.7
)

// GuardedStore is a Store that forwards calls to another one. It limits the call
// rate and the number of concurrent calls, and stops calls with a circuit breaker
// while the other store fails.
type GuardedStore struct {
	store        Store
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	budget       Budget

	mu                  sync.Mutex
	consecutiveFailures int
	// consecutiveOpens counts the failures since the last successful call that
	// opened the circuit or kept it open.
	consecutiveOpens int
	nextProbeAt      time.Time
	// probing is set from when a call is allowed as a probe until that call ends.
	probing bool
	// failingSince is the time of the first of the consecutive failures.
	failingSince     time.Time
	rampStartedAt    time.Time
	rampDuration     time.Duration
	inFlight         int
	concurrencyLimit float64
	waiters          []chan struct{}
	counts           CallCounts
}

// CallCounts are the call counters of a GuardedStore.
type CallCounts struct {
	Reads, Writes int64
	// Refused calls were not sent because the circuit was open. Failed calls were
	// sent and failed. Opened counts those of them that opened the circuit or kept
	// it open.
	Refused, Failed, Opened int64
}

// NewGuardedStore returns a GuardedStore that forwards calls to store.
func NewGuardedStore(store Store, budget Budget) *GuardedStore {
	return &GuardedStore{
		store: store, budget: budget, concurrencyLimit: initialConcurrencyLimit,
		readLimiter:  rate.NewLimiter(rate.Limit(budget.ReadsPerSecond), burstSize(budget.ReadsPerSecond)),
		writeLimiter: rate.NewLimiter(rate.Limit(budget.WritesPerSecond), burstSize(budget.WritesPerSecond)),
	}
}

// burstSize returns a burst of two seconds' worth of calls.
func burstSize(perSecond float64) int { return max(1, int(2*perSecond)) }

// Counts returns the current counters.
func (g *GuardedStore) Counts() CallCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// CircuitOpen reports whether calls are rejected because the store is failing.
func (g *GuardedStore) CircuitOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.consecutiveFailures >= failureThreshold
}

// Commit forwards a commit within the limits.
func (g *GuardedStore) Commit(ctx context.Context, c Commit) Outcome {
	isProbe, err := g.beginCall(ctx, g.writeLimiter)
	if err != nil {
		return Refused{Err: err}
	}
	g.count(func(n *CallCounts) { n.Writes++ })
	started := time.Now()
	outcome := g.store.Commit(ctx, c)
	g.endCall(isProbe, resultOf(ctx, commitError(outcome)), time.Since(started))
	return outcome
}

// callResult is what a call shows about the store.
type callResult int

const (
	succeeded callResult = iota
	failed
	// cancelled calls show nothing, as their caller did not wait for them.
	cancelled
)

// resultOf returns the result of a call. One that reached its deadline has failed.
func resultOf(ctx context.Context, err error) callResult {
	switch {
	case err == nil || errors.Is(err, ErrBadRequest):
		return succeeded
	case errors.Is(ctx.Err(), context.Canceled):
		return cancelled
	}
	return failed
}

// commitError returns the error of a commit that the store has not decided.
func commitError(o Outcome) error {
	switch o := o.(type) {
	case Unknown:
		return o.Err
	case Refused:
		if len(o.Conflicts) == 0 {
			return o.Err
		}
	}
	return nil
}

// Get forwards a read of one row within the limits.
func (g *GuardedStore) Get(ctx context.Context, key string) (Row, bool, error) {
	isProbe, err := g.beginCall(ctx, g.readLimiter)
	if err != nil {
		return Row{}, false, err
	}
	g.count(func(n *CallCounts) { n.Reads++ })
	started := time.Now()
	row, ok, err := g.store.Get(ctx, key)
	g.endCall(isProbe, resultOf(ctx, err), time.Since(started))
	return row, ok, err
}

// List forwards a read of several rows within the limits.
func (g *GuardedStore) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	isProbe, err := g.beginCall(ctx, g.readLimiter)
	if err != nil {
		return nil, err
	}
	g.count(func(n *CallCounts) { n.Reads++ })
	started := time.Now()
	rows, err := g.store.List(ctx, prefix, after, limit)
	g.endCall(isProbe, resultOf(ctx, err), time.Since(started))
	return rows, err
}

func (g *GuardedStore) count(change func(*CallCounts)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.counts)
}

// beginCall waits for the rate limit and for a slot among the concurrent calls, and reports whether
// the call is a probe.
func (g *GuardedStore) beginCall(ctx context.Context, limiter *rate.Limiter) (isProbe bool, err error) {
	isAllowed, isProbe := g.allow(time.Now())
	if !isAllowed {
		g.count(func(n *CallCounts) { n.Refused++ })
		return false, ErrCircuitOpen
	}
	if limiter.Wait(ctx) != nil {
		err = ErrBudgetExceeded
	} else {
		err = g.acquireSlot(ctx)
	}
	if err != nil && isProbe {
		g.abandonProbe()
	}
	return isProbe, err
}

// allow reports whether a call may be sent. While the circuit is open it allows
// one call at a time, as a probe, from nextProbeAt on.
func (g *GuardedStore) allow(now time.Time) (isAllowed, isProbe bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateRamp(now)
	if g.consecutiveFailures < failureThreshold {
		return true, false
	}
	if g.probing || now.Before(g.nextProbeAt) {
		return false, false
	}
	g.probing = true
	return true, true
}

// updateRamp raises the rate limits after an outage. The caller holds g.mu.
func (g *GuardedStore) updateRamp(now time.Time) {
	if g.rampStartedAt.IsZero() {
		return
	}
	fraction := rampStartFraction + (1-rampStartFraction)*now.Sub(g.rampStartedAt).Seconds()/g.rampDuration.Seconds()
	if fraction >= 1 {
		fraction = 1
		g.rampStartedAt = time.Time{}
	}
	g.readLimiter.SetLimitAt(now, rate.Limit(fraction*g.budget.ReadsPerSecond))
	g.writeLimiter.SetLimitAt(now, rate.Limit(fraction*g.budget.WritesPerSecond))
	g.readLimiter.SetBurstAt(now, burstSize(fraction*g.budget.ReadsPerSecond))
	g.writeLimiter.SetBurstAt(now, burstSize(fraction*g.budget.WritesPerSecond))
}

func (g *GuardedStore) abandonProbe() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
}

func (g *GuardedStore) acquireSlot(ctx context.Context) error {
	g.mu.Lock()
	if float64(g.inFlight) < g.concurrencyLimit {
		g.inFlight++
		g.mu.Unlock()
		return nil
	}
	slot := make(chan struct{})
	g.waiters = append(g.waiters, slot)
	g.mu.Unlock()
	select {
	case <-slot:
		return nil
	case <-ctx.Done():
		g.cancelWait(slot)
		return ErrBudgetExceeded
	}
}

// cancelWait removes the slot's waiter from the queue. If the slot was granted
// in the meantime, it goes to the next waiter.
func (g *GuardedStore) cancelWait(slot chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, waiter := range g.waiters {
		if waiter == slot {
			g.waiters = append(g.waiters[:i], g.waiters[i+1:]...)
			return
		}
	}
	g.inFlight--
	g.wakeWaiters()
}

// wakeWaiters grants free slots to waiters. The caller holds g.mu.
func (g *GuardedStore) wakeWaiters() {
	for len(g.waiters) > 0 && float64(g.inFlight) < g.concurrencyLimit {
		close(g.waiters[0])
		g.waiters = g.waiters[1:]
		g.inFlight++
	}
}

// endCall releases the call's slot, and updates the concurrency limit and the
// circuit breaker from its result.
func (g *GuardedStore) endCall(isProbe bool, result callResult, duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	now := time.Now()
	switch {
	case result == cancelled:
	case result == failed:
		g.recordFailure(isProbe, now)
	case duration > slowCallThreshold:
		g.recordSuccess(now)
		g.concurrencyLimit = max(minConcurrencyLimit, g.concurrencyLimit*decreaseFactor)
	default:
		g.recordSuccess(now)
		g.concurrencyLimit = min(maxConcurrencyLimit, g.concurrencyLimit+1/g.concurrencyLimit)
	}
	if isProbe {
		g.probing = false
	}
	g.wakeWaiters()
}

// recordFailure counts a failure. Calls that were sent before the circuit opened do not keep it open
// longer: one outage would otherwise double the time with each of them. The caller holds g.mu.
func (g *GuardedStore) recordFailure(isProbe bool, now time.Time) {
	g.counts.Failed++
	if g.consecutiveFailures == 0 {
		g.failingSince = now
	}
	g.consecutiveFailures++
	g.concurrencyLimit = max(minConcurrencyLimit, g.concurrencyLimit*decreaseFactor)
	if g.consecutiveFailures != failureThreshold && !isProbe {
		return
	}
	bound := min(initialOpenTime<<min(g.consecutiveOpens, 8), maxOpenTime)
	g.nextProbeAt = now.Add(time.Duration(rand.Int64N(int64(bound)) + 1))
	g.consecutiveOpens++
	g.counts.Opened++
}

func (g *GuardedStore) recordSuccess(now time.Time) {
	if g.consecutiveFailures >= failureThreshold {
		g.rampStartedAt = now
		g.rampDuration = min(max(now.Sub(g.failingSince), minRampTime), maxRampTime)
		g.updateRamp(now)
	}
	g.consecutiveFailures = 0
	g.consecutiveOpens = 0
}
