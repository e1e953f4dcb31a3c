// Package httpx holds the few HTTP helpers that edges share.
package httpx

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// maxJSON bounds the bytes read of a JSON answer.
const maxJSON = 32 << 20

// NewClient returns an HTTP client for calls to the platform and endpoints. It
// keeps connections, follows no redirects and uses no proxy.
func NewClient(perHost int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			Proxy:               nil,
			MaxIdleConns:        4 * perHost,
			MaxIdleConnsPerHost: perHost,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
			ReadBufferSize:      8 << 10,
			WriteBufferSize:     8 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// StatusError is an answer with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

// Error gives the status and the beginning of the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// CallJSON sends in as JSON (nil for no body) and decodes the answer into out
// (nil to ignore it). Statuses other than 2xx are a *StatusError.
func CallJSON(ctx context.Context, client *http.Client, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return &StatusError{response.StatusCode, string(bytes.TrimSpace(text))}
	}
	if out == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxJSON))
		return nil
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxJSON)).Decode(out)
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// CheckAddress returns an error unless address is an IP number and port.
func CheckAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	return err
}
