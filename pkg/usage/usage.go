// Package usage counts the requests of teams that began to run, by windows of
// true time, and reports each window once for the whole fleet.
package usage

import (
	"sort"
	"sync"
	"time"

	"ironhollow/pkg/roster"
)

// Report is one window's counts.
type Report struct {
	// Window numbers the window: it begins Window times its length after the
	// start of 1970.
	Window int64
	Counts map[string]int
}

// keptWindows is how many windows a process tells of: more than pass until one
// is reported, also after a change of the lease's holder.
const keptWindows = 5

// Counter counts what began at this process. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	now    func() time.Time

	mu     sync.Mutex
	counts map[int64]map[string]int
}

// NewCounter returns a counter for windows of a length; now is true time.
func NewCounter(length time.Duration, now func() time.Time) *Counter {
	return &Counter{length: length, now: now, counts: map[int64]map[string]int{}}
}

// Window returns the window a moment falls into.
func (c *Counter) Window(at time.Time) int64 { return at.UnixNano() / int64(c.length) }

// CurrentWindow is the window that runs.
func (c *Counter) CurrentWindow() int64 { return c.Window(c.now()) }

// RunStarted counts one request of a team; requests without a team are not counted.
func (c *Counter) RunStarted(team string) {
	if team == "" {
		return
	}
	window := c.Window(c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[window] == nil {
		c.counts[window] = map[string]int{}
	}
	c.counts[window][team]++
}

// Recent returns the counts of the last windows, and drops those before.
func (c *Counter) Recent() []roster.RequestCount {
	oldest := c.Window(c.now()) - keptWindows
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []roster.RequestCount
	for window, teams := range c.counts {
		if window < oldest {
			delete(c.counts, window)
			continue
		}
		for team, n := range teams {
			list = append(list, roster.RequestCount{Window: window, Team: team, Started: n})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Window < list[j].Window || list[i].Window == list[j].Window && list[i].Team < list[j].Team
	})
	return list
}

// Latest returns the counts of the window that runs and the one before.
func (c *Counter) Latest() []roster.RequestCount {
	running := c.CurrentWindow()
	var list []roster.RequestCount
	for _, count := range c.Recent() {
		if count.Window >= running-1 {
			list = append(list, count)
		}
	}
	return list
}
