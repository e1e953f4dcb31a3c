package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"ironhollow/pkg/routetable"
)

// streamWithPauses streams events of two tokens with a pause before each but the first.
func streamWithPauses(events int, pause time.Duration) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Id"))
		for i := range events {
			if i > 0 {
				time.Sleep(pause)
			}
			_, _ = io.WriteString(c, fmt.Sprintf("id: %d\ndata: x\n\n", i))
		}
		return false
	}
}

// The router learns an engine's speed from streams: the time between events, divided by the
// number of tokens of an event.
func TestStreamsUpdateTokenGap(t *testing.T) {
	custom := spec()
	custom.Services = []routetable.Service{{Name: "svc", TokensPerEvent: 2}}
	const pause = 20 * time.Millisecond
	s := newHarness(t, custom, true, streamWithPauses(12, pause))
	if got := s.router.TokenGap("e0"); got != time.Millisecond {
		t.Fatalf("before any stream: got %v per token, want the configured 1 ms", got)
	}
	var streams sync.WaitGroup
	for range 16 {
		streams.Go(func() {
			if got := s.send("POST", "/stream/x", "").status; got != http.StatusOK {
				t.Errorf("status: got %d, want 200", got)
			}
		})
	}
	streams.Wait()
	// A sleep may last longer on a busy machine, never shorter.
	if got, least := s.router.TokenGap("e0"), pause/2*9/10; got < least {
		t.Errorf("after 16 streams: got %v per token, want at least %v", got, least)
	}
}
