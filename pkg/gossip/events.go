package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/roster"
)

// mapMessage is a datagram of cases, notices, team statistics, a digest or a subscription, which
// most rounds do not need. It is a CBOR map, which distinguishes it from statusMessage, a CBOR
// array. Hosts of another version skip unknown members or whole datagrams.
type mapMessage struct {
	Incarnation string `cbor:"1,keyasint"`
	// Crashes holds the crashes of the cases. Keys 2 and 3 held the cases of earlier versions.
	Crashes []wireCrash  `cbor:"27,keyasint,omitempty"`
	Cases   []wireCase   `cbor:"28,keyasint,omitempty"`
	Notices []wireNotice `cbor:"4,keyasint,omitempty"`
	// TeamUsage and Counts are set when there are too many teams for the status datagram.
	TeamUsage []wireTeamUsage    `cbor:"5,keyasint,omitempty"`
	Counts    []wireRequestCount `cbor:"6,keyasint,omitempty"`
	// LiveHosts and Hosts belong to a digest.
	LiveHosts []wireLiveHost `cbor:"7,keyasint,omitempty"`
	Hosts     []wireHost     `cbor:"8,keyasint,omitempty"`
	// RequestRate is the recent number of requests started per second on all hosts.
	RequestRate float32 `cbor:"9,keyasint,omitempty"`
	// Subscribes reports whether the only host in Hosts, the sender, subscribes to digests.
	Subscribes bool `cbor:"10,keyasint,omitempty"`
	// HostCount is the number of hosts that may serve.
	HostCount int `cbor:"11,keyasint,omitempty"`
	// Limits holds the rate limits reported by endpoints.
	Limits []wireLimit `cbor:"12,keyasint,omitempty"`
	// MaxRejections holds the numbers of rejections that endpoints stand.
	MaxRejections []wireMaxRejections `cbor:"22,keyasint,omitempty"`
	// Work holds the work offered to the sender.
	Work []wireWork `cbor:"20,keyasint,omitempty"`
	// Speeds holds what answers show about the speed of endpoints.
	Speeds []wireSpeed `cbor:"21,keyasint,omitempty"`
	// Links reports whether the sender has lost its links to endpoints; see LinkState.
	Links LinkState `cbor:"23,keyasint,omitempty"`
	// Origins, OriginQueries and UnknownOrigins hold the records, the queries and the unknown keys of
	// streams' origins.
	Origins        []wireOrigin `cbor:"24,keyasint,omitempty"`
	OriginQueries  [][]byte     `cbor:"25,keyasint,omitempty"`
	UnknownOrigins [][]byte     `cbor:"26,keyasint,omitempty"`
	// OriginHosts holds the hosts of the records in Origins, in their order.
	OriginHosts []wireOriginHost `cbor:"29,keyasint,omitempty"`
}

// isMapMessage reports whether a datagram is a CBOR map, by the major type in its first three
// bits.
func isMapMessage(data []byte) bool {
	const majorTypeShift, mapMajorType = 5, 5
	return len(data) > 0 && data[0]>>majorTypeShift == mapMajorType
}

// encode encodes the message without the notices, limits and speeds that do not fit: rows and other
// hosts report them too.
func (m mapMessage) encode() ([]byte, error) {
	for {
		data, err := cbor.Marshal(m)
		if err != nil || len(data) <= maxBytes || len(m.Notices)+len(m.Limits)+len(m.MaxRejections)+len(m.Speeds) == 0 {
			return data, err
		}
		m.Speeds = m.Speeds[:len(m.Speeds)*3/4]
		m.Notices = m.Notices[:len(m.Notices)*3/4]
		m.Limits = m.Limits[:len(m.Limits)*3/4]
		m.MaxRejections = m.MaxRejections[:len(m.MaxRejections)*3/4]
	}
}

func decodeMapMessage(data []byte, now time.Time) (Update, error) {
	var m mapMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Update{}, err
	}
	digest := m.digest()
	if m.Subscribes && len(digest.Hosts) == 1 && digest.Hosts[0].Incarnation == m.Incarnation {
		return Update{Status: roster.Status{Host: digest.Hosts[0]}, Brief: true, Subscribes: true}, nil
	}
	update := Update{Brief: true, Cases: m.cases(now), Notices: m.notices(), TeamUsage: decodeTeamUsage(m.TeamUsage), Work: m.work(), Digest: digest, Speeds: m.speeds(), Origins: m.origins()}
	if m.Links <= LinksRestored {
		update.Links = m.Links
	}
	update.Status = roster.Status{Host: roster.Host{Incarnation: m.Incarnation}, Counts: decodeCounts(m.Counts)}
	return update, nil
}

// wireCase encodes a quarantine.Case. Times are sent as ages because the clocks of hosts differ.
type wireCase struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint []byte
	// Crashes are indexes in the datagram's list: one crash usually affects many cases.
	Crashes []int
	// SuccessAgeMS and TrialAgeMS are the ages of the last success and of the last trial in milliseconds
	// plus one, 0 if there is none.
	SuccessAgeMS int64
	Trials       int
	TrialAgeMS   int64
	IsPart       bool
}

type wireCrash struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	AgeMS    int64
	Team     uint32
}

// Estimated sizes in a datagram.
const (
	caseBytes       = 32
	crashIndexBytes = 2
	crashBytes      = 16
)

// addCases encodes cases, those that fit in a datagram.
func (m *mapMessage) addCases(cases []quarantine.Case, now time.Time) {
	indexes := map[wireCrash]int{}
	size := maxHeaderBytes
	for _, c := range cases {
		added := caseBytes + crashIndexBytes*len(c.Crashes)
		for _, crash := range c.Crashes {
			if _, ok := indexes[encodeCrash(crash, now)]; !ok {
				added += crashBytes + len(crash.Endpoint)
			}
		}
		if size += added; size > maxBytes {
			return
		}
		w := wireCase{Fingerprint: c.Fingerprint[:], SuccessAgeMS: encodeAge(c.LastSuccess, now), Trials: c.Trials, TrialAgeMS: encodeAge(c.TrialAt, now), IsPart: c.IsPart}
		for _, crash := range c.Crashes {
			encoded := encodeCrash(crash, now)
			index, ok := indexes[encoded]
			if !ok {
				index = len(m.Crashes)
				indexes[encoded] = index
				m.Crashes = append(m.Crashes, encoded)
			}
			w.Crashes = append(w.Crashes, index)
		}
		m.Cases = append(m.Cases, w)
	}
}

func encodeCrash(c quarantine.Crash, now time.Time) wireCrash {
	return wireCrash{Endpoint: c.Endpoint, AgeMS: now.Sub(c.At).Milliseconds(), Team: uint32(c.Team)}
}

func encodeAge(at, now time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at).Milliseconds() + 1
}

func decodeAge(ageMS int64, now time.Time) time.Time {
	if ageMS <= 0 {
		return time.Time{}
	}
	return ago(now, ageMS-1)
}

// cases decodes the cases, with times by the receiver's clock. Malformed cases are skipped; the
// rest of the datagram is used.
func (m mapMessage) cases(now time.Time) []quarantine.Case {
	var cases []quarantine.Case
	for _, w := range m.Cases {
		if len(w.Fingerprint) != len(quarantine.Fingerprint{}) {
			continue
		}
		c := quarantine.Case{
			Fingerprint: quarantine.Fingerprint(w.Fingerprint), IsPart: w.IsPart, LastSuccess: decodeAge(w.SuccessAgeMS, now),
			Trials: max(w.Trials, 0), TrialAt: decodeAge(w.TrialAgeMS, now),
		}
		for _, index := range w.Crashes {
			if index >= 0 && index < len(m.Crashes) {
				crash := m.Crashes[index]
				c.Crashes = append(c.Crashes, quarantine.Crash{Endpoint: crash.Endpoint, At: ago(now, crash.AgeMS), Team: quarantine.TeamTag(crash.Team)})
			}
		}
		cases = append(cases, c)
	}
	return cases
}

// maxAge bounds the ages in a datagram.
const maxAge = 365 * 24 * time.Hour

// ago returns the time ms milliseconds before now. A negative age counts as 0.
func ago(now time.Time, ms int64) time.Time {
	return now.Add(-millis(ms))
}
