package gossip

import (
	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/notice"
)

const millisecondsPerSecond = 1000

// wireNotice encodes a notice.Report without a limit.
type wireNotice struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Born     int64
	Leaving  bool
	// BackoffMS is the remaining time of a backoff.
	BackoffMS int64
}

// wireLimit encodes a notice.Report of a limit.
type wireLimit struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Born     int64
	Version  uint64
	// PerSecond is the limit in requests per second, 0 for none.
	PerSecond float64
}

// wireMaxRejections encodes a notice.Report of the number of rejections that an endpoint stands.
type wireMaxRejections struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Born     int64
	Version  uint64
	// Count is the number of rejections within a second, 0 for no bound.
	Count int
}

func (m *mapMessage) addNotices(list []notice.Report) {
	for _, r := range list {
		if r.LimitVersion > 0 && r.LimitKind == notice.RejectionLimit {
			m.MaxRejections = append(m.MaxRejections, wireMaxRejections{Endpoint: r.Endpoint, Born: r.StartedMS, Version: r.LimitVersion, Count: r.Notice.MaxRejections})
			continue
		}
		if r.LimitVersion > 0 {
			m.Limits = append(m.Limits, wireLimit{Endpoint: r.Endpoint, Born: r.StartedMS, Version: r.LimitVersion, PerSecond: float64(r.Notice.Limit)})
			continue
		}
		m.Notices = append(m.Notices, wireNotice{Endpoint: r.Endpoint, Born: r.StartedMS, Leaving: r.Notice.Leaving, BackoffMS: r.Notice.Backoff.Milliseconds()})
	}
}

// SendNotices sends notices to one host at once, in as many datagrams as they need.
func (e *Exchange) SendNotices(list []notice.Report, to string) {
	messages, err := noticeMessages(e.self.Incarnation, list)
	if err != nil {
		e.log.Error().Err(err).Msg("failed to encode notices")
		return
	}
	for _, data := range messages {
		e.write(data, []string{to})
	}
}

// EncodeNotices encodes notices, DecodeNotices decodes what it returns.
func EncodeNotices(list []notice.Report) ([][]byte, error) {
	if len(list) == 0 {
		return nil, nil
	}
	return noticeMessages("", list)
}

// DecodeNotices decodes one of the messages of EncodeNotices.
func DecodeNotices(data []byte) ([]notice.Report, error) {
	var m mapMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, err
	}
	return m.notices(), nil
}

// noticeMessages encodes notices as datagrams, of which each holds half of those that do not fit.
func noticeMessages(incarnation string, list []notice.Report) ([][]byte, error) {
	m := mapMessage{Incarnation: incarnation}
	m.addNotices(list)
	data, err := cbor.Marshal(m)
	if err != nil || len(data) <= maxBytes || len(list) == 1 {
		return [][]byte{data}, err
	}
	first, err := noticeMessages(incarnation, list[:len(list)/2])
	if err != nil {
		return nil, err
	}
	second, err := noticeMessages(incarnation, list[len(list)/2:])
	return append(first, second...), err
}

// notices decodes the notices. An invalid backoff counts as none; a limit or a number of
// rejections outside the range allowed to endpoints is skipped.
func (m mapMessage) notices() []notice.Report {
	var list []notice.Report
	for _, w := range m.Notices {
		backoff := endpoint.BackoffFromSeconds(float64(w.BackoffMS) / millisecondsPerSecond)
		list = append(list, notice.Report{Endpoint: w.Endpoint, StartedMS: w.Born, Notice: endpoint.Notice{Leaving: w.Leaving, Backoff: backoff}})
	}
	for _, w := range m.Limits {
		limit := endpoint.Limit(w.PerSecond)
		if inRange := limit >= endpoint.MinLimit && limit <= endpoint.MaxLimit; w.Version == 0 || !inRange && limit != 0 {
			continue
		}
		list = append(list, notice.Report{Endpoint: w.Endpoint, StartedMS: w.Born, Notice: endpoint.Notice{Limit: limit}, LimitVersion: w.Version})
	}
	for _, w := range m.MaxRejections {
		if w.Version == 0 || w.Count != 0 && !endpoint.IsMaxRejections(w.Count) {
			continue
		}
		list = append(list, notice.Report{Endpoint: w.Endpoint, StartedMS: w.Born, Notice: endpoint.Notice{MaxRejections: w.Count}, LimitKind: notice.RejectionLimit, LimitVersion: w.Version})
	}
	return list
}
