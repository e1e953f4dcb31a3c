package forward

import (
	"sync"
	"time"
)

// lineBudget bounds the log lines of requests. Lines of requests that were
// served give way first: they may use half of the budget.
type lineBudget struct {
	mu      sync.Mutex
	tokens  float64
	at      time.Time
	dropped int
	toldAt  time.Time
}

// Parameters of the budget.
const (
	// linesPerSecond is about five times a host's usual requests, and 100 KB/s.
	linesPerSecond = 200.0
	// lineBurst is lines at once.
	lineBurst = 400.0
	// tellEvery is the time between two lines that tell how many were dropped.
	tellEvery = 5 * time.Second
)

func newLineBudget(now time.Time) *lineBudget {
	return &lineBudget{tokens: lineBurst, at: now, toldAt: now}
}

// take reports whether a line may be written. dropped is how many were not
// since this was last told; it is 0 unless it is time to tell.
func (b *lineBudget) take(failed bool, now time.Time) (write bool, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(lineBurst, b.tokens+elapsed.Seconds()*linesPerSecond)
		b.at = now
	}
	least := 1.0
	if !failed {
		least = lineBurst / 2
	}
	if b.tokens < least {
		b.dropped++
		return false, 0
	}
	b.tokens--
	if b.dropped > 0 && now.Sub(b.toldAt) >= tellEvery {
		dropped, b.dropped, b.toldAt = b.dropped, 0, now
	}
	return true, dropped
}
