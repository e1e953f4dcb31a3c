package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/route"
	"ironhollow/pkg/upstream"
)

// result is the end of one send: notRun, unclear, answered or streaming.
type result interface{ result() }

// notRun says that the request did not run and will not by this send.
type notRun struct {
	// reached says that the endpoint meant itself turned the request away, arrived
	// that some endpoint did.
	reached, arrived bool
	// moved says that another instance has the address of the one meant.
	moved bool
	err   error
}

// unclear says that the request may have run.
type unclear struct{ err error }

// answered is a whole answer, or the head of one too long to be held.
type answered struct {
	status int
	header http.Header
	body   []byte
	// rest is nil if body is all.
	rest *upstream.Exchange
	// choice is where it comes from, hasEnd says that it told where it ends.
	choice route.Choice
	hasEnd bool
}

// streaming is the head of a stream whose events are yet to be read.
type streaming struct {
	exchange *upstream.Exchange
	tracked  *rollout.Attempt
}

func (notRun) result()    {}
func (unclear) result()   {}
func (answered) result()  {}
func (streaming) result() {}

// Parameters of a send.
const (
	// holdBytes is how long a body may be to be read whole before its first
	// byte is passed on: what breaks off before can still be answered in order.
	holdBytes = 64 << 10
	// onceIdle is how long a connection may have rested for a request that
	// can't be sent again: it must not meet one that the endpoint just closes.
	onceIdle = 7 * time.Second
)

var (
	errForeign  = errors.New("the answer belongs to another request")
	errUnsigned = errors.New("the answer bears no signature")
)

// send sends the request to the chosen endpoint once and reads its answer.
func (c *call) send(ctx context.Context, choice route.Choice, lastEvent string) result {
	request := c.request(choice, lastEvent)
	c.sentAt = c.f.clock()
	c.said = endpoint.Notice{}
	outcome := c.f.pool.Send(ctx, choice.Endpoint.Address, c.connectionLimit(), request)
	switch o := outcome.(type) {
	case upstream.NotSent:
		return notRun{err: o.Err}
	case upstream.Unclear:
		return unclear{o.Err}
	case upstream.Answered:
		return c.judge(choice, o.Exchange)
	default:
		return unclear{fmt.Errorf("outcome %T", outcome)}
	}
}

func (c *call) request(choice route.Choice, lastEvent string) upstream.Request {
	h := make(http.Header, len(c.header)+3)
	for name, values := range c.header {
		h[name] = values
	}
	c.f.protocol.EncodeAttempt(h, AttemptMeta{
		EndpointID:  choice.Endpoint.ID,
		Remaining:   time.Until(c.deadline),
		Team:        c.teamName(),
		Priority:    c.priority,
		HasPriority: choice.Endpoint.Engine,
		LastEventID: lastEvent,
	})
	return upstream.Request{
		Method:  c.in.Method,
		Target:  c.in.RequestURI,
		Host:    c.in.Host,
		Header:  h,
		Body:    c.body,
		HasBody: c.hasBody,
		MaxIdle: c.maxIdle(),
	}
}

// connectionLimit is this entry's part of the connections an endpoint accepts.
func (c *call) connectionLimit() int {
	if c.service.Connections == 0 {
		return 0
	}
	return max(int(c.f.fleet.Share()*float64(c.service.Connections)), 1)
}

// judge tells what an answer's head says and reads its body.
func (c *call) judge(choice route.Choice, e *upstream.Exchange) result {
	verdict := c.f.protocol.DecodeResponse(e.Status(), e.Header())
	if verdict.RequestID != c.meta.ID {
		e.Spoil()
		e.Close()
		return unclear{errForeign}
	}
	if e.Status()/100 != 2 || verdict.Signed {
		c.said = noticeOf(verdict)
		c.f.notices.ApplyResponse(choice.Endpoint, c.said, c.sentAt, c.f.clock())
	}
	if verdict.NotRun {
		drain(e)
		e.Close()
		return notRun{reached: !verdict.Moved, arrived: true, moved: verdict.Moved, err: fmt.Errorf("the endpoint turned it away with %d", e.Status())}
	}
	if e.Status()/100 == 2 && !verdict.Signed {
		e.Spoil()
		e.Close()
		return unclear{errUnsigned}
	}
	if e.Status()/100 == 2 && strings.HasPrefix(e.Header().Get("Content-Type"), "text/event-stream") {
		return streaming{exchange: e}
	}
	return readAnswer(choice, e)
}

// noticeOf returns what an answer says of the endpoint that was meant: that it is not there,
// where another instance has its address. A success without a signature may be anybody's
// bytes, and is not asked.
func noticeOf(v ResponseMeta) endpoint.Notice {
	if v.Moved {
		return endpoint.Notice{Moved: true}
	}
	notice := v.Notice
	notice.Refused = v.NotRun
	return notice
}

// drain reads the rest of a short body, so that its connection can be kept.
func drain(e *upstream.Exchange) {
	_, _ = io.CopyN(io.Discard, e, holdBytes)
}

// readAnswer reads a body up to holdBytes.
func readAnswer(choice route.Choice, e *upstream.Exchange) result {
	var held bytes.Buffer
	_, err := io.CopyN(&held, e, holdBytes)
	switch {
	case errors.Is(err, io.EOF):
		e.Close()
		return answered{status: e.Status(), header: e.Header(), body: held.Bytes(), choice: choice, hasEnd: e.HasEnd()}
	case err != nil:
		e.Close()
		return unclear{fmt.Errorf("the answer broke off after %d bytes: %w", held.Len(), err)}
	default:
		return answered{status: e.Status(), header: e.Header(), body: held.Bytes(), rest: e, choice: choice, hasEnd: e.HasEnd()}
	}
}

// ending tells the router how a send ended.
func ending(r result) route.Result {
	switch r := r.(type) {
	case notRun:
		return route.Result{Failed: !r.reached, Refused: r.reached}
	case unclear:
		return route.Result{Failed: !errors.Is(r.err, context.Canceled)}
	case answered:
		return route.Result{Failed: r.status >= http.StatusInternalServerError}
	default:
		return route.Result{}
	}
}

func refOf(c route.Choice) endpoint.Ref { return c.Endpoint.Ref() }
