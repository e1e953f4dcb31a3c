package gossip

import (
	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

// statusMessage is a datagram with the status of a host.
type statusMessage struct {
	_                struct{} `cbor:",toarray"`
	Incarnation      string
	Node             string
	DataCenter       string
	CallerAddress    string
	PeerAddress      string
	StartedAtMS      int64
	StoreReachableMS int64
	Leaving          bool
	// Sequence increases with each datagram of an incarnation.
	Sequence  int64
	Loads     []wireLoad
	TeamUsage []wireTeamUsage
	Counts    []wireRequestCount
	Demands   []wireDemand
	// Millicores is the host's CPU share in thousandths of a core.
	Millicores int
	// LeaseVersion is the version of the row by which the host holds the duties lease.
	LeaseVersion int64
	Placements   []wirePlacement
	// Brief marks a datagram that covers single endpoints or roll-outs only.
	Brief bool
	// Rollouts is encoded by package rolloutsync.
	Rollouts []byte
}

type wirePlacement struct {
	_            struct{} `cbor:",toarray"`
	Endpoint     string
	PrefixHashes []uint64
}

type wireDemand struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Rate    float32
}

type wireLoad struct {
	_             struct{} `cbor:",toarray"`
	Endpoint      string
	Running       int
	PrefillTokens int
}

type wireTeamUsage struct {
	_             struct{} `cbor:",toarray"`
	Team          string
	Admitted      int64
	RequestedRate float32
	Available     int64
	Synced        bool
}

type wireRequestCount struct {
	_       struct{} `cbor:",toarray"`
	Window  int64
	Team    string
	Started int
}

// encode encodes an update as one datagram. Loads and placements that do not fit are left out:
// the rows in the store contain them. Team statistics that do not fit go in separate datagrams;
// teamsFit reports whether none are needed.
func encode(update Update, sequence int64) (data []byte, teamsFit bool, err error) {
	m := statusMessage{
		Incarnation: update.Incarnation, Node: update.Node, DataCenter: update.DataCenter,
		CallerAddress: update.CallerAddress, PeerAddress: update.PeerAddress, StartedAtMS: update.StartedAt.Milliseconds(),
		StoreReachableMS: update.StoreReachableFor.Milliseconds(), Leaving: update.Leaving, Sequence: sequence, Millicores: update.Millicores, LeaseVersion: update.LeaseVersion,
		Brief: update.Brief, Rollouts: update.Rollouts, TeamUsage: encodeTeamUsage(update.TeamUsage), Counts: encodeCounts(update.Counts),
	}
	for _, p := range update.Placements {
		m.Placements = append(m.Placements, wirePlacement{Endpoint: p.Endpoint, PrefixHashes: p.PrefixHashes})
	}
	for _, d := range update.Demands {
		m.Demands = append(m.Demands, wireDemand{Service: d.Service, Rate: float32(d.Rate)})
	}
	for _, l := range update.Loads {
		m.Loads = append(m.Loads, wireLoad{Endpoint: l.Endpoint, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	teamsFit = true
	for {
		data, err := cbor.Marshal(m)
		if err != nil || len(data) <= maxBytes {
			return data, teamsFit, err
		}
		switch {
		case len(m.TeamUsage)+len(m.Counts) > maxTeamStatsWithLoads:
			teamsFit = false
			m.TeamUsage, m.Counts = nil, nil
		case len(m.Placements) > 0:
			m.Placements = m.Placements[:len(m.Placements)/2]
		case len(m.Loads) > 0:
			m.Loads = m.Loads[:len(m.Loads)*3/4]
		case len(m.TeamUsage)+len(m.Counts) > 0:
			teamsFit = false
			m.TeamUsage, m.Counts = nil, nil
		default:
			return data, teamsFit, nil
		}
	}
}

// maxTeamStatsWithLoads is the maximum number of team statistics sent with the loads when not all
// data fits in one datagram. It leaves room for most loads.
const maxTeamStatsWithLoads = 16

// update decodes the message. What no host can have is left out, and a whole status of a host that cannot be
// used is an error.
func (m statusMessage) update() (Update, error) {
	host := roster.Host{
		Incarnation: m.Incarnation, Node: m.Node, DataCenter: m.DataCenter, CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress, Leaving: m.Leaving,
		StartedAt: roster.FromMS(m.StartedAtMS), Millicores: m.Millicores,
	}
	if !m.Brief {
		if err := host.Check(); err != nil {
			return Update{}, err
		}
	}
	u := Update{Brief: m.Brief, Rollouts: m.Rollouts, Status: roster.Status{Host: host, Sequence: m.Sequence, StoreReachableFor: millis(m.StoreReachableMS), LeaseVersion: m.LeaseVersion}}
	for _, l := range m.Loads {
		u.Loads = append(u.Loads, roster.Load{Endpoint: l.Endpoint, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	for _, p := range m.Placements {
		u.Placements = append(u.Placements, route.Placement{Endpoint: p.Endpoint, PrefixHashes: p.PrefixHashes})
	}
	for _, d := range m.Demands {
		u.Demands = append(u.Demands, roster.Demand{Service: d.Service, Rate: float64(d.Rate)})
	}
	u.Loads, u.Demands = roster.ValidLoads(u.Loads), roster.ValidDemands(u.Demands)
	u.Counts = decodeCounts(m.Counts)
	u.TeamUsage = decodeTeamUsage(m.TeamUsage)
	return u, nil
}
