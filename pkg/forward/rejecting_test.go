package forward_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// rejecting rejects every request, or every other one, as not run while enabled is set, and
// serves the rest.
func rejecting(enabled *atomic.Bool, every int64) script {
	var received atomic.Int64
	return func(c net.Conn, r *http.Request) bool {
		if enabled.Load() && received.Add(1)%every == 0 {
			return respond(notRunResponse, true)(c, r)
		}
		return respondOK("answer")(c, r)
	}
}

// One of three endpoints rejects requests without asking for a backoff, and each of its
// rejections takes less time than an answer, which could attract more requests. The other two
// must serve the callers: all but 3 in 100 after the first second. The endpoint must get its
// share again within two seconds of its recovery.
func TestRefusingEndpointDoesNotDrawTheWork(t *testing.T) {
	const (
		pause       = 5 * time.Millisecond
		firstPeriod = time.Second
		nextPeriod  = 2 * time.Second
		// firstRejections is how often an endpoint is tried in its first second by the
		// penalties of 0.25 s and 0.5 s, however many requests are sent.
		firstRejections = 3
	)
	for _, c := range []struct {
		name, path string
		every      int64
	}{
		{"safe, all", "/safe/x", 1},
		{"safe, every other", "/safe/x", 2},
		{"once, all", "/one/x", 1},
		{"once, every other", "/one/x", 2},
		{"stream, all", "/stream/x", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			custom := spec()
			once := custom.Routes[1]
			once.Name, once.Prefix, once.MaxAttempts = "/one/", "/one/", 1
			custom.Routes = append(custom.Routes, once)
			var enabled atomic.Bool
			enabled.Store(true)
			s := newHarness(t, custom, true, rejecting(&enabled, c.every), respondOK("answer"), respondOK("answer"))
			sendFor := func(duration time.Duration) (served, sent int) {
				for startedAt := time.Now(); time.Since(startedAt) < duration; time.Sleep(pause) {
					sent++
					if s.send("POST", c.path, "body").status == http.StatusOK {
						served++
					}
				}
				return served, sent
			}
			// A busy machine sends fewer than 60 requests in the first second, of which
			// firstRejections are more than 5 in 100.
			if served, sent := sendFor(firstPeriod); served < sent-firstRejections && served*100 < sent*95 {
				t.Errorf("first second: got %d of %d served, want 95 in 100 or all but %d", served, sent, firstRejections)
			}
			if served, sent := sendFor(nextPeriod); served*100 < sent*97 {
				t.Errorf("after the first second: got %d of %d served, want 97 in 100", served, sent)
			}
			enabled.Store(false)
			sendFor(nextPeriod)
			before := s.requestCount("e0")
			_, sent := sendFor(firstPeriod)
			if got := s.requestCount("e0") - before; got == 0 {
				t.Errorf("two seconds after its recovery: got 0 of %d requests there, want some", sent)
			}
		})
	}
}
