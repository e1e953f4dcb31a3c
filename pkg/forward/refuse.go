package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"ironhollow/pkg/code"
)

// giveUp responds at once to a request for which no further attempt is made.
func (c *call) giveUp(ctx context.Context, last result) error {
	if c.incoming.Context().Err() != nil {
		return errCallerDisconnected
	}
	switch r := last.(type) {
	case notRun:
		if c.isQuarantined() {
			if remaining, err := c.checkQuarantine(); err != nil {
				return c.reject(err, remaining)
			}
		}
		if errors.Is(context.Cause(ctx), errProcessEnds) {
			return c.reject(code.New(code.Stopping, "the process ends before an endpoint accepted the request"), retryAfterOtherHost)
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return c.reject(code.New(code.NoEndpoint, "deadline exceeded before an endpoint accepted the request"), retryAfterShort)
		}
		if c.origin != nil {
			return c.reject(code.New(code.ReleaseUnavailable, "release "+c.origin.Release+": "+r.err.Error()), c.retryAfterAvailable())
		}
		return c.reject(code.New(code.NoEndpoint, r.err.Error()), c.retryAfterAvailable())
	case refusedByHost:
		return c.reject(code.New(r.code, "refused by the host that the request was forwarded to"), r.retryAfter)
	case unclear:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return c.reject(code.New(code.DeadlinePassed, "deadline exceeded while an endpoint was processing the request"), 0)
		}
		if errors.Is(context.Cause(ctx), errProcessEnds) {
			return c.reject(code.New(code.CallUnknown, "the process ends while an endpoint is processing the request"), 0)
		}
		if c.detour != nil {
			// The host that forwards the request may send it elsewhere.
			c.endAbandonedRun(ctx, r.err)
		}
		return c.reject(code.New(code.CallUnknown, r.err.Error()), 0)
	case answered:
		return c.relayResponse(r)
	default:
		return c.reject(code.New(code.Internal, "unexpected result type"), 0)
	}
}

// retryAfterAvailable is the time until an endpoint accepts the request: until the first
// backoff ends or the first rate limit allows another request, but at least retryAfterShort.
// A caller that came back earlier would be rejected again.
func (c *call) retryAfterAvailable() time.Duration {
	if c.slotRetryAfter > 0 {
		return c.slotRetryAfter
	}
	return max(c.f.router.TimeUntilAvailable(c.query(), c.f.clock()), retryAfterShort)
}

var errCallerDisconnected = errors.New("caller disconnected")

// reject responds with an error of the system itself. Codes with the outcome "not run"
// are final: no attempt follows them.
func (c *call) reject(err error, retryAfter time.Duration) error {
	errCode := code.Of(err)
	status := errCode.Status()
	if c.delivered && errCode.Outcome() == code.NotRun && c.mayHaveRun() {
		// An earlier attempt may have run, so "not run" can't be promised.
		errCode, status = code.CallUnknown, code.CallUnknown.Status()
	}
	if !c.hasReadBody {
		c.limitBodyTime(time.Now().Add(unreadBodyTime))
	}
	h := c.w.Header()
	c.f.protocol.EncodeRefusal(h, c.meta.ID)
	if c.detour != nil {
		h.Set(headerDetourRefusal, strconv.Itoa(errCode.Number()))
		h.Set(headerDetourAttempts, strconv.Itoa(c.deliveredAttempts()))
	}
	h.Set("Content-Type", "application/json")
	if retryAfter > 0 && errCode.Outcome() == code.NotRun && status != http.StatusNotFound && status != http.StatusUnauthorized {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	body := `{"code":` + strconv.Itoa(errCode.Number()) + `,"name":` + strconv.Quote(errCode.Name()) + `,"outcome":` + strconv.Quote(string(errCode.Outcome())) + "}\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.logEntry.status = status
	c.w.WriteHeader(status)
	c.hasHead = true
	_, _ = io.WriteString(c.w, body)
	return err
}
