package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/roster"
)

// eventMessage is a datagram of cases, notices, figures of teams or a digest, which most rounds
// have none of. It is a CBOR map, which distinguishes it from the others: hosts of another
// version skip members, or whole datagrams, that they do not know.
type eventMessage struct {
	Incarnation string      `cbor:"1,keyasint"`
	Cases       []crashCase `cbor:"2,keyasint,omitempty"`
	// Singles are cases of one end, by endpoint.
	Singles []crashSingles `cbor:"3,keyasint,omitempty"`
	Notices []wireNotice   `cbor:"4,keyasint,omitempty"`
	// Spent and Counts are of teams, where there are too many for the datagram of loads.
	Spent  []spent `cbor:"5,keyasint,omitempty"`
	Counts []count `cbor:"6,keyasint,omitempty"`
	// Alive and Hosts are of a digest.
	Alive []wireAlive `cbor:"7,keyasint,omitempty"`
	Hosts []wireHost  `cbor:"8,keyasint,omitempty"`
	// Requests is how many a second recently began over all hosts.
	Requests float32 `cbor:"9,keyasint,omitempty"`
	// Subscribes says that the one host in Hosts, which is the sender, subscribes to digests.
	Subscribes bool `cbor:"10,keyasint,omitempty"`
	// Sharing is how many hosts may serve.
	Sharing int `cbor:"11,keyasint,omitempty"`
	// Limits are those that endpoints name.
	Limits []wireLimit `cbor:"12,keyasint,omitempty"`
}

// isEvents reports whether a datagram is a CBOR map, by its first three bits.
func isEvents(data []byte) bool {
	const majorBits, majorMap = 5, 5
	return len(data) > 0 && data[0]>>majorBits == majorMap
}

// encode leaves out notices that do not fit: rows and other hosts report them too.
func (m eventMessage) encode() ([]byte, error) {
	for {
		data, err := cbor.Marshal(m)
		if err != nil || len(data) <= maxBytes || len(m.Notices)+len(m.Limits) == 0 {
			return data, err
		}
		m.Notices = m.Notices[:len(m.Notices)*3/4]
		m.Limits = m.Limits[:len(m.Limits)*3/4]
	}
}

func decodeEvents(data []byte, now time.Time) (Update, error) {
	var m eventMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Update{}, err
	}
	if m.Subscribes && len(m.Hosts) == 1 && m.Hosts[0].Incarnation == m.Incarnation {
		return Update{Status: roster.Status{Host: m.digest().Hosts[0]}, Brief: true, Subscribes: true}, nil
	}
	update := Update{Brief: true, Cases: m.cases(now), Notices: m.notices(), TeamUsage: decodeSpent(m.Spent), Digest: m.digest()}
	update.Status = roster.Status{Host: roster.Host{Incarnation: m.Incarnation}, Counts: decodeCounts(m.Counts)}
	return update, nil
}

// crashCase is a quarantine.Case. Times are ages: hosts' clocks differ.
type crashCase struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint []byte
	Ends        []crashEnd
	// SoundMS is how long ago it was answered whole, plus one; 0 if not known.
	SoundMS int64
}

type crashEnd struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	AgeMS    int64
}

// crashSingles is requests under which one endpoint ended, and no other that is known.
type crashSingles struct {
	_            struct{} `cbor:",toarray"`
	Endpoint     string
	AgeMS        int64
	Fingerprints [][]byte
}

// addCases encodes cases, those of one end by its endpoint: where one ends there are
// many, and each takes 13 bytes so in place of 40.
func (m *eventMessage) addCases(cases []quarantine.Case, now time.Time) {
	places := map[string]int{}
	for _, c := range cases {
		if len(c.Crashes) != 1 || !c.LastSuccess.IsZero() {
			m.Cases = append(m.Cases, encodeCase(c, now))
			continue
		}
		end := c.Crashes[0]
		place, ok := places[end.Endpoint]
		if !ok {
			place = len(m.Singles)
			places[end.Endpoint] = place
			m.Singles = append(m.Singles, crashSingles{Endpoint: end.Endpoint, AgeMS: now.Sub(end.At).Milliseconds()})
		}
		m.Singles[place].Fingerprints = append(m.Singles[place].Fingerprints, c.Fingerprint[:])
	}
}

func encodeCase(c quarantine.Case, now time.Time) crashCase {
	w := crashCase{Fingerprint: c.Fingerprint[:]}
	for _, e := range c.Crashes {
		w.Ends = append(w.Ends, crashEnd{Endpoint: e.Endpoint, AgeMS: now.Sub(e.At).Milliseconds()})
	}
	if !c.LastSuccess.IsZero() {
		w.SoundMS = now.Sub(c.LastSuccess).Milliseconds() + 1
	}
	return w
}

// cases decodes the cases, by the receiver's clock. Malformed ones are skipped; the rest of the
// datagram is used.
func (m eventMessage) cases(now time.Time) []quarantine.Case {
	var cases []quarantine.Case
	for _, w := range m.Cases {
		if len(w.Fingerprint) == len(quarantine.Fingerprint{}) {
			cases = append(cases, w.decode(now))
		}
	}
	for _, w := range m.Singles {
		end := quarantine.Crash{Endpoint: w.Endpoint, At: ago(now, w.AgeMS)}
		for _, f := range w.Fingerprints {
			if len(f) == len(quarantine.Fingerprint{}) {
				cases = append(cases, quarantine.Case{Fingerprint: quarantine.Fingerprint(f), Crashes: []quarantine.Crash{end}})
			}
		}
	}
	return cases
}

func (w crashCase) decode(now time.Time) quarantine.Case {
	c := quarantine.Case{Fingerprint: quarantine.Fingerprint(w.Fingerprint)}
	for _, e := range w.Ends {
		c.Crashes = append(c.Crashes, quarantine.Crash{Endpoint: e.Endpoint, At: ago(now, e.AgeMS)})
	}
	if w.SoundMS > 0 {
		c.LastSuccess = ago(now, w.SoundMS-1)
	}
	return c
}

// oldest bounds the ages in a datagram.
const oldest = 365 * 24 * time.Hour

// ago is a moment some milliseconds ago. One in the future counts as now.
func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(min(max(ms, 0), oldest.Milliseconds())) * time.Millisecond)
}
