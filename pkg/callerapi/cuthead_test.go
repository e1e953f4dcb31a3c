package callerapi_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against a success that callers get after a service has closed or reset its connection inside the head of its response, or before its marked end.
func TestServiceResponseCutInItsHeadIsNoSuccess(t *testing.T) {
	var part atomic.Pointer[string]
	for name, resets := range map[string]bool{"closed": false, "reset": true} {
		e := newScriptedSite(t, func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, *part.Load())
			if resets {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		}).newEntry(t, "n1")
		cuts := 0
		for _, whole := range []string{
			plainHead + "Content-Length: 6\r\n\r\nanswer", chunkHead + chunk("answer") + lastChunk,
			strings.ReplaceAll(plainHead, "\r\n", "\n") + "Content-Length: 0\n\n", "HTTP/1.1 103 Early Hints\r\n\r\n" + plainHead + "Content-Length: 0\r\n\r\n",
			strings.TrimSuffix(chunkHead, "\r\n") + "Trailer: Sum\r\n\r\n" + chunk("answer") + "0\r\nSum: 1\r\n\r\n",
		} {
			for length := range len(whole) {
				text := whole[:length]
				part.Store(&text)
				for _, request := range plainRequests {
					cuts++
					headers := request.headers
					if headers != "" {
						headers = "Idempotency-Key: " + name + strconv.Itoa(cuts) + "\r\n"
					}
					if got := e.sendRaw(t, http.MethodPost, request.path, "HTTP/1.1", headers, ""); got.err == nil && got.status/100 == 2 {
						t.Errorf("%s, %s, %q: got status %d and %q as complete", name, request.name, text, got.status, got.body)
					}
				}
			}
		}
		t.Logf("%s: %d responses cut", name, cuts)
	}
}
