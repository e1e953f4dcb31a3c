// Package explain records how the latest requests were served and reads the hosts' logs, so that
// an operator can find out why a request was routed as it was.
package explain

import (
	"sync"
	"time"

	"ironhollow/pkg/stream"
)

// capacity is the number of requests that a history keeps.
const capacity = 512

// Record describes how a request was served.
type Record struct {
	Request, Team, Service string
	StartedAt              time.Time
	Duration               time.Duration
	Tokens                 int
	Hops                   []stream.AttemptRecord
	// Failure and Code are empty for a request that was answered completely.
	Failure string
	Code    int
}

// History contains the latest requests. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	records [capacity]Record
	next    int
	count   int
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{} }

// Add adds a request. It replaces the oldest one if the history is full.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records[h.next] = r
	h.next = (h.next + 1) % capacity
	h.count = min(h.count+1, capacity)
}

// Find returns the record of a request if the history still has it.
func (h *History) Find(request string) (Record, bool) {
	for _, r := range h.Latest(capacity) {
		if r.Request == request {
			return r, true
		}
	}
	return Record{}, false
}

// Latest returns up to count of the latest requests, newest first.
func (h *History) Latest(count int) []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]Record, 0, min(count, h.count))
	for i := 1; i <= h.count && len(list) < count; i++ {
		list = append(list, h.records[(h.next-i+capacity)%capacity])
	}
	return list
}
