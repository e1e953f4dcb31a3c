package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ironhollow/pkg/upstream"
)

// endpoint is a listener whose connections are handled by a script.
type endpoint struct {
	address string
	// requests counts requests whose head was read.
	requests chan string
}

// serve starts an endpoint; script answers one request and reports whether the
// connection stays open.
func serve(t *testing.T, script func(c net.Conn, r *http.Request) bool) *endpoint {
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
			go e.connection(c, script)
		}
	}()
	return e
}

func (e *endpoint) connection(c net.Conn, script func(net.Conn, *http.Request) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		e.requests <- r.RequestURI
		if !script(c, r) {
			return
		}
	}
}

func reply(text string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, text)
		return true
	}
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

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

func TestKeptConnectionsAreUsedAgain(t *testing.T) {
	e := serve(t, reply(wholeAnswer))
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
		t.Errorf("target: got %q, want %q as sent", got, want)
	}
}

func TestDeadPortIsNotSent(t *testing.T) {
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

// An endpoint reads the request and closes without an answer, on a new
// connection and on a kept one: it may have run, and it is not sent again.
func TestCloseAfterReadingIsUnclear(t *testing.T) {
	first := true
	e := serve(t, func(c net.Conn, _ *http.Request) bool {
		if first {
			first = false
			_, _ = io.WriteString(c, wholeAnswer)
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
			t.Errorf("outcome: got %T, want Unclear", outcome)
		}
	}
	if got, want := len(e.requests), 3; got != want {
		t.Errorf("requests seen by the endpoint: got %d, want %d, one each", got, want)
	}
}

// Bytes that come unasked on a kept connection belong to no request.
func TestSurplusAnswerSpoilsTheConnection(t *testing.T) {
	e := serve(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, wholeAnswer)
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

func TestBodiesThatBreakOff(t *testing.T) {
	cases := []struct {
		name, answer string
		whole        bool
	}{
		{"length not reached", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		{"chunk not finished", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", false},
		{"last chunk missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		{"no length, closed in order", "HTTP/1.1 200 OK\r\n\r\nok", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := serve(t, func(conn net.Conn, r *http.Request) bool {
				reply(c.answer)(conn, r)
				return false
			})
			body, err := readAll(t, send(t, upstream.New(time.Second), e.address))
			if (err == nil) != c.whole {
				t.Errorf("error: got %v, want whole %v", err, c.whole)
			}
			if body != "ok" {
				t.Errorf("body: got %q, want ok", body)
			}
		})
	}
}

// A body without length that ends in a reset is not whole.
func TestResetEndsNoAnswer(t *testing.T) {
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

// The caller leaves: the endpoint sees its connection closed at once.
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
	unclear, ok := outcome.(upstream.MaybeSent)
	if !ok || !errors.Is(unclear.Err, context.Canceled) {
		t.Errorf("outcome: got %T %v, want Unclear for the cancelled context", outcome, unclear.Err)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the endpoint still waits 2 s after the caller left")
	}
}

func TestLimitOfConnections(t *testing.T) {
	release := make(chan bool)
	e := serve(t, func(c net.Conn, _ *http.Request) bool {
		<-release
		_, _ = io.WriteString(c, wholeAnswer)
		return true
	})
	p := upstream.New(time.Second)
	done := make(chan upstream.Outcome)
	request := upstream.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}
	go func() { done <- p.Send(context.Background(), e.address, 1, request) }()
	<-e.requests
	outcome, ok := p.Send(context.Background(), e.address, 1, request).(upstream.NotSent)
	if !ok || !errors.Is(outcome.Err, upstream.ErrConnectionLimit) {
		t.Errorf("second send: got %v, want ErrNoConnection", outcome.Err)
	}
	close(release)
	if _, err := readAll(t, <-done); err != nil {
		t.Errorf("first send: got %v, want whole", err)
	}
}

// Connections close as soon as the endpoint's time for idle ones is over.
func TestKeepAliveTimeIsHeeded(t *testing.T) {
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

func TestConnectionCloseIsHeeded(t *testing.T) {
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

// An endpoint answers before it has read a long body and closes.
func TestEarlyAnswerToALongBody(t *testing.T) {
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
		// The reset overtook the answer: it may have run, which is the truth known.
	default:
		t.Errorf("outcome: got %T, want Answered or Unclear", outcome)
	}
}

// A look tells an endpoint that has ended from one that broke a connection off, and opens
// a connection only where none is kept; that one is used by the next request.
func TestLook(t *testing.T) {
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
	look := func(limit int) upstream.ProbeResult { return pool.Probe(t.Context(), address, limit) }
	if got := look(0); got != upstream.Accepting {
		t.Errorf("endpoint that is there: got %v, want accepting", got)
	}
	if got := look(0); got != upstream.Accepting || pool.Dials() != 1 || !pool.HasIdle(address, 0) {
		t.Errorf("second look: got %v and %d connections opened, want accepting and the one of before", got, pool.Dials())
	}
	if got := pool.Probe(t.Context(), "127.0.0.1:1", 0); got != upstream.Refusing {
		t.Errorf("port that nobody listens at: got %v, want refusing", got)
	}
	conn := <-accepted
	_ = listener.Close()
	_ = conn.Close()
	time.Sleep(10 * time.Millisecond)
	if got := look(1); got != upstream.Refusing {
		t.Errorf("endpoint that has ended, with as many kept connections as are allowed: got %v, want refusing", got)
	}
	busy := serve(t, func(net.Conn, *http.Request) bool { select {} })
	go pool.Send(t.Context(), busy.address, 1, upstream.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	<-busy.requests
	if got := pool.Probe(t.Context(), busy.address, 1); got != upstream.Indeterminate {
		t.Errorf("all connections that are allowed in use: got %v, want unsure", got)
	}
}
