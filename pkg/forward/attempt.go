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

// result is the outcome of one attempt: notRun, unclear, answered or streaming.
type result interface{ result() }

// notRun means that the request did not run and will not run because of this attempt.
type notRun struct {
	// rejectedByTarget is set if the chosen endpoint itself rejected the request,
	// rejectedByAny if any endpoint did.
	rejectedByTarget, rejectedByAny bool
	// moved is set if another instance now has the address of the chosen endpoint.
	moved bool
	err   error
}

// unclear means that the request may have run.
type unclear struct{ err error }

// answered is a complete response, or the start of one that is too long to buffer.
type answered struct {
	status int
	header http.Header
	body   []byte
	// unread is nil if body is the whole response body.
	unread *upstream.Exchange
	// length is the length that the endpoint names, or -1. That of a HEAD response is not the body's.
	length int64
	// choice is the endpoint choice that the response comes from.
	choice  route.Choice
	framing upstream.Framing
	// isOpen is set while the attempt is in progress, as the rest of the body is unread. rolloutSend is
	// then that of the attempt.
	isOpen      bool
	rolloutSend *rollout.Attempt
}

// streaming is the head of a stream whose events have not been read.
type streaming struct {
	exchange    *upstream.Exchange
	rolloutSend *rollout.Attempt
	// ctx is the context of the attempt, nil for one through another host.
	ctx context.Context
	// isDetour is set if the stream comes through another host, which records what it shows.
	isDetour bool
}

func (notRun) result()    {}
func (unclear) result()   {}
func (answered) result()  {}
func (streaming) result() {}

// Parameters of an attempt.
const (
	// maxBufferedBytes is the size up to which a body is read in full before its first
	// byte is forwarded, so that a response that breaks off can still be replaced by an
	// error response.
	maxBufferedBytes = 64 << 10
	// nonRepeatableMaxIdle is how long a connection may have been idle for a request
	// that can't be sent again: the endpoint may be closing one that was idle for longer.
	nonRepeatableMaxIdle = 7 * time.Second
)

var (
	errWrongRequestID = errors.New("response has the id of another request")
	errUnsigned       = errors.New("response has no signature")
)

// copyOf names the copy of a run's memory that an attempt continues from; empty if there is none.
type copyOf struct{ sourceAddress, handle string }

// sendFrom sends the request to the chosen endpoint once and reads its response. The run continues from a
// copy of its memory, if there is one.
func (c *call) sendFrom(ctx context.Context, choice route.Choice, from copyOf, lastEventID string) result {
	request := c.newRequest(choice, from, lastEventID)
	c.sentAt, c.continues = c.f.clock(), from.handle != ""
	c.hasBegun = false
	c.notice = endpoint.Notice{}
	c.connection, c.connectionRequests, c.isEarly = 0, 0, false
	ctx, request.DialContext = c.untilCut(ctx)
	if c.origin != nil && !c.continues {
		// A lost connection may show only now that the request needs one.
		request.Accepts = func() bool { return c.f.confirmsNow(choice) }
	}
	c.f.progress.sentTo(c, choice.Endpoint.ID)
	outcome := c.f.pool.Send(ctx, choice.Endpoint.Address, c.connectionLimit(), request)
	switch o := outcome.(type) {
	case upstream.NotSent:
		if !errors.Is(o.Err, upstream.ErrConnectionLimit) && !errors.Is(o.Err, upstream.ErrDeclined) && ctx.Err() == nil {
			c.unreachable++
		}
		return notRun{err: o.Err}
	case upstream.MaybeSent:
		return unclear{o.Err}
	case upstream.Answered:
		c.connection, c.connectionRequests = o.Exchange.Connection()
		c.isEarly = o.Exchange.IsEarly()
		r := c.classify(choice, o.Exchange)
		if s, isStream := r.(streaming); isStream {
			s.ctx = ctx
			return s
		}
		return r
	default:
		return unclear{fmt.Errorf("unexpected outcome %T", outcome)}
	}
}

func (c *call) newRequest(choice route.Choice, from copyOf, lastEventID string) upstream.Request {
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
		LastEventID: lastEventID,
		CopyAddress: from.sourceAddress,
		CopyHandle:  from.handle,
	})
	return upstream.Request{
		Method:  c.incoming.Method,
		Target:  c.incoming.RequestURI,
		Host:    c.incoming.Host,
		Header:  h,
		Body:    c.body,
		HasBody: c.hasBody,
		MaxIdle: c.maxIdle(),
		Avoid:   c.usedConnections(),
	}
}

// connectionLimit is this entry host's share of the connections that an endpoint accepts.
func (c *call) connectionLimit() int {
	if c.service.MaxConnections == 0 {
		return 0
	}
	return max(int(c.f.fleet.Share()*float64(c.service.MaxConnections)), 1)
}

// classify turns the head of a response into a result and reads its body.
func (c *call) classify(choice route.Choice, e *upstream.Exchange) result {
	meta := c.f.protocol.DecodeResponse(e.Status(), e.Header())
	if meta.RequestID != c.meta.ID {
		e.DisableReuse()
		e.Close()
		return unclear{errWrongRequestID}
	}
	if e.Status()/100 != 2 || meta.Signed {
		c.notice = noticeOf(meta)
		c.f.notices.ApplyResponse(choice.Endpoint, c.notice, c.sentAt, c.f.clock())
	}
	if meta.NotRun {
		drainBody(e)
		e.Close()
		return notRun{rejectedByTarget: !meta.Moved, rejectedByAny: true, moved: meta.Moved, err: fmt.Errorf("endpoint rejected the request with status %d", e.Status())}
	}
	if e.Status()/100 == 2 && !meta.Signed {
		e.DisableReuse()
		e.Close()
		return unclear{errUnsigned}
	}
	if e.Status()/100 == 2 && strings.HasPrefix(e.Header().Get("Content-Type"), "text/event-stream") {
		return streaming{exchange: e}
	}
	r, hasBegun := readResponse(choice, e)
	c.hasBegun = hasBegun
	return r
}

// noticeOf returns what a response reports about the chosen endpoint: only that it is not
// there, if another instance has its address. It must not be called for a success without a
// signature, whose bytes may come from anyone.
func noticeOf(meta ResponseMeta) endpoint.Notice {
	if meta.Moved {
		return endpoint.Notice{Moved: true}
	}
	notice := meta.Notice
	notice.Refused = meta.NotRun
	return notice
}

// drainBody reads the rest of a short body, so that its connection can be reused.
func drainBody(e *upstream.Exchange) {
	_, _ = io.CopyN(io.Discard, e, maxBufferedBytes)
}

// readResponse reads up to maxBufferedBytes of a body. hasBegun is set if there are any.
func readResponse(choice route.Choice, e *upstream.Exchange) (r result, hasBegun bool) {
	var buffered bytes.Buffer
	_, err := io.CopyN(&buffered, e, maxBufferedBytes)
	switch {
	case errors.Is(err, io.EOF):
		e.Close()
		return answered{length: e.ContentLength(), status: e.Status(), header: e.Header(), body: buffered.Bytes(), choice: choice, framing: e.Framing()}, buffered.Len() > 0
	case err != nil:
		e.Close()
		return unclear{fmt.Errorf("the answer broke off after %d bytes: %w", buffered.Len(), err)}, buffered.Len() > 0
	default:
		return answered{length: e.ContentLength(), status: e.Status(), header: e.Header(), body: buffered.Bytes(), unread: e, choice: choice, framing: e.Framing()}, true
	}
}

// routerResult returns the outcome of an attempt for the router.
func routerResult(r result) route.Result {
	switch r := r.(type) {
	case notRun:
		isRefused := r.rejectedByTarget || errors.Is(r.err, upstream.ErrDeclined)
		return route.Result{Failed: !isRefused, Refused: isRefused}
	case unclear:
		return route.Result{Failed: !errors.Is(r.err, context.Canceled) && !errors.Is(r.err, errCutOff) && !errors.Is(r.err, errProcessEnds)}
	case answered:
		return route.Result{Failed: r.status >= http.StatusInternalServerError}
	default:
		return route.Result{}
	}
}

// noChoice is the choice for an attempt through another host, which has chosen the endpoint.
var noChoice route.Choice

func refOf(c route.Choice) endpoint.Ref { return c.Endpoint.Ref() }
