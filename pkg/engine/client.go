package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/httpx"
)

// Client is an API that calls engines over HTTP.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// New returns a client. timeout applies to all calls except streams.
func New(client *http.Client, timeout time.Duration) *Client {
	return &Client{http: client, timeout: timeout}
}

// Generate starts an attempt. The error is ErrRefused if the engine rejected it without running
// it.
func (c *Client) Generate(ctx context.Context, address string, a Attempt) (Stream, error) {
	body, err := encodeAttempt(a)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathChat, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	h := request.Header
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequest, a.Prompt.RequestID)
	h.Set(HeaderAttempt, strconv.Itoa(a.Number))
	h.Set(HeaderPriority, strconv.Itoa(a.Prompt.Priority))
	h.Set(HeaderDeadline, strconv.FormatInt(a.Prompt.Deadline.UnixMilli(), 10))
	return c.open(request)
}

// encodeAttempt returns the request body: the caller's members, overridden by those that
// ironhollow sets.
func encodeAttempt(a Attempt) ([]byte, error) {
	members := map[string]json.RawMessage{}
	if len(a.Prompt.Options) > 0 {
		if err := json.Unmarshal(a.Prompt.Options, &members); err != nil {
			return nil, err
		}
	}
	set := func(name string, value any) {
		// The values are strings, numbers, booleans and lists, for which Marshal does not fail.
		members[name], _ = json.Marshal(value)
	}
	set("model", a.Prompt.Model)
	set("version", a.Prompt.Version)
	set("adapter", a.Prompt.Adapter)
	set("stream", true)
	set("seed", a.Prompt.Seed)
	set("max_tokens", a.Prompt.MaxTokens)
	set("continue", a.Continue)
	members["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	members["messages"] = a.Prompt.Messages
	return json.Marshal(members)
}

// Attach continues a stream that the engine still has, after offset tokens.
func (c *Client) Attach(ctx context.Context, address, requestID string, offset int) (Stream, error) {
	url := "http://" + address + PathStreams + requestID + "?offset=" + strconv.Itoa(offset)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return c.open(request)
}

// open sends a request and returns the stream of its response.
func (c *Client) open(request *http.Request) (Stream, error) {
	request.Header.Set(HeaderLoadFormat, LoadFormat)
	propagation.TraceContext{}.Inject(request.Context(), propagation.HeaderCarrier(request.Header))
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return newEventReader(response.Body, response.Header.Get(HeaderLoad), httpx.ParseNotice(response.StatusCode, response.Header)), nil
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	_ = response.Body.Close()
	return nil, responseError(response, string(text))
}

// responseError returns the error for a response that is not a stream.
func responseError(response *http.Response, text string) error {
	text = strings.TrimSpace(text)
	status := response.StatusCode
	switch status {
	case http.StatusNotFound:
		return ErrNoStream
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusConflict:
		return &Refusal{Reason: fmt.Sprintf("status %d: %s", status, text), Notice: refusalNotice(response)}
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %s", ErrBadRequest, text)
	}
	return fmt.Errorf("engine: status %d: %s", status, text)
}

// refusalNotice returns the notice from the headers of a refusal.
func refusalNotice(response *http.Response) endpoint.Notice {
	notice := httpx.ParseNotice(response.StatusCode, response.Header)
	notice.Refused = true
	if report, ok := parseReport(response.Header.Get(HeaderLoad)); ok {
		notice.Leaving = report.Leaving
	}
	return notice
}

// Cancel cancels a stream. It is no error if the engine does not have the stream.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	err := c.call(ctx, http.MethodDelete, address, PathStreams+requestID, nil, nil)
	var status *httpx.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Import makes the engine at address fetch the KV cache of a stream from the engine at source. It
// returns the number of tokens that were fetched.
func (c *Client) Import(ctx context.Context, address, requestID, source string) (int, error) {
	var result WireImportResult
	err := c.call(ctx, http.MethodPost, address, PathImport, WireImport{requestID, source}, &result)
	return result.Tokens, err
}

// Load returns the engine's latest load report.
func (c *Client) Load(ctx context.Context, address string) (Report, error) {
	var w WireReport
	if err := c.call(ctx, http.MethodGet, address, PathLoad, nil, &w); err != nil {
		return Report{}, err
	}
	return w.ToReport(), nil
}

// Order sends an order. The error is ErrStaleEpoch if the engine has received a higher epoch.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	err := c.call(ctx, http.MethodPost, address, PathOrders, WireOrder{o.Epoch, o.Model, o.Version, o.Adapter}, nil)
	var status *httpx.StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		return ErrStaleEpoch
	}
	return err
}

func (c *Client) call(ctx context.Context, method, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return httpx.CallJSON(ctx, c.http, method, "http://"+address+path, in, out)
}
