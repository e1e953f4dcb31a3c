package httpx

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// RenewingTransport is a transport whose next call after a failed one uses a new connection. The other
// connections of its pool may have fallen silent at the same time, and each would take a timeout of
// its own to show that. It is for calls to few servers, since it closes the idle connections to all.
type RenewingTransport struct{ transport *http.Transport }

// NewRenewingTransport returns a renewing transport that uses the connections of another one.
func NewRenewingTransport(transport *http.Transport) *RenewingTransport {
	return &RenewingTransport{transport: transport}
}

// RoundTrip makes one call.
func (t *RenewingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		t.handleFailure(err)
		return nil, err
	}
	response.Body = &renewingBody{response.Body, t}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the pool.
func (t *RenewingTransport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// handleFailure closes the idle connections, unless the caller has given up the call.
func (t *RenewingTransport) handleFailure(err error) {
	if !errors.Is(err, context.Canceled) {
		t.transport.CloseIdleConnections()
	}
}

// renewingBody is the body of a response, which may fail too.
type renewingBody struct {
	io.ReadCloser
	transport *RenewingTransport
}

// Read reads from the body.
func (b *renewingBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		b.transport.handleFailure(err)
	}
	return n, err
}
