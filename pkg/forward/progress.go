package forward

import (
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
	calls map[*call]InProgress
}

func newProgress() *progress { return &progress{calls: map[*call]InProgress{}} }

func (p *progress) add(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[c] = InProgress{ID: c.meta.ID, Service: c.service.Name, Kind: c.route.Kind}
}

// sentTo records where a request is sent.
func (p *progress) sentTo(c *call, endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if request, ok := p.calls[c]; ok {
		request.Endpoint = endpoint
		p.calls[c] = request
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
	for c, request := range f.progress.calls {
		request.Age = now.Sub(c.started)
		requests = append(requests, request)
	}
	return requests
}
