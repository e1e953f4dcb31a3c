package httpx_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ironhollow/pkg/httpx"
	"ironhollow/pkg/plainservice"
)

// listen accepts connections and serves each with a function, until the test ends.
func listen(t *testing.T, serve func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a reset that a reader takes for the end of the connection, as a write was the first to meet it.
func TestResetIsReportedToTheReader(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*net.TCPConn)
		want bool
	}{
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0) }, true},
		{"closed with bytes unread", func(*net.TCPConn) { time.Sleep(20 * time.Millisecond) }, true},
		{"closed after all bytes were read", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, false},
	} {
		address := listen(t, func(peer *net.TCPConn) {
			_, _ = io.WriteString(peer, "part")
			_, _ = peer.Read(make([]byte, 1))
			c.end(peer)
		})
		raw, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conn := httpx.ReportResets(raw)
		_, _ = conn.Write(make([]byte, 8<<20))
		_ = raw.(*net.TCPConn).CloseWrite()
		data, err := io.ReadAll(conn)
		var reset *httpx.ResetDuringWriteError
		if isReset := err != nil; isReset != c.want || isReset && !errors.As(err, &reset) || string(data) != "part" {
			t.Errorf("%s: got %q, error %v, want \"part\" and an error %t", c.name, data, err, c.want)
		}
		_ = raw.Close()
	}
}

// Guards against a reader that waits for a write which does not end: the other side has only closed its direction.
func TestEndOfAHalfClosedConnectionIsRead(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	address := listen(t, func(peer *net.TCPConn) {
		_, _ = io.WriteString(peer, "whole")
		_ = peer.CloseWrite()
		<-done
	})
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	conn := httpx.ReportResets(raw)
	go func() { _, _ = conn.Write(make([]byte, 64<<20)) }()
	if data, err := io.ReadAll(conn); err != nil || string(data) != "whole" {
		t.Errorf("got %q, error %v, want \"whole\"", data, err)
	}
}

// Guards against clients that take a part of a response for the whole, whose end was not marked, as the server reset the
// connection while it received the request.
func TestClientsNoticeAResetDuringTheUpload(t *testing.T) {
	address := listen(t, func(peer *net.TCPConn) {
		_ = peer.SetReadBuffer(4 << 10)
		if _, err := http.ReadRequest(bufio.NewReaderSize(peer, 512)); err != nil {
			return
		}
		_, _ = io.WriteString(peer, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(5 * time.Millisecond)
		_ = peer.SetLinger(0)
	})
	body := make([]byte, 8<<20)
	shared, once := httpx.NewClient(1), plainservice.New(httpx.NewClient(1))
	for name, call := range map[string]func() (io.ReadCloser, error){
		"client": func() (io.ReadCloser, error) {
			response, err := shared.Post("http://"+address, "", io.NopCloser(bytes.NewReader(body)))
			if err != nil {
				return nil, err
			}
			return response.Body, nil
		},
		"plain service": func() (io.ReadCloser, error) {
			response, err := once.Send(context.Background(), address, plainservice.Call{Method: http.MethodPost, Path: "/", Body: bytes.NewReader(body), Length: int64(len(body)), AtMostOnce: true, Deadline: time.Now().Add(time.Minute)})
			return response.Body, err
		},
	} {
		complete := 0
		const calls = 60
		for range calls {
			response, err := call()
			if err != nil {
				continue
			}
			if _, err := io.ReadAll(response); err == nil {
				complete++
			}
			_ = response.Close()
		}
		if complete > 0 {
			t.Errorf("%s: got %d of %d responses with a clean end, want none", name, complete, calls)
		}
	}
}
