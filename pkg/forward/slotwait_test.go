package forward_test

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ironhollow/pkg/route"
)

// Guards against sending a fragile endpoint more requests than it has slots, and against holding
// requests that find none: they wait for a fifth of their objective at most and are refused with the time to return.
func TestFragileEndpointGetsNoMoreThanItsSlots(t *testing.T) {
	const (
		slots    = 4
		service  = 60 * time.Millisecond
		callers  = 16
		duration = 1500 * time.Millisecond
	)
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			var running, most, isKnown atomic.Int64
			s := newHarness(t, spec(), true, func(c net.Conn, r *http.Request) bool {
				now := running.Add(1)
				if isKnown.Load() == 1 {
					most.Store(max(most.Load(), now))
				}
				time.Sleep(service)
				running.Add(-1)
				head := "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nMax-Rejections: 20\r\nContent-Length: 15\r\n"
				if r.URL.Path == "/stream/x" {
					head += "Content-Type: text/event-stream\r\n"
				}
				return respond(head+"\r\nid: 1\ndata: x\n\n", true)(c, r)
			})
			s.send("POST", path, "body")
			isKnown.Store(1)
			var served, refused atomic.Int64
			var group sync.WaitGroup
			for startedAt := time.Now(); time.Since(startedAt) < duration; time.Sleep(service / callers) {
				group.Go(func() {
					sentAt := time.Now()
					response := s.send("POST", path, "body")
					if response.status == http.StatusOK {
						served.Add(1)
						return
					}
					refused.Add(1)
					wait, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
					if held := time.Since(sentAt); response.status != http.StatusServiceUnavailable || err != nil || wait <= 0 || held > 450*time.Millisecond {
						t.Errorf("got status %d after %v with Retry-After %v, want 503 within 0.2 s", response.status, held, wait)
					}
				})
			}
			group.Wait()
			if got := most.Load(); got > slots {
				t.Errorf("got %d requests at once at the endpoint, want %d at most", got, slots)
			}
			if got, want := served.Load(), int64(0.7*slots*float64(duration/service)); got < want || refused.Load() == 0 {
				t.Errorf("got %d requests served and %d refused, want %d served at least and some refused", got, refused.Load(), want)
			}
			t.Logf("%d served, %d refused", served.Load(), refused.Load())
		})
	}
}

// Guards against choosing twice for a request that no endpoint takes, which counts its work twice.
func TestUnplacedRequestIsChosenForOnce(t *testing.T) {
	s := newHarness(t, spec(), true, respondOK("answer"))
	now := time.Now()
	s.router.SetBackoff(s.endpoint("e0").Ref(), now.Add(time.Minute), now)
	target := route.Target{Service: "svc"}
	s.router.Choose(route.Query{Target: target, AnswerTokens: 1}, route.Expected, now)
	one := s.router.Work(target, now).Refused
	if response := s.send("POST", "/safe/x", "body"); response.status != http.StatusServiceUnavailable {
		t.Fatalf("got status %d, want 503", response.status)
	}
	if got, most := s.router.Work(target, time.Now()).Refused, 2.1*one; got > most || got < 1.5*one {
		t.Errorf("got refused work of %v after a choice and a request, want %v", got, 2*one)
	}
}
