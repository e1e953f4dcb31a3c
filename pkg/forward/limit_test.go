package forward_test

import (
	"strings"
	"testing"
	"time"
)

const okLimit = "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nLimit: 5\r\nContent-Length: 4\r\n\r\ntext"

// Guards against exceeding the rate limit that an endpoint announces in any kind of response.
func TestLimitedEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	for name, c := range map[string]struct{ path, answer string }{
		"complete response": {"/safe/x", okLimit},
		"failure":           {"/once/x", strings.Replace(okLimit, "200 OK", "500 Internal Server Error", 1)},
		"rejection":         {"/once/x", strings.Replace(notRunResponse, "\r\n\r\n", "\r\nLimit: 5\r\n\r\n", 1)},
		"stream":            {"/stream/x", strings.Replace(streamLimit, "2.5", "5", 1)},
		"resumable stream":  {"/resume/x", strings.Replace(streamLimit, "2.5", "5", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			const duration = 1500 * time.Millisecond
			const maxRequests = 16 // 1.5 * 5 a second * 1.5 s + 5
			other := respondOK("answer")
			if strings.Contains(name, "stream") {
				// Neither endpoint keeps its connections, so that neither is preferred.
				other = respond(strings.Replace(c.answer, "Limit: 5\r\n", "", 1), false)
			}
			s := newHarness(t, spec(), true, respond(c.answer, !strings.Contains(name, "stream")), other)
			s.sendUntilReceived("e0", c.path)
			for startedAt := time.Now(); time.Since(startedAt) < duration; time.Sleep(2 * time.Millisecond) {
				s.send("POST", c.path, "body")
			}
			if got := s.requestCount("e0"); got > maxRequests {
				t.Errorf("requests in %v at an endpoint limited to 5/s: got %d, want at most %v", duration, got, maxRequests)
			}
			if got := s.requestCount("e0"); got < 3 {
				t.Errorf("requests in %v at an endpoint limited to 5/s: got %d, want at least 3", duration, got)
			}
		})
	}
}
