package upstream_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ironhollow/pkg/upstream"
)

// Guards against connections that are lost without notice, after which another process may have the address.
func TestLostConnectionsAreRecorded(t *testing.T) {
	respond := func(text string, keeps bool) func(net.Conn, *http.Request) bool {
		return func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, text)
			return keeps
		}
	}
	for _, c := range []struct {
		name   string
		handle func(net.Conn, *http.Request) bool
		sends  int
		want   bool
	}{
		{"complete", respond(completeResponse, true), 2, false},
		{"closed as offered", respond("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false), 2, false},
		{"idle for too long", respond("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false), 2, false},
		{"closed while idle", respond(completeResponse, false), 2, true},
		{"no response", respond("", false), 1, true},
		{"truncated", respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false), 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := serve(t, c.handle)
			p := upstream.New(time.Second)
			for range c.sends {
				if answered, ok := send(t, p, e.address).(upstream.Answered); ok {
					_, _ = io.ReadAll(answered.Exchange)
					answered.Exchange.Close()
				}
				time.Sleep(20 * time.Millisecond)
			}
			if got := !p.LostAt(e.address).IsZero(); got != c.want {
				t.Errorf("lost: got %v, want %v", got, c.want)
			}
			p.Sweep(func(string) bool { return true })
			if got := !p.LostAt(e.address).IsZero(); got != c.want {
				t.Errorf("lost after a sweep of other addresses: got %v, want %v", got, c.want)
			}
			p.Sweep(func(string) bool { return false })
			if !p.LostAt(e.address).IsZero() {
				t.Error("lost: got a record of an address that is not in use")
			}
		})
	}
}

// Guards against a request that is sent over a new connection although the loss of the one before excludes its endpoint.
func TestDeclinedConnectionIsKept(t *testing.T) {
	e := serve(t, reply(completeResponse))
	p := upstream.New(time.Second)
	declined := upstream.Request{Method: "POST", Target: "/", Host: "host", Accepts: func() bool { return false }}
	if o, ok := p.Send(t.Context(), e.address, 0, declined).(upstream.NotSent); !ok || !errors.Is(o.Err, upstream.ErrDeclined) {
		t.Errorf("got %+v, want NotSent with ErrDeclined", o)
	}
	if body, err := readAll(t, send(t, p, e.address)); body != "ok" || err != nil || p.Dials() != 1 || len(e.requests) != 1 {
		t.Errorf("got %q, %v over %d connections, %d requests, want ok over the first, one request", body, err, p.Dials(), len(e.requests))
	}
}
