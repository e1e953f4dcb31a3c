// Package roster holds the fleet's membership as one host knows it: from rows in the store, one a
// process, written with every heartbeat, and from datagrams. It ranks the hosts that callers are
// given, those that stand by for the duties, and in large fleets the aggregators, and holds the
// loads and counts that hosts send with their status. It does no I/O; times are passed in.
package roster

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Load is what one entry has under way at an endpoint.
type Load struct {
	Endpoint      string
	Running       int
	PrefillTokens int
	// ReceivedAt is when it was received, by the receiver's clock.
	ReceivedAt time.Time
}

// Demand is the engine time a second that one entry's requests for a service ask
// for.
type Demand struct {
	Service string
	Rate    float64
}

// RequestCount is the requests of a team that began to run in a window.
type RequestCount struct {
	Window  int64
	Team    string
	Started int
}

// Host is one process and where it is reached.
type Host struct {
	// Incarnation is new with each start; the row's key.
	Incarnation string
	Node        string
	DataCenter  string
	// CallerAddress is the address for callers.
	CallerAddress string
	// PeerAddress is the address for datagrams of other hosts, empty for none.
	PeerAddress string
	// StartedAt is the store's clock when the process started: who is there for
	// longest knows most.
	StartedAt time.Duration
	// Millicores is the processor share that the process has, in thousandths of a
	// core; 0 if unknown. Hosts compare it, so that it must be the same for all.
	Millicores int
	Leaving    bool
}

// Status is what a process sends of itself, several times a second.
type Status struct {
	Host
	// Sequence grows with each datagram.
	Sequence int64
	Loads    []Load
	Demands  []Demand
	// Counts are of the latest windows: they must outlive the process.
	Counts []RequestCount
	// StoreReachableFor is how long the process has been in touch with the store without a
	// gap, 0 while it is not.
	StoreReachableFor time.Duration
	// LeaseVersion is the version of the row by which the process holds the lease of
	// the duties, 0 if it does not.
	LeaseVersion int64
}

// Row is what one process writes to the store.
type Row struct {
	Host
	// Sequence grows with each write, so that a late write of an old row is found out.
	Sequence int64
	// WrittenAt is the store's steady clock at the write, 0 if not known.
	WrittenAt time.Duration
	// Age is how long ago it was written when it was read; it is not stored.
	Age time.Duration
	// ClockOffset is the host's time of day less the store's steady clock.
	ClockOffset time.Duration
	Loads       []Load
	Counts      []RequestCount
	Demands     []Demand
}

// wireRow is a row in the store; lists hold their fields in order.
type wireRow struct {
	Node       string      `cbor:"1,keyasint"`
	DataCenter string      `cbor:"2,keyasint"`
	Callers    string      `cbor:"3,keyasint"`
	Sequence   int64       `cbor:"4,keyasint"`
	Leaving    bool        `cbor:"5,keyasint,omitempty"`
	OffsetMS   int64       `cbor:"6,keyasint"`
	Loads      []wireLoad  `cbor:"7,keyasint,omitempty"`
	Counts     []wireCount `cbor:"9,keyasint,omitempty"`
	Works      []wireWork  `cbor:"10,keyasint,omitempty"`
	Peers      string      `cbor:"11,keyasint,omitempty"`
	SinceMS    int64       `cbor:"12,keyasint,omitempty"`
	Millicores int         `cbor:"13,keyasint,omitempty"`
	WrittenMS  int64       `cbor:"14,keyasint,omitempty"`
}

type wireLoad struct {
	_             struct{} `cbor:",toarray"`
	Endpoint      string
	Running       int
	PrefillTokens int
}

type wireWork struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Rate    float32
}

type wireCount struct {
	_      struct{} `cbor:",toarray"`
	Window int64
	Team   string
	Begun  int
}

// Encode returns a row as it is stored.
func (r Row) Encode() ([]byte, error) {
	w := wireRow{
		Node: r.Node, DataCenter: r.DataCenter, Callers: r.CallerAddress, Peers: r.PeerAddress, SinceMS: r.StartedAt.Milliseconds(), Sequence: r.Sequence,
		Millicores: r.Millicores, Leaving: r.Leaving, OffsetMS: r.ClockOffset.Milliseconds(), WrittenMS: r.WrittenAt.Milliseconds(),
	}
	for _, l := range r.Loads {
		w.Loads = append(w.Loads, wireLoad{Endpoint: l.Endpoint, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	for _, c := range r.Counts {
		w.Counts = append(w.Counts, wireCount{Window: c.Window, Team: c.Team, Begun: c.Started})
	}
	for _, k := range r.Demands {
		w.Works = append(w.Works, wireWork{Service: k.Service, Rate: float32(k.Rate)})
	}
	return cbor.Marshal(w)
}

// Decode reads a stored row.
func Decode(incarnation string, value []byte) (Row, error) {
	var w wireRow
	if err := cbor.Unmarshal(value, &w); err != nil {
		return Row{}, fmt.Errorf("roster: row %q: %w", incarnation, err)
	}
	r := Row{
		Host: Host{
			Incarnation: incarnation, Node: w.Node, DataCenter: w.DataCenter,
			CallerAddress: w.Callers, PeerAddress: w.Peers, Millicores: w.Millicores, Leaving: w.Leaving,
			StartedAt: time.Duration(w.SinceMS) * time.Millisecond,
		},
		Sequence: w.Sequence, ClockOffset: time.Duration(w.OffsetMS) * time.Millisecond,
		WrittenAt: time.Duration(w.WrittenMS) * time.Millisecond,
	}
	for _, l := range w.Loads {
		r.Loads = append(r.Loads, Load{Endpoint: l.Endpoint, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	for _, c := range w.Counts {
		r.Counts = append(r.Counts, RequestCount{c.Window, c.Team, c.Begun})
	}
	for _, k := range w.Works {
		r.Demands = append(r.Demands, Demand{k.Service, float64(k.Rate)})
	}
	return r, nil
}
