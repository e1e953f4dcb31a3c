package originlog

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/origin"
)

// Table is the store's table of origins.
const Table = "origins"

// maxStreams bounds the streams of a row, whose size the store limits. The latest are kept.
const maxStreams = 2000

// row is the stored form of what one host knows. Its times are of the store's steady clock.
type row struct {
	WrittenMS int64       `cbor:"1,keyasint"`
	Sources   []rowSource `cbor:"2,keyasint,omitempty"`
	Streams   []stream    `cbor:"3,keyasint,omitempty"`
}

// rowSource is a source of a route, last seen at LastMS.
type rowSource struct {
	_       struct{} `cbor:",toarray"`
	Route   string
	Service string
	Release string
	LastMS  int64
}

// stream is a stream that began at the source of Sources[Source].
type stream struct {
	_      struct{} `cbor:",toarray"`
	Key    []byte
	Source uint16
	// UntilMS is when the record expires.
	UntilMS int64
}

// maxMS bounds times of the store's clock, in milliseconds: 100 years.
const maxMS = 100 * 365 * 24 * 3600 * 1000

func keyOf(node string) string { return Table + "/" + node }

func encode(r row) ([]byte, error) { return cbor.Marshal(r) }

func decode(value []byte) (row, error) {
	var r row
	if err := cbor.Unmarshal(value, &r); err != nil {
		return row{}, err
	}
	if r.WrittenMS < 0 || r.WrittenMS > maxMS {
		return row{}, fmt.Errorf("time out of range: %d ms", r.WrittenMS)
	}
	for _, p := range r.Sources {
		if p.LastMS < 0 || p.LastMS > maxMS {
			return row{}, fmt.Errorf("time of a source out of range: %d ms", p.LastMS)
		}
	}
	for _, s := range r.Streams {
		if len(s.Key) != len(origin.Key{}) || int(s.Source) >= len(r.Sources) || s.UntilMS < 0 || s.UntilMS > maxMS {
			return row{}, fmt.Errorf("stream with a key of %d bytes at source %d of %d", len(s.Key), s.Source, len(r.Sources))
		}
	}
	return r, nil
}

func (p rowSource) source() origin.Source {
	return origin.Source{Service: p.Service, Release: p.Release}
}

func toMS(d time.Duration) int64 { return max(d.Milliseconds(), 0) }

func fromMS(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
