package forward_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
)

const (
	okLeaving     = "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nLeaving: yes\r\nContent-Length: 4\r\n\r\ntext"
	failedLeaving = "HTTP/1.1 500 Internal Server Error\r\nId: %id\r\nSigned: yes\r\nLeaving: yes\r\nContent-Length: 0\r\n\r\n"
	notRunLeaving = "HTTP/1.1 503 Service Unavailable\r\nId: %id\r\nNot-Run: yes\r\nLeaving: yes\r\nContent-Length: 0\r\n\r\n"
	streamLeaving = "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nLeaving: yes\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"
	streamLimit   = "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nLimit: 2.5\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"
	notRunBackoff = "HTTP/1.1 503 Service Unavailable\r\nId: %id\r\nNot-Run: yes\r\nRest: 2s\r\nContent-Length: 0\r\n\r\n"
)

// A request's log line contains what each response reported about its endpoint, but nothing
// from an unsigned success, whose bytes may come from anyone.
func TestRequestLogIncludesEndpointNotices(t *testing.T) {
	unsigned := strings.Replace(okLeaving, "Signed: yes\r\n", "", 1)
	for _, c := range []struct{ path, answer, want string }{
		{"/safe/x", okLeaving, `"hop1-said":"leaves"`},
		{"/once/x", failedLeaving, `"hop1-said":"leaves"`},
		{"/stream/x", streamLeaving, `"hop1-said":"leaves"`},
		{"/stream/x", notRunLeaving, `"hop1-said":"leaves"`},
		{"/stream/x", notRunBackoff, `"hop1-said":"backoff 2s"`},
		{"/stream/x", streamLimit, `"hop1-said":"limit 2.5/s"`},
		{"/once/x", unsigned, ""},
	} {
		s := newHarness(t, spec(), true, respond(c.answer, false))
		s.send("POST", c.path, "body")
		line := s.waitForLogLine()
		if c.want != "" && !strings.Contains(line, c.want) {
			t.Errorf("%s: got line %s, want %s in it", c.path, line, c.want)
		}
		if c.want == "" && strings.Contains(line, "said") {
			t.Errorf("%s: got line %s, want no notice in it", c.path, line)
		}
	}
}

// backoff is what notRunBackoff asks for; enoughRequests is how many requests certainly
// reach an endpoint that is chosen like any other.
const (
	backoff        = 2 * time.Second
	enoughRequests = 40
)

// requestCount returns how many requests an endpoint has received.
func (s *harness) requestCount(id string) int {
	n := 0
	for _, r := range s.requests() {
		if r.endpoint == id {
			n++
		}
	}
	return n
}

// sendUntilReceived sends requests until an endpoint has received one.
func (s *harness) sendUntilReceived(id, path string) {
	s.t.Helper()
	for range enoughRequests {
		if s.send("POST", path, "body"); s.requestCount(id) > 0 {
			return
		}
	}
	s.t.Fatalf("requests to %s out of %d: got none, want one, so that the test checks something", id, enoughRequests)
}

// Guards against requests to an endpoint after a response has reported that it leaves.
func TestLeavingInAnAnswerIsApplied(t *testing.T) {
	for _, c := range []struct{ name, path, answer string }{
		{"complete response", "/safe/x", okLeaving},
		{"failure", "/safe/x", failedLeaving},
		{"rejection", "/once/x", notRunLeaving},
		{"stream", "/stream/x", streamLeaving},
		{"resumable stream", "/resume/x", streamLeaving},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, spec(), true, respond(c.answer, false), respondOK("answer"))
			s.sendUntilReceived("e0", c.path)
			for range enoughRequests {
				s.send("POST", c.path, "body")
			}
			if got, want := s.requestCount("e0"), 1; got != want {
				t.Errorf("requests at the endpoint that leaves: got %d, want %d: none after it reported that it leaves", got, want)
			}
			// Its row could not be written meanwhile; an outdated row does not undo the report.
			late := s.endpoint("e0")
			late.Counter++
			late.State = endpoint.Live
			s.directory.Merge(late)
			if got, want := s.endpoint("e0").State, endpoint.Leaving; got != want {
				t.Errorf("after an outdated row: got %v, want %v", got, want)
			}
			// The report does not apply to another incarnation of the endpoint.
			late.Incarnation++
			s.directory.Merge(late)
			other := s.endpoint("e1")
			other.State = endpoint.Gone
			s.directory.Merge(other)
			s.send("POST", c.path, "body")
			if got, want := s.requestCount("e0"), 2; got != want {
				t.Errorf("requests at the endpoint's next incarnation, the only endpoint left: got %d, want %d", got, want)
			}
		})
	}
}

// An endpoint whose address another instance reports to have gets only one request: it has
// ended, though its row is still there. It is not excluded for good, since a new row may
// correct its address.
func TestMovedEndpointIsAskedOnce(t *testing.T) {
	moved := strings.Replace(notRunResponse, "503 Service Unavailable", "421 Misdirected Request", 1)
	s := newHarness(t, spec(), true, respond(moved, true), respondOK("answer"))
	s.sendUntilReceived("e0", "/once/x")
	for range enoughRequests {
		if got := s.send("POST", "/once/x", "body"); got.status != http.StatusOK {
			t.Errorf("got %d, want 200 from the other endpoint", got.status)
		}
	}
	if got, want := s.requestCount("e0"), 1; got != want {
		t.Errorf("requests at the address of the endpoint that has ended: got %d, want %d", got, want)
	}
	if got, want := s.endpoint("e0").State, endpoint.Live; got != want {
		t.Errorf("state: got %v, want %v as in its row", got, want)
	}
}

// Guards against requests to an endpoint before the backoff that it asked for is over.
func TestBackoffIsKept(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			s := newHarness(t, spec(), true, respond(notRunBackoff, true), respondOK("answer"))
			s.sendUntilReceived("e0", path)
			startedAt := time.Now()
			rejected := 0
			for time.Since(startedAt) < backoff*3/4 {
				if got := s.send("POST", path, "body"); got.status != http.StatusOK {
					rejected++
				}
				time.Sleep(time.Millisecond)
			}
			if rejected > 0 {
				t.Errorf("while one endpoint is in backoff: got %d requests rejected, want all served by the other", rejected)
			}
			if got, want := s.requestCount("e0"), 1; got != want {
				t.Errorf("requests at the endpoint in backoff: got %d, want %d", got, want)
			}
			time.Sleep(backoff - time.Since(startedAt) + 50*time.Millisecond)
			for range enoughRequests {
				s.send("POST", path, "body")
			}
			if got := s.requestCount("e0"); got < 2 {
				t.Error("after its backoff: got no request at the endpoint, want some")
			}
		})
	}
	t.Run("all in backoff", func(t *testing.T) {
		checkAllInBackoff(newHarness(t, spec(), true, respond(notRunBackoff, true), respond(notRunBackoff, true)))
	})
}

// checkAllInBackoff checks that, while all endpoints are in backoff, a request is rejected at
// once without an attempt, with the end of the first backoff as Retry-After.
func checkAllInBackoff(s *harness) {
	t := s.t
	t.Helper()
	for range enoughRequests {
		s.send("POST", "/once/x", "body")
	}
	if got, want := len(s.requests()), 2; got != want {
		t.Errorf("requests at endpoints in backoff: got %d, want one to each, %d", got, want)
	}
	startedAt := time.Now()
	got := s.send("POST", "/once/x", "body")
	if took, most := time.Since(startedAt), 100*time.Millisecond; got.status != http.StatusServiceUnavailable || took > most {
		t.Errorf("rejection: got %d after %v, want 503 within %v", got.status, took, most)
	}
	retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if least, most := backoff.Seconds()/2, backoff.Seconds(); err != nil || retryAfter < least || retryAfter > most {
		t.Errorf("Retry-After: got %q, want between %v and %v seconds", got.header.Get("Retry-After"), least, most)
	}
}
