// Package timeline plays what happens in virtual time: things are done in the order of
// their times, those of one time in the order in which they were planned.
package timeline

import (
	"container/heap"
	"time"
)

// Timeline is what is still to happen. Its zero value is empty and at 0. It is used by
// one goroutine.
type Timeline struct {
	now    time.Duration
	events events
	// planned counts what was planned.
	planned int
}

// Now returns the time since the start.
func (t *Timeline) Now() time.Duration { return t.now }

// After plans do for a while from now.
func (t *Timeline) After(pause time.Duration, do func()) {
	t.planned++
	heap.Push(&t.events, event{t.now + pause, t.planned, do})
}

// Scheduled is how many things were planned so far.
func (t *Timeline) Scheduled() int { return t.planned }

// Run does what was planned until the end, or until over says so; nil never does.
func (t *Timeline) Run(end time.Duration, over func() bool) {
	for len(t.events) > 0 && t.now < end {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.do()
		if over != nil && over() {
			return
		}
	}
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push and Pop are for package heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
