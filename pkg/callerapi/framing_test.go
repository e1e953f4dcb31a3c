package callerapi_test

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/httpx"
)

// script answers a request on a connection, which is then closed.
type script func(c net.Conn, r *http.Request)

// respond returns a script that writes an answer.
func respond(answer string) script {
	return func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, answer) }
}

// respondAndReset returns a script that writes an answer and resets the connection.
func respondAndReset(answer string) script {
	return func(c net.Conn, r *http.Request) {
		respond(answer)(c, r)
		// The bytes must be read before the reset.
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// serveScript serves each connection of a new listener with the script.
func serveScript(t *testing.T, answer script) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				body, _ := io.ReadAll(r.Body)
				r.Body = io.NopCloser(bytes.NewReader(body))
				answer(c, r)
			}()
		}
	}()
	return listener
}

// newScriptedSite returns a site whose plain service has one endpoint that runs the script.
func newScriptedSite(t *testing.T, answer script) *site {
	t.Helper()
	s := newSite(t)
	s.infos = append(s.infos, endpoint.Info{
		ID: "scripted", Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "ledger", Address: serveScript(t, answer).Addr().String(),
	})
	return s
}

// rawResponse is a response as a caller receives it. framing is "length", "chunks" or "close"; err is
// nil if the response is complete by its framing.
type rawResponse struct {
	status  int
	header  http.Header
	framing string
	body    string
	err     error
	// asksToClose is set if the response asks the caller to close the connection.
	asksToClose bool
}

// open sends a request with the given protocol version, header lines and body, and returns the response
// without its body.
func (e *entry) open(t *testing.T, method, path, version, headers, body string) (*http.Response, error) {
	t.Helper()
	c, err := net.Dial("tcp", e.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(c, "%s %s %s\r\nHost: h\r\nAuthorization: Bearer secret\r\n%sContent-Length: %d\r\n\r\n%s", method, path, version, headers, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	return http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
}

// sendRaw sends a request and returns the whole response.
func (e *entry) sendRaw(t *testing.T, method, path, version, headers, body string) rawResponse {
	t.Helper()
	response, err := e.open(t, method, path, version, headers, body)
	if err != nil {
		return rawResponse{err: err}
	}
	got := rawResponse{status: response.StatusCode, header: response.Header, framing: "close", asksToClose: response.Close}
	if response.ContentLength >= 0 {
		got.framing = "length"
	}
	if len(response.TransferEncoding) > 0 {
		got.framing = "chunks"
	}
	data, err := io.ReadAll(response.Body)
	got.body, got.err = string(data), err
	return got
}

const (
	plainHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	chunkHead = plainHead + "Transfer-Encoding: chunked\r\n\r\n"
	lastChunk = "0\r\n\r\n"
	repeated  = "/v1/services/ledger/notes"
	once      = "/v1/services/ledger/confirmations"
)

func chunk(data string) string {
	return strconv.FormatInt(int64(len(data)), 16) + "\r\n" + data + "\r\n"
}

// plainRequests are the kinds of requests to plain services.
var plainRequests = []struct{ name, path, headers string }{
	{"repeatable", repeated, ""}, {"at most once", once, ""}, {"with a key", once, "Idempotency-Key: k\r\n"},
}

// callers are the kinds of callers.
var callers = []struct{ version, headers string }{
	{"HTTP/1.1", ""}, {"HTTP/1.1", "Connection: close\r\n"}, {"HTTP/1.0", ""}, {"HTTP/1.0", "Connection: keep-alive\r\n"},
}

// Guards against an end that the endpoint did not mark and that reaches callers as a length or a last chunk.
func TestUnmarkedEndIsNotFramedAsComplete(t *testing.T) {
	long := strings.Repeat("x", 4000)
	for name, c := range map[string]struct{ answer, wantBody string }{
		"short":             {plainHead + "\r\nanswer", "answer"},
		"long":              {plainHead + "\r\n" + long, long},
		"empty":             {plainHead + "\r\n", ""},
		"failure":           {"HTTP/1.1 500 Internal Server Error\r\n\r\nbad", "bad"},
		"HTTP/1.0 endpoint": {"HTTP/1.0 200 OK\r\n\r\nanswer", "answer"},
	} {
		for _, request := range plainRequests {
			for _, caller := range callers {
				t.Run(name+", "+request.name+", "+caller.version+" "+strings.TrimSpace(caller.headers), func(t *testing.T) {
					e := newScriptedSite(t, respond(c.answer)).newEntry(t, "n1")
					got := e.sendRaw(t, http.MethodPost, request.path, caller.version, caller.headers+request.headers, "")
					if got.err != nil || got.framing != "close" || got.body != c.wantBody {
						t.Errorf("got %d bytes %.60q by %s, error %v, want %d bytes %.60q by close", len(got.body), got.body, got.framing, got.err, len(c.wantBody), c.wantBody)
					}
					if outcome := got.header.Get("Ironhollow-Outcome"); outcome != "unknown" {
						t.Errorf("outcome: got %q, want unknown", outcome)
					}
				})
			}
		}
	}
}

// Guards against a response with an unmarked end that another entry replays to a repeated call as complete.
func TestReplayedResponseKeepsUnmarkedEnd(t *testing.T) {
	for _, caller := range callers {
		s := newScriptedSite(t, respond(plainHead+"\r\nanswer"))
		for i, e := range []*entry{s.newEntry(t, "n1"), s.newEntry(t, "n2")} {
			got := e.sendRaw(t, http.MethodPost, once, caller.version, caller.headers+"Idempotency-Key: k\r\n", "")
			if got.err != nil || got.framing != "close" || got.body != "answer" || got.header.Get("Ironhollow-Outcome") != "unknown" {
				t.Errorf("call %d: got %+v, want the answer by close with the outcome unknown", i, got)
			}
			if replayed := got.header.Get("Idempotent-Replayed") == "true"; replayed != (i > 0) {
				t.Errorf("call %d: got replayed %v, want %v", i, replayed, i > 0)
			}
		}
	}
}

// Guards against a break that reaches callers as an end, and against whole responses that do not.
func TestMarkedEndsAndBreaksReachCallers(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for name, c := range map[string]struct {
		answer script
		// wantFraming is empty for a response that breaks off.
		wantFraming, wantBody string
	}{
		"reset":                      {respondAndReset(plainHead + "\r\n" + long), "", long},
		"reset by length":            {respondAndReset(plainHead + "Content-Length: 200000\r\n\r\n" + long), "", long},
		"closed before its length":   {respond(plainHead + "Content-Length: 200000\r\n\r\n" + long), "", long},
		"chunks without a last one":  {respond(chunkHead + chunk(long)), "", long},
		"closed in a chunk":          {respond(chunkHead + "ffffff\r\n" + long), "", long},
		"whole chunks":               {respond(chunkHead + chunk(long) + lastChunk), "chunks", long},
		"whole length":               {respond(plainHead + "Content-Length: 6\r\n\r\nanswer"), "length", "answer"},
		"no body by status":          {respond("HTTP/1.1 304 Not Modified\r\n\r\n"), "length", ""},
		"no body by status, no head": {respond("HTTP/1.1 204 No Content\r\n\r\n"), "length", ""},
	} {
		for _, caller := range callers {
			t.Run(name+", "+caller.version+" "+strings.TrimSpace(caller.headers), func(t *testing.T) {
				e := newScriptedSite(t, c.answer).newEntry(t, "n1")
				got := e.sendRaw(t, http.MethodPost, repeated, caller.version, caller.headers, "")
				wantFraming := c.wantFraming
				if wantFraming == "chunks" && caller.version == "HTTP/1.0" {
					wantFraming = "close"
				}
				switch {
				case wantFraming == "" && got.err == nil:
					t.Errorf("got a complete response by %s with %d bytes, want one that breaks off", got.framing, len(got.body))
				case wantFraming == "" && !strings.HasPrefix(c.wantBody, got.body):
					t.Errorf("body: got %.60q, want no more than %.60q", got.body, c.wantBody)
				case wantFraming != "" && (got.err != nil || got.framing != wantFraming || got.body != c.wantBody):
					t.Errorf("got %d bytes by %s, error %v, want %d by %s", len(got.body), got.framing, got.err, len(c.wantBody), wantFraming)
				}
			})
		}
	}
}

// Guards against long responses of the entry's own that reach HTTP/1.0 callers without a length, and then end like truncated ones.
func TestOwnResponsesHaveLengthOrChunks(t *testing.T) {
	long := strings.Repeat("x", 4000)
	chat := `{"model":"talk","max_tokens":300,"messages":[{"role":"user","content":"hello"}]`
	for name, c := range map[string]struct{ method, path, headers, body, wantFraming string }{
		"completion":    {http.MethodPost, "/v1/chat/completions", "", chat + "}", "length"},
		"stream":        {http.MethodPost, "/v1/chat/completions", "", chat + `,"stream":true}`, "chunks"},
		"claimed call":  {http.MethodPost, once, "Idempotency-Key: k\r\n", "", "length"},
		"unknown path":  {http.MethodGet, "/v2", "", "", "length"},
		"list of hosts": {http.MethodGet, "/v1/entries", "", "", "length"},
	} {
		for _, caller := range callers {
			e := newScriptedSite(t, respond(chunkHead+chunk(long)+lastChunk)).newEntry(t, "n1")
			got := e.sendRaw(t, c.method, c.path, caller.version, caller.headers+c.headers, c.body)
			wantFraming := c.wantFraming
			if wantFraming == "chunks" && caller.version == "HTTP/1.0" {
				wantFraming = "close"
			}
			if got.err != nil || got.framing != wantFraming || got.body == "" {
				t.Errorf("%s, %s %s: got status %d, %d bytes by %s, error %v, want %s", name, caller.version, strings.TrimSpace(caller.headers), got.status, len(got.body), got.framing, got.err, wantFraming)
			}
		}
	}
}

// Guards against a stream that ends like a complete one for an HTTP/1.0 caller when the process ends in the middle.
func TestStreamToHTTP10CallerIsResetIfTheProcessEnds(t *testing.T) {
	e := newSite(t).newEntry(t, "n1")
	body := `{"model":"talk","max_tokens":500,"messages":[{"role":"user","content":"hello"}],"stream":true}`
	response, err := e.open(t, http.MethodPost, "/v1/chat/completions", "HTTP/1.0", "", body)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = io.ReadFull(response.Body, make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	e.server.CloseClientConnections()
	if rest, err := io.ReadAll(response.Body); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after the process has ended: got %d bytes and error %v, want a reset", len(rest), err)
	}
}

// Guards against a break after which TLS reports to the caller that the data is complete.
func TestBreakIsNoCleanEndOfTLS(t *testing.T) {
	const body = "the first part"
	for name, answer := range map[string]script{
		"unmarked, reset": respondAndReset(plainHead + "\r\n" + body),
		"unmarked, whole": respond(plainHead + "\r\n" + body),
	} {
		e := newScriptedSite(t, answer).newEntry(t, "n1")
		e.api.Limits.ResponseBytes = 1 << 20
		server := httptest.NewUnstartedServer(flushing{e.api})
		server.Config.ConnContext = httpx.WithCallerConn
		server.StartTLS()
		t.Cleanup(server.Close)
		c, err := tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n\r\n", repeated)
		// The end of the response arrives before the caller reads it.
		time.Sleep(200 * time.Millisecond)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got, err := io.ReadAll(response.Body)
		if isWhole := name == "unmarked, whole"; string(got) != body || isWhole != (err == nil) {
			t.Errorf("%s: got %q and error %v, want an error unless whole", name, got, err)
		}
	}
}

// flushing sends each part of a response at once.
type flushing struct{ http.Handler }

func (f flushing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.Handler.ServeHTTP(flushingWriter{w}, r)
}

type flushingWriter struct{ http.ResponseWriter }

func (w flushingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w flushingWriter) Write(data []byte) (int, error) {
	n, err := w.ResponseWriter.Write(data)
	return n, errors.Join(err, http.NewResponseController(w.ResponseWriter).Flush())
}

// Guards against a process that ends in the middle of a response and whose connection then ends like a complete one.
func TestUnmarkedResponseIsResetIfTheProcessEnds(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	long := strings.Repeat("x", 100<<10)
	e := newScriptedSite(t, func(c net.Conn, r *http.Request) {
		respond(plainHead+"\r\n"+long)(c, r)
		<-release
	}).newEntry(t, "n1")
	response, err := e.open(t, http.MethodPost, repeated, "HTTP/1.1", "", "")
	if err != nil {
		t.Fatal(err)
	}
	if _, err = io.ReadFull(response.Body, make([]byte, len(long)/2)); err != nil {
		t.Fatal(err)
	}
	// The kernel closes the connections of a process that ends in the same way.
	e.server.CloseClientConnections()
	if _, err = io.ReadAll(response.Body); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after the process has ended: got error %v, want a reset", err)
	}
}
