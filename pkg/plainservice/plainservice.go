// Package plainservice is a client of plain services. It sends a call to one endpoint, without
// retries.
package plainservice

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/httpx"
)

// Headers between ironhollow and plain services.
const (
	// HeaderKey is the caller's idempotency key for the call.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline is the time after which the call must not start to run, in Unix milliseconds.
	// Only some endpoints check it.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderNotRun is set by endpoints that rejected a call without running it.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is 1 in responses of endpoints that are leaving.
	HeaderLeaving = "X-Leaving"
)

// DeadlinePassed reports whether the deadline of a call is before now.
func DeadlinePassed(h http.Header, now time.Time) bool {
	ms, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 64)
	return err == nil && now.After(time.UnixMilli(ms))
}

// Call is one call to a plain service.
type Call struct {
	Method string
	// Path is the path and query of the caller's request after the name of the service.
	Path   string
	Header http.Header
	Body   io.Reader
	// Length is the length of the body, or -1 if it is not known.
	Length   int64
	Deadline time.Time
	// AtMostOnce is set if the call must not be repeated.
	AtMostOnce bool
}

// Response is the response of an endpoint. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// EndUnmarked is set if the body has neither a length nor chunks. It ends when the connection is
	// closed, which a crash of the endpoint does too, so its end does not show that it is complete.
	EndUnmarked bool
	// Notice is what the response says about the endpoint itself.
	Notice endpoint.Notice
}

// ErrNotSent is the error if no byte of the call can have reached the endpoint, or if the endpoint
// reported that it did not run the call.
var ErrNotSent = errors.New("plainservice: not sent")

// RejectedError is an ErrNotSent for a call that the endpoint reported as not run.
type RejectedError struct{ Notice endpoint.Notice }

// Error implements the error interface.
func (*RejectedError) Error() string { return "plainservice: endpoint turned the call away" }

// Unwrap makes errors.Is match ErrNotSent.
func (*RejectedError) Unwrap() error { return ErrNotSent }

// noticeOf reads what the status and the headers of a response say about its endpoint.
func noticeOf(response *http.Response) endpoint.Notice {
	notice := httpx.ParseNotice(response.StatusCode, response.Header)
	notice.Refused = response.Header.Get(HeaderNotRun) != ""
	notice.Leaving, _ = strconv.ParseBool(response.Header.Get(HeaderLeaving))
	return notice
}

// API sends calls to plain services.
type API interface {
	// Send sends a call once. After an error other than ErrNotSent it is unknown whether the call
	// ran.
	Send(ctx context.Context, address string, call Call) (Response, error)
}

// Client is an API over HTTP.
type Client struct {
	repeatable *http.Client
	atMostOnce *http.Client
}

// New returns a client. Calls that may be repeated share the connections of the given client. Each
// other call gets a connection of its own: net/http resends a request by itself when a kept
// connection turns out to be dead, if the request has no body or has an Idempotency-Key, and the
// call would run twice.
func New(client *http.Client) *Client {
	atMostOnce := &http.Client{
		Transport: httpx.NewStrictTransport(&http.Transport{
			DialContext:       httpx.DialReportingResets((&net.Dialer{}).DialContext),
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: httpx.MaxHeadBytes,
		}),
		CheckRedirect: client.CheckRedirect,
	}
	return &Client{repeatable: client, atMostOnce: atMostOnce}
}

// Send sends a call. A call with AtMostOnce set leaves this process at most once.
func (c *Client) Send(ctx context.Context, address string, call Call) (Response, error) {
	ctx, trace := httpx.TraceConnection(ctx)
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, unseekableBody(call))
	if err != nil {
		return Response{}, errors.Join(ErrNotSent, err)
	}
	request.ContentLength = call.Length
	request.Header = EndToEndHeaders(call.Header)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(call.Deadline.UnixMilli(), 10))
	request.GetBody = nil
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	client := c.repeatable
	if call.AtMostOnce {
		client = c.atMostOnce
	}
	response, err := client.Do(request)
	if err != nil {
		if !trace.HasConnection() {
			err = errors.Join(ErrNotSent, err)
		}
		return Response{}, err
	}
	if response.Header.Get(HeaderNotRun) != "" {
		_ = response.Body.Close()
		return Response{}, &RejectedError{noticeOf(response)}
	}
	return Response{
		Status: response.StatusCode, Header: EndToEndHeaders(response.Header), Body: response.Body, EndUnmarked: isEndUnmarked(response),
		Notice: noticeOf(response),
	}, nil
}

// isEndUnmarked reports whether a response ends with its connection (RFC 9112, section 6.3).
func isEndUnmarked(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// unseekableBody hides the type of the body, so that net/http cannot rewind and resend it.
func unseekableBody(call Call) io.Reader {
	if call.Body == nil || call.Length == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{call.Body}
}

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeaders returns a copy of h without the headers that apply to a single connection,
// including those named in Connection, and without Authorization, which holds the caller's bearer
// key.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	return out
}
