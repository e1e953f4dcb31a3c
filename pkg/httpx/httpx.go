// Package httpx holds HTTP helpers that several packages share.
package httpx

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// MaxHeadBytes is the maximum number of bytes read of the status line and headers of a response. Common
// servers send 16 KiB at most.
const MaxHeadBytes = 64 << 10

// maxJSONBytes is the maximum number of bytes read of a JSON response.
const maxJSONBytes = 32 << 20

// NewClient returns an HTTP client for calls to the platform and to endpoints. It reuses
// connections, follows no redirects and uses no proxy.
func NewClient(maxIdlePerHost int) *http.Client {
	return &http.Client{
		Transport: NewStrictTransport(&http.Transport{
			Proxy:                  nil,
			DialContext:            DialReportingResets((&net.Dialer{}).DialContext),
			MaxResponseHeaderBytes: MaxHeadBytes,
			MaxIdleConns:           4 * maxIdlePerHost,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			IdleConnTimeout:        90 * time.Second,
			DisableCompression:     true,
			ReadBufferSize:         8 << 10,
			WriteBufferSize:        8 << 10,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// StatusError is the error for a response with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the beginning of the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// CallJSON sends in as JSON (nil for no body) and decodes the response into out (nil to ignore it).
// For a status other than 2xx it returns a *StatusError.
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
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxJSONBytes))
		return nil
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxJSONBytes)).Decode(out)
}

// WriteJSON writes a response with a JSON body. The response has a length, as it would otherwise end
// with the connection for an HTTP/1.0 client.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	body = append(body, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// CheckAddress returns an error unless address is an IP address and port.
func CheckAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	return err
}
