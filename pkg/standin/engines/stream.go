package engines

import (
	"sync"
	"time"
)

// stream is a response being generated. Readers can attach and detach at any time.
type stream struct {
	spec   promptSpec
	key    uint64
	length int

	mu         sync.Mutex
	tokenCount int
	finished   bool
	cancelled  bool
	readers    int
	// unreadSince is when the last reader detached, initially the creation time.
	unreadSince time.Time
	// changed is closed and replaced at every change.
	changed      chan struct{}
	stop         chan struct{}
	promptTokens int
	cachedTokens int
}

func newStream(p promptSpec, key uint64, length int) *stream {
	return &stream{
		spec: p, key: key, length: length, tokenCount: p.continuedTokens,
		unreadSince: time.Now(), changed: make(chan struct{}), stop: make(chan struct{}),
	}
}

func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) addTokens(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokenCount += tokens
	s.notifyReaders()
}

func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	s.notifyReaders()
}

// cancel ends the stream before it is finished; it may be called more than once.
func (s *stream) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelled || s.finished {
		return
	}
	s.cancelled = true
	close(s.stop)
	s.notifyReaders()
}

func (s *stream) isCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

func (s *stream) available() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokenCount
}

func (s *stream) setUsage(promptTokens, cachedTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promptTokens = promptTokens
	s.cachedTokens = cachedTokens
}

// sleep waits for d and returns false at once if the stream is cancelled.
func (s *stream) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.stop:
		return false
	case <-timer.C:
		return true
	}
}

func (s *stream) abandoned(retention time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && time.Since(s.unreadSince) > retention
}

func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

func (s *stream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.unreadSince = time.Now()
}

// progress is a snapshot of a stream's state.
type progress struct {
	tokenCount                 int
	finished, cancelled        bool
	changed                    <-chan struct{}
	promptTokens, cachedTokens int
}

func (s *stream) progress() progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{s.tokenCount, s.finished, s.cancelled, s.changed, s.promptTokens, s.cachedTokens}
}

// queuedStream is a stream that waits for a slot.
type queuedStream struct {
	stream   *stream
	priority int
	arrival  int64
}

// waitQueue is a heap, ordered by descending priority and then by arrival.
type waitQueue []queuedStream

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) { *q = append(*q, x.(queuedStream)) }

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
