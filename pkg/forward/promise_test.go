package forward_test

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against callers that send a request again after a status by which it has not run, though it may have.
func TestUnmarkedRefusalIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		head := fmt.Sprintf("HTTP/1.1 %d Refused\r\nId: %%id\r\nSigned: yes\r\n", status)
		for path, want := range map[string]int{"/once/x": http.StatusBadGateway, "/stream/x": http.StatusBadGateway, "/safe/x": status} {
			for _, body := range []string{"Content-Length: 3\r\n\r\nbad", "Not-Run: yes\r\nContent-Length: 0\r\n\r\n"} {
				s := newHarness(t, spec(), true, respond(head+body, true))
				wantHere := want
				if body[0] == 'N' {
					wantHere = http.StatusServiceUnavailable
				}
				got := s.send("POST", path, "body")
				if got.status != wantHere || wantHere == http.StatusBadGateway && got.header.Get("Signed") != "" {
					t.Errorf("%s, %d with %q: got %d, signature %q, want %d", path, status, body, got.status, got.header.Get("Signed"), wantHere)
				}
			}
		}
	}
}
