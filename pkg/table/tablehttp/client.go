package tablehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ironhollow/pkg/table"
)

// maxResponseBytes limits how much of one response body is read.
const maxResponseBytes = 64 << 20

// Client is a table.Store over HTTP.
type Client struct {
	baseURL    string
	httpClient *http.Client
	timeout    time.Duration
}

// NewClient returns a client of the table service at address, an IP address and
// port. The timeout applies to each call.
func NewClient(address string, timeout time.Duration, client *http.Client) *Client {
	return &Client{baseURL: "http://" + address, httpClient: client, timeout: timeout}
}

// Commit sends a commit once. The outcome is Refused only if the request could not
// be created, the connection could not be opened or the service refused the commit.
// After any other error the request may have been sent, so the outcome is Unknown.
func (c *Client) Commit(ctx context.Context, commit table.Commit) table.Outcome {
	body, err := json.Marshal(FromCommit(commit))
	if err != nil {
		return table.Refused{Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+PathCommit, bytes.NewReader(body))
	if err != nil {
		return table.Refused{Err: err}
	}
	// Without GetBody the transport cannot send the commit again on its own.
	request.GetBody = nil
	response, err := c.httpClient.Do(request)
	if err != nil {
		return outcomeFromError(err)
	}
	defer drainAndClose(response.Body)
	return outcomeFromResponse(response)
}

func outcomeFromError(err error) table.Outcome {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return table.Refused{Err: err}
	}
	return table.Unknown{Err: err}
}

func outcomeFromResponse(response *http.Response) table.Outcome {
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict:
	case http.StatusTooManyRequests:
		return table.Refused{Err: fmt.Errorf("table: %s", response.Status)}
	case http.StatusBadRequest:
		return table.Refused{Err: fmt.Errorf("%w: commit", table.ErrBadRequest)}
	default:
		return table.Unknown{Err: fmt.Errorf("table: %s", response.Status)}
	}
	var result Result
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&result); err != nil {
		return table.Unknown{Err: err}
	}
	if response.StatusCode == http.StatusOK {
		return table.Committed{Version: result.Version}
	}
	return table.Refused{Conflicts: TableRows(result.Conflicts)}
}

// Get reads one row.
func (c *Client) Get(ctx context.Context, key string) (table.Row, bool, error) {
	var row Row
	found, err := c.read(ctx, PathRow+"?key="+url.QueryEscape(key), &row)
	return row.TableRow(), found, err
}

// List reads rows in key order.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows Rows
	_, err := c.read(ctx, PathRows+"?"+query.Encode(), &rows)
	return TableRows(rows.Rows), err
}

func (c *Client) read(ctx context.Context, path string, target any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return false, err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return false, err
	}
	defer drainAndClose(response.Body)
	switch response.StatusCode {
	case http.StatusOK:
		return true, json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(target)
	case http.StatusNotFound:
		return false, nil
	case http.StatusBadRequest:
		return false, fmt.Errorf("%w: %s", table.ErrBadRequest, path)
	}
	return false, fmt.Errorf("table: %s", response.Status)
}

// drainAndClose reads up to 64 KiB of the rest of the body before it closes it, so
// that the connection can be reused.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 1<<16))
	_ = body.Close()
}
