package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ironhollow/pkg/routetable"
)

// uploadBytes is the size of a body that sockets do not buffer whole.
const uploadBytes = 8 << 20

// uploadSpec has routes for requests with long bodies.
func uploadSpec() routetable.Spec {
	s := patientSpec()
	s.Limits.MaxBodyBytes = 2 * uploadBytes
	return s
}

// addEarlyEndpoint adds an endpoint that answers as soon as it has the head of a request, and ends the connection with
// the body unread after a delay.
func (s *harness) addEarlyEndpoint(number int, answer string, reset bool, delay time.Duration) {
	s.serveConnections(fmt.Sprint("e", number), s.listen(), func(c net.Conn) {
		defer func() { _ = c.Close() }()
		tcp := c.(*net.TCPConn)
		_ = tcp.SetReadBuffer(4 << 10)
		r, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "%id", r.Header.Get("Id")))
		time.Sleep(delay)
		if reset {
			_ = tcp.SetLinger(0)
		}
	})
}

// Guards against a part of a response that its caller gets as the whole: the endpoint answered a long upload without
// marking the end of the response, and reset the connection while the upload was still being sent.
func TestResponseResetDuringTheUploadIsNotComplete(t *testing.T) {
	event := "id: 1\ndata: x\n\n"
	bodies := map[string]string{"empty": "", "10 bytes": "0123456789", "4000 bytes": strings.Repeat("b", 4000), "beyond the buffer": strings.Repeat("b", 80<<10)}
	var group sync.WaitGroup
	limit := make(chan struct{}, 4)
	play := func(name, path, answer string, reset bool, delay time.Duration) {
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			s := newHarness(t, uploadSpec(), true)
			for i := range 2 {
				s.addEarlyEndpoint(i, answer, reset, delay)
			}
			got := s.send("POST", path, strings.Repeat("u", uploadBytes))
			checkNotComplete(t, got, fmt.Sprintf("%s, %s, reset %t after %v", path, name, reset, delay))
		})
	}
	for _, reset := range []bool{false, true} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, 60 * time.Millisecond} {
			for name, body := range bodies {
				answer := "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\n\r\n" + body
				for _, path := range []string{"/once/x", "/safe/x", "/resume/x"} {
					play(name, path, answer, reset, delay)
				}
			}
			stream := "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\r\n"
			for _, path := range []string{"/stream/x", "/resume/x"} {
				play("a stream without events", path, stream, reset, delay)
				play("an event", path, stream+event, reset, delay)
			}
		}
	}
	group.Wait()
}

func checkNotComplete(t *testing.T, got callerResponse, name string) {
	t.Helper()
	if got.err == nil && got.status < http.StatusInternalServerError {
		t.Errorf("%s: got status %d and %d bytes with a clean end, want a failure", name, got.status, len(got.body))
	}
}

// Guards against the same for a request that is forwarded to another host.
func TestResponseResetDuringTheUploadIsNotCompleteThroughAnotherHost(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\n"
	for _, c := range []struct{ path, answer string }{
		{"/once/x", head + "\r\n0123456789"},
		{"/safe/x", head + "\r\n"},
		{"/stream/x", head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"},
		{"/resume/x", head + "Content-Type: text/event-stream\r\n\r\n"},
	} {
		for _, reset := range []bool{false, true} {
			cut, others := newCutHosts(t, uploadSpec(), nil, nil, nil)
			for i, other := range others {
				other.addEarlyEndpoint(i, c.answer, reset, 20*time.Millisecond)
			}
			checkNotComplete(t, cut.send("POST", c.path, strings.Repeat("u", uploadBytes)), fmt.Sprintf("%s, reset %t", c.path, reset))
		}
	}
}
