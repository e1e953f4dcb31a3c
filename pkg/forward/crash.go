package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/route"
	"ironhollow/pkg/upstream"
)

// A request may crash each endpoint that runs it, and be retried through any host. What is
// known of it must therefore outlive a single attempt: it is kept by the request's
// fingerprint and shared by all hosts. Before that, one such request ended 11 endpoints in
// 13 s, with all that ran there.

// errQuarantined rejects a request under which several endpoints have ended.
var errQuarantined = code.New(code.Quarantined, "endpoints ended under this request")

// identify sets what identifies the request and the parts of its prompt at its service.
func (c *call) identify() {
	f := quarantine.FingerprintOf(c.incoming.Method, c.incoming.RequestURI, c.teamName(), c.body)
	prompt := quarantine.Prompt{Scope: c.service.Name, Team: c.teamName()}
	for _, part := range c.meta.Prefix[:max(len(c.meta.Prefix)-1, 0)] {
		prompt.Parts = append(prompt.Parts, strconv.FormatUint(part.Hash, 16))
	}
	c.identity = quarantine.NewRequest(f, prompt)
}

// checkQuarantine returns an error if endpoints crashed under the request or under a part of its prompt.
func (c *call) checkQuarantine() (retryAfter time.Duration, err error) {
	c.identify()
	verdict, admitted, isTrial := c.f.crashes.CheckRequest(c.identity, c.f.clock())
	c.isTrial = isTrial
	if admitted {
		return 0, nil
	}
	c.logEntry.quarantine = &verdict
	return verdict.RetryAfter, errQuarantined
}

// mayRetryInterrupted reports whether a request whose run broke off may run elsewhere. It may not if one
// more crash would quarantine it.
func (c *call) mayRetryInterrupted() bool {
	return !c.isTrial && !c.f.crashes.IsLastAttempt(quarantine.Run{Request: c.identity, Answered: c.hasBegun}, c.f.clock())
}

// isQuarantined reports whether the request has been quarantined since it was admitted.
func (c *call) isQuarantined() bool {
	return !c.isTrial && c.f.crashes.Blocks(c.identity, c.f.clock())
}

// recordBeginning records that an endpoint has sent the beginning of the answer.
func (c *call) recordBeginning(choice route.Choice) {
	if choice.Endpoint.ID != noChoice.Endpoint.ID {
		c.f.crashes.AnswerBegan(c.identity, c.f.clock())
	}
}

// recordOutcome records what the outcome of an attempt shows about the request and its
// endpoint.
func (c *call) recordOutcome(ctx context.Context, choice route.Choice, r result) {
	switch r := r.(type) {
	case answered:
		if r.status < http.StatusInternalServerError && (r.unread != nil || r.framing != upstream.ByClose) {
			c.recordBeginning(choice)
		}
		if r.unread == nil {
			c.recordEnd(choice, r.status, r.framing)
		}
	case unclear:
		if ctx.Err() == nil {
			c.recordBreak(choice, r.err, c.hasBegun)
		}
	case notRun:
		switch {
		case c.f.links.IsCut():
		case r.moved:
			c.f.crashes.EndpointCrashed(choice.Endpoint.ID, "another instance at its address", c.f.clock())
		case errors.Is(r.err, syscall.ECONNREFUSED):
			c.f.crashes.EndpointCrashed(choice.Endpoint.ID, "refused connection", c.f.clock())
		}
	}
}

// recordEnd records that a response has ended without a break. If the endpoint marked its end, it
// survived the request, unless the response is a server error. Otherwise the endpoint may have
// crashed.
func (c *call) recordEnd(choice route.Choice, status int, framing upstream.Framing) {
	switch {
	case choice.Endpoint.ID == noChoice.Endpoint.ID:
	case framing == upstream.ByClose:
		c.f.metrics.unmarkedEnds.WithLabelValues(c.service.Name).Inc()
		c.recordBreak(choice, io.EOF, c.hasBegun)
	case status < http.StatusInternalServerError:
		c.f.crashes.AnswerCompleted(c.identity, c.f.clock())
	}
}

// minPlannedRun is how long a run must have lasted for a planned shutdown to have
// interrupted it: an endpoint that leaves serves on for two seconds.
const minPlannedRun = time.Second

// recordBreak records that a run broke off at an endpoint, unless the endpoint's shutdown was
// planned: while it ran the request, it reported that it leaves or its row was removed. answered is set
// if the endpoint had sent the beginning of the answer.
func (c *call) recordBreak(choice route.Choice, err error, answered bool) {
	id := choice.Endpoint.ID
	c.recordLoss(choice, err)
	if id == noChoice.Endpoint.ID || c.incoming.Context().Err() != nil || !isPeerDisconnect(err) || c.f.links.IsCut() {
		return
	}
	info, ok := c.f.router.Lookup(id)
	if leaving := !ok || info.State != endpoint.Live; leaving && c.f.clock().Sub(c.sentAt) >= minPlannedRun {
		return
	}
	run := quarantine.Run{Request: c.identity, Answered: answered}
	if c.f.crashes.RecordInterruption(id, run, c.f.clock()) {
		go c.f.probeEndpoint(id, choice.Endpoint.Address, c.connectionLimit())
	}
}

// isPeerDisconnect reports whether a connection error was caused by the other end.
func isPeerDisconnect(err error) bool {
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}

// Timing of the probe of an endpoint where a run broke off.
const (
	// probeDelay lets an endpoint that exits close its other connections and its port.
	probeDelay   = 20 * time.Millisecond
	probeTimeout = time.Second
)

// probeEndpoint finds out at once whether an endpoint has exited: its row shows that only
// seconds later, when the request may have been retried three times.
func (f *Forwarder) probeEndpoint(id, address string, limit int) {
	time.Sleep(probeDelay)
	f.crashes.ProbeStarted(id)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if f.pool.Probe(ctx, address, limit) == upstream.Refusing && !f.links.IsCut() {
		f.crashes.EndpointCrashed(id, "refused look", f.clock())
	}
}
