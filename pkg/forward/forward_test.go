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
	s := newSite(t, spec(), true, whole("answer"))
	got := s.ask("POST", "/once/a%2Fb/../c?q=%41&x=1", "the body", "Other", "header", "Connection", "Drop-Me", "Drop-Me", "x")
	if got.status != 200 || got.body != "answer" || got.err != nil {
		t.Fatalf("answer: got %+v, want 200 answer", got)
	}
	request := s.requests()[0]
	if want := "/once/a%2Fb/../c?q=%41&x=1"; request.target != want {
		t.Errorf("target: got %q, want %q", request.target, want)
	}
	if request.body != "the body" || request.header.Get("Other") != "header" {
		t.Errorf("request: got %+v, want body and headers as sent", request)
	}
	if request.header.Get("Drop-Me") != "" {
		t.Error("a header of the caller's connection was passed on")
	}
	if request.header.Get("Meant") != "e0" || request.header.Get("Team") != "team" {
		t.Errorf("marks: got %v, want the endpoint and the team", request.header)
	}
	if got, want := s.runs.begun["team"], 1; got != want {
		t.Errorf("counted as begun: got %d, want %d", got, want)
	}
}

// What may not be repeated runs once: after an endpoint may have seen it, it is
// never sent again, and the caller is not told that it did not run.
func TestOnceIsNotSentAgainAfterItMayHaveRun(t *testing.T) {
	cases := []struct {
		name  string
		first script
	}{
		{"closed without an answer", breaks},
		{"answer breaks off", text("HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nhalf", false)},
		{"answer of another request", text("HTTP/1.1 200 OK\r\nId: other\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nno", true)},
		{"answer without signature", text("HTTP/1.1 200 OK\r\nId: %id\r\nContent-Length: 2\r\n\r\nno", true)},
		{"no answer in the protocol", text("garbage\r\n\r\n", false)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, spec(), true, c.first, c.first)
			got := s.ask("POST", "/once/x", "body")
			if got.status != http.StatusBadGateway {
				t.Errorf("status: got %d, want %d", got.status, http.StatusBadGateway)
			}
			if n := len(s.requests()); n != 1 {
				t.Errorf("requests seen by endpoints: got %d, want 1", n)
			}
		})
	}
}

func TestOnceIsSentAgainAfterNotRun(t *testing.T) {
	s := newSite(t, spec(), true, text(turnedAway, true), text(turnedAway, true), text(turnedAway, true))
	got := s.ask("POST", "/once/x", "body")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("answer: got %d, Retry-After %q, want 503 that tells when to come back", got.status, got.header.Get("Retry-After"))
	}
	if n := len(s.requests()); n != 2 {
		t.Errorf("endpoints asked: got %d, want the route's 2 attempts", n)
	}
}

// Another instance has the address: the one that was meant has not been asked,
// and the request goes on even where one attempt is all that is allowed.
func TestMovedAddressIsNoAttempt(t *testing.T) {
	one := spec()
	one.Routes[1].Attempts = 1
	moved := text(strings.Replace(turnedAway, "503 Service Unavailable", "421 Misdirected Request", 1), true)
	s := newSite(t, one, true, moved, moved)
	s.addEndpoint("good", whole("answer"))
	for range 5 {
		if got := s.ask("POST", "/once/x", "body"); got.status != 200 {
			t.Errorf("status: got %d, want 200 from the endpoint that is there", got.status)
		}
	}
}

func TestSafeIsSentAgain(t *testing.T) {
	for name, first := range map[string]script{
		"closed": breaks,
		"failed": text("HTTP/1.1 500 Internal Server Error\r\nId: %id\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n", true),
		"broken": text("HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nhalf", false),
	} {
		t.Run(name, func(t *testing.T) {
			// The endpoint fails once, whichever is asked first.
			failed := make(chan bool, 1)
			failed <- true
			flaky := func(c net.Conn, r *http.Request) bool {
				select {
				case <-failed:
					return first(c, r)
				default:
					return whole("answer")(c, r)
				}
			}
			s := newSite(t, spec(), true, flaky, flaky)
			if got := s.ask("GET", "/safe/x", ""); got.status != 200 || got.body != "answer" {
				t.Errorf("answer: got %+v, want 200 answer", got)
			}
			if n := len(s.requests()); n != 2 {
				t.Errorf("requests seen by endpoints: got %d, want 2", n)
			}
		})
	}
}

// The endpoint's own failure is passed on as it is when attempts are used up.
func TestFailuresArePassedOn(t *testing.T) {
	fails := text("HTTP/1.1 500 Internal Server Error\r\nId: %id\r\nSigned: yes\r\nContent-Length: 3\r\n\r\nbad", true)
	s := newSite(t, spec(), true, fails, fails)
	got := s.ask("GET", "/safe/x", "")
	if got.status != 500 || got.body != "bad" || got.header.Get("Signed") != "yes" {
		t.Errorf("answer: got %+v, want the endpoint's", got)
	}
}

func TestRefusalsOfTheSystemsOwn(t *testing.T) {
	s := newSite(t, spec(), true)
	old := newSite(t, spec(), false)
	cases := []struct {
		name, path, key string
		site            *site
		want            int
	}{
		{"no endpoint", "/once/x", "key", s, 503},
		{"unknown key", "/once/x", "other", s, 401},
		{"unknown route", "/other/x", "key", s, 404},
		{"unknown key, configuration may be old", "/once/x", "other", old, 503},
		{"unknown route, configuration may be old", "/other/x", "key", old, 503},
	}
	for _, c := range cases {
		got := c.site.ask("POST", c.path, "body", "Key", c.key)
		if got.status != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got.status, c.want)
		}
		if comesBack := got.header.Get("Retry-After") != ""; comesBack != (c.want == 503) {
			t.Errorf("%s: Retry-After %q with %d", c.name, got.header.Get("Retry-After"), c.want)
		}
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[len(s)/16], digits[len(s)%16]}) + "\r\n" + s + "\r\n"
}

// A stream breaks off inside an event; it goes on at another endpoint after the
// last whole event, and the caller sees each event once.
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
	s := newSite(t, spec(), true, answer, answer)
	got := s.ask("POST", "/resume/x", "prompt")
	if want := strings.Join(events, ""); got.body != want || got.err != nil {
		t.Errorf("stream: got %q, %v, want %q", got.body, got.err, want)
	}
	requests := s.requests()
	if len(requests) != 2 || requests[0].endpoint == requests[1].endpoint {
		t.Errorf("endpoints: got %v, want two", requests)
	}
}

// A stream that can't go on ends visibly broken, never as if it were whole.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	answer := func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "%id", r.Header.Get("Id"))+chunk("id: 1\ndata: a\n\n"))
		return false
	}
	s := newSite(t, spec(), true, answer, answer)
	got := s.ask("POST", "/stream/x", "prompt")
	if got.err == nil {
		t.Errorf("stream: got %q without an error, want it to break off", got.body)
	}
	if n := len(s.requests()); n != 1 {
		t.Errorf("endpoints asked: got %d, want 1", n)
	}
}

// An endpoint that never ends its event is given up, before it fills the memory.
func TestEndlessEventIsGivenUp(t *testing.T) {
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
	s := newSite(t, spec(), true, answer)
	began := time.Now()
	got := s.ask("POST", "/stream/x", "prompt")
	if got.err == nil || !strings.Contains(got.body, "data: a") {
		t.Errorf("stream: got %d bytes, %v, want the first event and then a break", len(got.body), got.err)
	}
	if total := <-sent; total >= 64<<20 {
		t.Errorf("endpoint's bytes taken: got all %d, want the connection closed long before", total)
	}
	if took, timeout := time.Since(began), spec().Routes[2].Timeout; took >= timeout {
		t.Errorf("given up: got after %v, want for the event's length, before the route's time of %v is over", took, timeout)
	}
}

// A failed answer where a stream should go on must not be passed into it.
func TestStreamDoesNotGoOnWithAFailure(t *testing.T) {
	answer := func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Last-Event") != "" {
			text("HTTP/1.1 500 Internal Server Error\r\nId: %id\r\nContent-Length: 3\r\n\r\nbad", true)(c, r)
			return true
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "%id", r.Header.Get("Id"))+chunk("id: 1\ndata: a\n\n"))
		return false
	}
	s := newSite(t, spec(), true, answer, answer)
	got := s.ask("POST", "/resume/x", "prompt")
	if got.err == nil || strings.Contains(got.body, "bad") {
		t.Errorf("stream: got %q, %v, want it to break off without the failure's bytes", got.body, got.err)
	}
}

// The time is over: the answer comes then, and tells what is known.
func TestTimeIsOver(t *testing.T) {
	holds := func(c net.Conn, _ *http.Request) bool {
		_, _ = io.ReadAll(c)
		return false
	}
	s := newSite(t, spec(), true, holds)
	began := time.Now()
	got := s.ask("POST", "/once/x", "body", "Wait-Ms", "200")
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("status: got %d, want %d", got.status, http.StatusGatewayTimeout)
	}
	if took := time.Since(began); took < 190*time.Millisecond || took > 600*time.Millisecond {
		t.Errorf("answered after %v, want at 200 ms", took)
	}
}

// The caller leaves: the endpoint is told at once.
func TestCallerLeaves(t *testing.T) {
	told := make(chan bool, 1)
	began := make(chan bool, 1)
	holds := func(c net.Conn, _ *http.Request) bool {
		began <- true
		_, _ = io.ReadAll(c)
		told <- true
		return false
	}
	s := newSite(t, spec(), true, holds)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, "POST", s.server.URL+"/once/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Id", "1")
	r.Header.Set("Key", "key")
	go func() {
		<-began
		cancel()
	}()
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Fatal("answered although the caller left")
	}
	select {
	case <-told:
	case <-time.After(time.Second):
		t.Error("the endpoint still works a second after the caller left")
	}
}

// Leaving endpoints get no new request.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	s := newSite(t, spec(), true, whole("old"))
	s.addEndpoint("new", whole("new"))
	s.directory.Update(endpoint.Ref{ID: "e0", Incarnation: 1}, func(i *endpoint.Info) { i.State = endpoint.Leaving })
	for range 10 {
		if got := s.ask("POST", "/once/x", "body"); got.body != "new" {
			t.Errorf("answered by %q, want new", got.body)
		}
	}
}

func TestBodiesBeyondTheLimit(t *testing.T) {
	limited := spec()
	limited.Limits = routetable.Limits{BodyBytes: 10}
	s := newSite(t, limited, true, whole("answer"))
	if got := s.ask("POST", "/once/x", "0123456789"); got.status != 200 {
		t.Errorf("at the limit: got %d, want 200", got.status)
	}
	if got := s.ask("POST", "/once/x", "0123456789x"); got.status != http.StatusRequestEntityTooLarge {
		t.Errorf("over the limit: got %d, want 413", got.status)
	}
}

// While the process stops, callers are asked to leave; near its end streams,
// which would be cut off, are turned away, and short requests are served.
func TestStopping(t *testing.T) {
	s := newSite(t, spec(), true, whole("answer"))
	cases := []struct {
		phase  forward.Phase
		path   string
		status int
		leaves bool
	}{
		{forward.Serving, "/stream/x", 200, false},
		{forward.Draining, "/stream/x", 200, true},
		{forward.Draining, "/once/x", 200, true},
		{forward.Stopping, "/stream/x", 503, true},
		{forward.Stopping, "/once/x", 200, true},
	}
	for _, c := range cases {
		s.phase.Store(int64(c.phase))
		got := s.ask("POST", c.path, "body")
		if got.status != c.status {
			t.Errorf("phase %d, %s: got %d, want %d", c.phase, c.path, got.status, c.status)
		}
		if got.closes != c.leaves {
			t.Errorf("phase %d, %s: told to leave %v, want %v", c.phase, c.path, got.closes, c.leaves)
		}
	}
}

// The lines of many requests at once stay within their budget.
func TestLinesAreBounded(t *testing.T) {
	s := newSite(t, spec(), true, whole("answer"))
	// Served requests may write half of the burst and the one line that goes below it.
	const requests, burst, perSecond = 1000, 400/2 + 1, 200
	began := time.Now()
	for range requests {
		if got := s.ask("POST", "/once/x", "body"); got.status != 200 {
			t.Fatalf("status: got %d, want 200", got.status)
		}
	}
	took := time.Since(began)
	budget := burst + int64(perSecond*took.Seconds())
	if got := int64(s.lines.Load()); got == 0 || got > budget {
		t.Errorf("lines written for %d requests in %v: got %d, want some, %d at most", requests, took, got, budget)
	}
}

// A request that comes while the process still starts waits for it; one that waits too
// long is told to come back.
func TestRequestsWaitForTheStart(t *testing.T) {
	s := newSite(t, spec(), true, whole("fine"))
	s.phase.Store(int64(forward.Starting))
	time.AfterFunc(60*time.Millisecond, func() { s.phase.Store(int64(forward.Serving)) })
	if got := s.ask(http.MethodPost, "/once/x", "body"); got.status != http.StatusOK || got.closes {
		t.Errorf("started after 60 ms: got %d, told to leave %v, want 200 on a connection that stays", got.status, got.closes)
	}
	s.phase.Store(int64(forward.Starting))
	began := time.Now()
	s.ask(http.MethodPost, "/once/x", "body")
	if waited := time.Since(began); waited < 300*time.Millisecond || waited > 2*time.Second {
		t.Errorf("never started: waited %v, want 0.4 s", waited)
	}
}

// A request that ends each endpoint that runs it comes again and again, under new ids:
// after three ends it goes to no other endpoint and is refused as not run, while all
// others are served. The story stands at TestCrashingRequestIsHeldBack of package soak.
func TestCrashingRequestGoesToThreeEndpoints(t *testing.T) {
	const endpoints = 8
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/resume/x"} {
		s := newSite(t, spec(), true)
		for i := range endpoints {
			s.addCrashing("e" + strconv.Itoa(i))
		}
		var last answer
		for i := range 2 * endpoints {
			last = s.ask("POST", path, crashingBody, "Id", "try-"+strconv.Itoa(i))
			time.Sleep(endSeen)
		}
		if got, want := s.crashes(), 3; got != want {
			t.Errorf("%s: endpoints ended by one request: got %d of %d, want %d", path, got, endpoints, want)
		}
		if last.status != http.StatusServiceUnavailable || last.header.Get("Retry-After") == "" {
			t.Errorf("%s: last try: got %+v, want 503 that tells when to come back", path, last)
		}
		for i := range 5 {
			if got := s.ask("POST", "/once/x", "body "+strconv.Itoa(i)); got.status != http.StatusOK {
				t.Errorf("%s: other requests: got %+v, want 200", path, got)
			}
		}
	}
}

// Tries that ran are never told that they did not, though later ones are.
func TestTriesThatRanAreNotToldOtherwise(t *testing.T) {
	s := newSite(t, spec(), true)
	for i := range 8 {
		s.addCrashing("e" + strconv.Itoa(i))
	}
	for i := range 8 {
		id := "try-" + strconv.Itoa(i)
		got := s.ask("POST", "/safe/x", crashingBody, "Id", id)
		ran := slices.ContainsFunc(s.requests(), func(r seen) bool { return r.header.Get("Id") == id })
		if promised := got.status == http.StatusServiceUnavailable; promised == ran {
			t.Errorf("%s: got %d, ran %v", id, got.status, ran)
		}
		time.Sleep(endSeen)
	}
}

// Connections that break off at endpoints that live, and ends that were planned, hold no
// request back.
func TestOnlyEndsHoldRequestsBack(t *testing.T) {
	s := newSite(t, spec(), true, breaks)
	for i := range 6 {
		if got := s.ask("POST", "/once/x", "body"); got.status != http.StatusBadGateway {
			t.Errorf("try %d at an endpoint that breaks off: got %d, want %d", i, got.status, http.StatusBadGateway)
		}
		// The router leaves an endpoint out for a while that fails three times in a row.
		s.router.Done(route.Choice{Endpoint: s.endpoint("e0")}, route.Result{}, time.Now())
		time.Sleep(endSeen)
	}
	leaving := newSite(t, spec(), true)
	for i := range 4 {
		id := "e" + strconv.Itoa(i)
		leaving.addLeaving(id)
		if got := leaving.ask("POST", "/once/x", crashingBody); got.status != http.StatusBadGateway {
			t.Errorf("try %d at an endpoint that leaves: got %d, want %d", i, got.status, http.StatusBadGateway)
		}
		time.Sleep(endSeen)
	}
}

// A caller that leaves in the middle of an answer, long or streamed, is no break of the
// endpoint: it is not looked at.
func TestCallersWhoLeaveAreNoBreaks(t *testing.T) {
	const size = 8 << 20
	long := text("HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("x", size), true)
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
		s := newSite(t, spec(), true, answer)
		for range 5 {
			s.askAndLeave(path)
		}
		time.Sleep(3 * endSeen)
		if got := s.watch.SuspectedEndpoints(time.Now()); len(got) != 0 {
			t.Errorf("%s: endpoints suspected: got %v, want none", path, got)
		}
	}
}
