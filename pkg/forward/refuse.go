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

// giveUp answers a request that got no answer, at once.
func (c *call) giveUp(ctx context.Context, last result) error {
	if c.in.Context().Err() != nil {
		return errCallerLeft
	}
	switch r := last.(type) {
	case notRun:
		if left, held := c.held(); held {
			return c.refuse(errQuarantined, left)
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return c.refuse(code.New(code.NoEndpoint, "its time passed before an endpoint took it"), comeBackSoon)
		}
		return c.refuse(code.New(code.NoEndpoint, r.err.Error()), c.comeBackFree())
	case unclear:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return c.refuse(code.New(code.DeadlinePassed, "its time passed while an endpoint had it"), 0)
		}
		return c.refuse(code.New(code.CallUnknown, r.err.Error()), 0)
	case answered:
		return c.relay(r)
	default:
		return c.refuse(code.New(code.Internal, "no result"), 0)
	}
}

// comeBackFree is when an endpoint takes the request: at once, or when the first of them has
// rested or takes another by its limit. A caller that came before would be refused again.
func (c *call) comeBackFree() time.Duration {
	return max(c.f.router.TimeUntilAvailable(c.query(), c.f.clock()), comeBackSoon)
}

var errCallerLeft = errors.New("the caller left")

// refuse answers with an error of the system's own. Codes that say "not run"
// are final: nothing is sent after them.
func (c *call) refuse(err error, comeBack time.Duration) error {
	found := code.Of(err)
	status := found.Status()
	if c.offered && found.Outcome() == code.NotRun && c.everUnclear() {
		// An earlier send may have run: the promise can't be given.
		found, status = code.CallUnknown, code.CallUnknown.Status()
	}
	h := c.w.Header()
	c.f.protocol.EncodeRefusal(h, c.meta.ID)
	h.Set("Content-Type", "application/json")
	if comeBack > 0 && found.Outcome() == code.NotRun && status != http.StatusNotFound && status != http.StatusUnauthorized {
		h.Set("Retry-After", strconv.FormatFloat(comeBack.Seconds(), 'f', 3, 64))
	}
	body := `{"code":` + strconv.Itoa(found.Number()) + `,"name":` + strconv.Quote(found.Name()) + `,"outcome":` + strconv.Quote(string(found.Outcome())) + "}\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.trail.status = status
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, body)
	return err
}
