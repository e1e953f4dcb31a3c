// Package timeline schedules the events of a simulation in virtual time. Events run in the order of
// their times, and events of the same time in the order in which they were scheduled.
package timeline

import (
	"container/heap"
	"time"
)

// Timeline holds the virtual time and the events that have not run yet. The zero value is empty and
// at time 0. It is not safe for concurrent use.
type Timeline struct {
	now    time.Duration
	events events
	// scheduled is the number of events scheduled so far.
	scheduled int
}

// Now returns the virtual time since the start.
func (t *Timeline) Now() time.Duration { return t.now }

// After schedules action to run after delay, counted from the current virtual time.
func (t *Timeline) After(delay time.Duration, action func()) {
	t.scheduled++
	heap.Push(&t.events, event{t.now + delay, t.scheduled, action})
}

// Scheduled returns the number of events scheduled so far.
func (t *Timeline) Scheduled() int { return t.scheduled }

// Run runs the events in order until none is left, the virtual time has reached limit, or stop
// returns true after an event. The event that reaches limit still runs. stop may be nil.
func (t *Timeline) Run(limit time.Duration, stop func() bool) {
	for len(t.events) > 0 && t.now < limit {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.action()
		if stop != nil && stop() {
			return
		}
	}
}

type event struct {
	at       time.Duration
	sequence int
	action   func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push and Pop are called only by package heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
