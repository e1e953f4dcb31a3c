package stream

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/reclaim"
)

// activeShards is how many locks the running streams are spread over.
const activeShards = 16

// active is the streams this process runs, by endpoint.
type active struct {
	shards [activeShards]activeShard
	// byRequest finds the same runs.
	byRequest sync.Map
}

type activeShard struct {
	mu      sync.Mutex
	running map[string]map[string]*run
}

// run is one attempt while it reads from an endpoint.
type run struct {
	request  string
	endpoint endpoint.Info
	cancel   context.CancelCauseFunc

	mu sync.Mutex
	// prompt and tokens count what the endpoint holds in its KV cache.
	prompt, tokens int
	expected       int
	gap            time.Duration
	shared         int
	mayWait        bool
}

func newActive() *active {
	a := &active{}
	for i := range a.shards {
		a.shards[i].running = map[string]map[string]*run{}
	}
	return a
}

func (a *active) shard(id string) *activeShard {
	return &a.shards[xxhash.Sum64String(id)%activeShards]
}

func (a *active) add(r *run) {
	s := a.shard(r.endpoint.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[r.endpoint.ID] == nil {
		s.running[r.endpoint.ID] = map[string]*run{}
	}
	s.running[r.endpoint.ID][r.request] = r
	a.byRequest.Store(r.request, r)
}

func (a *active) find(request string) (*run, bool) {
	held, ok := a.byRequest.Load(request)
	if !ok {
		return nil, false
	}
	return held.(*run), true
}

func (a *active) remove(r *run) {
	s := a.shard(r.endpoint.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running[r.endpoint.ID], r.request)
	a.byRequest.CompareAndDelete(r.request, r)
	if len(s.running[r.endpoint.ID]) == 0 {
		delete(s.running, r.endpoint.ID)
	}
}

// on returns the streams that run on one incarnation of an endpoint.
func (a *active) on(ref endpoint.Ref) []*run {
	s := a.shard(ref.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []*run
	for _, r := range s.running[ref.ID] {
		if r.endpoint.Ref() == ref {
			runs = append(runs, r)
		}
	}
	return runs
}

// advance notes one more token.
func (r *run) advance(tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = tokens
}

// work describes the stream to the reclaim plan.
func (r *run) work() reclaim.Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return reclaim.Stream{
		ID:              r.request,
		KVTokens:        r.prompt + r.tokens,
		RemainingTokens: max(r.expected-r.tokens, 1),
		TokenGap:        r.gap,
		CachedElsewhere: min(r.shared, r.prompt),
		MayWait:         r.mayWait,
	}
}
