// Package usage counts the requests of each team that started to run, by windows of
// the fleet's common clock, and reports each window once for the whole fleet.
package usage

import (
	"sort"
	"sync"
	"time"

	"ironhollow/pkg/roster"
)

// Report has the counts of one window.
type Report struct {
	// Window is the number of the window, which starts Window times its length after the
	// start of 1970.
	Window int64
	Counts map[string]int
}

// retainedWindows is how many windows a process publishes the counts of. It is more than
// the number of windows that pass until one is reported, even if the lease's holder changes.
const retainedWindows = 5

// Counter counts the requests that started at this process. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	now    func() time.Time

	mu     sync.Mutex
	counts map[int64]map[string]int
}

// NewCounter returns a counter for windows of the given length; now returns the time of the
// fleet's common clock.
func NewCounter(length time.Duration, now func() time.Time) *Counter {
	return &Counter{length: length, now: now, counts: map[int64]map[string]int{}}
}

// Window returns the number of the window that contains a time.
func (c *Counter) Window(at time.Time) int64 { return at.UnixNano() / int64(c.length) }

// CurrentWindow returns the number of the current window.
func (c *Counter) CurrentWindow() int64 { return c.Window(c.now()) }

// RunStarted counts a started request of a team. Requests without a team are not counted.
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

// Recent returns the counts of the retained windows and deletes those of earlier ones.
func (c *Counter) Recent() []roster.RequestCount {
	oldest := c.Window(c.now()) - retainedWindows
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

// Latest returns the counts of the current and the previous window.
func (c *Counter) Latest() []roster.RequestCount {
	current := c.CurrentWindow()
	var list []roster.RequestCount
	for _, count := range c.Recent() {
		if count.Window >= current-1 {
			list = append(list, count)
		}
	}
	return list
}
