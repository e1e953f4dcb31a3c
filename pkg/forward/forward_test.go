package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
)

func TestRequestsArePassedUnchanged(t *testing.T) {
	s := newHarness(t, spec(), true, respondOK("answer"))
	got := s.send("POST", "/once/a%2Fb/../c?q=%41&x=1", "the body", "Other", "header", "Connection", "Drop-Me", "Drop-Me", "x")
	if got.status != 200 || got.body != "answer" || got.err != nil {
		t.Fatalf("response: got %+v, want 200 answer", got)
	}
	request := s.requests()[0]
	if want := "/once/a%2Fb/../c?q=%41&x=1"; request.target != want {
		t.Errorf("target: got %q, want %q", request.target, want)
	}
	if request.body != "the body" || request.header.Get("Other") != "header" {
		t.Errorf("request: got %+v, want body and headers as sent", request)
	}
	if request.header.Get("Drop-Me") != "" {
		t.Error("a header of the caller's connection was forwarded")
	}
	if request.header.Get("Meant") != "e0" || request.header.Get("Team") != "team" {
		t.Errorf("headers: got %v, want the endpoint and the team", request.header)
	}
	if got, want := s.runs.started["team"], 1; got != want {
		t.Errorf("runs counted: got %d, want %d", got, want)
	}
}

// A request that may not be repeated runs once: after an endpoint may have received it, it
// is never sent again, and the response does not say that it did not run.
func TestOnceIsNotSentAgainAfterItMayHaveRun(t *testing.T) {
	cases := []struct {
		name  string
		first script
	}{
		{"closed without a response", closeWithoutResponse},
		{"truncated response", respond("HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nhalf", false)},
		{"response to another request", respond("HTTP/1.1 200 OK\r\nId: other\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nno", true)},
		{"response without signature", respond("HTTP/1.1 200 OK\r\nId: %id\r\nContent-Length: 2\r\n\r\nno", true)},
		{"malformed response", respond("garbage\r\n\r\n", false)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, spec(), true, c.first, c.first)
			got := s.send("POST", "/once/x", "body")
			if got.status != http.StatusBadGateway {
				t.Errorf("status: got %d, want %d", got.status, http.StatusBadGateway)
			}
			if n := len(s.requests()); n != 1 {
				t.Errorf("requests received by endpoints: got %d, want 1", n)
			}
		})
	}
}

func TestOnceIsSentAgainAfterNotRun(t *testing.T) {
	s := newHarness(t, spec(), true, respond(notRunResponse, true), respond(notRunResponse, true), respond(notRunResponse, true))
	got := s.send("POST", "/once/x", "body")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("response: got %d, Retry-After %q, want 503 with Retry-After", got.status, got.header.Get("Retry-After"))
	}
	if n := len(s.requests()); n != 2 {
		t.Errorf("requests received by endpoints: got %d, want the route's 2 attempts", n)
	}
}

// If another instance has the address, the chosen endpoint did not get the request, which is
// retried even on a route that allows only one attempt.
func TestMovedAddressIsNoAttempt(t *testing.T) {
	limited := spec()
	limited.Routes[1].MaxAttempts = 1
	moved := respond(strings.Replace(notRunResponse, "503 Service Unavailable", "421 Misdirected Request", 1), true)
	s := newHarness(t, limited, true, moved, moved)
	s.addEndpoint("good", respondOK("answer"))
	for range 5 {
		if got := s.send("POST", "/once/x", "body"); got.status != 200 {
			t.Errorf("status: got %d, want 200 from the endpoint that exists", got.status)
		}
	}
}

func TestSafeIsSentAgain(t *testing.T) {
	for name, first := range map[string]script{
		"closed": closeWithoutResponse,
		"failed": respond("HTTP/1.1 500 Internal Server Error\r\nId: %id\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n", true),
		"broken": respond("HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nhalf", false),
	} {
		t.Run(name, func(t *testing.T) {
			// The endpoint fails once, whichever receives the first attempt.
			failed := make(chan bool, 1)
			failed <- true
			flaky := func(c net.Conn, r *http.Request) bool {
				select {
				case <-failed:
					return first(c, r)
				default:
					return respondOK("answer")(c, r)
				}
			}
			s := newHarness(t, spec(), true, flaky, flaky)
			if got := s.send("GET", "/safe/x", ""); got.status != 200 || got.body != "answer" {
				t.Errorf("response: got %+v, want 200 answer", got)
			}
			if n := len(s.requests()); n != 2 {
				t.Errorf("requests received by endpoints: got %d, want 2", n)
			}
		})
	}
}

// The endpoint's own failure is forwarded unchanged when the attempts are used up.
func TestEndpointFailuresAreForwarded(t *testing.T) {
	fails := respond("HTTP/1.1 500 Internal Server Error\r\nId: %id\r\nSigned: yes\r\nContent-Length: 3\r\n\r\nbad", true)
	s := newHarness(t, spec(), true, fails, fails)
	got := s.send("GET", "/safe/x", "")
	if got.status != 500 || got.body != "bad" || got.header.Get("Signed") != "yes" {
		t.Errorf("response: got %+v, want the endpoint's", got)
	}
}

func TestRefusalsOfTheSystemsOwn(t *testing.T) {
	s := newHarness(t, spec(), true)
	old := newHarness(t, spec(), false)
	withoutTeams := spec()
	withoutTeams.Teams = nil
	noTeams := newHarness(t, withoutTeams, true)
	withEmptyKey := spec()
	withEmptyKey.Teams = []routetable.Team{{Name: "team", Keys: []string{"", "key"}}}
	emptyKey := newHarness(t, withEmptyKey, true)
	cases := []struct {
		name, path, key string
		harness         *harness
		want            int
	}{
		{"no endpoint", "/once/x", "key", s, 503},
		{"unknown key", "/once/x", "other", s, 401},
		{"unknown route", "/other/x", "key", s, 404},
		{"no team is left", "/once/x", "key", noTeams, 401},
		{"no team is left, no key", "/once/x", "", noTeams, 401},
		{"a team with an empty key, no key", "/once/x", "", emptyKey, 401},
		{"unknown key, configuration may be old", "/once/x", "other", old, 503},
		{"unknown route, configuration may be old", "/other/x", "key", old, 503},
	}
	for _, c := range cases {
		got := c.harness.send("POST", c.path, "body", "Key", c.key)
		if got.status != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got.status, c.want)
		}
		if hasRetryAfter := got.header.Get("Retry-After") != ""; hasRetryAfter != (c.want == 503) {
			t.Errorf("%s: Retry-After %q with %d", c.name, got.header.Get("Retry-After"), c.want)
		}
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[len(s)/16], digits[len(s)%16]}) + "\r\n" + s + "\r\n"
}

// A stream that breaks off inside an event is resumed at another endpoint after the last
// complete event, and the caller receives each event once.
func TestStreamGoesOnAtAnotherEndpoint(t *testing.T) {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"}
	answer := func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "%id", r.Header.Get("Id")))
		if r.Header.Get("Last-Event") == "2" {
			_, _ = io.WriteString(c, chunk(events[2])+"0\r\n\r\n")
			return true
		}
		_, _ = io.WriteString(c, chunk(events[0])+chunk(events[1])+chunk("id: 3\nda"))
		return false
	}
	s := newHarness(t, spec(), true, answer, answer)
	got := s.send("POST", "/resume/x", "prompt")
	if want := strings.Join(events, ""); got.body != want || got.err != nil {
		t.Errorf("stream: got %q, %v, want %q", got.body, got.err, want)
	}
	requests := s.requests()
	if len(requests) != 2 || requests[0].endpoint == requests[1].endpoint {
		t.Errorf("endpoints: got %v, want two", requests)
	}
}

// A stream that can't be resumed ends with a connection error and never looks complete.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	answer := func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "%id", r.Header.Get("Id"))+chunk("id: 1\ndata: a\n\n"))
		return false
	}
	s := newHarness(t, spec(), true, answer, answer)
	got := s.send("POST", "/stream/x", "prompt")
	if got.err == nil {
		t.Errorf("stream: got %q without an error, want it to break off", got.body)
	}
	if n := len(s.requests()); n != 1 {
		t.Errorf("requests received by endpoints: got %d, want 1", n)
	}
}

// An event that never ends is aborted before it fills the memory.
func TestEndlessEventIsAborted(t *testing.T) {
	sent := make(chan int, 1)
	answer := func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "%id", r.Header.Get("Id"))+chunk("id: 1\ndata: a\n\n"))
		piece := "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"
		total := 0
		for total < 64<<20 {
			if _, err := io.WriteString(c, piece); err != nil {
				break
			}
			total += len(piece)
		}
		sent <- total
		return false
	}
	s := newHarness(t, spec(), true, answer)
	startedAt := time.Now()
	got := s.send("POST", "/stream/x", "prompt")
	if got.err == nil || !strings.Contains(got.body, "data: a") {
		t.Errorf("stream: got %d bytes, %v, want the first event and then an error", len(got.body), got.err)
	}
	if total := <-sent; total >= 64<<20 {
		t.Errorf("bytes read from the endpoint: got all %d, want the connection closed long before", total)
	}
	if took, timeout := time.Since(startedAt), spec().Routes[2].Timeout; took >= timeout {
		t.Errorf("aborted: got after %v, want because of the event's length, before the route's timeout of %v", took, timeout)
	}
}

// Guards against incomplete events that together take a host's memory. Usual events need none of the budget.
func TestIncompleteEventsShareABudget(t *testing.T) {
	long := "data: " + strings.Repeat("x", 60<<10)
	stalled := make(chan struct{})
	t.Cleanup(func() { close(stalled) })
	s := newHarness(t, spec(), true, func(c net.Conn, r *http.Request) bool {
		head := strings.ReplaceAll(streamHead, "%id", r.Header.Get("Id"))
		switch body, _ := io.ReadAll(r.Body); string(body) {
		case "stalls":
			_, _ = io.WriteString(c, head+chunk(firstEvent)+"f000\r\n"+long[:0xf000])
			<-stalled
		case "long":
			_, _ = io.WriteString(c, head+"f008\r\n"+long+"\n\n\r\n0\r\n\r\n")
		default:
			_, _ = io.WriteString(c, head+chunk(firstEvent)+"0\r\n\r\n")
		}
		return false
	})
	// The budget is that of one event of 64 KiB.
	s.forwarder.LimitMemory(1 << 20)
	if got := s.send("POST", "/stream/x", "long", "Id", "alone"); got.err != nil || len(got.body) != len(long)+2 {
		t.Errorf("a long event alone: got %d bytes, %v, want all", len(got.body), got.err)
	}
	go s.send("POST", "/stream/x", "stalls", "Id", "stalled")
	for until := time.Now().Add(2 * time.Second); len(s.requests()) < 2 && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	if got := s.send("POST", "/stream/x", "long", "Id", "second"); got.err == nil {
		t.Errorf("a second long event: got %d bytes with a clean end, want the stream broken off", len(got.body))
	}
	if got := s.send("POST", "/stream/x", "usual", "Id", "usual"); got.err != nil || got.body != firstEvent {
		t.Errorf("a usual event: got %q, %v, want all", got.body, got.err)
	}
}

// A failure response to a resumed stream must not be forwarded as part of the stream.
func TestStreamDoesNotGoOnWithAFailure(t *testing.T) {
	answer := func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Last-Event") != "" {
			respond("HTTP/1.1 500 Internal Server Error\r\nId: %id\r\nContent-Length: 3\r\n\r\nbad", true)(c, r)
			return true
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "%id", r.Header.Get("Id"))+chunk("id: 1\ndata: a\n\n"))
		return false
	}
	s := newHarness(t, spec(), true, answer, answer)
	got := s.send("POST", "/resume/x", "prompt")
	if got.err == nil || strings.Contains(got.body, "bad") {
		t.Errorf("stream: got %q, %v, want it to break off without the failure's bytes", got.body, got.err)
	}
}

// At the deadline the caller gets a response that says what is known of the request.
func TestTimeIsOver(t *testing.T) {
	neverResponds := func(c net.Conn, _ *http.Request) bool {
		_, _ = io.ReadAll(c)
		return false
	}
	s := newHarness(t, spec(), true, neverResponds)
	startedAt := time.Now()
	got := s.send("POST", "/once/x", "body", "Wait-Ms", "200")
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("status: got %d, want %d", got.status, http.StatusGatewayTimeout)
	}
	if took := time.Since(startedAt); took < 190*time.Millisecond || took > 600*time.Millisecond {
		t.Errorf("responded after %v, want 200 ms", took)
	}
}

// If the caller disconnects, the connection to the endpoint is closed at once.
func TestCallerLeaves(t *testing.T) {
	closed := make(chan bool, 1)
	received := make(chan bool, 1)
	neverResponds := func(c net.Conn, _ *http.Request) bool {
		received <- true
		_, _ = io.ReadAll(c)
		closed <- true
		return false
	}
	s := newHarness(t, spec(), true, neverResponds)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, "POST", s.server.URL+"/once/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Id", "1")
	r.Header.Set("Key", "key")
	go func() {
		<-received
		cancel()
	}()
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Fatal("got a response although the caller disconnected")
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("connection to the endpoint still open a second after the caller disconnected")
	}
}

// A leaving endpoint gets no new request.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	s := newHarness(t, spec(), true, respondOK("old"))
	s.addEndpoint("new", respondOK("new"))
	s.directory.Update(endpoint.Ref{ID: "e0", Incarnation: 1}, func(i *endpoint.Info) { i.State = endpoint.Leaving })
	for range 10 {
		if got := s.send("POST", "/once/x", "body"); got.body != "new" {
			t.Errorf("answered by %q, want new", got.body)
		}
	}
}

func TestBodiesBeyondTheLimit(t *testing.T) {
	limited := spec()
	limited.Limits = routetable.Limits{MaxBodyBytes: 10}
	s := newHarness(t, limited, true, respondOK("answer"))
	if got := s.send("POST", "/once/x", "0123456789"); got.status != 200 {
		t.Errorf("at the limit: got %d, want 200", got.status)
	}
	if got := s.send("POST", "/once/x", "0123456789x"); got.status != http.StatusRequestEntityTooLarge {
		t.Errorf("over the limit: got %d, want 413", got.status)
	}
}

// While the process is draining, callers are asked to close their connections. While it is
// stopping, streams, which would be cut off, are rejected, and short requests are served.
func TestStopping(t *testing.T) {
	s := newHarness(t, spec(), true, respondOK("answer"))
	cases := []struct {
		phase  forward.Phase
		path   string
		status int
		closes bool
	}{
		{forward.Serving, "/stream/x", 200, false},
		{forward.Draining, "/stream/x", 200, true},
		{forward.Draining, "/once/x", 200, true},
		{forward.Stopping, "/stream/x", 503, true},
		{forward.Stopping, "/once/x", 200, true},
	}
	for _, c := range cases {
		s.phase.Store(int64(c.phase))
		got := s.send("POST", c.path, "body")
		if got.status != c.status {
			t.Errorf("phase %d, %s: got %d, want %d", c.phase, c.path, got.status, c.status)
		}
		if got.closesConnection != c.closes {
			t.Errorf("phase %d, %s: asked to close the connection: got %v, want %v", c.phase, c.path, got.closesConnection, c.closes)
		}
	}
}

// The log lines of many requests at once stay within the rate limit.
func TestRequestLogIsRateLimited(t *testing.T) {
	s := newHarness(t, spec(), true, respondOK("answer"))
	// Served requests may use half of the burst and the one line that goes below it.
	const requests, burst, perSecond = 1000, 400/2 + 1, 200
	startedAt := time.Now()
	for range requests {
		if got := s.send("POST", "/once/x", "body"); got.status != 200 {
			t.Fatalf("status: got %d, want 200", got.status)
		}
	}
	duration := time.Since(startedAt)
	budget := burst + int64(perSecond*duration.Seconds())
	if got := int64(s.logLines.Load()); got == 0 || got > budget {
		t.Errorf("log lines for %d requests in %v: got %d, want at least 1, at most %d", requests, duration, got, budget)
	}
}

// A request that arrives during startup waits for its end; one that waits too long is
// rejected with Retry-After.
func TestRequestsWaitForTheStart(t *testing.T) {
	s := newHarness(t, spec(), true, respondOK("fine"))
	s.phase.Store(int64(forward.Starting))
	time.AfterFunc(60*time.Millisecond, func() { s.phase.Store(int64(forward.Serving)) })
	if got := s.send(http.MethodPost, "/once/x", "body"); got.status != http.StatusOK || got.closesConnection {
		t.Errorf("started after 60 ms: got %d, asked to close the connection %v, want 200 on a connection kept open", got.status, got.closesConnection)
	}
	s.phase.Store(int64(forward.Starting))
	startedAt := time.Now()
	s.send(http.MethodPost, "/once/x", "body")
	if waited := time.Since(startedAt); waited < 300*time.Millisecond || waited > 2*time.Second {
		t.Errorf("never started: waited %v, want 0.4 s", waited)
	}
}

// A request that crashes each endpoint that runs it is retried again and again under new ids.
// After three crashes it goes to no other endpoint and is rejected as not run, while all other
// requests are served. TestCrashingRequestIsHeldBack of package soak describes the incident.
func TestCrashingRequestGoesToThreeEndpoints(t *testing.T) {
	const endpoints = 8
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/resume/x"} {
		s := newHarness(t, spec(), true)
		for i := range endpoints {
			s.addCrashingEndpoint("e" + strconv.Itoa(i))
		}
		var last callerResponse
		for i := range 2 * endpoints {
			last = s.send("POST", path, crashingBody, "Id", "try-"+strconv.Itoa(i))
			time.Sleep(exitDetection)
		}
		if got, want := s.crashingRuns(), 3; got != want {
			t.Errorf("%s: endpoints crashed by one request: got %d of %d, want %d", path, got, endpoints, want)
		}
		if last.status != http.StatusServiceUnavailable || last.header.Get("Retry-After") == "" {
			t.Errorf("%s: last attempt: got %+v, want 503 with Retry-After", path, last)
		}
		for i := range 5 {
			if got := s.send("POST", "/once/x", "body "+strconv.Itoa(i)); got.status != http.StatusOK {
				t.Errorf("%s: other requests: got %+v, want 200", path, got)
			}
		}
	}
}

// Attempts that ran are never reported as not run, even if later ones are.
func TestAttemptsThatRanAreNotReportedAsNotRun(t *testing.T) {
	s := newHarness(t, spec(), true)
	for i := range 8 {
		s.addCrashingEndpoint("e" + strconv.Itoa(i))
	}
	for i := range 8 {
		id := "try-" + strconv.Itoa(i)
		got := s.send("POST", "/safe/x", crashingBody, "Id", id)
		ran := slices.ContainsFunc(s.requests(), func(r receivedRequest) bool { return r.header.Get("Id") == id })
		if promised := got.status == http.StatusServiceUnavailable; promised == ran {
			t.Errorf("%s: got %d, ran %v", id, got.status, ran)
		}
		time.Sleep(exitDetection)
	}
}

// Broken connections to endpoints that stay alive, and planned shutdowns, do not quarantine a
// request.
func TestOnlyEndsHoldRequestsBack(t *testing.T) {
	s := newHarness(t, spec(), true, closeWithoutResponse)
	for i := range 6 {
		if got := s.send("POST", "/once/x", "body"); got.status != http.StatusBadGateway {
			t.Errorf("attempt %d at an endpoint that closes the connection: got %d, want %d", i, got.status, http.StatusBadGateway)
		}
		// The router skips an endpoint for a while after three failures in a row.
		s.router.Done(route.Choice{Endpoint: s.endpoint("e0")}, route.Result{}, time.Now())
		time.Sleep(exitDetection)
	}
	leaving := newHarness(t, spec(), true)
	for i := range 4 {
		id := "e" + strconv.Itoa(i)
		leaving.addLeavingEndpoint(id)
		if got := leaving.send("POST", "/once/x", crashingBody); got.status != http.StatusBadGateway {
			t.Errorf("attempt %d at an endpoint that leaves: got %d, want %d", i, got.status, http.StatusBadGateway)
		}
		time.Sleep(exitDetection)
	}
}

// A caller that disconnects in the middle of a long or streamed response is no failure of the
// endpoint, which is not probed.
func TestCallerDisconnectIsNotAnEndpointFailure(t *testing.T) {
	const size = 8 << 20
	long := respond("HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("x", size), true)
	events := func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "%id", r.Header.Get("Id")))
		for range 1000 {
			if _, err := io.WriteString(c, chunk("id: 1\ndata: a\n\n")); err != nil {
				return false
			}
			time.Sleep(time.Millisecond)
		}
		return false
	}
	for path, answer := range map[string]script{"/once/x": long, "/stream/x": events} {
		s := newHarness(t, spec(), true, answer)
		for range 5 {
			s.sendAndDisconnect(path)
		}
		time.Sleep(3 * exitDetection)
		if got := s.watch.SuspectedEndpoints(time.Now()); len(got) != 0 {
			t.Errorf("%s: endpoints suspected: got %v, want none", path, got)
		}
	}
}
