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
	// Teams are the teams of the crashes, empty if all are 0.
	Teams []uint32 `cbor:"2,keyasint,omitempty"`
	// Trials counts the trials of all hosts, TrialAtMS is the time of the latest.
	Trials    int   `cbor:"3,keyasint,omitempty"`
	TrialAtMS int64 `cbor:"4,keyasint,omitempty"`
	IsPart    bool  `cbor:"5,keyasint,omitempty"`
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
	r := row{Trials: c.Trials, IsPart: c.IsPart}
	hasTeams := false
	for _, e := range c.Crashes {
		r.Crashes = append(r.Crashes, crash{Endpoint: e.Endpoint, AtMS: (storeNow - now.Sub(e.At)).Milliseconds()})
		r.Teams = append(r.Teams, uint32(e.Team))
		hasTeams = hasTeams || e.Team != 0
	}
	if !hasTeams {
		r.Teams = nil
	}
	if c.Trials > 0 {
		r.TrialAtMS = (storeNow - now.Sub(c.TrialAt)).Milliseconds()
	}
	return cbor.Marshal(r)
}

// decodedRow is a row with the fingerprint from its key.
type decodedRow struct {
	row
	fingerprint quarantine.Fingerprint
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
	if r.TrialAtMS < 0 || r.TrialAtMS > maxMS || r.Trials < 0 || r.Trials > quarantine.MaxTrials {
		return decodedRow{}, fmt.Errorf("quarantinesync: row %q: trials out of range: %d at %d ms", key, r.Trials, r.TrialAtMS)
	}
	if len(r.Teams) != 0 && len(r.Teams) != len(r.Crashes) {
		return decodedRow{}, fmt.Errorf("quarantinesync: row %q: %d teams of %d crashes", key, len(r.Teams), len(r.Crashes))
	}
	return decodedRow{row: r, fingerprint: f}, nil
}

// toCase returns the case with times of this process's clock. A crash whose time is in the
// future gets the current time.
func (r decodedRow) toCase(now time.Time, storeNow time.Duration) quarantine.Case {
	local := func(atMS int64) time.Time { return now.Add(-max(storeNow-time.Duration(atMS)*time.Millisecond, 0)) }
	c := quarantine.Case{Fingerprint: r.fingerprint, IsPart: r.IsPart, Trials: r.Trials}
	for i, e := range r.Crashes {
		crash := quarantine.Crash{Endpoint: e.Endpoint, At: local(e.AtMS)}
		if len(r.Teams) > 0 {
			crash.Team = quarantine.TeamTag(r.Teams[i])
		}
		c.Crashes = append(c.Crashes, crash)
	}
	if r.Trials > 0 {
		c.TrialAt = local(r.TrialAtMS)
	}
	return c
}
