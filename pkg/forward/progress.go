package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"ironhollow/pkg/routetable"
)

// InProgress describes a request that was read in full and has no complete response yet.
type InProgress struct {
	ID, Service string
	Kind        routetable.Kind
	// Endpoint is the ID of the endpoint, or the address of the host, that the request was last sent to,
	// empty if it was sent to none.
	Endpoint string
	// Age is the time since the request's head was read.
	Age time.Duration
}

// progress is the set of the requests in progress. It is safe for concurrent use.
type progress struct {
	mu    sync.Mutex
	calls map[*call]*runningCall
	// hasEnded is set once the process ends and no request begins any more.
	hasEnded bool
}

// runningCall is a request in progress.
type runningCall struct {
	request InProgress
	// end ends the request's context. It is nil once the response has begun, which cannot be replaced then.
	end context.CancelCauseFunc
}

func newProgress() *progress { return &progress{calls: map[*call]*runningCall{}} }

// errProcessEnds is the cause of the end of a request that the process cannot continue.
var errProcessEnds = errors.New("the process of this host ends")

// add adds a request. It returns false if the process ends.
func (p *progress) add(c *call, end context.CancelCauseFunc) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasEnded {
		return false
	}
	p.calls[c] = &runningCall{InProgress{ID: c.meta.ID, Service: c.service.Name, Kind: c.route.Kind}, end}
	return true
}

// sentTo records where a request is sent.
func (p *progress) sentTo(c *call, endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if running, ok := p.calls[c]; ok {
		running.request.Endpoint = endpoint
	}
}

// responseBegins records that the caller gets the head of a response.
func (p *progress) responseBegins(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if running, ok := p.calls[c]; ok {
		running.end = nil
	}
}

func (p *progress) remove(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, c)
}

// InProgress returns the requests in progress, in no particular order.
func (f *Forwarder) InProgress() []InProgress {
	f.progress.mu.Lock()
	defer f.progress.mu.Unlock()
	now := f.clock()
	requests := make([]InProgress, 0, len(f.progress.calls))
	for c, running := range f.progress.calls {
		request := running.request
		request.Age = now.Sub(c.started)
		requests = append(requests, request)
	}
	return requests
}

// EndRequests ends the requests in progress whose response has not begun, and those that come later. They are
// answered: as not run if they were sent to no endpoint, otherwise with an unknown outcome.
func (f *Forwarder) EndRequests() {
	f.progress.mu.Lock()
	defer f.progress.mu.Unlock()
	f.progress.hasEnded = true
	for _, running := range f.progress.calls {
		if running.end != nil {
			running.end(errProcessEnds)
		}
	}
}

// mayOutlastProcess reports whether the request may run until after the end of the process. Streams last for seconds.
func (c *call) mayOutlastProcess() bool {
	if c.route.Kind == routetable.Stream {
		return true
	}
	left, known := c.f.lifecycle.TimeLeft()
	return known && time.Until(c.deadline) > left
}
