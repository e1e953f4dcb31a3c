package upstream_test

import (
	"net"
	"testing"
	"time"

	"ironhollow/pkg/upstream"
)

// closedAfter returns when Linux (tcp_keepalive_timer) closes a connection on which nothing is due and
// whose peer answers no probes between two times; 0 if it does not within 30 s.
func closedAfter(config net.KeepAliveConfig, userTimeout, from, until time.Duration) time.Duration {
	received, unanswered := time.Duration(0), 0
	for now := config.Idle; now < 30*time.Second; {
		elapsed := now - received
		if elapsed < config.Idle {
			now += config.Idle - elapsed
			continue
		}
		if elapsed >= userTimeout && unanswered > 0 {
			return now
		}
		unanswered++
		if now < from || now >= until {
			received, unanswered = now, 0
		}
		now += config.Interval
	}
	return 0
}

// Guards against connections that are closed because their endpoint was silent for 2 s, and against
// lost endpoints that are detected late.
func TestKeepAliveSurvivesSilence(t *testing.T) {
	for from := time.Duration(0); from < 8*time.Second; from += 50 * time.Millisecond {
		if at := closedAfter(upstream.KeepAlive(), upstream.UserTimeout, from, from+2*time.Second); at > 0 {
			t.Errorf("silent for 2 s from %v on: got closed after %v, want open", from, at)
		}
	}
	if got := closedAfter(upstream.KeepAlive(), upstream.UserTimeout, 0, time.Hour); got == 0 || got > 4*time.Second {
		t.Errorf("silent for ever: got closed after %v, want within 4 s", got)
	}
	before := net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}
	if closedAfter(before, 3*time.Second, 1900*time.Millisecond, 3100*time.Millisecond) == 0 {
		t.Error("earlier values, silent for 1.2 s: got open, want closed")
	}
}

// Guards against connections that are used only once because the endpoint's Keep-Alive time-out overflows.
func TestHugeKeepAliveTimeoutKeepsConnection(t *testing.T) {
	for _, timeout := range []string{"9223372037", "9223372036854775807", "60"} {
		e := serve(t, reply("HTTP/1.1 200 OK\r\nKeep-Alive: timeout="+timeout+"\r\nContent-Length: 2\r\n\r\nok"))
		p := upstream.New(time.Second)
		for range 3 {
			if _, err := readAll(t, send(t, p, e.address)); err != nil {
				t.Fatal(err)
			}
		}
		if got := p.Dials(); got != 1 {
			t.Errorf("time-out of %s s: got %d connections for 3 requests, want 1", timeout, got)
		}
	}
}
