// Package operatorclient is a client of the operators' API of control processes.
package operatorclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"ironhollow/pkg/code"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/operatorapi/operatorwire"
	"ironhollow/pkg/pause"
)

// Client calls the first of several control processes that answers.
type Client struct {
	servers    []string
	key        string
	scheme     string
	httpClient *http.Client
}

// callTimeout is the timeout of one call to one server.
const callTimeout = 10 * time.Second

// maxResponseBytes is the maximum number of bytes read from one response.
const maxResponseBytes = 64 << 20

// New returns a client that tries the servers in order. If caFile is empty, it does not use TLS.
func New(servers []string, key, caFile string) (*Client, error) {
	c := &Client{servers: servers, key: key, scheme: "http", httpClient: &http.Client{Timeout: callTimeout, Transport: newTransport(nil)}}
	if caFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("--ca: %s holds no certificate", caFile)
	}
	c.scheme = "https"
	c.httpClient.Transport = newTransport(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12})
	return c, nil
}

func newTransport(config *tls.Config) http.RoundTripper {
	return httpx.NewStrictTransport(&http.Transport{
		DialContext: httpx.DialReportingResets((&net.Dialer{}).DialContext), MaxResponseHeaderBytes: httpx.MaxHeadBytes, TLSClientConfig: config,
	})
}

// Error is an error response of a server.
type Error struct {
	Body operatorwire.Error
}

// Number returns the number of the result code.
func (e *Error) Number() int { return e.Body.Number }

// Error returns the number and name of the result code and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Body.Number, e.Body.Code, e.Body.Message)
}

// call tries the servers in order until one returns a result or an Error.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	_, err := c.callNotingLoss(ctx, method, path, in, out)
	return err
}

// callNotingLoss is like call and also reports whether a server may have received the request
// although its response was lost.
func (c *Client) callNotingLoss(ctx context.Context, method, path string, in, out any) (responseLost bool, err error) {
	encoded, err := json.Marshal(in)
	if err != nil {
		return false, err
	}
	for _, server := range c.servers {
		err = c.callServer(ctx, method, c.scheme+"://"+server+path, encoded, out)
		if _, isServerError := err.(*Error); err == nil || isServerError {
			return responseLost, err
		}
		responseLost = responseLost || !isDialError(err)
	}
	return responseLost, err
}

// isDialError reports whether a call failed before the request was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (c *Client) callServer(ctx context.Context, method, url string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusAccepted {
		serverError := &Error{}
		if json.Unmarshal(data, &serverError.Body) != nil || serverError.Number() == 0 {
			return fmt.Errorf("%s: %s: %s", url, response.Status, bytes.TrimSpace(data))
		}
		return serverError
	}
	if out == nil {
		return nil
	}
	// An empty body is an error too: the response may have ended early.
	return json.Unmarshal(data, out)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (int64, []fleet.Section, error) {
	var response operatorwire.Config
	if err := c.call(ctx, http.MethodGet, "/v1/config", nil, &response); err != nil {
		return 0, nil, err
	}
	sections := make([]fleet.Section, len(response.Sections))
	for i, s := range response.Sections {
		sections[i] = fleet.NewSection(s.Kind, s.Name, s.Body)
	}
	return response.Revision, sections, nil
}

// Limits for the retries of an apply whose outcome is unknown.
const (
	maxApplyAttempts = 5
	applyRetryDelay  = 500 * time.Millisecond
)

// Apply puts sections in force as the revision after seenRevision. If a response is lost, it
// retries with the same request ID, which the server applies at most once.
func (c *Client) Apply(ctx context.Context, seenRevision int64, sections []fleet.Section) (int64, error) {
	requestID := make([]byte, 16)
	_, _ = rand.Read(requestID) // crypto/rand.Read never fails.
	request := operatorwire.ApplyRequest{SeenRevision: seenRevision, RequestID: hex.EncodeToString(requestID), Sections: operatorwire.FromSections(sections)}
	var err error
	responseLost := false
	for range maxApplyAttempts {
		var response operatorwire.ApplyResponse
		var lost bool
		lost, err = c.callNotingLoss(ctx, http.MethodPost, "/v1/config", request, &response)
		if err == nil {
			return response.Revision, nil
		}
		responseLost = responseLost || lost
		if isFinal(err, responseLost) {
			return 0, err
		}
		responseLost = true
		if !pause.For(ctx, applyRetryDelay) {
			err = ctx.Err()
			break
		}
	}
	return 0, fmt.Errorf("it is not known whether the configuration was applied: %w", err)
}

// isFinal reports whether an error determines the outcome of an apply. A server's error with the
// outcome Unknown does not. After a response has been lost only RevisionConflict does, as it is read
// from the store: the other errors say nothing about an earlier attempt, which may have been applied.
func isFinal(err error, responseLost bool) bool {
	serverError, isServerError := err.(*Error)
	if !isServerError {
		return false
	}
	if responseLost {
		return serverError.Number() == code.RevisionConflict.Number()
	}
	c, known := code.ByNumber(serverError.Number())
	return known && c.Outcome() != code.Unknown
}

// Status returns the status of the first control process that answers.
func (c *Client) Status(ctx context.Context) (operatorwire.ControlStatus, error) {
	var status operatorwire.ControlStatus
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// CallAdmin calls the admin port of the entry at address.
func (c *Client) CallAdmin(ctx context.Context, method, address, path string, out any) error {
	return c.callServer(ctx, method, "http://"+address+path, nil, out)
}
