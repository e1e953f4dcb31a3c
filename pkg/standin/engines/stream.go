package engines

import (
	"sync"
	"time"
)

// stream is one answer in the making. Readers come and go.
type stream struct {
	spec   promptSpec
	key    uint64
	length int

	mu       sync.Mutex
	count    int
	finished bool
	cut      bool
	readers  int
	// unread is when the last reader left.
	unread time.Time
	// changed is closed and replaced at every change.
	changed chan struct{}
	stop    chan struct{}
	prompt  int
	cached  int
}

func newStream(p promptSpec, key uint64, length int) *stream {
	return &stream{
		spec: p, key: key, length: length, count: p.done,
		unread: time.Now(), changed: make(chan struct{}), stop: make(chan struct{}),
	}
}

func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) append(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count += tokens
	s.signal()
}

func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	s.signal()
}

// cancel ends the stream unfinished; it may be called more than once.
func (s *stream) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut || s.finished {
		return
	}
	s.cut = true
	close(s.stop)
	s.signal()
}

func (s *stream) isCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

func (s *stream) available() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

func (s *stream) setUsage(prompt, cached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prompt = prompt
	s.cached = cached
}

// sleep waits and reports whether the stream is still wanted.
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

func (s *stream) abandoned(linger time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && time.Since(s.unread) > linger
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
	s.unread = time.Now()
}

// progress is a stream's state at one moment.
type progress struct {
	count          int
	finished, cut  bool
	changed        <-chan struct{}
	prompt, cached int
}

func (s *stream) progress() progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{s.count, s.finished, s.cut, s.changed, s.prompt, s.cached}
}

// waiter is a stream in the queue.
type waiter struct {
	stream   *stream
	priority int
	arrival  int64
}

// waitQueue is a heap: higher priority first, then the earlier arrival.
type waitQueue []waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is called by the heap only.
func (q *waitQueue) Push(x any) { *q = append(*q, x.(waiter)) }

// Pop is called by the heap only.
func (q *waitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
