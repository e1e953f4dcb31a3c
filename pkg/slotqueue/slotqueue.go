// Package slotqueue orders the requests that wait at a host for a slot of an endpoint, and decides how
// long each of them may wait. It reads no clock and does no I/O.
package slotqueue

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxWaitShare is the share of a request's objective for which it may wait for a slot: a caller
	// that is refused within a quarter of its objective can still be served in time elsewhere.
	maxWaitShare = 0.2
	// defaultMaxWait is how long a request without an objective may wait.
	defaultMaxWait = 200 * time.Millisecond
	// priorityStep is the time by which a request goes ahead of those of the next lower priority.
	// Strict priorities would let the lowest starve while the slots are all in use.
	priorityStep = 100 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller is asked to return.
	minRetryAfter = 100 * time.Millisecond
)

// Request is a request that finds no slot.
type Request struct {
	// Objective is the time within which the request is to be answered, 0 if there is none; Elapsed is
	// the part of it that has passed.
	Objective, Elapsed time.Duration
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
}

// Capacity is what the host may send to the endpoints that the request may go to.
type Capacity struct {
	// Slots is the number of requests that may be in flight.
	Slots int
	// Service is the mean time for which a request holds a slot.
	Service time.Duration
}

// MaxWait returns how long a request may wait behind a number of others. If a slot is not expected
// within that time, ok is false and retryAfter is the time after which it is.
func (r Request) MaxWait(ahead int, c Capacity) (maxWait, retryAfter time.Duration, ok bool) {
	maxWait = defaultMaxWait
	if r.Objective > 0 {
		maxWait = min(time.Duration(maxWaitShare*float64(r.Objective)), r.Objective-c.Service) - r.Elapsed
	}
	if c.Slots <= 0 {
		return 0, minRetryAfter, false
	}
	expected := c.Service * time.Duration(ahead+1) / time.Duration(c.Slots)
	if expected > maxWait || maxWait <= 0 {
		return 0, max(expected-max(maxWait, 0), minRetryAfter), false
	}
	return maxWait, max(c.Service/time.Duration(c.Slots), minRetryAfter), true
}

// Queue holds the requests that wait for a slot of the same service. It is safe for concurrent use.
type Queue struct {
	mu sync.Mutex
	// entries are in the order in which they are woken.
	entries []*Entry
	added   int
}

// Entry is a waiting request.
type Entry struct {
	// due orders the entries: the time of arrival, later for a lower priority. number orders those of
	// the same time.
	due    time.Time
	number int
	wake   func()
}

// NewEntry returns the entry of a request that arrives at now. wake is called, without a lock, each
// time that the request has left the queue to try again.
func (q *Queue) NewEntry(priority int, now time.Time, wake func()) *Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.added++
	return &Entry{due: now.Add(time.Duration(priority) * priorityStep), number: q.added, wake: wake}
}

func compare(a, b *Entry) int {
	if order := a.due.Compare(b.due); order != 0 {
		return order
	}
	return a.number - b.number
}

// CountAhead returns the number of entries that are woken before e.
func (q *Queue) CountAhead(e *Entry) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	i, _ := slices.BinarySearchFunc(q.entries, e, compare)
	return i
}

// Add adds an entry, or returns one that was woken to its place.
func (q *Queue) Add(e *Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i, _ := slices.BinarySearchFunc(q.entries, e, compare)
	q.entries = slices.Insert(q.entries, i, e)
}

// Remove removes an entry and reports whether it was in the queue.
func (q *Queue) Remove(e *Entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i, found := slices.BinarySearchFunc(q.entries, e, compare)
	if found {
		q.entries = slices.Delete(q.entries, i, i+1)
	}
	return found
}

// RemoveFirst removes an entry if it is the first and reports whether it was.
func (q *Queue) RemoveFirst(e *Entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.entries) == 0 || q.entries[0] != e {
		return false
	}
	q.entries = slices.Delete(q.entries, 0, 1)
	return true
}

// WakeNext removes the first entry and wakes it.
func (q *Queue) WakeNext() { q.wakeAt(func() int { return 0 }) }

// WakeAfter removes the first entry behind e, which is not in the queue, and wakes it. It is for an
// entry that was woken and may not use the slot that is free.
func (q *Queue) WakeAfter(e *Entry) {
	q.wakeAt(func() int {
		i, _ := slices.BinarySearchFunc(q.entries, e, compare)
		return i
	})
}

// wakeAt removes and wakes the entry at an index that is computed under the lock.
func (q *Queue) wakeAt(index func() int) {
	q.mu.Lock()
	i := index()
	if i >= len(q.entries) {
		q.mu.Unlock()
		return
	}
	next := q.entries[i]
	q.entries = slices.Delete(q.entries, i, i+1)
	q.mu.Unlock()
	next.wake()
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.entries)
}
