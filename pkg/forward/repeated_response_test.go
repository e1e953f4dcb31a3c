package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"ironhollow/pkg/endpoint"
)

const (
	movedResponse = "HTTP/1.1 421 Misdirected Request\r\nId: %id\r\nContent-Length: 0\r\n\r\n"
	okResponse    = "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Length: 4\r\n\r\ntext"
)

// Guards against requests that run twice: an endpoint repeats its rejection of an attempt where the response to the next attempt is due.
func TestRepeatedRejectionIsNotTheNextAttemptsResponse(t *testing.T) {
	for _, c := range []struct{ path, rejection string }{
		{"/once/x", movedResponse}, {"/stream/x", movedResponse}, {"/once/x", notRunResponse}, {"/safe/x", movedResponse},
	} {
		for i := range 10 {
			runs, status := runsAtReusedAddress(t, fmt.Sprintf("%s%d", c.path, i), c.rejection)
			if runs != 1 || status == http.StatusServiceUnavailable {
				t.Errorf("%s after a repeated %.12q: got %d runs and status %d, want 1 and none that says that the request has not run", c.path, c.rejection, runs, status)
			}
		}
	}
}

// runsAtReusedAddress sends a request to a service of which one endpoint has been replaced by another one at its address,
// which rejects requests for the previous one and repeats its rejection before the next response. It returns how
// often the request ran, and the status that its caller got.
func runsAtReusedAddress(t *testing.T, path, rejection string) (ran int32, status int) {
	t.Helper()
	s := newHarness(t, spec(), true)
	var (
		runs     atomic.Int32
		rejected sync.Map
	)
	listener := s.listen()
	s.serve("e1", listener, func(c net.Conn, r *http.Request) bool {
		answer := rejection
		if r.Header.Get("Meant") == "e1" {
			runs.Add(1)
			answer = okResponse
			if _, ok := rejected.Load(c); ok {
				answer = rejection + okResponse
			}
		} else {
			rejected.Store(c, true)
		}
		_, err := io.WriteString(c, strings.ReplaceAll(answer, "%id", r.Header.Get("Id")))
		return err == nil
	})
	s.addEndpoint("e2", func(c net.Conn, r *http.Request) bool {
		runs.Add(1)
		return respond(okResponse, true)(c, r)
	})
	s.directory.Merge(endpoint.Info{ID: "e0", Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "svc", Address: listener.Addr().String(), Slots: 400})
	status = s.send("POST", path, "body").status
	return runs.Load(), status
}

// Guards against a request that is sent again without a trace if its host ends before the request does.
func TestResendOfARequestThatMayRunOnceIsLogged(t *testing.T) {
	s := newHarness(t, spec(), true, respond(movedResponse, true))
	release := make(chan struct{})
	s.addEndpoint("e1", func(c net.Conn, r *http.Request) bool {
		<-release
		return respond(okResponse, true)(c, r)
	})
	answered := make(chan callerResponse, 1)
	go func() { answered <- s.send("POST", "/once/x", "body") }()
	line := s.waitForLogLine()
	close(release)
	if got := <-answered; got.status != http.StatusOK || !strings.Contains(line, "rejected a non-repeatable request") || !strings.Contains(line, "request-1") || !strings.Contains(line, `"endpoint":"e0"`) {
		t.Errorf("got status %d and the line %q before the response, want 200 and the request, its endpoint and that it is sent again", got.status, line)
	}
}
