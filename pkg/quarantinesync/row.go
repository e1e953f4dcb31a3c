package quarantinesync

import (
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/quarantine"
)

// row is the stored form of a case. Its times are of the store's steady clock.
type row struct {
	Crashes []crash `cbor:"1,keyasint"`
}

type crash struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	AtMS     int64
}

// maxMS bounds times of the store's clock, in milliseconds: 100 years.
const maxMS = 100 * 365 * 24 * 3600 * 1000

func key(f quarantine.Fingerprint) string { return Table + "/" + f.String() }

// encode encodes a case. now and storeNow are the same time on this process's and on the
// store's clock.
func encode(c quarantine.Case, now time.Time, storeNow time.Duration) ([]byte, error) {
	var r row
	for _, e := range c.Crashes {
		r.Crashes = append(r.Crashes, crash{Endpoint: e.Endpoint, AtMS: (storeNow - now.Sub(e.At)).Milliseconds()})
	}
	return cbor.Marshal(r)
}

// decodedRow is a row with the fingerprint from its key.
type decodedRow struct {
	fingerprint quarantine.Fingerprint
	crashes     []crash
}

func decode(key string, value []byte) (decodedRow, error) {
	text, ok := strings.CutPrefix(key, Table+"/")
	if !ok {
		return decodedRow{}, fmt.Errorf("quarantinesync: row %q is of another table", key)
	}
	f, err := quarantine.ParseFingerprint(text)
	if err != nil {
		return decodedRow{}, err
	}
	var r row
	if err := cbor.Unmarshal(value, &r); err != nil {
		return decodedRow{}, fmt.Errorf("quarantinesync: row %q: %w", key, err)
	}
	for _, e := range r.Crashes {
		if e.AtMS < 0 || e.AtMS > maxMS {
			return decodedRow{}, fmt.Errorf("quarantinesync: row %q: time of a crash out of range: %d ms", key, e.AtMS)
		}
	}
	return decodedRow{fingerprint: f, crashes: r.Crashes}, nil
}

// toCase returns the case with times of this process's clock. A crash whose time is in the
// future gets the current time.
func (r decodedRow) toCase(now time.Time, storeNow time.Duration) quarantine.Case {
	c := quarantine.Case{Fingerprint: r.fingerprint}
	for _, e := range r.crashes {
		age := max(storeNow-time.Duration(e.AtMS)*time.Millisecond, 0)
		c.Crashes = append(c.Crashes, quarantine.Crash{Endpoint: e.Endpoint, At: now.Add(-age)})
	}
	return c
}
