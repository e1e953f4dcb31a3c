// Package rolloutsync carries roll-outs between hosts: the owner's words and the hosts'
// reports by datagram, and the state of each order by a row in the store.
package rolloutsync

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/rollout"
)

// Bounds of a report, with which it fits a datagram of 1,400 bytes: three routes whose
// answers are streams have 12 kinds, and are told apart at seven endpoints and over all
// others. What is beyond is not told.
const (
	mostTallies = 110
	mostBounds  = 24
)

// message is what one datagram tells.
type message struct {
	_       struct{} `cbor:",toarray"`
	Words   []wireDirective
	Reports []report
}

type wireDirective struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Order    int64
	Target   string
	PeriodMS int64
	Phase    int
	Share    float32
	Slack    int
	Epoch    int64
	Number   int64
	Suspects []string
	Bounds   []bound
}

type bound struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint32
	Value   float32
	Answers int
}

type report struct {
	_             struct{} `cbor:",toarray"`
	Service       string
	Order         int64
	Phase         int
	Epoch         int64
	Number        int64
	Asked         int
	Tried         int
	OthersRunning int
	LongestMS     int64
	// Endpoints and Kinds are named once; a tally has the number of its own, 0 for no
	// endpoint.
	Endpoints []string
	Kinds     []uint32
	Tallies   []tally
	Bounds    []bound
}

type tally struct {
	_        struct{} `cbor:",toarray"`
	Kind     int
	Endpoint int
	Answers  int
	Bad      int
}

// EncodeDirectives encodes an owner's directives.
func EncodeDirectives(directives []rollout.Directive) ([]byte, error) {
	var m message
	for _, w := range directives {
		m.Words = append(m.Words, wireDirective{
			Service: w.Service, Order: w.Order, Target: w.Target, PeriodMS: w.Period.Milliseconds(), Phase: int(w.Phase), Share: float32(w.Share), Slack: w.Slack,
			Epoch: w.Epoch, Number: w.Number, Suspects: w.Suspects, Bounds: encodeBounds(w.SlowThresholds),
		})
	}
	return cbor.Marshal(m)
}

// EncodeReports encodes what a host tells an owner.
func EncodeReports(reports []rollout.Report) ([]byte, error) {
	var m message
	for _, r := range reports {
		m.Reports = append(m.Reports, encodeReport(r))
	}
	return cbor.Marshal(m)
}

func encodeReport(r rollout.Report) report {
	w := report{
		Service: r.Service, Order: r.Order, Phase: int(r.Phase), Epoch: r.Epoch, Number: r.Number, Asked: r.Requests, Tried: r.TargetRequests,
		OthersRunning: r.OthersRunning, LongestMS: r.LongestOther.Milliseconds(), Bounds: encodeBounds(r.SlowThresholds),
	}
	places := map[string]int{"": 0}
	for _, t := range r.Tallies[:min(len(r.Tallies), mostTallies)] {
		place, ok := places[t.Endpoint]
		if !ok {
			w.Endpoints = append(w.Endpoints, t.Endpoint)
			place = len(w.Endpoints)
			places[t.Endpoint] = place
		}
		kind := slices.Index(w.Kinds, uint32(t.Kind))
		if kind < 0 {
			kind = len(w.Kinds)
			w.Kinds = append(w.Kinds, uint32(t.Kind))
		}
		w.Tallies = append(w.Tallies, tally{Kind: kind, Endpoint: place, Answers: t.Answers, Bad: t.Bad})
	}
	return w
}

func encodeBounds(bounds []rollout.SlowThreshold) []bound {
	var list []bound
	for _, b := range bounds[:min(len(bounds), mostBounds)] {
		list = append(list, bound{Kind: uint32(b.Kind), Value: float32(b.Value), Answers: b.Answers})
	}
	return list
}

func decodeBounds(bounds []bound) []rollout.SlowThreshold {
	var list []rollout.SlowThreshold
	for _, b := range bounds {
		list = append(list, rollout.SlowThreshold{Kind: rollout.Kind(b.Kind), Value: float64(b.Value), Answers: b.Answers})
	}
	return list
}

// Decode decodes a datagram of either kind.
func Decode(data []byte) (directives []rollout.Directive, reports []rollout.Report, err error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, nil, fmt.Errorf("rolloutsync: %w", err)
	}
	for _, w := range m.Words {
		directives = append(directives, rollout.Directive{
			Service: w.Service, Order: w.Order, Target: w.Target, Period: time.Duration(w.PeriodMS) * time.Millisecond, Phase: rollout.Phase(w.Phase), Share: float64(w.Share), Slack: w.Slack,
			Epoch: w.Epoch, Number: w.Number, Suspects: w.Suspects, SlowThresholds: decodeBounds(w.Bounds),
		})
	}
	for _, r := range m.Reports {
		decoded, err := r.decode()
		if err != nil {
			return nil, nil, err
		}
		reports = append(reports, decoded)
	}
	return directives, reports, nil
}

func (r report) decode() (rollout.Report, error) {
	d := rollout.Report{
		Service: r.Service, Order: r.Order, Phase: rollout.Phase(r.Phase), Epoch: r.Epoch, Number: r.Number, Requests: r.Asked, TargetRequests: r.Tried,
		OthersRunning: r.OthersRunning, LongestOther: time.Duration(r.LongestMS) * time.Millisecond, SlowThresholds: decodeBounds(r.Bounds),
	}
	for _, t := range r.Tallies {
		if t.Endpoint < 0 || t.Endpoint > len(r.Endpoints) || t.Kind < 0 || t.Kind >= len(r.Kinds) {
			return d, fmt.Errorf("rolloutsync: a tally of endpoint %d and kind %d, %d and %d are named", t.Endpoint, t.Kind, len(r.Endpoints), len(r.Kinds))
		}
		endpoint := ""
		if t.Endpoint > 0 {
			endpoint = r.Endpoints[t.Endpoint-1]
		}
		d.Tallies = append(d.Tallies, rollout.Tally{Kind: rollout.Kind(r.Kinds[t.Kind]), Endpoint: endpoint, Count: rollout.Count{Answers: t.Answers, Bad: t.Bad}})
	}
	return d, nil
}

// row is an order's state in the store.
type row struct {
	Service   string `cbor:"1,keyasint"`
	Target    string `cbor:"2,keyasint"`
	PeriodMS  int64  `cbor:"3,keyasint"`
	Order     int64  `cbor:"4,keyasint"`
	Phase     int    `cbor:"5,keyasint"`
	StartedMS int64  `cbor:"6,keyasint"`
	Why       string `cbor:"7,keyasint,omitempty"`
	// Epoch is the lease's under which it was written.
	Epoch int64 `cbor:"8,keyasint"`
}

// Table is the store's table of orders' states, a row a service.
const Table = "rollouts"

// Key is the key of a service's row, with its table.
func Key(service string) string { return Table + "/" + service }

func encodeState(s rollout.State, epoch int64) ([]byte, error) {
	return cbor.Marshal(row{
		Service: s.Order.Service, Target: s.Order.Target, PeriodMS: s.Order.Period.Milliseconds(), Order: s.Order.ID,
		Phase: int(s.Phase), StartedMS: s.Started.Milliseconds(), Why: s.Reason, Epoch: epoch,
	})
}

// DecodeState decodes a service's row.
func DecodeState(value []byte) (rollout.State, error) {
	var r row
	if err := cbor.Unmarshal(value, &r); err != nil {
		return rollout.State{}, fmt.Errorf("rolloutsync: state of a roll-out: %w", err)
	}
	return rollout.State{
		Order: rollout.Order{
			Service: r.Service, Target: r.Target, Period: time.Duration(r.PeriodMS) * time.Millisecond, ID: r.Order,
		},
		Phase: rollout.Phase(r.Phase), Started: time.Duration(r.StartedMS) * time.Millisecond, Reason: r.Why,
	}, nil
}
