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

// Client is an API over HTTP.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// New returns a client. Calls other than streams take no longer than timeout.
func New(client *http.Client, timeout time.Duration) *Client {
	return &Client{http: client, timeout: timeout}
}

// Generate starts an attempt. ErrRefused is returned where it did not start.
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

// encodeAttempt puts the members ironhollow decides over the caller's own.
func encodeAttempt(a Attempt) ([]byte, error) {
	members := map[string]json.RawMessage{}
	if len(a.Prompt.Options) > 0 {
		if err := json.Unmarshal(a.Prompt.Options, &members); err != nil {
			return nil, err
		}
	}
	set := func(name string, value any) {
		// Strings, numbers and lists of them always encode.
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

// Attach goes on with a stream that the engine still keeps.
func (c *Client) Attach(ctx context.Context, address, request string, offset int) (Stream, error) {
	url := "http://" + address + PathStreams + request + "?offset=" + strconv.Itoa(offset)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return c.open(r)
}

func (c *Client) open(request *http.Request) (Stream, error) {
	request.Header.Set(HeaderLoadFormat, LoadFormat)
	propagation.TraceContext{}.Inject(request.Context(), propagation.HeaderCarrier(request.Header))
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return newEventReader(response.Body, response.Header.Get(HeaderLoad), httpx.NoticeOf(response.StatusCode, response.Header)), nil
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	_ = response.Body.Close()
	return nil, errorOf(response, string(text))
}

func errorOf(response *http.Response, text string) error {
	text = strings.TrimSpace(text)
	status := response.StatusCode
	switch status {
	case http.StatusNotFound:
		return ErrNoStream
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusConflict:
		return &Refusal{Reason: fmt.Sprintf("status %d: %s", status, text), Notice: noticeOf(response)}
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %s", ErrBadRequest, text)
	}
	return fmt.Errorf("engine: status %d: %s", status, text)
}

// noticeOf reads what an answer's head says of its engine.
func noticeOf(response *http.Response) endpoint.Notice {
	notice := httpx.NoticeOf(response.StatusCode, response.Header)
	notice.Refused = true
	if report, ok := parseReport(response.Header.Get(HeaderLoad)); ok {
		notice.Leaving = report.Leaving
	}
	return notice
}

// Cancel ends a stream; an unknown one is ended already.
func (c *Client) Cancel(ctx context.Context, address, request string) error {
	err := c.call(ctx, http.MethodDelete, address, PathStreams+request, nil, nil)
	var status *httpx.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Import makes the engine at address fetch a stream's KV cache from source.
func (c *Client) Import(ctx context.Context, address, request, source string) (int, error) {
	var imported WireImportResult
	err := c.call(ctx, http.MethodPost, address, PathImport, WireImport{request, source}, &imported)
	return imported.Tokens, err
}

// Load reads the engine's latest report.
func (c *Client) Load(ctx context.Context, address string) (Report, error) {
	var w WireReport
	if err := c.call(ctx, http.MethodGet, address, PathLoad, nil, &w); err != nil {
		return Report{}, err
	}
	return w.Report(), nil
}

// Order gives an order; ErrStale where the engine has seen a later epoch.
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
