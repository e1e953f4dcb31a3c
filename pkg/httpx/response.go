package httpx

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedResponse means that the head of a response is malformed although net/http accepts it.
var ErrMalformedResponse = errors.New("httpx: malformed response")

// Statuses have three digits of which the first is not 0 (RFC 9110, section 15).
const minStatus, maxStatus = 100, 999

// CheckResponse returns ErrMalformedResponse if a response is none of HTTP/1: net/http accepts statuses such as 000 and
// +20, any version, and names of headers with blanks.
func CheckResponse(r *http.Response) error {
	if err := CheckStatusLine(r); err != nil {
		return err
	}
	return CheckNames(r.Header)
}

// CheckStatusLine returns ErrMalformedResponse if the status or the version of a response is none of HTTP/1.
func CheckStatusLine(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %q", ErrMalformedResponse, r.Status)
	}
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %q", ErrMalformedResponse, r.Proto)
	}
	return nil
}

// CheckNames returns ErrMalformedResponse if a header has a name that is none. net/http accepts names with blanks, by which
// no header is found.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: header name %q", ErrMalformedResponse, name)
		}
	}
	return nil
}

// StrictTransport makes calls with another transport, and fails those whose responses are malformed.
type StrictTransport struct{ transport http.RoundTripper }

// NewStrictTransport returns a transport that makes calls with another one.
func NewStrictTransport(transport http.RoundTripper) *StrictTransport {
	return &StrictTransport{transport: transport}
}

// RoundTrip makes one call.
func (t *StrictTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		return nil, errors.Join(err, response.Body.Close())
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the other transport.
func (t *StrictTransport) CloseIdleConnections() {
	if closer, ok := t.transport.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
