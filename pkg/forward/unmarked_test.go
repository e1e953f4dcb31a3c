package forward_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// addTruncatingEndpoint adds an endpoint that begins a response without a length to a request with
// crashingBody, and exits.
func (s *harness) addTruncatingEndpoint(id string) {
	listener := s.listen()
	s.serve(id, listener, func(c net.Conn, r *http.Request) bool {
		if body, _ := io.ReadAll(r.Body); string(body) != crashingBody {
			return respondOK("answer")(c, r)
		}
		_ = listener.Close()
		return respond(eventsHead+"\r\n"+firstEvent, false)(c, r)
	})
}

// Guards against a request that crashes endpoints and is never quarantined, as its truncated responses count as complete.
func TestCrashesUnderUnmarkedEndsAreEvidence(t *testing.T) {
	const endpoints = 6
	for _, path := range []string{"/once/x", "/stream/x"} {
		s := newHarness(t, spec(), true)
		for i := range endpoints {
			s.addTruncatingEndpoint("e" + strconv.Itoa(i))
		}
		var last callerResponse
		for i := range endpoints {
			last = s.send("POST", path, crashingBody, "Id", "try-"+strconv.Itoa(i))
			time.Sleep(exitDetection)
		}
		if got, want := s.crashingRuns(), 3; got != want {
			t.Errorf("%s: endpoints crashed by one request: got %d of %d, want %d", path, got, endpoints, want)
		}
		if last.status != http.StatusServiceUnavailable {
			t.Errorf("%s: last attempt: got %+v, want 503", path, last)
		}
	}
}

// Guards against whole responses without a length that count as crashes.
func TestWholeUnmarkedResponsesHoldNothingBack(t *testing.T) {
	s := newHarness(t, spec(), true, respond(eventsHead+"\r\n"+firstEvent, false))
	for i := range 6 {
		if got := s.send("POST", "/stream/x", "body", "Id", "try-"+strconv.Itoa(i)); got.status != http.StatusOK || got.body != firstEvent || got.err != nil {
			t.Errorf("attempt %d: got %+v, want the whole stream", i, got)
		}
		time.Sleep(exitDetection)
	}
}
