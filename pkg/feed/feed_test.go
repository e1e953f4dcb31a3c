package feed_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"ironhollow/pkg/feed"
)

var errDown = errors.New("the store is down")

// step is one answer of a scripted store.
type step struct {
	batch feed.Batch
	err   error
}

// store answers by script and notes how it was asked.
type store struct {
	mu    sync.Mutex
	steps []step
	// asked is the version after which changes were asked for, -1 for snapshots.
	asked []int64
	// waits is how long changes were waited for.
	waits []time.Duration
	done  chan struct{}
}

func (s *store) next(after int64) (feed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, after)
	if len(s.steps) == 0 {
		return feed.Batch{Version: after}, nil
	}
	answer := s.steps[0]
	s.steps = s.steps[1:]
	if len(s.steps) == 0 {
		close(s.done)
	}
	return answer.batch, answer.err
}

func (s *store) Snapshot(context.Context, string) (feed.Batch, error) { return s.next(-1) }

func (s *store) Changes(_ context.Context, _ string, after int64, wait time.Duration) (feed.Batch, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	return s.next(after)
}

func TestFollowing(t *testing.T) {
	s := &store{done: make(chan struct{}), steps: []step{
		{err: errDown},
		{batch: feed.Batch{Version: 5, Rows: []feed.Row{{Key: "a", Version: 5}}}},
		{batch: feed.Batch{Version: 7}},
		{err: errDown},
		{batch: feed.Batch{Version: 8}},
		{err: feed.ErrHistoryGone},
		{batch: feed.Batch{Version: 20}},
		{batch: feed.Batch{Version: 21}},
	}}
	var mu sync.Mutex
	var full []bool
	failures := 0
	timing := feed.Timing{PollTimeout: func() time.Duration { return time.Second }, PollDelay: func() time.Duration { return time.Millisecond }, RetryDelay: time.Millisecond}
	take := func(b feed.Batch) {
		mu.Lock()
		defer mu.Unlock()
		full = append(full, b.Full)
	}
	health := func(_ string, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failures++
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() {
		feed.New(s, "t", timing, take, health).Run(ctx)
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
		if s.asked[i] != after {
			t.Errorf("call %d: got after %d, want %d", i, s.asked[i], after)
		}
	}
	// The third call for changes comes after a failure.
	if s.waits[0] != time.Second || s.waits[2] != 0 || s.waits[3] != time.Second {
		t.Errorf("waits: got %v, want none after a failure", s.waits[:4])
	}
	if failures != 3 {
		t.Errorf("failures told: got %d, want 3", failures)
	}
	if len(full) < 5 || !full[0] || full[1] || !full[3] || full[4] {
		t.Errorf("full batches: got %v, want the first and the one after the history was gone", full)
	}
}

// A table of which more has changed than one answer holds is followed without rests until
// what is left is short.
func TestBacklogIsReadWithoutRests(t *testing.T) {
	const (
		long  = 500
		pages = 20
		rest  = time.Second
	)
	s := &store{done: make(chan struct{})}
	for i := range pages {
		rows := make([]feed.Row, long)
		s.steps = append(s.steps, step{batch: feed.Batch{Version: int64((i + 1) * long), Rows: rows}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	every := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	timing := feed.Timing{PollTimeout: every(0), PollDelay: every(rest), RetryDelay: time.Millisecond}
	start := time.Now()
	go feed.New(s, "t", timing, func(feed.Batch) {}, func(string, error) {}).Run(ctx)
	select {
	case <-s.done:
	case <-time.After(pages * rest):
	}
	if got, want := time.Since(start), pages*rest/4; got > want {
		t.Errorf("%d long answers: got read in %v, want within %v", pages, got, want)
	}
}
