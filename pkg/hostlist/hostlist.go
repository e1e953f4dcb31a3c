// Package hostlist reads the platform's list of live and leaving hosts. The list lags: it may show
// dead hosts as live and lack new ones.
package hostlist

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/httpx"
)

// Source reads the hosts of one data centre, or of all if dataCenter is empty.
type Source interface {
	Hosts(ctx context.Context, dataCenter string) ([]endpoint.Info, error)
}

// Host is one host in the wire format.
type Host struct {
	ID           string `json:"id"`
	Incarnation  int64  `json:"incarnation"`
	State        string `json:"state"`
	DataCenter   string `json:"data_center"`
	Class        string `json:"class"`
	Kind         string `json:"kind"`
	Service      string `json:"service,omitempty"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Address      string `json:"address"`
	ChecksOrders bool   `json:"checks_orders"`
	Reclaimable  bool   `json:"reclaimable"`
	LeaveBy      int64  `json:"leave_by_ms,omitempty"`
}

// FromInfo converts an endpoint's state to the wire format.
func FromInfo(i endpoint.Info) Host {
	h := Host{
		ID: i.ID, Incarnation: i.Incarnation, State: i.State.String(), DataCenter: i.DataCenter,
		Class: i.Class, Kind: string(i.Kind), Service: i.Service, Model: i.Model, Version: i.Version, Adapter: i.Adapter,
		Address: i.Address, ChecksOrders: i.ChecksOrders, Reclaimable: i.Reclaimable,
	}
	if !i.LeaveBy.IsZero() {
		h.LeaveBy = i.LeaveBy.UnixMilli()
	}
	return h
}

// Info converts a host from the wire format. Counter is left 0, so that the lagging list never
// supersedes an endpoint's own reports.
func (h Host) Info() endpoint.Info {
	info := endpoint.Info{
		ID: h.ID, Incarnation: h.Incarnation, State: stateOf(h.State), DataCenter: h.DataCenter,
		Class: h.Class, Kind: endpoint.Kind(h.Kind), Service: h.Service, Model: h.Model, Version: h.Version, Adapter: h.Adapter,
		Address: h.Address, ChecksOrders: h.ChecksOrders, Reclaimable: h.Reclaimable,
	}
	if h.LeaveBy != 0 {
		info.LeaveBy = time.UnixMilli(h.LeaveBy)
	}
	return info
}

func stateOf(name string) endpoint.State {
	switch name {
	case endpoint.Leaving.String():
		return endpoint.Leaving
	case endpoint.Gone.String():
		return endpoint.Gone
	}
	return endpoint.Live
}

// Client is a Source over HTTP: GET /v1/hosts?data_center=.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// New returns a client of the list at address.
func New(address string, timeout time.Duration, client *http.Client) *Client {
	return &Client{base: "http://" + address + "/v1/hosts", http: client, timeout: timeout}
}

// Hosts reads the list. Hosts whose address is not an IP address and port are omitted, as nothing
// could be sent to them.
func (c *Client) Hosts(ctx context.Context, dataCenter string) ([]endpoint.Info, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var hosts []Host
	err := httpx.CallJSON(ctx, c.http, http.MethodGet, c.base+"?data_center="+url.QueryEscape(dataCenter), nil, &hosts)
	if err != nil {
		return nil, err
	}
	infos := make([]endpoint.Info, 0, len(hosts))
	for _, h := range hosts {
		if h.ID != "" && httpx.CheckAddress(h.Address) == nil {
			infos = append(infos, h.Info())
		}
	}
	return infos, nil
}
