package forward_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// refusing turns requests away unrun while on is set, every one or every other, and serves
// the others.
func refusing(on *atomic.Bool, every int64) script {
	var asked atomic.Int64
	return func(c net.Conn, r *http.Request) bool {
		if on.Load() && asked.Add(1)%every == 0 {
			return text(turnedAway, true)(c, r)
		}
		return whole("answer")(c, r)
	}
}

// Of three endpoints one turns requests away and names no rest; each of its refusals is
// cheaper than an answer. Callers are served by the two others: all but 3 in 100 after the
// first second, and it gets its part again within two seconds of its return.
func TestRefusingEndpointDoesNotDrawTheWork(t *testing.T) {
	const (
		pause     = 5 * time.Millisecond
		firstTime = time.Second
		then      = 2 * time.Second
	)
	for _, c := range []struct {
		name, path string
		every      int64
	}{
		{"safe, all", "/safe/x", 1},
		{"safe, every other", "/safe/x", 2},
		{"once, all", "/one/x", 1},
		{"once, every other", "/one/x", 2},
		{"stream, all", "/stream/x", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			one := spec()
			once := one.Routes[1]
			once.Name, once.Prefix, once.Attempts = "/one/", "/one/", 1
			one.Routes = append(one.Routes, once)
			var on atomic.Bool
			on.Store(true)
			s := newSite(t, one, true, refusing(&on, c.every), whole("answer"), whole("answer"))
			ask := func(lasting time.Duration) (served, sent int) {
				for began := time.Now(); time.Since(began) < lasting; time.Sleep(pause) {
					sent++
					if s.ask("POST", c.path, "body").status == http.StatusOK {
						served++
					}
				}
				return served, sent
			}
			if served, sent := ask(firstTime); served*100 < sent*95 {
				t.Errorf("first second: got %d of %d served, want 95 in 100", served, sent)
			}
			if served, sent := ask(then); served*100 < sent*97 {
				t.Errorf("then: got %d of %d served, want 97 in 100", served, sent)
			}
			on.Store(false)
			ask(then)
			before := s.sentTo("e0")
			_, sent := ask(firstTime)
			if got := s.sentTo("e0") - before; got == 0 {
				t.Errorf("two seconds after it serves again: got 0 of %d requests there, want some", sent)
			}
		})
	}
}
