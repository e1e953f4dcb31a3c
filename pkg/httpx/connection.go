package httpx

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// connectionIdleUnit is the unit to which idle times are rounded in errors.
const connectionIdleUnit = 10 * time.Millisecond

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

// Wrap adds to an error of the call whether its connection was new. A call that times out on a
// connection from the pool does not show that the other host is unavailable.
func (t *ConnectionTrace) Wrap(err error) error {
	conn := t.conn.Load()
	switch {
	case err == nil:
		return nil
	case conn == nil:
		return fmt.Errorf("%w (no connection)", err)
	case conn.Reused:
		return fmt.Errorf("%w (connection reused after %v)", err, conn.IdleTime.Round(connectionIdleUnit))
	default:
		return fmt.Errorf("%w (new connection)", err)
	}
}
