// Package cloud is the edge to the cloud API: reclaim notices, and hosts bought
// and given back.
package cloud

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/httpx"
)

// Notice says that a host will be reclaimed.
type Notice struct {
	// Sequence grows by one with each notice of the cloud.
	Sequence int64
	Endpoint endpoint.Ref
	LeaveBy  time.Time
}

// Order asks for one host.
type Order struct {
	// RequestID makes a repeated order the same order.
	RequestID   string
	DataCenter  string
	Class       string
	Reclaimable bool
}

// ErrNoCapacity says that the cloud refused to start a host.
var ErrNoCapacity = errors.New("cloud: no capacity")

// API is the cloud.
type API interface {
	Notices(ctx context.Context, after int64) ([]Notice, error)
	StartHost(ctx context.Context, order Order) (host string, err error)
	StopHost(ctx context.Context, host string) error
}

// WireNotice is a notice as sent.
type WireNotice struct {
	Sequence    int64  `json:"sequence"`
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
	LeaveBy     int64  `json:"leave_by_ms"`
}

// WireOrder is an order as sent.
type WireOrder struct {
	RequestID   string `json:"request"`
	DataCenter  string `json:"data_center"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
}

// WireOrderResponse answers an order.
type WireOrderResponse struct {
	Host string `json:"host"`
}

// Client is an API over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// New returns a client of the cloud at address.
func New(address string, timeout time.Duration, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client, timeout: timeout}
}

// Notices returns the notices after a sequence, oldest first.
func (c *Client) Notices(ctx context.Context, after int64) ([]Notice, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent []WireNotice
	url := c.base + "/v1/notices?after=" + strconv.FormatInt(after, 10)
	if err := httpx.CallJSON(ctx, c.http, http.MethodGet, url, nil, &sent); err != nil {
		return nil, err
	}
	notices := make([]Notice, len(sent))
	for i, n := range sent {
		notices[i] = Notice{n.Sequence, endpoint.Ref{ID: n.Host, Incarnation: n.Incarnation}, time.UnixMilli(n.LeaveBy)}
	}
	return notices, nil
}

// StartHost buys a host; ErrNoCapacity where the cloud refuses.
func (c *Client) StartHost(ctx context.Context, order Order) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var started WireOrderResponse
	in := WireOrder{order.RequestID, order.DataCenter, order.Class, order.Reclaimable}
	err := httpx.CallJSON(ctx, c.http, http.MethodPost, c.base+"/v1/orders", in, &started)
	var status *httpx.StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		return "", ErrNoCapacity
	}
	return started.Host, err
}

// StopHost gives a host back. It may be repeated.
func (c *Client) StopHost(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return httpx.CallJSON(ctx, c.http, http.MethodDelete, c.base+"/v1/hosts/"+host, nil, nil)
}
