// Package storeclock measures the time since the process started and relates it to the steady
// clock of the platform's store. It counts the time for which the machine was suspended, so that
// what was received before is as old as it is when the machine wakes.
package storeclock

import (
	"sync"
	"time"

	"ironhollow/pkg/boottime"
)

// Clock is the process's clock with what is known of the store's. It is safe for
// concurrent use.
type Clock struct {
	start time.Time

	mu sync.Mutex
	// storeStart is the store's clock at start, by the answer with the least delay.
	storeStart time.Duration
	known      bool
}

// New returns a clock that starts now.
func New() *Clock { return &Clock{start: boottime.Now()} }

// Running returns the time since the clock's start.
func (c *Clock) Running() time.Duration { return boottime.Since(c.start) }

// Now returns the time of day at the start plus what has passed since: steps
// of the time of day don't show.
func (c *Clock) Now() time.Time { return c.start.Add(boottime.Since(c.start)) }

// Heard applies the store's clock of an answer that has just come.
func (c *Clock) Heard(store time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	start := store - boottime.Since(c.start)
	if !c.known || start > c.storeStart {
		c.storeStart = start
		c.known = true
	}
}

// Store returns the store's clock now.
func (c *Clock) Store() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeStart + boottime.Since(c.start), c.known
}

// Offset returns this host's time of day less the store's clock.
func (c *Clock) Offset() (time.Duration, bool) {
	now, ok := c.Store()
	return time.Duration(time.Now().UnixNano()) - now, ok
}

// Since returns the store's clock at the start, rounded so that it stays the
// same while better answers come; 0 while it is not known.
func (c *Clock) Since() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0
	}
	return c.storeStart.Truncate(time.Second)
}
