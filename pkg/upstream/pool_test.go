package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ironhollow/pkg/upstream"
)

// endpoint is a server that handles each request with a handler function.
type endpoint struct {
	address string
	// requests receives the target of each request that was read.
	requests chan string
}

// serve starts an endpoint. handle responds to one request and reports whether the connection
// stays open.
func serve(t *testing.T, handle func(c net.Conn, r *http.Request) bool) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &endpoint{address: listener.Addr().String(), requests: make(chan string, 100)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serveConn(c, handle)
		}
	}()
	return e
}

func (e *endpoint) serveConn(c net.Conn, handle func(net.Conn, *http.Request) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		e.requests <- r.RequestURI
		if !handle(c, r) {
			return
		}
	}
}

// reply returns a handler that sends a fixed response.
func reply(text string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, text)
		return true
	}
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func send(t *testing.T, p *upstream.Pool, address string) upstream.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return p.Send(ctx, address, 0, upstream.Request{
		Method: http.MethodPost, Target: "/a%2Fb/?q=%41", Host: "h.example", Header: http.Header{}, Body: []byte("body"), HasBody: true,
	})
}

func readAll(t *testing.T, outcome upstream.Outcome) (string, error) {
	t.Helper()
	answered, ok := outcome.(upstream.Answered)
	if !ok {
		t.Fatalf("outcome: got %T %+v, want Answered", outcome, outcome)
	}
	defer answered.Exchange.Close()
	body, err := io.ReadAll(answered.Exchange)
	return string(body), err
}

func TestConnectionsAreReused(t *testing.T) {
	e := serve(t, reply(completeResponse))
	p := upstream.New(time.Second)
	for range 3 {
		if body, err := readAll(t, send(t, p, e.address)); body != "ok" || err != nil {
			t.Fatalf("body: got %q, %v, want ok", body, err)
		}
	}
	if got, want := p.Dials(), int64(1); got != want {
		t.Errorf("connections opened: got %d, want %d", got, want)
	}
	if got, want := <-e.requests, "/a%2Fb/?q=%41"; got != want {
		t.Errorf("target: got %q, want %q unchanged", got, want)
	}
}

func TestClosedPortIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if outcome, ok := send(t, upstream.New(time.Second), address).(upstream.NotSent); !ok {
		t.Errorf("outcome: got %T, want NotSent", outcome)
	}
}

// An endpoint that reads a request and closes the connection without a response may have run the
// request. The request must not be sent again, both on a new connection and on a reused one.
func TestCloseAfterReadingIsMaybeSent(t *testing.T) {
	first := true
	e := serve(t, func(c net.Conn, _ *http.Request) bool {
		if first {
			first = false
			_, _ = io.WriteString(c, completeResponse)
			return true
		}
		return false
	})
	p := upstream.New(time.Second)
	if _, err := readAll(t, send(t, p, e.address)); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if outcome, ok := send(t, p, e.address).(upstream.MaybeSent); !ok {
			t.Errorf("outcome: got %T, want MaybeSent", outcome)
		}
	}
	if got, want := len(e.requests), 3; got != want {
		t.Errorf("requests received by the endpoint: got %d, want %d, one for each send", got, want)
	}
}

// Unsolicited bytes on an idle connection must not be read as the response to the next request.
func TestUnsolicitedResponsePreventsReuse(t *testing.T) {
	e := serve(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, completeResponse)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		return true
	})
	p := upstream.New(time.Second)
	for range 3 {
		if body, err := readAll(t, send(t, p, e.address)); body != "ok" || err != nil {
			t.Errorf("body: got %q, %v, want ok", body, err)
		}
		time.Sleep(60 * time.Millisecond)
	}
}

func TestTruncatedBodies(t *testing.T) {
	cases := []struct {
		name, response string
		complete       bool
	}{
		{"length not reached", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		{"chunk not finished", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", false},
		{"last chunk missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		{"no length, closed without reset", "HTTP/1.1 200 OK\r\n\r\nok", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := serve(t, func(conn net.Conn, r *http.Request) bool {
				reply(c.response)(conn, r)
				return false
			})
			body, err := readAll(t, send(t, upstream.New(time.Second), e.address))
			if (err == nil) != c.complete {
				t.Errorf("error: got %v, want complete %v", err, c.complete)
			}
			if body != "ok" {
				t.Errorf("body: got %q, want ok", body)
			}
		})
	}
}

// A body without length that ends with a reset is incomplete.
func TestResetBodyIsIncomplete(t *testing.T) {
	e := serve(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	if _, err := readAll(t, send(t, upstream.New(time.Second), e.address)); err == nil {
		t.Error("error: got none, want a reset")
	}
}

// When the context is cancelled the connection to the endpoint is closed immediately.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan time.Time, 1)
	e := serve(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.ReadAll(c)
		closed <- time.Now()
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-e.requests
		cancel()
	}()
	outcome := upstream.New(time.Second).Send(ctx, e.address, 0, upstream.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	maybeSent, ok := outcome.(upstream.MaybeSent)
	if !ok || !errors.Is(maybeSent.Err, context.Canceled) {
		t.Errorf("outcome: got %T %v, want MaybeSent with context.Canceled", outcome, maybeSent.Err)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open 2 s after the cancellation")
	}
}

func TestConnectionLimit(t *testing.T) {
	release := make(chan bool)
	e := serve(t, func(c net.Conn, _ *http.Request) bool {
		<-release
		_, _ = io.WriteString(c, completeResponse)
		return true
	})
	p := upstream.New(time.Second)
	done := make(chan upstream.Outcome)
	request := upstream.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}
	go func() { done <- p.Send(context.Background(), e.address, 1, request) }()
	<-e.requests
	outcome, ok := p.Send(context.Background(), e.address, 1, request).(upstream.NotSent)
	if !ok || !errors.Is(outcome.Err, upstream.ErrConnectionLimit) {
		t.Errorf("second send: got %v, want ErrConnectionLimit", outcome.Err)
	}
	close(release)
	if _, err := readAll(t, <-done); err != nil {
		t.Errorf("first send: got %v, want a complete response", err)
	}
}

// A connection must not be reused after the endpoint's Keep-Alive time-out.
func TestKeepAliveTimeoutIsRespected(t *testing.T) {
	e := serve(t, reply("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"))
	p := upstream.New(time.Second)
	for range 2 {
		if _, err := readAll(t, send(t, p, e.address)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if got, want := p.Dials(), int64(2); got != want {
		t.Errorf("connections opened: got %d, want %d", got, want)
	}
}

func TestConnectionCloseIsRespected(t *testing.T) {
	e := serve(t, reply("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"))
	p := upstream.New(time.Second)
	for range 2 {
		if _, err := readAll(t, send(t, p, e.address)); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := p.Dials(), int64(2); got != want {
		t.Errorf("connections opened: got %d, want %d", got, want)
	}
}

// Guards against endpoints that are blamed for callers that leave: an early response is whole, though its connection is not reused.
func TestEarlyResponseIsNotBroken(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		}
	}()
	pool := upstream.New(time.Second)
	for want := int64(1); want <= 2; want++ {
		outcome := pool.Send(context.Background(), listener.Addr().String(), 0, upstream.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
		o, ok := outcome.(upstream.Answered)
		if !ok {
			t.Fatalf("outcome: got %T, want Answered", outcome)
		}
		o.Exchange.DisableReuse()
		if body, err := io.ReadAll(o.Exchange); string(body) != "body" || err != nil || o.Exchange.IsBroken() {
			t.Errorf("response: got %q, %v, broken %v, want the whole body", body, err, o.Exchange.IsBroken())
		}
		o.Exchange.Close()
		if got := pool.Dials(); got != want {
			t.Errorf("connections: got %d, want %d", got, want)
		}
	}
}

// An endpoint may respond and close the connection before it has read a long body.
func TestEarlyResponseToLongBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(300 * time.Millisecond)
		_ = c.Close()
	}()
	outcome := upstream.New(time.Second).Send(context.Background(), listener.Addr().String(), 0, upstream.Request{
		Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", 16<<20)), HasBody: true,
	})
	switch o := outcome.(type) {
	case upstream.Answered:
		if got, want := o.Exchange.Status(), http.StatusServiceUnavailable; got != want {
			t.Errorf("status: got %d, want %d", got, want)
		}
		o.Exchange.Close()
	case upstream.MaybeSent:
		// The reset arrived before the response. The endpoint may have run the request.
	default:
		t.Errorf("outcome: got %T, want Answered or MaybeSent", outcome)
	}
}

// A probe distinguishes an endpoint that has exited from one that only closed a connection. It
// opens a connection only if none is idle, and the next request can use that one.
func TestProbe(t *testing.T) {
	pool := upstream.New(time.Second)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	address := listener.Addr().String()
	probe := func(limit int) upstream.ProbeResult { return pool.Probe(t.Context(), address, limit) }
	if got := probe(0); got != upstream.Accepting {
		t.Errorf("running endpoint: got %v, want Accepting", got)
	}
	if got := probe(0); got != upstream.Accepting || pool.Dials() != 1 || !pool.HasIdle(address, 0) {
		t.Errorf("second probe: got %v and %d opened connections, want Accepting and 1 that is idle", got, pool.Dials())
	}
	if got := pool.Probe(t.Context(), "127.0.0.1:1", 0); got != upstream.Refusing {
		t.Errorf("port without listener: got %v, want Refusing", got)
	}
	conn := <-accepted
	_ = listener.Close()
	_ = conn.Close()
	time.Sleep(10 * time.Millisecond)
	if got := probe(1); got != upstream.Refusing {
		t.Errorf("exited endpoint with idle connections up to the limit: got %v, want Refusing", got)
	}
	busy := serve(t, func(net.Conn, *http.Request) bool { select {} })
	go pool.Send(t.Context(), busy.address, 1, upstream.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	<-busy.requests
	if got := pool.Probe(t.Context(), busy.address, 1); got != upstream.Indeterminate {
		t.Errorf("all allowed connections in use: got %v, want Indeterminate", got)
	}
}

// recorder is an observer that counts what it receives.
type recorder struct {
	mu     sync.Mutex
	events map[string]int
}

func (r *recorder) count(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.events == nil {
		r.events = map[string]int{}
	}
	r.events[event]++
}

func (r *recorder) Started(string) int64 { r.count("started"); return 7 }

func (r *recorder) Ended(wait int64) {
	if wait == 7 {
		r.count("ended")
	}
}

func (r *recorder) Received()     { r.count("received") }
func (r *recorder) Failed(string) { r.count("failed") }

// Guards against requests whose caller has left that count as failures of the network.
func TestObserverReceivesOutcomes(t *testing.T) {
	answering := serve(t, reply(completeResponse)).address
	resetting := serve(t, func(net.Conn, *http.Request) bool { return false }).address
	silent := serve(t, func(net.Conn, *http.Request) bool { time.Sleep(time.Second); return false }).address
	for _, c := range []struct {
		name, address string
		want          map[string]int
	}{
		{"answered", answering, map[string]int{"started": 1, "ended": 1, "received": 1}},
		{"closed without an answer", resetting, map[string]int{"started": 1, "ended": 1, "failed": 1}},
		{"refused", "127.0.0.1:1", map[string]int{"started": 1, "ended": 1, "failed": 1}},
		{"out of time", silent, map[string]int{"started": 1, "ended": 1}},
	} {
		r := &recorder{}
		p := upstream.New(time.Second)
		p.Observe(r)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		outcome := p.Send(ctx, c.address, 0, upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		if answered, ok := outcome.(upstream.Answered); ok {
			_, _ = io.ReadAll(answered.Exchange)
			answered.Exchange.Close()
		}
		cancel()
		if !maps.Equal(r.events, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, r.events, c.want)
		}
	}
}

// Guards against a response to an earlier attempt that is read as the response to the next one.
func TestConnectionOfEarlierAttemptIsNotUsed(t *testing.T) {
	e := serve(t, func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	pool := upstream.New(time.Second)
	const limit = 1
	send := func(avoid ...upstream.ConnectionID) (id upstream.ConnectionID, requests int) {
		t.Helper()
		answer, ok := pool.Send(context.Background(), e.address, limit, upstream.Request{Method: http.MethodGet, Target: "/", Avoid: avoid}).(upstream.Answered)
		if !ok {
			t.Fatal("got no response")
		}
		_, _ = io.Copy(io.Discard, answer.Exchange)
		answer.Exchange.Close()
		return answer.Exchange.Connection()
	}
	first, _ := send()
	second, requests := send(first)
	if second == first || requests != 1 {
		t.Errorf("got connection %d with %d requests for the second attempt, want another one than %d", second, requests, first)
	}
	if other, requests := send(first); other != second || requests != 2 {
		t.Errorf("got connection %d with %d requests for another request, want the idle one, %d", other, requests, second)
	}
}

// Guards against requests that begin to run after their callers have left.
func TestRequestOfAnEndedContextIsNotSent(t *testing.T) {
	e := serve(t, func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	p := upstream.New(time.Second)
	request := upstream.Request{Method: "POST", Target: "/", Host: "host", Body: []byte("body")}
	warm, ok := p.Send(t.Context(), e.address, 0, request).(upstream.Answered)
	if !ok {
		t.Fatal("got no answer, want one")
	}
	_, _ = io.Copy(io.Discard, warm.Exchange)
	warm.Exchange.Close()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		if o := p.Send(ended, e.address, 0, request); !isNotSent(o) {
			t.Errorf("got %T, want NotSent", o)
		}
	}
	time.Sleep(50 * time.Millisecond)
	if got := len(e.requests); got != 1 {
		t.Errorf("got %d requests, want that of the live context alone", got)
	}
}

func isNotSent(o upstream.Outcome) bool {
	_, ok := o.(upstream.NotSent)
	return ok
}
