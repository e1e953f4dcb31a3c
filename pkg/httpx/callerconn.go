package httpx

import (
	"context"
	"errors"
	"net"
)

type callerConnKey struct{}

// WithCallerConn is the ConnContext of a server whose handlers use ResetOnClose.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

var errNoTCPConn = errors.New("httpx: the context has no TCP connection")

// ResetOnClose sets whether the connection of a server's request is reset when it is closed, also by
// the end of the process. A response that ends with its connection is complete for its reader if the
// connection is closed without a reset.
func ResetOnClose(ctx context.Context, reset bool) error {
	tcp, err := callerTCPConn(ctx)
	if err != nil {
		return err
	}
	if reset {
		return tcp.SetLinger(0)
	}
	return tcp.SetLinger(-1)
}

// Reset resets the connection of a server's request at once. A handler that aborts a response which
// ends with the connection calls it first: the server closes a TLS connection with an alert that signals
// that all data was sent, and its reader gets the alert before the reset.
func Reset(ctx context.Context) error {
	tcp, err := callerTCPConn(ctx)
	if err != nil {
		return err
	}
	return errors.Join(tcp.SetLinger(0), tcp.Close())
}

func callerTCPConn(ctx context.Context) (*net.TCPConn, error) {
	c, _ := ctx.Value(callerConnKey{}).(net.Conn)
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errNoTCPConn
	}
	return tcp, nil
}
