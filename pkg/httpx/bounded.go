package httpx

import (
	"errors"
	"io"
	"net/http"

	"ironhollow/pkg/buffers"
)

// ErrNoMemory means that the responses that are being read take as much memory as they may.
var ErrNoMemory = errors.New("httpx: no memory for a response")

// BoundedTransport makes calls with another transport, and bounds the bytes of all responses that are being read. Its
// clients keep what they read until they close a response.
type BoundedTransport struct {
	transport http.RoundTripper
	budget    *buffers.Budget
}

// NewBoundedTransport returns a transport that makes calls with another one. Several may share a budget.
func NewBoundedTransport(transport http.RoundTripper, budget *buffers.Budget) *BoundedTransport {
	return &BoundedTransport{transport: transport, budget: budget}
}

// RoundTrip makes one call.
func (t *BoundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &boundedBody{ReadCloser: response.Body, budget: t.budget}
	return response, nil
}

// boundedBody is the body of a response. Like other bodies it is not read and closed at the same time.
type boundedBody struct {
	io.ReadCloser
	budget *buffers.Budget
	// taken is what the body has taken from the budget.
	taken int64
}

// Read reads from the body.
func (b *boundedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if !b.budget.Take(int64(n)) {
		return n, ErrNoMemory
	}
	b.taken += int64(n)
	return n, err
}

// Close closes the body.
func (b *boundedBody) Close() error {
	b.budget.Return(b.taken)
	b.taken = 0
	return b.ReadCloser.Close()
}
