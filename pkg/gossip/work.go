package gossip

import (
	"time"

	"ironhollow/pkg/roster"
)

// workInterval is the least time between two datagrams of offered work to the same hosts. The work
// is averaged over some seconds.
const workInterval = 600 * time.Millisecond

type wireWork struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	SlotTime  float32
	TokenTime float32
	Offered   float32
	Refused   float32
}

// sendWork sends the work offered to this host, if any, in datagrams of its own: earlier versions
// reject a status with more members.
func (e *Exchange) sendWork(work []roster.Work, peers []string) {
	if len(work) == 0 {
		return
	}
	p := packer{incarnation: e.self.Incarnation, message: mapMessage{Incarnation: e.self.Incarnation}}
	for _, o := range work {
		item := wireWork{Service: o.Service, SlotTime: float32(o.SlotTime), TokenTime: float32(o.TokenTime), Offered: float32(o.Offered), Refused: float32(o.Refused)}
		p.add(item, func(m *mapMessage) { m.Work = append(m.Work, item) })
	}
	p.flush()
	if p.err != nil {
		e.log.Error().Err(p.err).Msg("failed to encode offered work")
	}
	for _, data := range p.messages {
		e.write(data, peers)
	}
}

// workDue reports whether offered work is sent in this round, at the given time.
func (e *Exchange) workDue(sendInfrequent bool, now time.Time) bool {
	if !sendInfrequent && now.Sub(e.workSentAt) < workInterval {
		return false
	}
	e.workSentAt = now
	return true
}

func (m mapMessage) work() []roster.Work {
	var list []roster.Work
	for _, w := range m.Work {
		list = append(list, roster.Work{Service: w.Service, SlotTime: float64(w.SlotTime), TokenTime: float64(w.TokenTime), Offered: float64(w.Offered), Refused: float64(w.Refused)})
	}
	return list
}
