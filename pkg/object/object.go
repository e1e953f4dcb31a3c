// Package object is a client of the platform's object store.
package object

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// Store keeps objects by key. Writes are atomic: an object is written whole or not at all. A Put
// may be repeated, since a key is only ever given the same bytes or a later state of the same work.
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
		if err != nil {
			return nil, false, fmt.Errorf("object: get %s: %w", key, err)
		}
		return data, true, nil
	case http.StatusNotFound:
		return nil, false, nil
	}
	return nil, false, fmt.Errorf("object: get %s: %s", key, response.Status)
}

var errTooLong = errors.New("object too long")

// readAll reads up to limit bytes. A longer object is an error, as a part of it is of no use.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", errTooLong, limit)
	}
	return data, err
}
