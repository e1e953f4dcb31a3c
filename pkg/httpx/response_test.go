package httpx_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"ironhollow/pkg/httpx"
)

// Guards against clients that take bytes for a response which are none.
func TestMalformedResponsesAreErrors(t *testing.T) {
	for head, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n":        nil,
		"HTTP/1.0 404 Not Found\r\nContent-Length: 2\r\n": nil,
		"HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n":      httpx.ErrMalformedResponse,
		"HTTP/1.1 099 Low\r\nContent-Length: 2\r\n":       httpx.ErrMalformedResponse,
		"HTTP/1.1 +20 Sign\r\nContent-Length: 2\r\n":      httpx.ErrMalformedResponse,
		"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n":        httpx.ErrMalformedResponse,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n":       httpx.ErrMalformedResponse,
		"HTTP/1.1 200 OK\r\nA b: c\r\n":                   httpx.ErrMalformedResponse,
	} {
		address := listen(t, func(peer *net.TCPConn) {
			if _, err := http.ReadRequest(bufio.NewReader(peer)); err == nil {
				_, _ = io.WriteString(peer, head+"\r\n{}")
			}
		})
		var out struct{}
		err := httpx.CallJSON(context.Background(), httpx.NewClient(1), http.MethodGet, "http://"+address, nil, &out)
		var status *httpx.StatusError
		if errors.As(err, &status) {
			err = nil
		}
		if !errors.Is(err, want) {
			t.Errorf("%q: got error %v, want %v", head, err, want)
		}
	}
}
