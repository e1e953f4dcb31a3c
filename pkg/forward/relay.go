package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ironhollow/pkg/code"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/route"
	"ironhollow/pkg/upstream"
)

func splitList(field string) []string {
	names := strings.Split(field, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return names
}

// writeHead forwards an endpoint's status and headers. A response whose end the endpoint does not
// mark is forwarded in the same way: it ends with the caller's connection.
func (c *call) writeHead(status int, header http.Header, framing upstream.Framing) {
	c.f.progress.responseBegins(c)
	h := c.w.Header()
	for name, values := range endToEndHeaders(header) {
		h[name] = values
	}
	removeDetourHeaders(h)
	if c.detour != nil {
		h.Set(headerDetourAttempts, strconv.Itoa(c.deliveredAttempts()))
		h.Set(headerDetourEndpoint, c.lastEndpoint())
		if c.origin != nil {
			h.Set(headerDetourOrigin, encodeOrigin(*c.origin))
		}
	}
	if framing == upstream.ByClose {
		h.Set("Transfer-Encoding", "identity")
	}
	if framing == upstream.ByClose || !c.incoming.ProtoAtLeast(1, 1) && h.Get("Content-Length") == "" {
		c.endsByClose = true
		c.setResetOnClose(true)
	}
	// The HTTP server must not add headers that the endpoint did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	c.w.WriteHeader(status)
	c.logEntry.status, c.hasHead = status, true
}

// setResetOnClose sets whether the caller's connection is reset when it is closed. While a response
// that ends with the connection is incomplete, it must be, also if this process ends.
func (c *call) setResetOnClose(reset bool) {
	if err := httpx.ResetOnClose(c.incoming.Context(), reset); err != nil {
		c.f.log.Error().Err(err).Bool("reset", reset).Msg("failed to set how the caller's connection is closed")
	}
}

// endByClose lets a complete response end with the caller's connection. Data that is still buffered
// in this process would be missing if the process ended before it is sent.
func (c *call) endByClose() {
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		c.f.log.Debug().Err(err).Msg("failed to send the end of a response")
		return
	}
	c.setResetOnClose(false)
}

// promisesNotRun reports whether a status promises callers that their request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// relayResponse forwards a response that is not a stream.
func (c *call) relayResponse(a answered) error {
	if promisesNotRun(a.status) && !c.mayRepeat() {
		// The endpoint does not say that it has not run the request, and its status would.
		if a.unread != nil {
			a.unread.Close()
		}
		c.endAnswer(a, false)
		return c.reject(code.New(code.CallUnknown, fmt.Sprintf("endpoint answered %d and may have run the request", a.status)), 0)
	}
	switch {
	case a.framing == upstream.ByClose:
	case c.incoming.Method == http.MethodHead:
		if a.length >= 0 {
			c.w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
		}
	case a.unread == nil:
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	case a.unread.ContentLength() >= 0:
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.unread.ContentLength(), 10))
	}
	c.writeHead(a.status, a.header, a.framing)
	c.logEntry.bytes += len(a.body)
	if _, err := c.w.Write(a.body); err != nil {
		c.endAnswer(a, false)
		return c.abortResponse(a.unread, err)
	}
	if a.unread == nil {
		return nil
	}
	defer a.unread.Close()
	defer func() { c.endAnswer(a, a.unread.IsBroken() && c.incoming.Context().Err() == nil) }()
	n, err := io.Copy(c.w, a.unread)
	c.logEntry.bytes += int(n)
	if err != nil {
		if a.unread.IsBroken() {
			c.recordBreak(a.choice, err, true)
		}
		return c.abortResponse(a.unread, err)
	}
	c.recordEnd(a.choice, a.status, a.framing)
	return nil
}

func (c *call) abortResponse(e *upstream.Exchange, err error) error {
	if e != nil {
		e.Close()
	}
	if c.incoming.Context().Err() != nil {
		return errors.Join(errTruncated, errCallerDisconnected)
	}
	return errors.Join(errTruncated, err)
}

const (
	// streamBufferBytes is the size of the buffer for events: a few of them.
	streamBufferBytes = 8 << 10
	// maxEventBytes limits one event, which is buffered until it is complete; it is some
	// thousand times the size of a model's event.
	maxEventBytes = 256 << 10
)

var (
	errEventTooLong = errors.New("event exceeds the maximum size")
	// errNoEventBuffer means that incomplete events take as much memory as they may.
	errNoEventBuffer = errors.New("no memory for a long event")
)

var (
	// errInsideEvent means that a stream ended inside an event: it was broken off, however its end
	// is marked.
	errInsideEvent = fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF)
	// errUnmarkedEnd means that the endpoint did not mark the end of a stream, and that the caller's
	// response cannot leave it unmarked as it has begun in chunks.
	errUnmarkedEnd = errors.New("the end of the resumed stream is not marked")
)

// relayStream forwards a stream event by event; firstToken is how long its head took.
// If the stream breaks off and the route allows it, it is resumed at another endpoint of its release
// after the last complete event. A stream whose run was stopped for a move continues at the endpoint that
// continues the run.
func (c *call) relayStream(ctx context.Context, choice route.Choice, current streaming, firstToken time.Duration) error {
	e := current.exchange
	originErr := c.beginAt(choice, e.Header(), current.isDetour)
	c.writeHead(e.Status(), e.Header(), e.Framing())
	s := &stream{call: c, lastEventID: c.meta.LastEventID}
	observed := route.Result{PrefillDone: true, FirstToken: firstToken}
	for {
		startedAt := c.f.clock()
		s.eventCount, c.hasBegun = 0, false
		s.choice = choice
		s.relayed = c.trackStream(choice, e, s.totalEvents)
		err := s.copyEvents(e)
		if err == nil && !e.IsDelimited() && !c.endsByClose {
			err = errUnmarkedEnd
		}
		if err != nil && current.isCutOff() {
			err = errCutOff
		}
		observed.Decode = c.f.clock().Sub(startedAt)
		observed.Tokens = (s.eventCount - 1) * c.service.TokensPerEvent
		if err != nil && originErr == nil && c.unsettled == nil && c.hasChangedRelease(choice) {
			originErr = errChangedRelease
		}
		at := c.endTracking(ctx, s.relayed, err)
		e.Close()
		isStopped := at.Place == migrate.AtTarget || at.Place == migrate.AtSource
		if next, ok := c.continueStream(ctx, s, choice, at, err); ok {
			if next.choice.Endpoint.Ref() != choice.Endpoint.Ref() {
				observed.Failed = false
				c.finishStreamAttempt(choice, current, observed)
				c.avoid = append(c.avoid, refOf(choice))
			} else {
				// The choice is completed once, at the end of the stream.
				c.f.rollouts.FinishAttempt(current.rolloutSend, c.f.clock())
			}
			choice, current, e = next.choice, next.streaming, next.exchange
			observed.FirstToken = 0
			continue
		}
		if isStopped {
			err = errors.Join(err, errNotContinued)
		}
		observed.Failed = err != nil && !errors.Is(err, errUnmarkedEnd) && !errors.Is(err, errCutOff) && ctx.Err() == nil && !isStopped
		c.finishStreamAttempt(choice, current, observed)
		// An endpoint that resumes a stream also reads the answer so far, so its first token
		// gives no measure of its speed.
		observed.FirstToken = 0
		if err == nil {
			c.recordEnd(choice, e.Status(), e.Framing())
			return nil
		}
		if (e.IsBroken() && !errors.Is(err, errCutOff) || errors.Is(err, errInsideEvent)) && !isStopped {
			c.recordBreak(choice, err, s.eventCount > 0)
		}
		c.logEntry.addNote(fmt.Sprintf("stream broke off after %d events: %v", s.eventCount, err))
		if errors.Is(err, errCallerDisconnected) || ctx.Err() != nil {
			return errors.Join(errTruncated, err)
		}
		c.avoid = append(c.avoid, refOf(choice))
		if originErr = errors.Join(originErr, c.awaitOrigin(ctx)); originErr != nil {
			return errors.Join(errTruncated, err, originErr)
		}
		var ok bool
		if choice, current, ok = c.resume(ctx, s.lastEventID); !ok {
			c.endAbandonedRun(ctx, err)
			return errors.Join(errTruncated, err)
		}
		e = current.exchange
	}
}

// finishStreamAttempt reports the end of a stream at one endpoint.
func (c *call) finishStreamAttempt(choice route.Choice, current streaming, observed route.Result) {
	if current.isDetour {
		return
	}
	c.recordRolloutStream(current, choice, observed)
	c.finishAttempt(choice, current.rolloutSend, observed)
}

// isCutOff reports whether the attempt ended because this host has lost its links to endpoints.
func (s streaming) isCutOff() bool {
	return s.ctx != nil && errors.Is(context.Cause(s.ctx), errCutOff)
}

// resume finds another endpoint that continues the stream.
func (c *call) resume(ctx context.Context, lastEventID string) (route.Choice, streaming, bool) {
	if c.detour != nil {
		// The host that forwards the request counts its attempts and resumes the stream.
		return noChoice, streaming{}, false
	}
	last := result(unclear{errTruncated})
	for c.mayRetry(ctx, last) && c.f.budget.Take(c.service.Name, c.f.fleet.Sharing(), c.f.clock()) {
		if c.takesDetour() {
			last = c.attemptDetour(ctx, true, lastEventID)
			if s, isStream := last.(streaming); isStream {
				return noChoice, s, true
			}
			last = resumeFailure(last)
			continue
		}
		choice, ok := c.chooseEndpoint(ctx)
		if !ok {
			return choice, streaming{}, false
		}
		sentAt := c.f.clock()
		rolloutSend := c.beginRolloutSend(choice)
		last = c.sendAgain(ctx, choice, lastEventID)
		c.recordAttempt(choice, last, c.f.clock().Sub(sentAt))
		c.recordOutcome(ctx, choice, last)
		c.recordRolloutOutcome(ctx, rolloutSend, last)
		if s, isStream := last.(streaming); isStream {
			c.f.router.PrefillDone(choice)
			s.rolloutSend = rolloutSend
			return choice, s, true
		}
		c.finishAttempt(choice, rolloutSend, routerResult(last))
		c.avoidAfter(choice, last)
		last = resumeFailure(last)
	}
	return noChoice, streaming{}, false
}

// resumeFailure returns the result of an attempt to resume a stream that was answered otherwise.
func resumeFailure(r result) result {
	a, isAnswer := r.(answered)
	if !isAnswer {
		return r
	}
	if a.unread != nil {
		a.unread.Close()
	}
	return unclear{fmt.Errorf("endpoint answered %d to a request to resume the stream", a.status)}
}
