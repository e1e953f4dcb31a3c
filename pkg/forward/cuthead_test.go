package forward_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// cutHeads are responses of which each incomplete head, and each incomplete end, must not become a success.
func cutHeads() map[string]string {
	const head = "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\n"
	return map[string]string{
		"length":        head + "Content-Length: 4\r\n\r\ntext",
		"empty":         head + "Content-Length: 0\r\n\r\n",
		"chunks":        head + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
		"trailers":      head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n4\r\ntext\r\n0\r\nSum: 1\r\n\r\n",
		"folded":        head + "Note: a\r\n b\r\nContent-Length: 4\r\n\r\ntext",
		"bare ends":     strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 4\n\ntext",
		"early hints":   "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + head + "Content-Length: 4\r\n\r\ntext",
		"stream":        head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(firstEvent) + "0\r\n\r\n",
		"length at end": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nSigned: yes\r\nId: %id\r\n\r\ntext",
	}
}

// cutAt returns a script that sends the beginning of a response and then closes or resets the connection.
func cutAt(response string, length int, resets bool) script {
	return func(c net.Conn, r *http.Request) bool {
		text := strings.ReplaceAll(response, "%id", r.Header.Get("Id"))
		_, _ = io.WriteString(c, text[:min(length, len(text))])
		if resets {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// isComplete reports whether a caller takes a response for a whole success.
func (r callerResponse) isComplete() bool { return r.err == nil && r.status/100 == 2 }

// Guards against a success that callers get after an endpoint has closed its connection inside the head of its response, or before its marked end.
func TestResponseCutInItsHeadIsNoSuccess(t *testing.T) {
	const idGrowth = len("request-1") - len("%id")
	for name, response := range cutHeads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cuts := 0
			for length := range len(response) + idGrowth {
				for _, resets := range []bool{false, true} {
					answer := cutAt(response, length, resets)
					direct := newHarness(t, attemptsSpec(1), true, answer)
					cut, _ := newCutHosts(t, attemptsSpec(1), nil, []script{answer})
					for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
						for way, host := range map[string]*harness{"direct": direct, "through another host": cut} {
							cuts++
							if got := host.send("POST", path, "body"); got.isComplete() {
								t.Errorf("%s, %s, after %d bytes, reset %v: got status %d and %q as complete", path, way, length, resets, got.status, got.body)
							}
						}
					}
					direct.server.Close()
					cut.server.Close()
				}
			}
			t.Logf("%d responses cut", cuts)
		})
	}
}

// Guards against a success that callers get of a head which is longer than hosts accept.
func TestLongHeadIsNoSuccess(t *testing.T) {
	const limit = 64 << 10
	for _, size := range []int{limit / 2, limit - 1000, limit, limit + 1000, 2 * limit} {
		head := "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nLong: " + strings.Repeat("x", size) + "\r\n"
		complete := head + "Content-Length: 4\r\n\r\ntext"
		for _, length := range []int{len(head) - 1000, len(head) - 1, len(head), len(head) + 10, len(complete) - 5} {
			s := newHarness(t, attemptsSpec(1), true, cutAt(complete, length, false))
			if got := s.send("POST", "/once/x", "body"); got.isComplete() {
				t.Errorf("head of %d bytes cut after %d: got status %d and %q as complete", size, length, got.status, got.body)
			}
		}
	}
}
