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

// paced streams events of two tokens with a pause before each but the first.
func paced(events int, pause time.Duration) script {
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

// What streams show of an engine's speed reaches the router: the time between their
// events, by how many tokens an event holds.
func TestStreamsShowHowFastAnEngineIs(t *testing.T) {
	made := spec()
	made.Services = []routetable.Service{{Name: "svc", Stride: 2}}
	const pause = 20 * time.Millisecond
	s := newSite(t, made, true, paced(12, pause))
	if got := s.router.TokenGap("e0"); got != time.Millisecond {
		t.Fatalf("before any answer: got %v a token, want the 1 ms that was given", got)
	}
	var streams sync.WaitGroup
	for range 16 {
		streams.Go(func() {
			if got := s.ask("POST", "/stream/x", "").status; got != http.StatusOK {
				t.Errorf("status: got %d, want 200", got)
			}
		})
	}
	streams.Wait()
	// A sleep may last longer on a busy machine, never shorter.
	if got, least := s.router.TokenGap("e0"), pause/2*9/10; got < least {
		t.Errorf("after 16 streams: got %v a token, want %v or more", got, least)
	}
}
