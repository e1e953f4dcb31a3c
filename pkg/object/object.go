// Package object is a client of the platform's object store.
package object

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"
)

// Store keeps objects by key. Writes are atomic: an object is written whole or not at all. A Put
// may be repeated, since a key is only ever given the same bytes or a later state of the same work.
// All objects are JSON objects.
type Store interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) (data []byte, ok bool, err error)
}

// maxObjectBytes is the maximum number of bytes that are read of one object.
const maxObjectBytes = 256 << 20

// Client is a Store over HTTP that uses PUT and GET of /objects/{key}.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// New returns a client of the object store at address. timeout applies to each call.
func New(address string, timeout time.Duration, client *http.Client) *Client {
	return &Client{base: "http://" + address + "/objects/", http: client, timeout: timeout}
}

// Put stores an object.
func (c *Client) Put(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+url.PathEscape(key), bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("object: put %s: %s", key, response.Status)
	}
	return nil
}

// Get reads an object, and returns false if there is none.
func (c *Client) Get(ctx context.Context, key string) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+url.PathEscape(key), nil)
	if err != nil {
		return nil, false, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		data, err := readAll(response.Body, maxObjectBytes)
		if err == nil && endsByClose(response) && !isCompleteObject(data) {
			err = ErrIncomplete
		}
		if err != nil {
			return nil, false, fmt.Errorf("object: get %s: %w", key, err)
		}
		return data, true, nil
	case http.StatusNotFound:
		return nil, false, nil
	}
	return nil, false, fmt.Errorf("object: get %s: %s", key, response.Status)
}

var (
	errTooLong = errors.New("object too long")
	// ErrIncomplete means that the store did not mark the end of an object, which may be truncated.
	ErrIncomplete = errors.New("object ends with its connection and may be incomplete")
)

// endsByClose reports whether a response ends with its connection, as a truncated one may.
func endsByClose(response *http.Response) bool {
	return response.ContentLength < 0 && !response.Uncompressed && !slices.Contains(response.TransferEncoding, "chunked")
}

// isCompleteObject reports whether data is a JSON object, which no beginning of another one is.
func isCompleteObject(data []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("{")) && json.Valid(data)
}

// readAll reads up to limit bytes. A longer object is an error, as a part of it is of no use.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", errTooLong, limit)
	}
	return data, err
}
