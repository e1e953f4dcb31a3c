package forward_test

import (
	"io"
	"strconv"
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
