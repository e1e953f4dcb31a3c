// Package roster holds the fleet's membership as one host knows it. The information comes from rows
// in the store, one per process and written with every heartbeat, and from datagrams. The package
// ranks the hosts that callers are given, the standbys for the duties and, in large fleets, the
// aggregators, and holds the loads and counts that hosts send with their status. It does no I/O;
// times are passed in.
package roster

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Load is what one entry host has in progress at an endpoint.
type Load struct {
	Endpoint      string
	Running       int
	PrefillTokens int
	// ReceivedAt is when the load was received, by the receiver's clock.
	ReceivedAt time.Time
}

// Demand is the engine time per second that one entry host's requests for a service need.
type Demand struct {
	Service string
	Rate    float64
}

// Work is the work that callers offer one entry host for a service, per second.
type Work struct {
	Service string
	// SlotTime is in slot seconds, TokenTime in tokens multiplied by seconds.
	SlotTime, TokenTime float64
	// Offered is in engine seconds; Refused is the part of it that was refused for lack of room.
	Offered, Refused float64
}

// RequestCount is the number of requests of a team that started to run in a window.
type RequestCount struct {
	Window  int64
	Team    string
	Started int
}

// Host is one process and its addresses.
type Host struct {
	// Incarnation is new with each start. It is the key of the process's row.
	Incarnation string
	Node        string
	DataCenter  string
	// CallerAddress is the address for callers.
	CallerAddress string
	// PeerAddress is the address for datagrams of other hosts, empty for none.
	PeerAddress string
	// StartedAt is the store's clock when the process started, 0 if unknown. The host that has run
	// longest knows most.
	StartedAt time.Duration
	// Millicores is the processor share of the process in thousandths of a core, 0 if unknown.
	// Hosts are ranked by it, so it must be the same for all who compare it.
	Millicores int
	Leaving    bool
}

// Status is what a process sends about itself several times a second.
type Status struct {
	Host
	// Sequence increases with each datagram.
	Sequence int64
	Loads    []Load
	Demands  []Demand
	// Counts are of the latest windows. They are sent because they must outlive the process.
	Counts []RequestCount
	// StoreReachableFor is how long the process has reached the store without interruption, 0 while
	// it does not.
	StoreReachableFor time.Duration
	// LeaseVersion is the version of the row by which the process holds the lease of the duties, 0
	// if it does not hold it.
	LeaseVersion int64
}

// Row is what one process writes to the store.
type Row struct {
	Host
	// Sequence increases with each write, so that a late write of an old row is detected.
	Sequence int64
	// WrittenAt is the store's monotonic clock at the write, 0 if unknown.
	WrittenAt time.Duration
	// Age is the time from the write of the row to its read. It is not stored.
	Age time.Duration
	// ClockOffset is the host's wall clock minus the store's monotonic clock.
	ClockOffset time.Duration
	Loads       []Load
	Counts      []RequestCount
	Demands     []Demand
	Work        []Work
}

// wireRow is a row as it is stored. Its lists are encoded as arrays of their fields, in order.
type wireRow struct {
	Node          string       `cbor:"1,keyasint"`
	DataCenter    string       `cbor:"2,keyasint"`
	CallerAddress string       `cbor:"3,keyasint"`
	Sequence      int64        `cbor:"4,keyasint"`
	Leaving       bool         `cbor:"5,keyasint,omitempty"`
	ClockOffsetMS int64        `cbor:"6,keyasint"`
	Loads         []wireLoad   `cbor:"7,keyasint,omitempty"`
	Counts        []wireCount  `cbor:"9,keyasint,omitempty"`
	Demands       []wireDemand `cbor:"10,keyasint,omitempty"`
	PeerAddress   string       `cbor:"11,keyasint,omitempty"`
	StartedAtMS   int64        `cbor:"12,keyasint,omitempty"`
	Millicores    int          `cbor:"13,keyasint,omitempty"`
	WrittenAtMS   int64        `cbor:"14,keyasint,omitempty"`
	Work          []wireWork   `cbor:"20,keyasint,omitempty"`
}

type wireLoad struct {
	_             struct{} `cbor:",toarray"`
	Endpoint      string
	Running       int
	PrefillTokens int
}

type wireDemand struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Rate    float32
}

type wireWork struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	SlotTime  float32
	TokenTime float32
	Offered   float32
	Refused   float32
}

type wireCount struct {
	_       struct{} `cbor:",toarray"`
	Window  int64
	Team    string
	Started int
}

// Encode returns a row as it is stored.
func (r Row) Encode() ([]byte, error) {
	w := wireRow{
		Node: r.Node, DataCenter: r.DataCenter, CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress, StartedAtMS: r.StartedAt.Milliseconds(), Sequence: r.Sequence,
		Millicores: r.Millicores, Leaving: r.Leaving, ClockOffsetMS: r.ClockOffset.Milliseconds(), WrittenAtMS: r.WrittenAt.Milliseconds(),
	}
	for _, l := range r.Loads {
		w.Loads = append(w.Loads, wireLoad{Endpoint: l.Endpoint, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	for _, c := range r.Counts {
		w.Counts = append(w.Counts, wireCount{Window: c.Window, Team: c.Team, Started: c.Started})
	}
	for _, d := range r.Demands {
		w.Demands = append(w.Demands, wireDemand{Service: d.Service, Rate: float32(d.Rate)})
	}
	for _, o := range r.Work {
		w.Work = append(w.Work, wireWork{Service: o.Service, SlotTime: float32(o.SlotTime), TokenTime: float32(o.TokenTime), Offered: float32(o.Offered), Refused: float32(o.Refused)})
	}
	return cbor.Marshal(w)
}

// Decode decodes a stored row. Loads, counts and demands that no host can have are left out.
func Decode(incarnation string, value []byte) (Row, error) {
	var w wireRow
	if err := cbor.Unmarshal(value, &w); err != nil {
		return Row{}, fmt.Errorf("roster: decode row %q: %w", incarnation, err)
	}
	r := Row{
		Host: Host{
			Incarnation: incarnation, Node: w.Node, DataCenter: w.DataCenter,
			CallerAddress: w.CallerAddress, PeerAddress: w.PeerAddress, Millicores: w.Millicores, Leaving: w.Leaving,
			StartedAt: FromMS(w.StartedAtMS),
		},
		Sequence: w.Sequence, ClockOffset: time.Duration(w.ClockOffsetMS) * time.Millisecond,
		WrittenAt: FromMS(w.WrittenAtMS),
	}
	if err := r.Check(); err != nil {
		return Row{}, fmt.Errorf("row %q: %w", incarnation, err)
	}
	if w.ClockOffsetMS < -maxMS || w.ClockOffsetMS > maxMS {
		return Row{}, fmt.Errorf("roster: row %q: clock offset out of range: %d ms", incarnation, w.ClockOffsetMS)
	}
	for _, l := range w.Loads {
		r.Loads = append(r.Loads, Load{Endpoint: l.Endpoint, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	for _, c := range w.Counts {
		r.Counts = append(r.Counts, RequestCount{c.Window, c.Team, c.Started})
	}
	for _, d := range w.Demands {
		r.Demands = append(r.Demands, Demand{d.Service, float64(d.Rate)})
	}
	for _, o := range w.Work {
		r.Work = append(r.Work, Work{o.Service, float64(o.SlotTime), float64(o.TokenTime), float64(o.Offered), float64(o.Refused)})
	}
	r.Loads, r.Counts, r.Demands = ValidLoads(r.Loads), ValidCounts(r.Counts), ValidDemands(r.Demands)
	return r, nil
}
