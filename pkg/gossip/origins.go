package gossip

import (
	"time"

	"ironhollow/pkg/origin"
)

// wireOrigin encodes an origin.Record.
type wireOrigin struct {
	_         struct{} `cbor:",toarray"`
	Key       []byte
	Service   string
	Release   string
	AgeMS     int64
	LifeMS    int64
	Conflicts bool
}

// wireOriginHost encodes the host of an origin.Record. It is no part of wireOrigin, whose number of elements
// hosts of earlier versions check.
type wireOriginHost struct {
	_       struct{} `cbor:",toarray"`
	Address string
	AgeMS   int64
}

// Origins is what a datagram holds of the origins of streams. The keys of Queries are asked for, and
// those of Unknown have no record at the sender.
type Origins struct {
	Records          []origin.Record
	Queries, Unknown []origin.Key
}

func (o Origins) isEmpty() bool { return len(o.Records)+len(o.Queries)+len(o.Unknown) == 0 }

// maxOrigins bounds the records and the keys of each kind in a datagram.
const maxOrigins = 16

// SendOrigins sends records, and the keys of which this host has none, to one host. Datagrams about origins
// do not name the sender: there is one for each stream.
func (e *Exchange) SendOrigins(records []origin.Record, unknown []origin.Key, to string) {
	m := mapMessage{UnknownOrigins: encodeKeys(unknown)}
	for _, r := range records {
		m.Origins = append(m.Origins, wireOrigin{
			Key: r.Key[:], Service: r.Source.Service, Release: r.Source.Release,
			AgeMS: r.Age.Milliseconds(), LifeMS: r.Life.Milliseconds(), Conflicts: r.Conflicts,
		})
		m.OriginHosts = append(m.OriginHosts, wireOriginHost{Address: r.Host, AgeMS: r.HostAge.Milliseconds()})
	}
	e.sendMapMessage(m, []string{to})
}

// QueryOrigin asks one host for the record of a key.
func (e *Exchange) QueryOrigin(key origin.Key, to string) {
	e.sendMapMessage(mapMessage{OriginQueries: [][]byte{key[:]}}, []string{to})
}

func encodeKeys(keys []origin.Key) [][]byte {
	encoded := make([][]byte, 0, len(keys))
	for _, key := range keys {
		encoded = append(encoded, key[:])
	}
	return encoded
}

// decodeKeys skips malformed keys.
func decodeKeys(encoded [][]byte) []origin.Key {
	var keys []origin.Key
	for _, b := range encoded[:min(len(encoded), maxOrigins)] {
		if len(b) == len(origin.Key{}) {
			keys = append(keys, origin.Key(b))
		}
	}
	return keys
}

// origins skips malformed records. An origin without a service is none.
func (m mapMessage) origins() Origins {
	o := Origins{Queries: decodeKeys(m.OriginQueries), Unknown: decodeKeys(m.UnknownOrigins)}
	for i, w := range m.Origins[:min(len(m.Origins), maxOrigins)] {
		if len(w.Key) != len(origin.Key{}) || w.Service == "" || w.LifeMS <= 0 {
			continue
		}
		r := origin.Record{
			Key: origin.Key(w.Key), Source: origin.Source{Service: w.Service, Release: w.Release}, Conflicts: w.Conflicts,
			Age: millis(w.AgeMS), Life: millis(w.LifeMS),
		}
		if i < len(m.OriginHosts) {
			r.Host, r.HostAge = m.OriginHosts[i].Address, millis(m.OriginHosts[i].AgeMS)
		}
		o.Records = append(o.Records, r)
	}
	return o
}

// millis decodes a duration. A negative one counts as 0.
func millis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}
