package httpx

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// ResetDuringWriteError is the error of a read from a connection that failed while it was written to. The end of what
// was read is not one that the other side has sent.
type ResetDuringWriteError struct{ Err error }

// Error returns the text of the write's error.
func (e *ResetDuringWriteError) Error() string {
	return fmt.Sprintf("httpx: the connection failed while it was written to: %v", e.Err)
}

// Unwrap returns the error of the write.
func (e *ResetDuringWriteError) Unwrap() error { return e.Err }

// writeEndTimeout is how long a read that has reached the end of a connection waits for a write in progress. One that
// a reset ends returns at once.
const writeEndTimeout = 50 * time.Millisecond

// resetConn reports a reset to its reader also if the socket has reported it to a write: a socket reports it once, and a
// read after that gets the end of the connection, as if the other side had closed it. A response whose end is not marked
// would be taken for complete.
type resetConn struct {
	net.Conn
	// writing is full while a write is in progress. It guards failed.
	writing chan struct{}
	// failed is the error of the first write that failed for another reason than a deadline.
	failed error
}

// ReportResets returns a connection whose reader does not get a clean end after a write has failed. It is for
// clients, which may write a request while they read its response.
func ReportResets(c net.Conn) net.Conn {
	return &resetConn{Conn: c, writing: make(chan struct{}, 1)}
}

// Write writes to the connection.
func (c *resetConn) Write(b []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(b)
	if err != nil && c.failed == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failed = err
	}
	return n, err
}

// Read reads from the connection.
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if failed := c.writeError(); failed != nil {
			return n, &ResetDuringWriteError{failed}
		}
	}
	return n, err
}

// writeError returns the error of a failed write, nil if there is none. It waits for a write in progress.
func (c *resetConn) writeError() error {
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
		return c.failed
	case <-timer.C:
		// The other side has closed its direction only, and does not read.
		return nil
	}
}

// SyscallConn implements syscall.Conn.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoTCPConn
	}
	return raw.SyscallConn()
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialReportingResets returns a function that opens connections with another one and applies ReportResets.
func DialReportingResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return ReportResets(c), nil
	}
}
