package forward_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendToMalformed sends a request to two endpoints that answer with the same bytes and checks that the caller gets a failure of
// this system's own.
func sendToMalformed(t *testing.T, path, answer string) {
	t.Helper()
	t.Run(path+" "+answer, func(t *testing.T) {
		s := newHarness(t, spec(), true, respond(answer, false), respond(answer, false))
		got := s.send("POST", path, "body")
		if got.err != nil || got.status != http.StatusBadGateway || got.header.Get("Signed") != "" || !strings.Contains(got.body, "unknown") {
			t.Errorf("got status %d, body %q, error %v, want 502 of the host", got.status, got.body, got.err)
		}
		if line := s.waitForLogLine(); !strings.Contains(line, `"outcome":`) {
			t.Errorf("got the line %s, want that of the request", line)
		}
	})
}

// Guards against callers whose connection closes without a response, as the status of the endpoint's cannot be forwarded.
func TestResponseWithoutAValidStatusIsNoResponse(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 Zero", "HTTP/1.1 001 One", "HTTP/1.1 042 Low", "HTTP/1.1 099 Low", "HTTP/1.1 +20 Sign", "HTTP/1.1 -01 Sign", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK"} {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resume/x"} {
			rest := "\r\nId: %id\r\nSigned: yes\r\nContent-Length: 4\r\n\r\nbody"
			sendToMalformed(t, path, line+rest)
			sendToMalformed(t, path, "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"+line+rest)
			sendToMalformed(t, path, line+"\r\nA: b\r\n\r\nHTTP/1.1 200 OK"+rest)
		}
	}
}

// Guards against a body that is framed as if a line of the head were not there, and against lines that are left out.
func TestResponseWithAMalformedNameIsNoResponse(t *testing.T) {
	const signed, body = "Id: %id\r\nSigned: yes\r\n", "4\r\nbody\r\n0\r\n\r\n"
	for _, line := range []string{
		"Content-Length : 3", "Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked", "A B: c", "Content Length: 3", ": c",
		"A\x01: b", "A\x00B: c", "A\x7f: b", "A(): b", "\x80: b", "A", "A\r: b",
	} {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resume/x"} {
			for _, head := range []string{
				"HTTP/1.1 200 OK\r\n" + signed + line + "\r\n\r\n",
				"HTTP/1.1 200 OK\r\n" + signed + line + "\r\nContent-Length: 4\r\n\r\n",
				"HTTP/1.1 103 Early Hints\r\nA: b\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + signed + "Content-Length: 4\r\n\r\n",
			} {
				sendToMalformed(t, path, head+body)
			}
		}
	}
	sendToMalformed(t, "/once/x", "HTTP/1.0 200 OK\r\n"+signed+"Transfer-Encoding: chunked\r\n\r\n"+body)
	sendToMalformed(t, "/once/x", "HTTP/1.1 200 OK\r\n"+signed+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA B: c\r\n\r\n")
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n" + signed + "A:\r\n b\r\nC:d\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\n" + strings.ReplaceAll(signed, "\r", "") + "Content-Length: 4\n\nbody",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nC: d\r\n\r\n",
	} {
		s := newHarness(t, spec(), true, respond(head, false))
		if got := s.send("POST", "/once/x", "body"); got.status != http.StatusOK || got.body != "body" || got.err != nil {
			t.Errorf("%q: got status %d, body %q, error %v, want 200", head, got.status, got.body, got.err)
		}
	}
}

// Guards against a fault of this program that closes a caller's connection without a response, and leaves no line of the
// request.
func TestPanicEndsItsRequestOnly(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resume/x"} {
		s := newHarness(t, spec(), true, respond("HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nPanic: yes\r\nContent-Length: 4\r\n\r\nbody", false))
		got := s.send("POST", path, "body")
		if got.err != nil || got.status != http.StatusInternalServerError || !strings.Contains(got.body, "internal") || got.header.Get("Signed") != "" {
			t.Errorf("%s: got status %d, body %q, error %v, want 500 of the host", path, got.status, got.body, got.err)
		}
		line := s.waitForLogLine()
		for until := time.Now().Add(time.Second); !strings.Contains(line, `"outcome":"internal"`); line = s.waitForLogLine() {
			if time.Now().After(until) {
				t.Fatalf("%s: got the line %s, want that of the request", path, line)
			}
			time.Sleep(time.Millisecond)
		}
	}
}
