// Package retry bounds what is sent again: a budget as a share of what is sent
// the first time, and full jitter between tries.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of the budget.
const (
	// reserve is how many retries a quiet process may make at once.
	reserve = 10.0
	// trickle is retries a second that are always allowed, so that a process
	// without new requests can still finish what it has.
	trickle = 1.0
)

// Budget allows retries as a share of first sends. It is safe for concurrent
// use. Moves of running work away from a leaving endpoint are not retries.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
	at     time.Time
	first  int64
	again  int64
}

// New returns a full budget; share is retries for each first send.
func New(share float64, now time.Time) *Budget {
	return &Budget{share: share, tokens: reserve, at: now}
}

// SetShare changes the share.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// RecordFirstSend notes a first send.
func (b *Budget) RecordFirstSend(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.first++
	b.tokens = min(reserve, b.tokens+b.share)
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
	b.again++
	return true
}

// Counts returns first sends and retries so far.
func (b *Budget) Counts() (first, again int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first, b.again
}

func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.tokens = min(reserve, b.tokens+elapsed*trickle)
	b.at = now
}

// Bounds of the pause between tries.
const (
	firstPause = 20 * time.Millisecond
	mostPause  = 2 * time.Second
)

// Delay returns how long to wait before a try, counted from 1: full jitter
// below a bound that doubles, so that many callers do not come back together.
func Delay(try int, random *rand.Rand) time.Duration {
	bound := mostPause
	if try < 8 {
		bound = min(mostPause, firstPause<<try)
	}
	return time.Duration(random.Int64N(int64(bound)) + 1)
}
