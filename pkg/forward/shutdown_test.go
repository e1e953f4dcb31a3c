package forward_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"ironhollow/pkg/forward"
)

// Guards against plain requests that are accepted shortly before the process ends and cut by that.
func TestRequestThatMayOutlastTheProcessIsRejected(t *testing.T) {
	s := newHarness(t, spec(), true, respondOK("answer"))
	s.timeLeft.Store(int64(time.Second))
	cases := []struct {
		phase         forward.Phase
		path, timeout string
		status        int
		hasRetryAfter bool
	}{
		{forward.Draining, "/once/x", "1500", http.StatusOK, false},
		{forward.Stopping, "/once/x", "1500", http.StatusServiceUnavailable, true},
		{forward.Stopping, "/safe/x", "1500", http.StatusServiceUnavailable, true},
		{forward.Stopping, "/once/x", "", http.StatusServiceUnavailable, true},
		{forward.Stopping, "/once/x", "500", http.StatusOK, false},
		{forward.Stopping, "/stream/x", "500", http.StatusServiceUnavailable, true},
	}
	for _, c := range cases {
		s.phase.Store(int64(c.phase))
		got := s.send(http.MethodPost, c.path, "body", "Wait-Ms", c.timeout)
		if got.status != c.status || (got.header.Get("Retry-After") != "") != c.hasRetryAfter || !got.closesConnection {
			t.Errorf("phase %d, %s with %q ms: got %d, Retry-After %q, asked to close the connection %v, want %d",
				c.phase, c.path, c.timeout, got.status, got.header.Get("Retry-After"), got.closesConnection, c.status)
		}
	}
}

// awaitRequest waits until an endpoint has received a request.
func (s *harness) awaitRequest() {
	s.t.Helper()
	for range 400 {
		if len(s.requests()) > 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatal("no endpoint received the request")
}

// never returns a script that receives a request and answers only after the test.
func never(t *testing.T) script {
	return func(net.Conn, *http.Request) bool {
		<-t.Context().Done()
		return false
	}
}

// Guards against connections that close without a response when the process ends while an endpoint runs the request.
func TestRequestInProgressIsAnsweredWhenTheProcessEnds(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
		s := newHarness(t, spec(), true, never(t))
		answered := make(chan callerResponse, 1)
		go func() { answered <- s.send(http.MethodPost, path, "body") }()
		s.awaitRequest()
		if got := s.forwarder.InProgress(); len(got) != 1 || got[0].ID != "request-1" || got[0].Endpoint != "e0" {
			t.Errorf("%s: requests in progress: got %+v, want request-1 at e0", path, got)
		}
		s.forwarder.EndRequests()
		if got := <-answered; got.status != http.StatusBadGateway {
			t.Errorf("%s: got %+v, want 502", path, got)
		}
		if got := s.send(http.MethodPost, path, "body"); got.status != http.StatusServiceUnavailable || len(s.requests()) != 1 {
			t.Errorf("%s after the end: got %+v and %d requests at the endpoint, want 503 and 1", path, got, len(s.requests()))
		}
	}
}

// The host that forwards a request may send one that runs elsewhere again only if it may be repeated.
func TestForwardedRequestIsAnsweredWhenTheProcessEnds(t *testing.T) {
	for path, want := range map[string]int{"/once/x": http.StatusBadGateway, "/safe/x": http.StatusOK} {
		received := make(chan int, 2)
		scripts := make([]script, 2)
		for i := range scripts {
			scripts[i] = func(c net.Conn, r *http.Request) bool {
				received <- i
				if len(received) == 1 {
					return never(t)(c, r)
				}
				return respondOK("answer")(c, r)
			}
		}
		cut, _, others := newCutHost(t, scripts...)
		answered := make(chan callerResponse, 1)
		go func() { answered <- cut.send(http.MethodPost, path, "body") }()
		for len(received) == 0 {
			time.Sleep(time.Millisecond)
		}
		for _, other := range others {
			if len(other.requests()) > 0 {
				other.phase.Store(int64(forward.Draining))
				other.forwarder.EndRequests()
			}
		}
		if got := <-answered; got.status != want {
			t.Errorf("%s: got %+v, want %d", path, got, want)
		}
	}
}

// Guards against responses that are cut before the process ends although the rest is on its way.
func TestResponseThatHasBegunIsRelayedWhileTheProcessEnds(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	half := make(chan struct{})
	s := newHarness(t, spec(), true, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSigned: yes\r\nContent-Length: "+strconv.Itoa(len(long))+"\r\n\r\n"+long[:len(long)/2])
		<-half
		_, _ = io.WriteString(c, long[len(long)/2:])
		return true
	})
	answered := make(chan callerResponse, 1)
	go func() { answered <- s.send(http.MethodPost, "/once/x", "body") }()
	s.awaitRequest()
	time.Sleep(100 * time.Millisecond)
	s.forwarder.EndRequests()
	close(half)
	if got := <-answered; got.err != nil || got.body != long {
		t.Errorf("got %d of %d bytes, error %v, want all", len(got.body), len(long), got.err)
	}
}
