package httpx

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// connectionIdleUnit is the unit to which idle times are rounded in errors.
const connectionIdleUnit = 10 * time.Millisecond

// ErrNoResponse is the cause of the end of a call whose response has not begun in time.
var ErrNoResponse = errors.New("httpx: no response in time")

// WithResponseTimeout returns a context for one call that ends unless the response begins within the
// timeout. The body may take longer to arrive. stop must be called after the call.
func WithResponseTimeout(ctx context.Context, timeout time.Duration) (limited context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(ErrNoResponse) })
	limited = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { timer.Stop() }})
	return limited, func() {
		timer.Stop()
		cancel(nil)
	}
}

// ConnectionTrace records which connection a call uses. It is safe for concurrent use.
type ConnectionTrace struct {
	// conn is nil until the call has a connection.
	conn atomic.Pointer[httptrace.GotConnInfo]
}

// TraceConnection returns a context for one call and the trace of its connection.
func TraceConnection(ctx context.Context) (context.Context, *ConnectionTrace) {
	t := &ConnectionTrace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { t.conn.Store(&info) }}), t
}

// HasConnection reports whether the call has got a connection. Nothing was sent before.
func (t *ConnectionTrace) HasConnection() bool { return t.conn.Load() != nil }

// ReusedConnectionError is the error of a call on a connection from the pool. It does not show that the
// other host is unavailable, as the connection may have fallen silent or been closed.
type ReusedConnectionError struct {
	Err error
	// IdleTime is how long the connection had not been used.
	IdleTime time.Duration
}

// Error returns the text of the underlying error with the idle time.
func (e *ReusedConnectionError) Error() string {
	return fmt.Sprintf("%v (connection reused after %v)", e.Err, e.IdleTime.Round(connectionIdleUnit))
}

// Unwrap returns the underlying error.
func (e *ReusedConnectionError) Unwrap() error { return e.Err }

// Wrap adds to an error of the call which connection it used, as a *ReusedConnectionError if that was
// not a new one.
func (t *ConnectionTrace) Wrap(err error) error {
	conn := t.conn.Load()
	switch {
	case err == nil:
		return nil
	case conn == nil:
		return fmt.Errorf("%w (no connection)", err)
	case conn.Reused:
		return &ReusedConnectionError{Err: err, IdleTime: conn.IdleTime}
	default:
		return fmt.Errorf("%w (new connection)", err)
	}
}
