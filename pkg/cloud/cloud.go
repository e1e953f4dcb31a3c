// Package cloud is the client of the cloud API, which sends reclaim notices and starts and stops
// hosts.
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

// Notice announces that the cloud will reclaim a host.
type Notice struct {
	// Sequence increases by one with each notice.
	Sequence int64
	Endpoint endpoint.Ref
	LeaveBy  time.Time
}

// Order is a request to start one host.
type Order struct {
	// RequestID makes the order idempotent: orders with the same ID start only one host.
	RequestID   string
	DataCenter  string
	Class       string
	Reclaimable bool
}

// ErrNoCapacity is returned if the cloud has no capacity to start a host.
var ErrNoCapacity = errors.New("cloud: no capacity")

// API is the interface of the cloud.
type API interface {
	Notices(ctx context.Context, after int64) ([]Notice, error)
	StartHost(ctx context.Context, order Order) (host string, err error)
	StopHost(ctx context.Context, host string) error
}

// WireNotice is the JSON form of a Notice.
type WireNotice struct {
	Sequence    int64  `json:"sequence"`
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
	LeaveBy     int64  `json:"leave_by_ms"`
}

// WireOrder is the JSON form of an Order.
type WireOrder struct {
	RequestID   string `json:"request"`
	DataCenter  string `json:"data_center"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
}

// WireOrderResponse is the JSON response to an order.
type WireOrderResponse struct {
	Host string `json:"host"`
}

// Client calls the cloud API over HTTP.
type Client struct {
	baseURL    string
	httpClient *http.Client
	timeout    time.Duration
}

// New returns a client of the cloud API at address. The timeout applies to each call.
func New(address string, timeout time.Duration, client *http.Client) *Client {
	return &Client{baseURL: "http://" + address, httpClient: client, timeout: timeout}
}

// Notices returns the notices with a sequence greater than after, oldest first.
func (c *Client) Notices(ctx context.Context, after int64) ([]Notice, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var received []WireNotice
	url := c.baseURL + "/v1/notices?after=" + strconv.FormatInt(after, 10)
	if err := httpx.CallJSON(ctx, c.httpClient, http.MethodGet, url, nil, &received); err != nil {
		return nil, err
	}
	notices := make([]Notice, len(received))
	for i, n := range received {
		notices[i] = Notice{n.Sequence, endpoint.Ref{ID: n.Host, Incarnation: n.Incarnation}, time.UnixMilli(n.LeaveBy)}
	}
	return notices, nil
}

// StartHost starts a host and returns its ID. It returns ErrNoCapacity if the cloud refuses.
func (c *Client) StartHost(ctx context.Context, order Order) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var response WireOrderResponse
	request := WireOrder{order.RequestID, order.DataCenter, order.Class, order.Reclaimable}
	err := httpx.CallJSON(ctx, c.httpClient, http.MethodPost, c.baseURL+"/v1/orders", request, &response)
	var statusError *httpx.StatusError
	if errors.As(err, &statusError) && statusError.Status == http.StatusConflict {
		return "", ErrNoCapacity
	}
	return response.Host, err
}

// StopHost stops a host and returns it to the cloud. It is idempotent.
func (c *Client) StopHost(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return httpx.CallJSON(ctx, c.httpClient, http.MethodDelete, c.baseURL+"/v1/hosts/"+host, nil, nil)
}
