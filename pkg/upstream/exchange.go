package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Exchange is an answer being read. It is not safe for concurrent use.
type Exchange struct {
	pool     *Pool
	conn     *conn
	stop     func() bool
	response *http.Response
	broken   bool
	closed   bool
}

// Status returns the answer's status.
func (e *Exchange) Status() int { return e.response.StatusCode }

// Header returns the answer's headers.
func (e *Exchange) Header() http.Header { return e.response.Header }

// ContentLength returns the body's length, -1 if it is not told.
func (e *Exchange) ContentLength() int64 { return e.response.ContentLength }

// IsDelimited reports whether the answer tells where it ends: otherwise the close of the
// connection may be its end or a break.
func (e *Exchange) IsDelimited() bool {
	return e.response.ContentLength >= 0 || slices.Contains(e.response.TransferEncoding, "chunked")
}

// Read reads the body; io.EOF comes only after a whole body. An answer without
// length ends where the endpoint closes the connection in order.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.response.Body.Read(p)
	if err != nil && !isEOF(err) {
		e.broken = true
	}
	if isEOF(err) {
		e.response.Body = http.NoBody
	}
	return n, err
}

// IsBroken reports whether the answer broke off while it was read.
func (e *Exchange) IsBroken() bool { return e.broken }

// DisableReuse keeps the connection from being used again.
func (e *Exchange) DisableReuse() { e.broken = true }

// Close gives the connection back if its answer was read whole, and closes it
// otherwise, which tells the endpoint to stop.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	running := e.stop()
	if !running || !e.reusable() {
		e.pool.drop(e.conn)
		return
	}
	_ = e.conn.SetReadDeadline(time.Time{})
	e.pool.put(e.conn)
}

func (e *Exchange) reusable() bool {
	if e.broken || e.response == nil || e.response.Close || e.conn.reader.Buffered() > 0 {
		return false
	}
	return e.response.Body == http.NoBody
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }

// readHead reads the head of the answer, past those that are only on the way.
func (e *Exchange) readHead(method string) error {
	asked := &http.Request{Method: method}
	for range mostInformational {
		response, err := http.ReadResponse(e.conn.reader, asked)
		if err != nil {
			return err
		}
		if response.StatusCode/100 != 1 {
			e.response = response
			e.conn.idleTime = idleTime(response.Header)
			return nil
		}
	}
	return fmt.Errorf("upstream: more than %d informational answers", mostInformational)
}

// idleTime reads how long an endpoint keeps an idle connection.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if secs, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(secs)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdle
}
