package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	// Header must not contain hop-by-hop headers or Content-Length.
	Header http.Header
	Body   []byte
	// HasBody is set if Content-Length is sent even if Body is empty.
	HasBody bool
	// MaxIdle is how long a connection may have been idle to be used for this request; 0 for
	// no limit. A request that must not be repeated needs one, as the endpoint may be closing
	// a connection that was idle for long.
	MaxIdle time.Duration
	// Avoid are the connections that earlier attempts of the request used. A response that an endpoint
	// repeats there has the ID of this attempt too.
	Avoid []ConnectionID
	// DialContext, if it is not nil, also ends the opening of a connection, after which the outcome is
	// NotSent.
	DialContext context.Context
	// Accepts, if it is not nil, reports whether the request is sent now that it has a connection. Otherwise the
	// outcome is NotSent with ErrDeclined.
	Accepts func() bool
	// OnConnected, if it is not nil, is called when the request has a connection, before it is sent.
	OnConnected func()
}

// headBytes is the usual size of the head of a request.
const headBytes = 1 << 10

// maxCopiedBody is the length up to which a body is copied behind the head, to send both with one call.
const maxCopiedBody = 16 << 10

// write sends the request. It returns how many bytes were written.
func (r Request) write(w io.Writer) (written int, err error) {
	head := r.encodeHead()
	if len(r.Body) <= maxCopiedBody {
		return w.Write(append(head, r.Body...))
	}
	if written, err = w.Write(head); err != nil {
		return written, err
	}
	n, err := w.Write(r.Body)
	return written + n, err
}

// encodeHead returns the head of the request as sent.
func (r Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(headBytes + min(len(r.Body), maxCopiedBody))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b)
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
