// Package storeclock measures the time since the process started and relates it to the monotonic
// clock of the platform's store. The time includes suspensions of the machine, so that data
// received before a suspension has its true age when the machine resumes.
package storeclock

import (
	"sync"
	"time"

	"ironhollow/pkg/boottime"
)

// Clock is the clock of the process, with an estimate of the store's clock. It is safe for
// concurrent use.
type Clock struct {
	start time.Time

	mu sync.Mutex
	// storeTimeAtStart is the store's clock at start, estimated from the answer with the least
	// delay.
	storeTimeAtStart time.Duration
	known            bool
}

// New returns a clock that starts now.
func New() *Clock { return &Clock{start: boottime.Now()} }

// Uptime returns the time since the clock was started.
func (c *Clock) Uptime() time.Duration { return boottime.Since(c.start) }

// Now returns the time of day at the start plus the time since then, so that adjustments of the
// system clock have no effect.
func (c *Clock) Now() time.Time { return c.start.Add(boottime.Since(c.start)) }

// Observe updates the estimate with the store's clock in an answer that has just arrived. The delay
// of an answer lowers the estimate, so the highest one is kept.
func (c *Clock) Observe(storeTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	storeTimeAtStart := storeTime - boottime.Since(c.start)
	if !c.known || storeTimeAtStart > c.storeTimeAtStart {
		c.storeTimeAtStart = storeTimeAtStart
		c.known = true
	}
}

// StoreTime returns the store's clock now, or false before the first answer.
func (c *Clock) StoreTime() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeTimeAtStart + boottime.Since(c.start), c.known
}

// Offset returns this host's time of day minus the store's clock, or false before the first answer.
func (c *Clock) Offset() (time.Duration, bool) {
	now, ok := c.StoreTime()
	return time.Duration(time.Now().UnixNano()) - now, ok
}

// StoreStartTime returns the store's clock at the start of the process, truncated to seconds so
// that it stays the same while better estimates arrive; 0 before the first answer.
func (c *Clock) StoreStartTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0
	}
	return c.storeTimeAtStart.Truncate(time.Second)
}
