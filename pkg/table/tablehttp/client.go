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

// maxAnswer bounds what is read of one answer, in bytes.
const maxAnswer = 64 << 20

// Client is a table.Store over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client of the table service at address, an IP number and port.
// No call takes longer than timeout.
func NewClient(address string, timeout time.Duration, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client, timeout: timeout}
}

// Commit sends a commit once. An answer that can't be had after bytes may have
// left is Unknown; only a failed dial or the service's own word is Refused.
func (c *Client) Commit(ctx context.Context, commit table.Commit) table.Outcome {
	body, err := json.Marshal(FromCommit(commit))
	if err != nil {
		return table.Refused{Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathCommit, bytes.NewReader(body))
	if err != nil {
		return table.Refused{Err: err}
	}
	// The transport must not resend a commit on its own.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return outcomeOfError(err)
	}
	defer drainClose(response.Body)
	return outcomeOfAnswer(response)
}

func outcomeOfError(err error) table.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return table.Refused{Err: err}
	}
	return table.Unknown{Err: err}
}

func outcomeOfAnswer(response *http.Response) table.Outcome {
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict:
	case http.StatusTooManyRequests, http.StatusBadRequest:
		return table.Refused{Err: fmt.Errorf("table: %s", response.Status)}
	default:
		return table.Unknown{Err: fmt.Errorf("table: %s", response.Status)}
	}
	var result Result
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&result); err != nil {
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return false, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false, err
	}
	defer drainClose(response.Body)
	switch response.StatusCode {
	case http.StatusOK:
		return true, json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(target)
	case http.StatusNotFound:
		return false, nil
	}
	return false, fmt.Errorf("table: %s", response.Status)
}

// drainClose lets the connection be used again.
func drainClose(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 1<<16))
	_ = body.Close()
}
