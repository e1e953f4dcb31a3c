package node

import (
	"sync"
	"time"
)

// clock tells the time by the process's monotonic clock and keeps what is known
// of the store's. It is safe for concurrent use.
type clock struct {
	start time.Time

	mu sync.Mutex
	// storeStart is the store's clock at start, as the answer with the least
	// delay told it.
	storeStart time.Duration
	known      bool
}

func newClock() *clock { return &clock{start: time.Now()} }

// Now returns the time of day at the start plus what has passed since: steps
// of the time of day don't show.
func (c *clock) Now() time.Time { return c.start.Add(time.Since(c.start)) }

// heard takes in the store's clock of an answer that has just come.
func (c *clock) heard(store time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	start := store - time.Since(c.start)
	if !c.known || start > c.storeStart {
		c.storeStart = start
		c.known = true
	}
}

// store returns the store's clock now.
func (c *clock) store() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeStart + time.Since(c.start), c.known
}

// offset returns this host's time of day less the store's clock.
func (c *clock) offset() (time.Duration, bool) {
	now, ok := c.store()
	return time.Duration(time.Now().UnixNano()) - now, ok
}

// since returns the store's clock at the start, rounded so that it stays the
// same while better answers come; 0 while it is not known.
func (c *clock) since() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0
	}
	return c.storeStart.Truncate(time.Second)
}
