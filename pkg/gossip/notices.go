package gossip

import (
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/notice"
)

const millisecondsASecond = 1000

// wireNotice is a notice.Report.
type wireNotice struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Born     int64
	Leaving  bool
	// BackoffMS is what is left of a backoff.
	BackoffMS int64
}

// wireLimit is a notice.Report of a limit.
type wireLimit struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Born     int64
	Version  uint64
	// PerSecond is the limit, 0 for none.
	PerSecond float64
}

func (m *eventMessage) addNotices(list []notice.Report) {
	for _, t := range list {
		if t.LimitVersion > 0 {
			m.Limits = append(m.Limits, wireLimit{Endpoint: t.Endpoint, Born: t.StartedMS, Version: t.LimitVersion, PerSecond: float64(t.Notice.Limit)})
			continue
		}
		m.Notices = append(m.Notices, wireNotice{Endpoint: t.Endpoint, Born: t.StartedMS, Leaving: t.Notice.Leaving, BackoffMS: t.Notice.Backoff.Milliseconds()})
	}
}

// notices decodes the notices. A backoff that is no length of time is none, a limit that is
// none that an endpoint can name is left out.
func (m eventMessage) notices() []notice.Report {
	var list []notice.Report
	for _, w := range m.Notices {
		backoff := endpoint.BackoffFromSeconds(float64(w.BackoffMS) / millisecondsASecond)
		list = append(list, notice.Report{Endpoint: w.Endpoint, StartedMS: w.Born, Notice: endpoint.Notice{Leaving: w.Leaving, Backoff: backoff}})
	}
	for _, w := range m.Limits {
		limit := endpoint.Limit(w.PerSecond)
		if isLimit := limit >= endpoint.MinLimit && limit <= endpoint.MaxLimit; w.Version == 0 || !isLimit && limit != 0 {
			continue
		}
		list = append(list, notice.Report{Endpoint: w.Endpoint, StartedMS: w.Born, Notice: endpoint.Notice{Limit: limit}, LimitVersion: w.Version})
	}
	return list
}
