// Package plainservice is the edge to plain services: one call, sent once.
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
	// HeaderKey carries the caller's key for the call.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline is when the call must no longer start to run, in Unix
	// milliseconds. Only some endpoints check it.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderNotRun is set by endpoints that turned a call away unrun.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is 1 in the answers of endpoints that leave.
	HeaderLeaving = "X-Leaving"
)

// DeadlinePassed reports whether a call's deadline lies before now.
func DeadlinePassed(h http.Header, now time.Time) bool {
	ms, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 64)
	return err == nil && now.After(time.UnixMilli(ms))
}

// Call is one call to a plain service.
type Call struct {
	Method string
	// Path and query as the caller gave them below the service's name.
	Path   string
	Header http.Header
	Body   io.Reader
	// Length is the body's length, -1 if not known.
	Length   int64
	Deadline time.Time
	// Once says that the call may not be repeated.
	Once bool
}

// Answer is what the endpoint said. Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Notice is what the answer says of the endpoint itself.
	Notice endpoint.Notice
}

// ErrNotSent says that no byte of the call can have reached the endpoint, or
// that the endpoint itself said that it did not run the call.
var ErrNotSent = errors.New("plainservice: not sent")

// TurnedAway is an ErrNotSent of an endpoint that did not run the call by its own word.
type TurnedAway struct{ Notice endpoint.Notice }

// Error says that the endpoint turned the call away.
func (*TurnedAway) Error() string { return "plainservice: endpoint turned the call away" }

// Unwrap makes it an ErrNotSent.
func (*TurnedAway) Unwrap() error { return ErrNotSent }

// noticeOf reads what an answer's head says of its endpoint.
func noticeOf(response *http.Response) endpoint.Notice {
	notice := httpx.ParseNotice(response.StatusCode, response.Header)
	notice.Refused = response.Header.Get(HeaderNotRun) != ""
	notice.Leaving, _ = strconv.ParseBool(response.Header.Get(HeaderLeaving))
	return notice
}

// API sends calls.
type API interface {
	// Send sends a call once. An error that is not ErrNotSent leaves open
	// whether the call ran.
	Send(ctx context.Context, address string, call Call) (Answer, error)
}

// Client is an API over HTTP.
type Client struct {
	repeatable *http.Client
	once       *http.Client
}

// New returns a client. Calls that may be repeated share the given client's
// connections. The others get a connection each: net/http resends a request on
// its own when a kept connection turns out dead, if the request has no body or
// bears an Idempotency-Key, and that would be a second run.
func New(client *http.Client) *Client {
	once := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: client.CheckRedirect,
	}
	return &Client{repeatable: client, once: once}
}

// Send sends a call; one marked Once leaves this process once at most.
func (c *Client) Send(ctx context.Context, address string, call Call) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, onceReader(call))
	if err != nil {
		return Answer{}, errors.Join(ErrNotSent, err)
	}
	request.ContentLength = call.Length
	request.Header = EndToEnd(call.Header)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(call.Deadline.UnixMilli(), 10))
	request.GetBody = nil
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	client := c.repeatable
	if call.Once {
		client = c.once
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, classify(err)
	}
	if response.Header.Get(HeaderNotRun) != "" {
		_ = response.Body.Close()
		return Answer{}, &TurnedAway{noticeOf(response)}
	}
	return Answer{response.StatusCode, EndToEnd(response.Header), response.Body, noticeOf(response)}, nil
}

// onceReader hides a body's type, so that net/http can't rewind and resend it.
func onceReader(call Call) io.Reader {
	if call.Body == nil || call.Length == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{call.Body}
}

// classify tells a failed dial, after which nothing was sent, from the rest.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Join(ErrNotSent, err)
	}
	return err
}

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of headers without those of one connection, and
// without the caller's bearer key.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	out.Del("Authorization")
	return out
}
