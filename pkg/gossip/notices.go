package gossip

import (
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/notice"
)

const millisecondsASecond = 1000

// toldNotice is a notice.Told.
type toldNotice struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Born     int64
	Leaving  bool
	// RestMS is what is left of a rest.
	RestMS int64
}

func (m *eventMessage) addNotices(list []notice.Told) {
	for _, t := range list {
		m.Notices = append(m.Notices, toldNotice{Endpoint: t.Endpoint, Born: t.Born, Leaving: t.Notice.Leaving, RestMS: t.Notice.Rest.Milliseconds()})
	}
}

// notices decodes the notices. A rest that is no length of time is none.
func (m eventMessage) notices() []notice.Told {
	var list []notice.Told
	for _, w := range m.Notices {
		rest := endpoint.RestOf(float64(w.RestMS) / millisecondsASecond)
		list = append(list, notice.Told{Endpoint: w.Endpoint, Born: w.Born, Notice: endpoint.Notice{Leaving: w.Leaving, Rest: rest}})
	}
	return list
}
