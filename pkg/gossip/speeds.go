package gossip

import (
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/enginemodel"
	"ironhollow/pkg/route"
)

// wireSpeed encodes a route.SpeedReport.
type wireSpeed struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Born        int64
	Weight      float32
	WeightedLog float32
}

// sendSpeeds sends what this host's answers show about the speed of endpoints to the hosts that share
// its callers. Hosts without callers choose no endpoints, and datagrams to all of 88 other hosts at
// once delayed answers on a link of 10 Mbit/s by 80 ms.
func (e *Exchange) sendSpeeds(list []route.SpeedReport, sharing []string) {
	if len(list) == 0 {
		return
	}
	m := mapMessage{Incarnation: e.self.Incarnation}
	m.addSpeeds(list)
	e.sendMapMessage(m, sharing)
}

func (m *mapMessage) addSpeeds(list []route.SpeedReport) {
	for _, r := range list {
		m.Speeds = append(m.Speeds, wireSpeed{
			Endpoint: r.Endpoint.ID, Born: r.Endpoint.Incarnation,
			Weight: float32(r.Evidence.Weight), WeightedLog: float32(r.Evidence.WeightedLog),
		})
	}
}

// speeds decodes the speeds. The router checks that the numbers are valid.
func (m mapMessage) speeds() []route.SpeedReport {
	var list []route.SpeedReport
	for _, w := range m.Speeds {
		list = append(list, route.SpeedReport{
			Endpoint: endpoint.Ref{ID: w.Endpoint, Incarnation: w.Born},
			Evidence: enginemodel.Evidence{Weight: float64(w.Weight), WeightedLog: float64(w.WeightedLog)},
		})
	}
	return list
}
