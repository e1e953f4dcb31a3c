// Package statetransfer lets a host that starts, or whose configuration the store does not confirm,
// ask other hosts for the state that they have. The store alone is not enough: after a restore from a
// backup it holds an older configuration, and endpoints that have since reported that they leave, and
// while it is away it answers nothing.
package statetransfer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/feed"
)

// State is what a host knows of the fleet.
type State struct {
	// Configuration is zero if it is not newer than the one that the asking host has.
	Configuration Configuration
	// Leaving are the endpoints that have reported that they leave.
	Leaving []LeavingEndpoint
	// Limits holds what endpoints accept at most, as package gossip encodes it.
	Limits [][]byte
	// Tables holds the rows of the followed tables by name. It is empty unless they were requested.
	Tables map[string]feed.Batch
}

// Configuration is a configuration as its row in the store holds it.
type Configuration struct {
	// Version is the operators' version, which never goes back.
	Version int64
	Row     feed.Row
}

// LeavingEndpoint is one run of an endpoint.
type LeavingEndpoint struct {
	ID string
	// StartedMS is the start of the run in Unix milliseconds, 0 if unknown.
	StartedMS int64
}

type wireState struct {
	Version int64               `cbor:"1,keyasint,omitempty"`
	Row     *wireRow            `cbor:"2,keyasint,omitempty"`
	Leaving []wireLeaving       `cbor:"3,keyasint,omitempty"`
	Tables  map[string]wireRows `cbor:"4,keyasint,omitempty"`
	Limits  [][]byte            `cbor:"5,keyasint,omitempty"`
}

type wireLeaving struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	StartedMS int64
}

type wireRows struct {
	_       struct{} `cbor:",toarray"`
	Rows    []wireRow
	Version int64
	// StoreMS is the store's clock in milliseconds.
	StoreMS int64
}

type wireRow struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version int64
}

func encode(s State) ([]byte, error) {
	wire := wireState{Version: s.Configuration.Version, Limits: s.Limits}
	if s.Configuration.Version > 0 {
		row := encodeRow(s.Configuration.Row)
		wire.Row = &row
	}
	for _, e := range s.Leaving {
		wire.Leaving = append(wire.Leaving, wireLeaving{ID: e.ID, StartedMS: e.StartedMS})
	}
	for name, batch := range s.Tables {
		table := wireRows{Version: batch.Version, StoreMS: batch.StoreTime.Milliseconds()}
		for _, row := range batch.Rows {
			table.Rows = append(table.Rows, encodeRow(row))
		}
		if wire.Tables == nil {
			wire.Tables = map[string]wireRows{}
		}
		wire.Tables[name] = table
	}
	return cbor.Marshal(wire)
}

func encodeRow(row feed.Row) wireRow {
	return wireRow{Key: row.Key, Value: row.Value, Version: row.Version}
}

func (r wireRow) decode() feed.Row { return feed.Row{Key: r.Key, Value: r.Value, Version: r.Version} }

func decode(data []byte) (State, error) {
	var wire wireState
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return State{}, err
	}
	s := State{Limits: wire.Limits}
	if wire.Row != nil {
		s.Configuration = Configuration{Version: wire.Version, Row: wire.Row.decode()}
	}
	for _, e := range wire.Leaving {
		s.Leaving = append(s.Leaving, LeavingEndpoint{ID: e.ID, StartedMS: e.StartedMS})
	}
	for name, table := range wire.Tables {
		batch := feed.Batch{Full: true, Version: table.Version, StoreTime: time.Duration(table.StoreMS) * time.Millisecond}
		for _, row := range table.Rows {
			batch.Rows = append(batch.Rows, row.decode())
		}
		if s.Tables == nil {
			s.Tables = map[string]feed.Batch{}
		}
		s.Tables[name] = batch
	}
	return s, nil
}
