// Package operatorwire defines the JSON bodies exchanged between operators' commands and the
// system.
package operatorwire

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/explain"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/route"
)

// Section is a section of a configuration.
type Section struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Body is the section as JSON; it is empty if the section is removed.
	Body string `json:"body"`
}

// Config is the configuration in force.
type Config struct {
	Revision int64     `json:"revision"`
	Sections []Section `json:"sections"`
}

// ApplyRequest is a request to put a configuration in force.
type ApplyRequest struct {
	// SeenRevision is the revision that the change is based on, or 0 for none.
	SeenRevision int64 `json:"seen"`
	// RequestID makes the request idempotent, so that it can be retried.
	RequestID string    `json:"request"`
	Sections  []Section `json:"sections"`
}

// ApplyResponse is the response to an ApplyRequest.
type ApplyResponse struct {
	Revision int64 `json:"revision"`
}

// Error is an error with the number and name of its result code.
type Error struct {
	Number  int    `json:"number"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}

// NodeStatus is the last known status of an entry host.
type NodeStatus struct {
	Node          string `json:"node"`
	Status        string `json:"status"`
	Leaving       bool   `json:"leaving"`
	Ready         bool   `json:"ready"`
	DataCenter    string `json:"data_center"`
	CallerAddress string `json:"caller_address"`
	Control       bool   `json:"control"`
	Load          int    `json:"load"`
}

// EndpointStatus is the last known status of an endpoint.
type EndpointStatus struct {
	Endpoint    string `json:"endpoint"`
	State       string `json:"state"`
	DataCenter  string `json:"data_center"`
	Class       string `json:"class"`
	Kind        string `json:"kind"`
	Service     string `json:"service,omitempty"`
	Model       string `json:"model,omitempty"`
	Version     string `json:"version,omitempty"`
	Address     string `json:"address"`
	Reclaimable bool   `json:"reclaimable"`
}

// EntryStatus is the status of an entry and its view of the nodes and endpoints.
type EntryStatus struct {
	Node         string           `json:"node"`
	Incarnation  int64            `json:"incarnation"`
	DataCenter   string           `json:"data_center"`
	Leaving      bool             `json:"leaving"`
	Revision     int64            `json:"revision"`
	InFlight     int64            `json:"in_flight"`
	JobsWaiting  int              `json:"jobs_waiting"`
	JobsRunning  int              `json:"jobs_running"`
	Links        int              `json:"links"`
	StoreDown    bool             `json:"store_down"`
	Suspected    int64            `json:"suspected"`
	Refuted      int64            `json:"refuted"`
	DeclaredDead int64            `json:"declared"`
	Pauses       int64            `json:"pauses"`
	Nodes        []NodeStatus     `json:"nodes"`
	Endpoints    []EndpointStatus `json:"endpoints"`
}

// ControlStatus is the status of a control process and its view of the nodes and endpoints.
type ControlStatus struct {
	Node      string           `json:"node"`
	Revision  int64            `json:"revision"`
	Shards    []ShardStatus    `json:"shards"`
	StoreDown bool             `json:"store_down"`
	Nodes     []NodeStatus     `json:"nodes"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// ShardStatus is a shard whose lease the process holds.
type ShardStatus struct {
	Shard int   `json:"shard"`
	Epoch int64 `json:"epoch"`
}

// ServedRequest describes how a request was served.
type ServedRequest struct {
	RequestID  string    `json:"request"`
	Team       string    `json:"team"`
	Service    string    `json:"service"`
	StartedAt  string    `json:"begun"`
	DurationMS float64   `json:"took_ms"`
	Tokens     int       `json:"tokens"`
	Attempts   []Attempt `json:"hops"`
	Failure    string    `json:"failure,omitempty"`
	Code       int       `json:"code,omitempty"`
}

// Attempt is one attempt to serve a request on an endpoint.
type Attempt struct {
	Endpoint     string  `json:"endpoint"`
	ExpectedMS   float64 `json:"expected_ms"`
	WaitMS       float64 `json:"wait_ms"`
	CachedTokens int     `json:"cached_tokens"`
	Tokens       int     `json:"tokens"`
	Outcome      string  `json:"ending"`
}

// Candidate contains the routing estimates for one endpoint.
type Candidate struct {
	Endpoint      string  `json:"endpoint"`
	DataCenter    string  `json:"data_center"`
	Usable        bool    `json:"usable"`
	WaitMS        float64 `json:"wait_ms"`
	DecodeMS      float64 `json:"decode_ms"`
	RiskMS        float64 `json:"risk_ms"`
	TotalMS       float64 `json:"total_ms"`
	CachedTokens  int     `json:"cached_tokens"`
	Running       int     `json:"running"`
	SpeedFactor   float64 `json:"speed_factor"`
	HazardPerHour float64 `json:"hazard_per_hour"`
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// FromRecord converts the record of a request to its JSON form.
func FromRecord(r explain.Record) ServedRequest {
	s := ServedRequest{
		RequestID: r.Request, Team: r.Team, Service: r.Service, StartedAt: r.StartedAt.Format(time.RFC3339Nano),
		DurationMS: milliseconds(r.Duration), Tokens: r.Tokens, Failure: r.Failure, Code: r.Code, Attempts: []Attempt{},
	}
	for _, h := range r.Hops {
		s.Attempts = append(s.Attempts, Attempt{h.EndpointID, milliseconds(h.Expected), milliseconds(h.Wait), h.CachedTokens, h.Tokens, h.Outcome})
	}
	return s
}

// FromCandidate converts a routing candidate to its JSON form.
func FromCandidate(c route.Candidate) Candidate {
	return Candidate{
		Endpoint: c.Endpoint.ID, DataCenter: c.Endpoint.DataCenter, Usable: c.Usable, WaitMS: milliseconds(c.Wait),
		DecodeMS: milliseconds(c.Decode), RiskMS: milliseconds(c.Risk), TotalMS: milliseconds(c.Total), CachedTokens: c.CachedTokens, Running: c.Running,
		SpeedFactor: c.SpeedFactor, HazardPerHour: c.HazardPerHour,
	}
}

// FromSections converts sections of a configuration to their JSON form.
func FromSections(sections []fleet.Section) []Section {
	out := make([]Section, len(sections))
	for i, s := range sections {
		out[i] = Section{s.Kind(), s.Name(), s.Body()}
	}
	return out
}

// FromNodes converts nodes to their JSON form.
func FromNodes(nodes []membership.Node) []NodeStatus {
	out := make([]NodeStatus, len(nodes))
	for i, n := range nodes {
		out[i] = NodeStatus{
			Node: n.ID, Status: n.Status.String(), Leaving: n.Leaving, Ready: n.Ready, DataCenter: n.DataCenter,
			CallerAddress: n.CallerAddress, Control: n.HasControl, Load: n.Load,
		}
	}
	return out
}

// FromEndpoints converts endpoints to their JSON form.
func FromEndpoints(infos []endpoint.Info) []EndpointStatus {
	out := make([]EndpointStatus, len(infos))
	for i, e := range infos {
		out[i] = EndpointStatus{
			Endpoint: e.ID, State: e.State.String(), DataCenter: e.DataCenter, Class: e.Class, Kind: string(e.Kind),
			Service: e.Service, Model: e.Model, Version: e.Version, Address: e.Address, Reclaimable: e.Reclaimable,
		}
	}
	return out
}
