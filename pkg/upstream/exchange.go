package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"ironhollow/pkg/httpx"
)

// Exchange is a response that is being read. It is not safe for concurrent use.
type Exchange struct {
	pool *Pool
	conn *conn
	// ctx is the context of the request; it shows whether a failed read was caused by its end.
	ctx context.Context
	// stopCancel stops the closing of the connection at the end of the context; it returns
	// false if that has happened.
	stopCancel func() bool
	response   *http.Response
	// readFailed is set once reading the response has failed, noReuse if the connection
	// must not be reused for another reason.
	readFailed, noReuse bool
	closed              bool
	// isEarly is set if the endpoint has responded and accepts no more bytes of the request.
	isEarly bool
	// isHead is set for a response to a HEAD request, which has no body.
	isHead bool
}

// Connection returns the connection that the response comes over, and how many requests were sent over it, this
// one included.
func (e *Exchange) Connection() (id ConnectionID, requests int) { return e.conn.id, e.conn.requests }

// Status returns the status code of the response.
func (e *Exchange) Status() int { return e.response.StatusCode }

// Header returns the headers of the response.
func (e *Exchange) Header() http.Header { return e.response.Header }

// IsEarly reports whether the endpoint has responded without reading the whole request, and has ended the connection.
func (e *Exchange) IsEarly() bool { return e.isEarly }

// ContentLength returns the length of the body, or -1 if it is unknown.
func (e *Exchange) ContentLength() int64 { return e.response.ContentLength }

// Framing is how the end of a response body is marked (RFC 9112, section 6.3).
type Framing int

// The framings.
const (
	// ByLength means that the length is known in advance.
	ByLength Framing = iota
	// ByChunks means that the body ends with its last chunk.
	ByChunks
	// ByClose means that the body ends when the endpoint closes the connection, as it also does if
	// the endpoint crashes: a truncated body may look complete.
	ByClose
)

// String returns the name of the framing.
func (f Framing) String() string { return [...]string{"length", "chunks", "close"}[f] }

// Framing returns how the end of the body is marked.
func (e *Exchange) Framing() Framing {
	switch {
	case e.response.ContentLength >= 0 || e.isHead:
		return ByLength
	case slices.Contains(e.response.TransferEncoding, "chunked"):
		return ByChunks
	default:
		return ByClose
	}
}

// IsDelimited reports whether the end of the body is marked by the endpoint, so that a truncated
// body is noticed.
func (e *Exchange) IsDelimited() bool { return e.Framing() != ByClose }

// Read reads the body. It returns io.EOF only after a complete body. A response that is not
// delimited is complete when the endpoint closes the connection without a reset, and has read the whole request.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.response.Body.Read(p)
	if isEOF(err) {
		if malformed := httpx.CheckNames(e.response.Trailer); malformed != nil {
			err = malformed
		}
	}
	if err != nil && !isEOF(err) {
		e.readFailed = true
		e.pool.noteFailure(e.ctx, e.conn.address, err)
	}
	if isEOF(err) {
		e.response.Body = http.NoBody
	}
	return n, err
}

// IsBroken reports whether reading the response has failed.
func (e *Exchange) IsBroken() bool { return e.readFailed }

// DisableReuse prevents the connection from being used for another request.
func (e *Exchange) DisableReuse() { e.noReuse = true }

// Close returns the connection to the pool if the response was read completely. Otherwise it
// closes the connection, by which the endpoint notices that it may stop.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	contextLive := e.stopCancel()
	if !contextLive || !e.reusable() {
		e.pool.drop(e.conn)
		return
	}
	_ = e.conn.SetReadDeadline(time.Time{})
	e.pool.put(e.conn)
}

// Abort closes the connection, which ends a Read in progress. Unlike the other methods it may be called
// while another goroutine reads, but not after Close.
func (e *Exchange) Abort() { _ = e.conn.Close() }

// reusable reports whether the connection can be used for another request.
func (e *Exchange) reusable() bool {
	if e.readFailed || e.noReuse || e.response == nil || e.response.Close || e.conn.reader.Buffered() > 0 {
		return false
	}
	return e.response.Body == http.NoBody
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }

// readHead reads the status and headers of the final response. Informational (1xx) responses
// are skipped. Together they have httpx.MaxHeadBytes at most.
func (e *Exchange) readHead(method string) error {
	request := &http.Request{Method: method}
	e.conn.raw.beginHead()
	defer e.conn.raw.endHead()
	for range maxInformational {
		response, err := http.ReadResponse(e.conn.reader, request)
		if err != nil {
			return err
		}
		if err := checkHead(e.conn.raw.takeHead(e.conn.reader.Buffered()), response); err != nil {
			return err
		}
		if response.StatusCode/100 != 1 {
			e.response, e.isHead = response, method == http.MethodHead
			e.conn.idleTimeout = keepAliveTimeout(response.Header)
			return nil
		}
	}
	return fmt.Errorf("upstream: more than %d informational answers", maxInformational)
}

// maxKeepAliveSeconds bounds the time that an endpoint keeps idle connections.
const maxKeepAliveSeconds = 24 * 3600

// keepAliveTimeout returns how long a connection may be idle according to the Keep-Alive header
// of a response.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(min(seconds, maxKeepAliveSeconds))*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}
