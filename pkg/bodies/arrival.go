package bodies

import (
	"math"
	"sync"
	"time"
)

// arrival is a body that is being read.
type arrival struct {
	source Source
	// taken is the memory that the body has taken. Store.mu guards it.
	taken int64

	mu sync.Mutex
	// last is when bytes last arrived.
	last time.Time
	// since is the beginning of the time in which count bytes have arrived, and previousRate the rate, in bytes a second, in the
	// time before.
	since        time.Time
	count        int64
	previousRate int64
	// interrupted is set once the body was given up for others, ended once it is not read any more.
	interrupted, ended bool
}

func newArrival(source Source) *arrival {
	now := time.Now()
	return &arrival{source: source, last: now, since: now, previousRate: math.MaxInt64}
}

// received records that n bytes have arrived.
func (a *arrival) received(n int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n == 0 {
		return
	}
	if elapsed := now.Sub(a.since); elapsed >= slowTime {
		a.previousRate = int64(float64(a.count) / elapsed.Seconds())
		a.since, a.count = now, 0
	}
	a.last = now
	a.count += int64(n)
}

// rate returns the rate at which the body arrives, in bytes a second: 0 if it has stopped, and the highest value if it is
// too early to say.
func (a *arrival) rate(now time.Time) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	elapsed := now.Sub(a.since)
	switch {
	case now.Sub(a.last) >= slowTime:
		return 0
	case elapsed >= slowTime:
		return int64(float64(a.count) / elapsed.Seconds())
	default:
		return a.previousRate
	}
}

// interrupt ends the read in progress, once, unless the body is not read any more.
func (a *arrival) interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.interrupted && !a.ended {
		a.interrupted = true
		a.source.Interrupt()
	}
}

func (a *arrival) isInterrupted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.interrupted
}

// end records that the body is not read any more, so that it is not interrupted later.
func (a *arrival) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
}
