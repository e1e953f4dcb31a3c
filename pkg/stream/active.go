package stream

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/reclaim"
)

// activeShards is the number of locks that the running streams are distributed over.
const activeShards = 16

// activeStreams holds the streams that this process runs. It is safe for concurrent use.
type activeStreams struct {
	shards [activeShards]activeShard
	// byRequest maps a request ID to its *activeAttempt.
	byRequest sync.Map
}

type activeShard struct {
	mu sync.Mutex
	// byEndpoint maps an endpoint ID to the attempts there, by request ID.
	byEndpoint map[string]map[string]*activeAttempt
}

// activeAttempt is an attempt that is reading from an endpoint.
type activeAttempt struct {
	requestID string
	endpoint  endpoint.Info
	cancel    context.CancelCauseFunc
	// prefixHashes are those of the prompt.
	prefixHashes []uint64

	mu sync.Mutex
	// promptTokens and tokens are the numbers of prompt and answer tokens that the endpoint
	// has in its KV cache.
	promptTokens, tokens int
	expectedTokens       int
	tokenGap             time.Duration
	mayWait              bool
}

func newActiveStreams() *activeStreams {
	a := &activeStreams{}
	for i := range a.shards {
		a.shards[i].byEndpoint = map[string]map[string]*activeAttempt{}
	}
	return a
}

func (a *activeStreams) shard(id string) *activeShard {
	return &a.shards[xxhash.Sum64String(id)%activeShards]
}

func (a *activeStreams) add(t *activeAttempt) {
	s := a.shard(t.endpoint.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byEndpoint[t.endpoint.ID] == nil {
		s.byEndpoint[t.endpoint.ID] = map[string]*activeAttempt{}
	}
	s.byEndpoint[t.endpoint.ID][t.requestID] = t
	a.byRequest.Store(t.requestID, t)
}

func (a *activeStreams) find(requestID string) (*activeAttempt, bool) {
	loaded, ok := a.byRequest.Load(requestID)
	if !ok {
		return nil, false
	}
	return loaded.(*activeAttempt), true
}

func (a *activeStreams) remove(t *activeAttempt) {
	s := a.shard(t.endpoint.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byEndpoint[t.endpoint.ID], t.requestID)
	a.byRequest.CompareAndDelete(t.requestID, t)
	if len(s.byEndpoint[t.endpoint.ID]) == 0 {
		delete(s.byEndpoint, t.endpoint.ID)
	}
}

// runningOn returns the attempts that run on one incarnation of an endpoint.
func (a *activeStreams) runningOn(ref endpoint.Ref) []*activeAttempt {
	s := a.shard(ref.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	var attempts []*activeAttempt
	for _, t := range s.byEndpoint[ref.ID] {
		if t.endpoint.Ref() == ref {
			attempts = append(attempts, t)
		}
	}
	return attempts
}

// setTokens sets the number of answer tokens generated so far.
func (t *activeAttempt) setTokens(tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens = tokens
}

// reclaimStream returns the description of the stream for the reclaim plan. cachedElsewhere is the
// number of prompt tokens that another endpoint has cached.
func (t *activeAttempt) reclaimStream(cachedElsewhere int) reclaim.Stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return reclaim.Stream{
		ID:              t.requestID,
		KVTokens:        t.promptTokens + t.tokens,
		RemainingTokens: max(t.expectedTokens-t.tokens, 1),
		TokenGap:        t.tokenGap,
		CachedElsewhere: min(cachedElsewhere, t.promptTokens),
		MayWait:         t.mayWait,
	}
}
