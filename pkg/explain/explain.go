// Package explain keeps how the latest requests were served, so that an
// operator can ask why a request went where it went.
package explain

import (
	"sync"
	"time"

	"ironhollow/pkg/stream"
)

// kept is how many requests are remembered.
const kept = 512

// Record is one request as served.
type Record struct {
	Request, Team, Service string
	Begun                  time.Time
	Took                   time.Duration
	Tokens                 int
	Hops                   []stream.AttemptRecord
	// Failure and Code are empty for a request that was answered whole.
	Failure string
	Code    int
}

// History is the latest requests. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	records [kept]Record
	next    int
	count   int
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{} }

// Add remembers a request and forgets the oldest.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records[h.next] = r
	h.next = (h.next + 1) % kept
	h.count = min(h.count+1, kept)
}

// Find returns a remembered request.
func (h *History) Find(request string) (Record, bool) {
	for _, r := range h.Latest(kept) {
		if r.Request == request {
			return r, true
		}
	}
	return Record{}, false
}

// Latest returns the latest requests, newest first.
func (h *History) Latest(count int) []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]Record, 0, min(count, h.count))
	for i := 1; i <= h.count && len(list) < count; i++ {
		list = append(list, h.records[(h.next-i+kept)%kept])
	}
	return list
}
