// Package rolloutsync sends roll-outs between hosts: the owner's directives and the hosts' reports
// in datagrams, and the state of each order in a row of the store.
package rolloutsync

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/rollout"
)

// Limits of a report, with which it fits a datagram of 1,400 bytes: three routes whose answers are
// streams have 12 kinds, which are counted separately for seven endpoints and for all others
// together. Anything beyond is left out.
const (
	maxTallies        = 110
	maxSlowThresholds = 24
)

// message is the content of one datagram.
type message struct {
	_          struct{} `cbor:",toarray"`
	Directives []wireDirective
	Reports    []wireReport
}

type wireDirective struct {
	_              struct{} `cbor:",toarray"`
	Service        string
	Order          int64
	Target         string
	PeriodMS       int64
	Phase          int
	Share          float32
	Slack          int
	Epoch          int64
	Number         int64
	Suspects       []string
	SlowThresholds []wireSlowThreshold
}

type wireSlowThreshold struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint32
	Value   float32
	Answers int
}

type wireReport struct {
	_              struct{} `cbor:",toarray"`
	Service        string
	Order          int64
	Phase          int
	Epoch          int64
	Number         int64
	Requests       int
	TargetRequests int
	OthersRunning  int
	LongestOtherMS int64
	// Endpoints and Kinds contain each value once. A tally has the index of its kind, and the index
	// of its endpoint plus 1, 0 for no endpoint.
	Endpoints      []string
	Kinds          []uint32
	Tallies        []wireTally
	SlowThresholds []wireSlowThreshold
}

type wireTally struct {
	_        struct{} `cbor:",toarray"`
	Kind     int
	Endpoint int
	Answers  int
	Bad      int
}

// EncodeDirectives encodes an owner's directives.
func EncodeDirectives(directives []rollout.Directive) ([]byte, error) {
	var m message
	for _, d := range directives {
		m.Directives = append(m.Directives, wireDirective{
			Service: d.Service, Order: d.Order, Target: d.Target, PeriodMS: d.Period.Milliseconds(), Phase: int(d.Phase), Share: float32(d.Share), Slack: d.Slack,
			Epoch: d.Epoch, Number: d.Number, Suspects: d.Suspects, SlowThresholds: encodeSlowThresholds(d.SlowThresholds),
		})
	}
	return cbor.Marshal(m)
}

// EncodeReports encodes a host's reports to an owner.
func EncodeReports(reports []rollout.Report) ([]byte, error) {
	var m message
	for _, r := range reports {
		m.Reports = append(m.Reports, encodeReport(r))
	}
	return cbor.Marshal(m)
}

func encodeReport(r rollout.Report) wireReport {
	encoded := wireReport{
		Service: r.Service, Order: r.Order, Phase: int(r.Phase), Epoch: r.Epoch, Number: r.Number, Requests: r.Requests, TargetRequests: r.TargetRequests,
		OthersRunning: r.OthersRunning, LongestOtherMS: r.LongestOther.Milliseconds(), SlowThresholds: encodeSlowThresholds(r.SlowThresholds),
	}
	endpointNumbers := map[string]int{"": 0}
	for _, t := range r.Tallies[:min(len(r.Tallies), maxTallies)] {
		number, ok := endpointNumbers[t.Endpoint]
		if !ok {
			encoded.Endpoints = append(encoded.Endpoints, t.Endpoint)
			number = len(encoded.Endpoints)
			endpointNumbers[t.Endpoint] = number
		}
		kind := slices.Index(encoded.Kinds, uint32(t.Kind))
		if kind < 0 {
			kind = len(encoded.Kinds)
			encoded.Kinds = append(encoded.Kinds, uint32(t.Kind))
		}
		encoded.Tallies = append(encoded.Tallies, wireTally{Kind: kind, Endpoint: number, Answers: t.Answers, Bad: t.Bad})
	}
	return encoded
}

func encodeSlowThresholds(thresholds []rollout.SlowThreshold) []wireSlowThreshold {
	var list []wireSlowThreshold
	for _, b := range thresholds[:min(len(thresholds), maxSlowThresholds)] {
		list = append(list, wireSlowThreshold{Kind: uint32(b.Kind), Value: float32(b.Value), Answers: b.Answers})
	}
	return list
}

func decodeSlowThresholds(thresholds []wireSlowThreshold) []rollout.SlowThreshold {
	var list []rollout.SlowThreshold
	for _, b := range thresholds {
		list = append(list, rollout.SlowThreshold{Kind: rollout.Kind(b.Kind), Value: float64(b.Value), Answers: b.Answers})
	}
	return list
}

// Decode decodes a datagram of directives or of reports. Those with malformed values are left out; the error names
// which. The others are returned with it.
func Decode(data []byte) (directives []rollout.Directive, reports []rollout.Report, err error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, nil, fmt.Errorf("rolloutsync: %w", err)
	}
	for _, d := range m.Directives {
		if malformed := d.check(); malformed != nil {
			err = errors.Join(err, malformed)
			continue
		}
		directives = append(directives, d.decode())
	}
	for _, r := range m.Reports {
		decoded, malformed := r.decode()
		if malformed != nil {
			err = errors.Join(err, malformed)
			continue
		}
		reports = append(reports, decoded)
	}
	return directives, reports, err
}

func (d wireDirective) decode() rollout.Directive {
	return rollout.Directive{
		Service: d.Service, Order: d.Order, Target: d.Target, Period: fromMS(d.PeriodMS), Phase: rollout.Phase(d.Phase), Share: float64(d.Share), Slack: d.Slack,
		Epoch: d.Epoch, Number: d.Number, Suspects: d.Suspects, SlowThresholds: decodeSlowThresholds(d.SlowThresholds),
	}
}

func (r wireReport) decode() (rollout.Report, error) {
	report := rollout.Report{
		Service: r.Service, Order: r.Order, Phase: rollout.Phase(r.Phase), Epoch: r.Epoch, Number: r.Number, Requests: r.Requests, TargetRequests: r.TargetRequests,
		OthersRunning: r.OthersRunning, LongestOther: fromMS(r.LongestOtherMS), SlowThresholds: decodeSlowThresholds(r.SlowThresholds),
	}
	if err := r.check(); err != nil {
		return report, err
	}
	for _, t := range r.Tallies {
		if t.Endpoint < 0 || t.Endpoint > len(r.Endpoints) || t.Kind < 0 || t.Kind >= len(r.Kinds) {
			return report, fmt.Errorf("rolloutsync: tally with endpoint %d and kind %d in a report of %d endpoints and %d kinds", t.Endpoint, t.Kind, len(r.Endpoints), len(r.Kinds))
		}
		endpoint := ""
		if t.Endpoint > 0 {
			endpoint = r.Endpoints[t.Endpoint-1]
		}
		report.Tallies = append(report.Tallies, rollout.Tally{Kind: rollout.Kind(r.Kinds[t.Kind]), Endpoint: endpoint, Count: rollout.Count{Answers: t.Answers, Bad: t.Bad}})
	}
	return report, nil
}

// row is an order's state in the store.
type row struct {
	Service   string `cbor:"1,keyasint"`
	Target    string `cbor:"2,keyasint"`
	PeriodMS  int64  `cbor:"3,keyasint"`
	Order     int64  `cbor:"4,keyasint"`
	Phase     int    `cbor:"5,keyasint"`
	StartedMS int64  `cbor:"6,keyasint"`
	Reason    string `cbor:"7,keyasint,omitempty"`
	// Epoch is that of the lease under which the row was written.
	Epoch int64 `cbor:"8,keyasint"`
}

// Table is the store's table of order states, with one row per service.
const Table = "rollouts"

// Key returns the key of a service's row, including its table.
func Key(service string) string { return Table + "/" + service }

func encodeState(s rollout.State, epoch int64) ([]byte, error) {
	return cbor.Marshal(row{
		Service: s.Order.Service, Target: s.Order.Target, PeriodMS: s.Order.Period.Milliseconds(), Order: s.Order.ID,
		Phase: int(s.Phase), StartedMS: s.Started.Milliseconds(), Reason: s.Reason, Epoch: epoch,
	})
}

// DecodeState decodes a service's row.
func DecodeState(value []byte) (rollout.State, error) {
	var r row
	if err := cbor.Unmarshal(value, &r); err != nil {
		return rollout.State{}, fmt.Errorf("rolloutsync: decode roll-out state: %w", err)
	}
	if err := r.check(); err != nil {
		return rollout.State{}, err
	}
	state := rollout.State{
		Order: rollout.Order{Service: r.Service, Target: r.Target, Period: fromMS(r.PeriodMS), ID: r.Order},
		Phase: rollout.Phase(r.Phase), Started: fromMS(r.StartedMS), Reason: r.Reason,
	}
	return state, state.Order.Check()
}
