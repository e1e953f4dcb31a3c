// Package operatorclient calls the operators' edge of a control process.
package operatorclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"ironhollow/pkg/code"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/operatorapi/operatorwire"
	"ironhollow/pkg/pause"
)

// Client calls one of several control processes.
type Client struct {
	servers []string
	key     string
	scheme  string
	http    *http.Client
}

// callTime bounds one call.
const callTime = 10 * time.Second

// maxAnswer bounds the bytes read of one answer.
const maxAnswer = 64 << 20

// New returns a client that tries the servers in order. caFile is empty for no
// TLS.
func New(servers []string, key, caFile string) (*Client, error) {
	c := &Client{servers: servers, key: key, scheme: "http", http: &http.Client{Timeout: callTime, Transport: &http.Transport{}}}
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
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return c, nil
}

// Error is a numbered error of the server.
type Error struct {
	Body operatorwire.Error
}

// Number returns the result code's number.
func (e *Error) Number() int { return e.Body.Number }

// Error gives number, name and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Body.Number, e.Body.Code, e.Body.Message)
}

// call asks the servers in order until one answers.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	encoded, err := json.Marshal(in)
	if err != nil {
		return err
	}
	var last error
	for _, server := range c.servers {
		last = c.callOne(ctx, method, c.scheme+"://"+server+path, encoded, out)
		if _, answered := last.(*Error); last == nil || answered {
			return last
		}
	}
	return last
}

func (c *Client) callOne(ctx context.Context, method, url string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusAccepted {
		refused := &Error{}
		if json.Unmarshal(data, &refused.Body) != nil || refused.Number() == 0 {
			return fmt.Errorf("%s: %s: %s", url, response.Status, bytes.TrimSpace(data))
		}
		return refused
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, out)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (int64, []fleet.Section, error) {
	var got operatorwire.Config
	if err := c.call(ctx, http.MethodGet, "/v1/config", nil, &got); err != nil {
		return 0, nil, err
	}
	sections := make([]fleet.Section, len(got.Sections))
	for i, s := range got.Sections {
		sections[i] = fleet.NewSection(s.Kind, s.Name, s.Body)
	}
	return got.Revision, sections, nil
}

// Tries of an apply whose answer was lost.
const (
	applyTries = 5
	applyPause = 500 * time.Millisecond
)

// Apply puts sections in force as the revision after seen. An answer that was
// lost is asked for again under the same name, which is applied once at most.
func (c *Client) Apply(ctx context.Context, seen int64, sections []fleet.Section) (int64, error) {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw) // It never fails.
	in := operatorwire.ApplyRequest{SeenRevision: seen, RequestID: hex.EncodeToString(raw), Sections: operatorwire.FromSections(sections)}
	var err error
	lost := false
	for range applyTries {
		var applied operatorwire.ApplyResponse
		err = c.call(ctx, http.MethodPost, "/v1/config", in, &applied)
		if err == nil {
			return applied.Revision, nil
		}
		if isFinal(err, lost) {
			return 0, err
		}
		lost = true
		if !pause.For(ctx, applyPause) {
			return 0, ctx.Err()
		}
	}
	return 0, fmt.Errorf("it is not known whether the configuration was applied: %w", err)
}

// isFinal reports whether an error of an apply settles it. Once an answer was
// lost, "the store is down" says nothing of the first try.
func isFinal(err error, lost bool) bool {
	refused, answered := err.(*Error)
	if !answered || refused.Number() == code.ApplyUnknown.Number() {
		return false
	}
	return !lost || refused.Number() != code.StoreDown.Number()
}

// Status returns what a control process knows.
func (c *Client) Status(ctx context.Context) (operatorwire.ControlStatus, error) {
	var status operatorwire.ControlStatus
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// CallAdmin calls the admin port of an entry at address.
func (c *Client) CallAdmin(ctx context.Context, method, address, path string, out any) error {
	return c.callOne(ctx, method, "http://"+address+path, nil, out)
}
