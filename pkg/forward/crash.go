package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
	"ironhollow/pkg/upstream"
)

// A request may end each endpoint that runs it, and comes again at any host. What is
// known of it must therefore outlive its try: by its fingerprint, over all hosts.
// Before, one such request ended 11 endpoints in 13 s, with all that ran there.

// errQuarantined refuses a request under which several endpoints have ended.
var errQuarantined = code.New(code.Quarantined, "endpoints ended under this request")

// held returns how much longer the request is held back.
func (c *call) held() (left time.Duration, held bool) {
	return c.f.crashes.Quarantined(c.fingerprint, c.f.clock())
}

// noteRun takes in what the end of a send shows of the request and of its endpoint.
func (c *call) noteRun(ctx context.Context, choice route.Choice, r result) {
	switch r := r.(type) {
	case answered:
		if r.rest == nil {
			c.noteWhole(r.status, r.hasEnd)
		}
	case unclear:
		if ctx.Err() == nil {
			c.noteBreak(choice, r.err)
		}
	case notRun:
		switch {
		case r.moved:
			c.f.crashes.EndpointCrashed(choice.Endpoint.ID, "another instance at its address", c.f.clock())
		case errors.Is(r.err, syscall.ECONNREFUSED):
			c.f.crashes.EndpointCrashed(choice.Endpoint.ID, "refused connection", c.f.clock())
		}
	}
}

// noteWhole notes that an answer came whole: its endpoint has outlived the request. A
// failure shows nothing of that, nor does an answer that may have broken off at its end.
func (c *call) noteWhole(status int, hasEnd bool) {
	if hasEnd && status < http.StatusInternalServerError {
		c.f.crashes.RecordSuccess(c.fingerprint, c.f.clock())
	}
}

// leastPlanned is how long a run has lasted at least that a planned end breaks off: an
// endpoint that leaves serves on for two seconds.
const leastPlanned = time.Second

// noteBreak notes that an endpoint broke a run off, unless its end was planned: it has
// said that it leaves, or its row has gone, while it ran what it had.
func (c *call) noteBreak(choice route.Choice, err error) {
	if c.in.Context().Err() != nil || !isBreak(err) {
		return
	}
	id := choice.Endpoint.ID
	info, ok := c.f.router.Lookup(id)
	if leaves := !ok || info.State != endpoint.Live; leaves && c.f.clock().Sub(c.sentAt) >= leastPlanned {
		return
	}
	if c.f.crashes.RecordInterruption(id, c.fingerprint, c.f.clock()) {
		go c.f.lookAt(id, choice.Endpoint.Address, c.connectionLimit())
	}
}

// isBreak reports whether a connection's error is of its other end.
func isBreak(err error) bool {
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}

// Times of a look at an endpoint where a run broke off.
const (
	// lookAfter lets an endpoint that ends close its other connections and its port.
	lookAfter = 20 * time.Millisecond
	lookTime  = time.Second
)

// lookAt finds out at once whether an endpoint has ended: its row tells seconds later,
// when the request may have come again three times.
func (f *Forwarder) lookAt(id, address string, limit int) {
	time.Sleep(lookAfter)
	f.crashes.ProbeStarted(id)
	ctx, cancel := context.WithTimeout(context.Background(), lookTime)
	defer cancel()
	if f.pool.Look(ctx, address, limit) == upstream.Refusing {
		f.crashes.EndpointCrashed(id, "refused look", f.clock())
	}
}
