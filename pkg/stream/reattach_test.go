package stream_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/stream"
)

// interrupt runs a request until its caller has gone for a second, and returns the request by which
// the caller reconnects, and the index of the endpoint that still runs the stream.
func (f *fleet) interrupt(t *testing.T, r stream.Request) (stream.Request, int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	received := &tokenRecorder{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = f.runner.Run(ctx, r, received)
	}()
	time.Sleep(time.Second)
	index := f.busyEngine(t)
	cancel()
	<-ended
	r.Received, r.LastEndpointID = received.tokens, f.infos[index].ID
	return r, index
}

type tokenRecorder struct{ tokens []string }

func (s *tokenRecorder) Token(token stream.Token) error {
	s.tokens = append(s.tokens, token.Text)
	return nil
}

func (s *tokenRecorder) Flush() error { return nil }

// Guards against a reattached stream whose KV cache was moved off a leaving endpoint being computed
// again on another one.
func TestCacheMovedFromReattachedStreamIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		again, index := f.interrupt(t, request("r", 400))
		done := f.start(again)
		time.Sleep(time.Second)
		f.reclaim(index, time.Second)
		got := <-done
		if got.err != nil || got.text != wantText(400) {
			t.Errorf("got %d characters, error %v; want the complete answer", len(got.text), got.err)
		}
		recomputed := int64(0)
		for _, e := range f.engines {
			_, tokens := e.Counts()
			recomputed += tokens
		}
		if recomputed > 20 {
			t.Errorf("got %d tokens computed again, want none but those of a few frames", recomputed)
		}
		if records := got.result.AttemptRecords; len(records) != 2 || records[0].Outcome != "moved" {
			t.Errorf("got the attempts %+v, want the reattached one, moved, and another", records)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against another attempt for a caller who disconnected from a reattached stream.
func TestCallerDisconnectEndsReattachedStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		again, _ := f.interrupt(t, request("r", 400))
		attempts := func() int { return f.direct.AttemptCount("a0") + f.direct.AttemptCount("a1") }
		before := attempts()
		disconnected := errors.New("caller has disconnected")
		if _, err := f.runner.Run(context.Background(), again, failingSink{disconnected}); !errors.Is(err, disconnected) {
			t.Errorf("got %v, want %v", err, disconnected)
		}
		if got := attempts() - before; got != 0 {
			t.Errorf("got %d more attempts, want none", got)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a caller who waits for the same frozen endpoint twice, to reattach and for a new attempt.
func TestFrozenEndpointIsAvoidedAfterReattachHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			again, index := f.interrupt(t, request(id, 100))
			f.direct.Freeze(f.infos[index].Address, true)
			got := <-f.start(again)
			f.direct.Freeze(f.infos[index].Address, false)
			if got.err != nil {
				t.Error(got.err)
			}
			for _, record := range got.result.AttemptRecords {
				if record.EndpointID == f.infos[index].ID && record.Tokens == len(again.Received) {
					t.Errorf("%s: got another attempt %+v at the endpoint that hangs, want it at the other one", id, record)
				}
			}
			time.Sleep(time.Minute)
		}
	})
}
