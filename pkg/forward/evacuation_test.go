package forward_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/upstream"
)

// A stream that no target takes must not keep the others at its endpoint from being moved.
func TestRefusedStreamDoesNotBlockOthers(t *testing.T) {
	t.Parallel()
	p := &movePlatform{stopped: make(chan struct{}), onCopy: func(*movePlatform, migrate.CopyRequest) migrate.CopyAnswer {
		return migrate.CopyAnswer{Result: migrate.NoRoom}
	}}
	s := newHarness(t, moveSpec(), true, p.source)
	s.forwarder.MoveStreams(forward.NewMover(p, upstream.New(time.Second), s.directory, s.router, s.tables, time.Now, prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}))
	answers := make(chan callerResponse, 2)
	for id, promptTokens := range map[string]string{"larger": "1000", "smaller": "10"} {
		go func() {
			answers <- s.send("POST", "/stream/x", "body", "Id", id, "Prompt-Tokens", promptTokens, "Expected-Tokens", strconv.Itoa(moveEvents*moveTokens))
		}()
	}
	for len(s.requests()) < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * moveEventGap)
	s.addEndpoint("e1", p.target)
	leaving := s.endpoint("e0")
	leaving.State, leaving.LeaveBy = endpoint.Leaving, time.Now().Add(moveNotice)
	s.directory.Merge(leaving)
	<-answers
	<-answers
	p.mu.Lock()
	defer p.mu.Unlock()
	asked := map[string]int{}
	for _, c := range p.copies {
		asked[c.RunID]++
	}
	if asked["larger"] == 0 || asked["smaller"] == 0 {
		t.Errorf("copies by run: got %v, want some of each", asked)
	}
}

// A stream that has an event without an id could only continue with that event repeated.
func TestRunIsNotStoppedAfterEventWithoutID(t *testing.T) {
	t.Parallel()
	p := &movePlatform{onCopy: func(p *movePlatform, r migrate.CopyRequest) migrate.CopyAnswer {
		p.unnumbered.Store(true)
		time.Sleep(10 * moveEventGap)
		return copyAndStop(p, r)
	}}
	_, answer := startMove(t, moveSpec(), p, "/stream/x", moveNotice, p.target)
	<-answer
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.copies {
		if c.Stop {
			t.Error("the run was stopped, want it to go on")
		}
	}
}

// A copy is freed at once if its caller leaves while it is made, and after the run was stopped.
func TestCopyIsFreedWhenCallerLeaves(t *testing.T) {
	for _, atStop := range []bool{false, true} {
		t.Run(strconv.FormatBool(atStop), func(t *testing.T) {
			t.Parallel()
			var cancelled atomic.Bool
			p := &movePlatform{stopped: make(chan struct{})}
			s := newHarness(t, moveSpec(), true, p.source)
			ctx, cancel := context.WithCancel(context.Background())
			p.onCopy = func(p *movePlatform, r migrate.CopyRequest) migrate.CopyAnswer {
				if r.Stop == atStop {
					cancelled.Store(true)
					cancel()
					time.Sleep(60 * time.Millisecond)
				}
				return copyAndStop(p, r)
			}
			s.forwarder.MoveStreams(forward.NewMover(p, upstream.New(time.Second), s.directory, s.router, s.tables, time.Now, prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}))
			r, _ := http.NewRequestWithContext(ctx, "POST", s.server.URL+"/stream/x", strings.NewReader("body"))
			r.Host = "h.example"
			r.Header.Set("Id", "request-1")
			r.Header.Set("Key", "key")
			r.Header.Set("Expected-Tokens", strconv.Itoa(moveEvents*moveTokens))
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * moveEventGap)
			s.addEndpoint("e1", p.target)
			leaving := s.endpoint("e0")
			leaving.State, leaving.LeaveBy = endpoint.Leaving, time.Now().Add(moveNotice)
			s.directory.Merge(leaving)
			_, _ = io.ReadAll(response.Body)
			_ = response.Body.Close()
			if !cancelled.Load() {
				t.Error("the stream ended before its caller left, so that the test checks nothing")
			}
			p.checkFreed(t, 1)
			if visits := s.visits(); visits != "e0" {
				t.Errorf("endpoints: got %s, want e0", visits)
			}
		})
	}
}
