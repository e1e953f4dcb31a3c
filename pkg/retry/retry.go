// Package retry limits retries: by a budget that is a share of first sends, and with full jitter
// between attempts.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of the budget.
const (
	// maxTokens is the number of retries that a process may send at once after a quiet period.
	maxTokens = 10.0
	// tokensPerSecond is the number of retries per second that are always allowed, so that a
	// process without new requests can still complete its running ones.
	tokensPerSecond = 1.0
)

// Budget allows retries as a share of first sends. It is safe for concurrent use. Moving running
// work away from a leaving endpoint is not a retry.
type Budget struct {
	mu         sync.Mutex
	share      float64
	tokens     float64
	refilledAt time.Time
	firstSends int64
	retries    int64
}

// New returns a full budget; share is the number of retries per first send.
func New(share float64, now time.Time) *Budget {
	return &Budget{share: share, tokens: maxTokens, refilledAt: now}
}

// SetShare sets the number of retries per first send.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// RecordFirstSend counts a first send.
func (b *Budget) RecordFirstSend(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.firstSends++
	b.tokens = min(maxTokens, b.tokens+b.share)
}

// Take reports whether a retry may be sent now, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.retries++
	return true
}

// Counts returns the numbers of first sends and retries so far.
func (b *Budget) Counts() (firstSends, retries int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.firstSends, b.retries
}

func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.tokens = min(maxTokens, b.tokens+elapsed*tokensPerSecond)
	b.refilledAt = now
}

// Bounds of the delay before an attempt.
const (
	// firstBound is the bound of the first delay, 20 ms in the mean.
	firstBound = 40 * time.Millisecond
	maxDelay   = 2 * time.Second
)

// Delay returns how long to wait before an attempt, counted from 1. It uses full jitter below a
// bound that doubles with each attempt, so that many callers do not retry at the same time.
func Delay(attempt int, random *rand.Rand) time.Duration {
	bound := maxDelay
	if attempt < 8 {
		bound = min(maxDelay, firstBound<<(attempt-1))
	}
	return time.Duration(random.Int64N(int64(bound)) + 1)
}
