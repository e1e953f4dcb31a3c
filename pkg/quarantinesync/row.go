package quarantinesync

import (
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/quarantine"
)

// row is a case in the store; times are by the store's steady clock.
type row struct {
	Ends []end `cbor:"1,keyasint"`
}

type end struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	AtMS     int64
}

// mostMS bounds the store's clock, in milliseconds: a hundred years.
const mostMS = 100 * 365 * 24 * 3600 * 1000

func key(f quarantine.Fingerprint) string { return Table + "/" + f.String() }

// encode encodes a case; now and storeNow are the same moment by both clocks.
func encode(c quarantine.Case, now time.Time, storeNow time.Duration) ([]byte, error) {
	var r row
	for _, e := range c.Crashes {
		r.Ends = append(r.Ends, end{Endpoint: e.Endpoint, AtMS: (storeNow - now.Sub(e.At)).Milliseconds()})
	}
	return cbor.Marshal(r)
}

// stored is a decoded row.
type stored struct {
	fingerprint quarantine.Fingerprint
	ends        []end
}

func decode(key string, value []byte) (stored, error) {
	text, ok := strings.CutPrefix(key, Table+"/")
	if !ok {
		return stored{}, fmt.Errorf("poisonsync: row %q of another table", key)
	}
	f, err := quarantine.ParseFingerprint(text)
	if err != nil {
		return stored{}, err
	}
	var r row
	if err := cbor.Unmarshal(value, &r); err != nil {
		return stored{}, fmt.Errorf("poisonsync: row %q: %w", key, err)
	}
	for _, e := range r.Ends {
		if e.AtMS < 0 || e.AtMS > mostMS {
			return stored{}, fmt.Errorf("poisonsync: row %q: an end at %d ms", key, e.AtMS)
		}
	}
	return stored{fingerprint: f, ends: r.Ends}, nil
}

// at returns the case by this process's clock. An end that is told for later than now
// counts as of now.
func (s stored) at(now time.Time, storeNow time.Duration) quarantine.Case {
	c := quarantine.Case{Fingerprint: s.fingerprint}
	for _, e := range s.ends {
		age := max(storeNow-time.Duration(e.AtMS)*time.Millisecond, 0)
		c.Crashes = append(c.Crashes, quarantine.Crash{Endpoint: e.Endpoint, At: now.Add(-age)})
	}
	return c
}
