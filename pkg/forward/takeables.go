package forward

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"ironhollow/pkg/origin"
)

// maxTakeables bounds the entries of the table, of which a stream has up to two; the least recently used are dropped
// first.
const maxTakeables = 16 << 10

// takeable is a stream that its caller may resume with another request.
type takeable struct {
	// keys are those by which its caller may name it; they are not empty.
	keys []origin.Key
	// since is when the request began.
	since time.Time
	mu    sync.Mutex
	// interrupt ends the caller's request, nil once it has ended. isTakenUp is set once it was called.
	interrupt func()
	isTakenUp bool
	// ending is nil unless the stream is being ended for a caller that resumes it.
	ending *streamEnding
	// ended is closed once the request has ended; runs and hop are valid after that.
	ended chan struct{}
	// runs are those that may continue, until their deadline.
	runs  []*openRun
	until time.Time
	// hop is the host through which the stream was last relayed, empty if there is none.
	hop string
}

// streamEnding is one try to end a stream. done is closed after it; hasEnded is valid then.
type streamEnding struct {
	done     chan struct{}
	hasEnded bool
}

// takeables holds the streams that callers may resume, by the keys of the attempt that brought their first events. It
// is safe for concurrent use.
type takeables struct {
	mu      sync.Mutex
	streams *simplelru.LRU[origin.Key, *takeable]
}

func newTakeables() *takeables {
	// The size is positive, which is all that the constructor checks.
	streams, _ := simplelru.NewLRU[origin.Key, *takeable](maxTakeables, nil)
	return &takeables{streams: streams}
}

// get returns a stream, nil if there is none.
func (t *takeables) get(key origin.Key) *takeable {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, _ := t.streams.Peek(key)
	return s
}

// add adds a stream and returns the one that it replaces under the first key that has one, nil if there is none.
func (t *takeables) add(s *takeable) (previous *takeable) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range s.keys {
		if held, ok := t.streams.Peek(key); ok && previous == nil {
			previous = held
		}
		t.streams.Add(key, s)
	}
	return previous
}

// drop removes a stream of which nothing is left to end.
func (t *takeables) drop(s *takeable) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range s.keys {
		if held, ok := t.streams.Peek(key); ok && held == s {
			t.streams.Remove(key)
		}
	}
}
