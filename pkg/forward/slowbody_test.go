package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// sendPart sends the head of a request and a part of its body, and reads the response while the rest is missing. It returns
// the outcome that the response names.
func (s *harness) sendPart(head, part string) (status int, outcome string, closed bool) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, "POST "+head+"\r\n\r\n"+part); err != nil {
		s.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Errorf("%s: got error %v, want a response", strings.SplitN(head, " ", 2)[0], err)
		return 0, "", false
	}
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body), response.Close
}

// Guards against callers that hold a host's memory and connections for as long as they like: a body has the time of its request, and
// a refused request gets its response although its body is not complete.
func TestIncompleteBodyEndsWithItsRequest(t *testing.T) {
	const head = " HTTP/1.1\r\nHost: h.example\r\nId: request-1\r\n"
	long := strings.Repeat("b", 100<<10)
	for name, c := range map[string]struct {
		head, part string
		status     int
		outcome    string
	}{
		"no more until the deadline":            {"/once/x" + head + "Key: key\r\nWait-Ms: 300\r\nContent-Length: 20", "half of it", http.StatusRequestTimeout, "body-timeout"},
		"no more until the deadline, in chunks": {"/safe/x" + head + "Key: key\r\nWait-Ms: 300\r\nTransfer-Encoding: chunked", "4\r\nhalf\r\n4\r\n", http.StatusRequestTimeout, "body-timeout"},
		"no more until the route's timeout":     {"/stream/x" + head + "Key: key\r\nContent-Length: 200000", long, http.StatusRequestTimeout, "body-timeout"},
		"beyond the limit, announced":           {"/once/x" + head + "Key: key\r\nContent-Length: 1000000000", long, http.StatusRequestEntityTooLarge, "body-too-long"},
		"no such key":                           {"/once/x" + head + "Key: other\r\nContent-Length: 20", "half of it", http.StatusUnauthorized, "unknown-key"},
		"no such route":                         {"/none/x" + head + "Key: key\r\nTransfer-Encoding: chunked", "4\r\nhalf\r\n", http.StatusNotFound, "no-such-path"},
	} {
		s := newHarness(t, spec(), true, respondOK("answer"))
		status, outcome, closed := s.sendPart(c.head, c.part)
		if status != c.status || !strings.Contains(outcome, c.outcome) || !strings.Contains(outcome, "not-run") || !closed {
			t.Errorf("%s: got status %d, %q, closed %t, want %d %s, not run, and the connection closed", name, status, outcome, closed, c.status, c.outcome)
		}
		if n := len(s.requests()); n > 0 {
			t.Errorf("%s: got %d requests at endpoints, want none", name, n)
		}
		if got := s.forwarder.BodyBytes(); got != 0 {
			t.Errorf("%s: got %d bytes of bodies at the end, want 0", name, got)
		}
	}
}

// Guards against a long response that ends with the time that its request's body had, and against a connection that cannot be
// used again.
func TestTimeOfABodyDoesNotEndItsResponse(t *testing.T) {
	s := newHarness(t, patientSpec(), true, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "%id", r.Header.Get("Id")))
		for range 10 {
			_, _ = io.WriteString(c, chunk(firstEvent))
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	for range 2 {
		if got := s.send("POST", "/stream/x", strings.Repeat("b", 100<<10)); got.err != nil || got.body != strings.Repeat(firstEvent, 10) {
			t.Fatalf("got %d bytes, %v, want the whole stream", len(got.body), got.err)
		}
		time.Sleep(2 * time.Second)
	}
}

// Guards against callers inside the limits of the configuration who are refused for memory on a usual day: 22 bodies of 4 MiB at a
// time at a host with 284 MB, all a tenth as large here.
func TestUsualBodiesFindMemory(t *testing.T) {
	const callers, hostBytes, bodyBytes = 22, 284 << 20 / 10, 4 << 20 / 10
	var arrived atomic.Int32
	all := make(chan struct{})
	s := newHarness(t, patientSpec(), true)
	for i := range 6 {
		s.addNumberedEndpoint(i, func(c net.Conn, r *http.Request) bool {
			if arrived.Add(1) == callers {
				close(all)
			}
			select {
			case <-all:
			case <-time.After(3 * time.Second):
			}
			return respondOK("answer")(c, r)
		})
	}
	s.forwarder.LimitMemory(hostBytes)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			if got := s.send("POST", "/once/x", strings.Repeat("b", bodyBytes), "Id", "request-"+strconv.Itoa(i)); got.status != http.StatusOK {
				t.Errorf("request %d: got status %d, %s, error %v, want 200", i, got.status, got.body, got.err)
			}
		})
	}
	group.Wait()
}
