package feed_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"ironhollow/pkg/feed"
	"ironhollow/pkg/httpx"
)

var errUnavailable = errors.New("the store is unavailable")

// response is one scripted response of the store.
type response struct {
	batch feed.Batch
	err   error
}

// store returns scripted responses and records its calls.
type store struct {
	mu        sync.Mutex
	responses []response
	// requestedAfter holds the version after which each call requested changes, -1 for a
	// snapshot.
	requestedAfter []int64
	// timeouts holds the poll timeouts of the calls for changes.
	timeouts []time.Duration
	done     chan struct{}
}

func (s *store) next(after int64) (feed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestedAfter = append(s.requestedAfter, after)
	if len(s.responses) == 0 {
		return feed.Batch{Version: after}, nil
	}
	r := s.responses[0]
	s.responses = s.responses[1:]
	if len(s.responses) == 0 {
		close(s.done)
	}
	return r.batch, r.err
}

func (s *store) Snapshot(context.Context, string) (feed.Batch, error) { return s.next(-1) }

func (s *store) Changes(_ context.Context, _ string, after int64, timeout time.Duration) (feed.Batch, error) {
	s.mu.Lock()
	s.timeouts = append(s.timeouts, timeout)
	s.mu.Unlock()
	return s.next(after)
}

func TestFollower(t *testing.T) {
	s := &store{done: make(chan struct{}), responses: []response{
		{err: errUnavailable},
		{batch: feed.Batch{Version: 5, Rows: []feed.Row{{Key: "a", Version: 5}}}},
		{batch: feed.Batch{Version: 7}},
		{err: errUnavailable},
		{batch: feed.Batch{Version: 8}},
		{err: feed.ErrHistoryGone},
		{batch: feed.Batch{Version: 20}},
		{batch: feed.Batch{Version: 21}},
	}}
	var mu sync.Mutex
	var full []bool
	failures := 0
	timing := feed.Timing{PollTimeout: func() time.Duration { return time.Second }, PollDelay: func() time.Duration { return time.Millisecond }, RetryDelay: time.Millisecond}
	handle := func(b feed.Batch) {
		mu.Lock()
		defer mu.Unlock()
		full = append(full, b.Full)
	}
	reportHealth := func(_ string, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failures++
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() {
		feed.New(s, "t", timing, handle, reportHealth).Run(ctx)
		close(finished)
	}()
	<-s.done
	time.Sleep(20 * time.Millisecond)
	cancel()
	<-finished
	mu.Lock()
	defer mu.Unlock()
	want := []int64{-1, -1, 5, 7, 7, 8, -1, 20}
	for i, after := range want {
		if s.requestedAfter[i] != after {
			t.Errorf("call %d: got after %d, want %d", i, s.requestedAfter[i], after)
		}
	}
	// The third call for changes follows a failure.
	if s.timeouts[0] != time.Second || s.timeouts[2] != 0 || s.timeouts[3] != time.Second {
		t.Errorf("poll timeouts: got %v, want none after a failure", s.timeouts[:4])
	}
	if failures != 3 {
		t.Errorf("reported failures: got %d, want 3", failures)
	}
	if len(full) < 5 || !full[0] || full[1] || !full[3] || full[4] {
		t.Errorf("full batches: got %v, want the first and the one after ErrHistoryGone", full)
	}
}

// A table with more changes than fit in one response is read without delays until a response is
// short.
func TestBacklogIsReadWithoutDelay(t *testing.T) {
	const (
		long  = 500
		pages = 20
		delay = time.Second
	)
	s := &store{done: make(chan struct{})}
	for i := range pages {
		rows := make([]feed.Row, long)
		s.responses = append(s.responses, response{batch: feed.Batch{Version: int64((i + 1) * long), Rows: rows}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	constant := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	timing := feed.Timing{PollTimeout: constant(0), PollDelay: constant(delay), RetryDelay: time.Millisecond}
	start := time.Now()
	go feed.New(s, "t", timing, func(feed.Batch) {}, func(string, error) {}).Run(ctx)
	select {
	case <-s.done:
	case <-time.After(pages * delay):
	}
	if got, want := time.Since(start), pages*delay/4; got > want {
		t.Errorf("%d long responses: got read in %v, want within %v", pages, got, want)
	}
}

// Guards against feeds that wait before they repeat a call that failed on a silent connection of the pool.
func TestFailureOnReusedConnectionIsRetriedAtOnce(t *testing.T) {
	reused := &httpx.ReusedConnectionError{Err: errUnavailable}
	s := &store{done: make(chan struct{}), responses: []response{
		{batch: feed.Batch{Version: 5}}, {err: reused}, {batch: feed.Batch{Version: 6}}, {err: reused}, {batch: feed.Batch{Version: 7}},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	none := func() time.Duration { return 0 }
	go feed.New(s, "t", feed.Timing{PollTimeout: none, PollDelay: none, RetryDelay: time.Hour}, func(feed.Batch) {}, func(string, error) {}).Run(ctx)
	select {
	case <-s.done:
	case <-time.After(10 * time.Second):
		t.Errorf("calls: got %d within 10 s, want 5", len(s.requestedAfter))
	}
}

// Guards against streams that wait for a row during the pause between two calls.
func TestHurriedFollowerReadsSoon(t *testing.T) {
	constant := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	hurry := make(chan struct{}, 1)
	read := func() time.Duration {
		s := &store{done: make(chan struct{}), responses: []response{{batch: feed.Batch{Version: 5}}, {batch: feed.Batch{Version: 6}}}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		timing := feed.Timing{PollTimeout: constant(0), PollDelay: constant(time.Second), Hurry: hurry}
		startedAt := time.Now()
		go feed.New(s, "t", timing, func(feed.Batch) {}, func(string, error) {}).Run(ctx)
		<-s.done
		return time.Since(startedAt)
	}
	if got := read(); got < time.Second {
		t.Errorf("second call: got after %v, want after the pause", got)
	}
	hurry <- struct{}{}
	if got := read(); got < 150*time.Millisecond || got > 600*time.Millisecond {
		t.Errorf("second call of a hurried follower: got after %v, want after a fifth of a second", got)
	}
}
