package callerapi_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/load"
	"ironhollow/pkg/standin/services"
)

// Guards against requests that are accepted late in a drain and cut by the end of the process.
func TestRequestThatMayOutlastTheDrainIsRejected(t *testing.T) {
	const limit = 2 * time.Second // The service's deadline.
	cases := []struct {
		name                    string
		acceptTime, requestTime time.Duration
		want                    int
	}{
		{"callers may not know yet", time.Minute, limit / 2, http.StatusOK},
		{"ends before the process", 0, 2 * limit, http.StatusOK},
		{"may outlast the process", 0, limit / 2, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		var received atomic.Int64
		e := newSite(t, services.Options{Received: &received}).newEntry(t, "n1")
		e.api.StartDrain(c.acceptTime, c.requestTime)
		for _, request := range plainRequests {
			got := e.sendRaw(t, http.MethodPost, request.path, "HTTP/1.1", request.headers, "x")
			if got.err != nil || got.status != c.want || !got.asksToClose {
				t.Errorf("%s, %s: got %+v, want %d and the connection closed", c.name, request.name, got, c.want)
			}
			if c.want != http.StatusOK && (got.header.Get("Ironhollow-Outcome") != "not-run" || got.header.Get("Retry-After") == "") {
				t.Errorf("%s, %s: got headers %v, want not run and Retry-After", c.name, request.name, got.header)
			}
		}
		if got := received.Load(); c.want != http.StatusOK && got != 0 {
			t.Errorf("%s: got %d calls at the endpoint, want none", c.name, got)
		}
	}
}

// newSilentSite returns a site whose plain service receives calls and does not answer.
func newSilentSite(t *testing.T) (s *site, received *atomic.Int64) {
	t.Helper()
	received = &atomic.Int64{}
	return newScriptedSite(t, func(net.Conn, *http.Request) {
		received.Add(1)
		<-t.Context().Done()
	}), received
}

func awaitCount(t *testing.T, want int64, count func() int64) {
	t.Helper()
	for range 1000 {
		if count() == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("got %d after 5 s, want %d", count(), want)
}

// Guards against a call whose connection closes without an outcome when the process ends, and whose claim stays in progress.
func TestCallEndedByTheProcessHasAnOutcomeAtAllEntries(t *testing.T) {
	for _, callerLeaves := range []bool{false, true} {
		s, received := newSilentSite(t)
		first, second := s.newEntry(t, "n1"), s.newEntry(t, "n2")
		answered := make(chan rawResponse, 1)
		go func() { answered <- first.sendRaw(t, http.MethodPost, once, "HTTP/1.1", "Idempotency-Key: k\r\n", "x") }()
		awaitCount(t, 1, received.Load)
		if callerLeaves {
			first.server.CloseClientConnections()
			<-answered
		}
		first.api.EndRequests()
		ended := time.Now()
		if !callerLeaves {
			if got := <-answered; got.err != nil || got.header.Get("Ironhollow-Code") != strconv.Itoa(code.CallUnknown.Number()) {
				t.Errorf("got %+v, want it unknown", got)
			}
		}
		awaitCount(t, 0, first.api.InFlight)
		if took := time.Since(ended); took > time.Second {
			t.Errorf("caller left %v: the call ended %v after the end of requests, want at most 1 s", callerLeaves, took)
		}
		if got := second.sendRaw(t, http.MethodPost, once, "HTTP/1.1", "Idempotency-Key: k\r\n", "x"); got.header.Get("Ironhollow-Code") != strconv.Itoa(code.CallUnknown.Number()) {
			t.Errorf("caller left %v: repeated at another entry: got %+v, want it unknown", callerLeaves, got)
		}
		if got := received.Load(); got != 1 {
			t.Errorf("caller left %v: got %d runs, want 1", callerLeaves, got)
		}
	}
}

// Guards against requests that were sent to no endpoint and get no answer, or an unknown outcome, when the process ends.
func TestRequestThatWasNotSentIsNotRunWhenTheProcessEnds(t *testing.T) {
	s, received := newSilentSite(t)
	s.infos = s.infos[len(s.infos)-1:] // There is no engine.
	e := s.newEntry(t, "n1")
	body, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	requests := map[string]io.Reader{
		"/v1/chat/completions": strings.NewReader(chatBody),
		once:                   body,
		"/v1/jobs":             io.MultiReader(strings.NewReader(chatBody), body),
	}
	answers := make(chan *http.Response, len(requests))
	for path, body := range requests {
		request, _ := http.NewRequest(http.MethodPost, e.server.URL+path, body)
		go func() { answers <- e.do(t, request) }()
	}
	awaitCount(t, int64(len(requests)), e.api.InFlight)
	e.api.EndRequests()
	for range requests {
		select {
		case got := <-answers:
			if got.Header.Get("Ironhollow-Code") != strconv.Itoa(code.Stopping.Number()) || got.Header.Get("Retry-After") == "" {
				t.Errorf("%s: got status %d and headers %v, want it not run", got.Request.URL.Path, got.StatusCode, got.Header)
			}
		case <-time.After(time.Second):
			t.Error("a request was not answered within 1 s of the end of requests")
		}
	}
	if got := e.sendRaw(t, http.MethodPost, once, "HTTP/1.1", "", "x"); got.status != http.StatusServiceUnavailable || received.Load() != 0 {
		t.Errorf("after the end: got %+v and %d calls at the endpoint, want 503 and none", got, received.Load())
	}
}

// Guards against a stream that ends as complete or with a final error when the process ends, so that its caller does not resume it.
func TestStreamEndedByTheProcessGoesOnAtAnotherEntry(t *testing.T) {
	s := newSite(t)
	first, second := s.newEntry(t, "n1"), s.newEntry(t, "n2")
	prompt := load.Prompt{Service: "talk", Text: "hello", MaxTokens: 300}
	body, _ := json.Marshal(map[string]any{"model": "talk", "messages": prompt.Messages(), "max_tokens": 300, "stream": true})
	request, _ := http.NewRequest(http.MethodPost, first.server.URL+"/v1/chat/completions", bytes.NewReader(body))
	response := first.do(t, request)
	begun := make([]byte, 4000)
	if _, err := io.ReadFull(response.Body, begun); err != nil {
		t.Fatal(err)
	}
	first.api.EndRequests()
	more, err := io.ReadAll(response.Body)
	text, lastEventID := readEvents(string(begun) + string(more))
	if err == nil || strings.Contains(string(more), `"error"`) {
		t.Errorf("got %q and error %v, want a stream that breaks off", more, err)
	}
	request, _ = http.NewRequest(http.MethodPost, second.server.URL+"/v1/chat/completions", bytes.NewReader(body))
	request.Header.Set("Last-Event-ID", lastEventID)
	rest, err := io.ReadAll(second.do(t, request).Body)
	restText, _ := readEvents(string(rest))
	if want := expectedText(prompt, response.Header.Get("Ironhollow-Request")); err != nil || text+restText != want {
		t.Errorf("got %d + %d characters, error %v; want all %d in total", len(text), len(restText), err, len(want))
	}
}

// Guards against jobs that a draining entry accepts and does not start, so that they wait until its process has ended.
func TestJobPostedLateInDrainRunsAtAnotherEntry(t *testing.T) {
	s := newSite(t)
	first, second := s.newEntry(t, "n1"), s.newEntry(t, "n2")
	first.api.StartDrain(0, time.Minute)
	first.api.Worker.Drain(t.Context())
	post := func(e *entry, key string) rawResponse {
		return e.sendRaw(t, http.MethodPost, "/v1/jobs", "HTTP/1.1", "Idempotency-Key: "+key+"\r\n", chatBody)
	}
	if got := post(first, "alone"); got.status != http.StatusAccepted {
		t.Errorf("without another entry: got %+v, want the job accepted", got)
	}
	first.nodes.Merge(second.self)
	if got := post(first, "k"); got.header.Get("Ironhollow-Code") != strconv.Itoa(code.Stopping.Number()) || got.header.Get("Retry-After") == "" {
		t.Errorf("with another entry: got %+v, want it rejected as stopping", got)
	}
	accepted := post(second, "k")
	done := second.sendRaw(t, http.MethodGet, accepted.header.Get("Location")+"?wait=2s", "HTTP/1.1", "", "")
	if !strings.Contains(done.body, `"status":"done"`) {
		t.Errorf("at the other entry: got %+v, want it done", done)
	}
}

// listenWithoutAccepting returns an address at which connections stay half-open: the queue of the listener is full.
func listenWithoutAccepting(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
	for range 10 {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the queue of the listener does not fill up")
	return ""
}

// Guards against an unknown outcome of a call that ends while its connection to the endpoint is being opened.
func TestCallEndedBeforeItIsConnectedIsNotRun(t *testing.T) {
	address := listenWithoutAccepting(t)
	for _, request := range plainRequests {
		s := newSite(t)
		s.infos = append(s.infos, endpoint.Info{ID: "p0", Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "ledger", Address: address})
		e := s.newEntry(t, "n1")
		answered := make(chan rawResponse, 1)
		go func() { answered <- e.sendRaw(t, http.MethodPost, request.path, "HTTP/1.1", request.headers, "x") }()
		awaitCount(t, 1, e.api.InFlight)
		time.Sleep(100 * time.Millisecond)
		e.api.EndRequests()
		if got := <-answered; got.err != nil || got.header.Get("Ironhollow-Outcome") != "not-run" || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: got %+v, want it not run", request.name, got)
		}
	}
}
