package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

// message is one datagram.
type message struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	Node        string
	DataCenter  string
	Callers     string
	Peers       string
	SinceMS     int64
	InTouchMS   int64
	Leaving     bool
	// Sequence grows with each datagram of an incarnation.
	Sequence int64
	Loads    []load
	Spent    []spent
	Counts   []count
	Works    []work
	// Millicores is the host's processor share.
	Millicores int
	// LeaseVersion is the row's by which the host holds the lease of the duties.
	LeaseVersion int64
	Placed       []placement
	// Brief marks a datagram of single endpoints or roll-outs only.
	Brief bool
	// Rollouts is encoded by package rolloutsync.
	Rollouts []byte
}

type placement struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Prefix   []uint64
}

type work struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Rate    float32
}

type load struct {
	_             struct{} `cbor:",toarray"`
	Endpoint      string
	Running       int
	PrefillTokens int
}

type spent struct {
	_        struct{} `cbor:",toarray"`
	Team     string
	Admitted int64
	Asked    float32
	Held     int64
	Settled  bool
}

type count struct {
	_      struct{} `cbor:",toarray"`
	Window int64
	Team   string
	Begun  int
}

// encode returns an update as one datagram. Loads and placements that do not fit are left out:
// the rows in the store have them. Figures of teams that do not fit go in datagrams of their
// own; whole says that there are none such.
func encode(update Update, sequence int64) (data []byte, whole bool, err error) {
	m := message{
		Incarnation: update.Incarnation, Node: update.Node, DataCenter: update.DataCenter,
		Callers: update.CallerAddress, Peers: update.PeerAddress, SinceMS: update.StartedAt.Milliseconds(),
		InTouchMS: update.StoreReachableFor.Milliseconds(), Leaving: update.Leaving, Sequence: sequence, Millicores: update.Millicores, LeaseVersion: update.LeaseVersion,
		Brief: update.Brief, Rollouts: update.Rollouts, Spent: encodeSpent(update.TeamUsage), Counts: encodeCounts(update.Counts),
	}
	for _, p := range update.Placements {
		m.Placed = append(m.Placed, placement{Endpoint: p.Endpoint, Prefix: p.PrefixHashes})
	}
	for _, w := range update.Demands {
		m.Works = append(m.Works, work{Service: w.Service, Rate: float32(w.Rate)})
	}
	for _, l := range update.Loads {
		m.Loads = append(m.Loads, load{Endpoint: l.Endpoint, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	whole = true
	for {
		data, err := cbor.Marshal(m)
		if err != nil || len(data) <= maxBytes {
			return data, whole, err
		}
		switch {
		case len(m.Spent)+len(m.Counts) > maxInLoads:
			whole = false
			m.Spent, m.Counts = nil, nil
		case len(m.Placed) > 0:
			m.Placed = m.Placed[:len(m.Placed)/2]
		case len(m.Loads) > 0:
			m.Loads = m.Loads[:len(m.Loads)*3/4]
		case len(m.Spent)+len(m.Counts) > 0:
			whole = false
			m.Spent, m.Counts = nil, nil
		default:
			return data, whole, nil
		}
	}
}

// maxInLoads is how many figures of teams go with the loads in one datagram that does not hold
// all: few enough that most loads fit.
const maxInLoads = 16

func (m message) update() Update {
	host := roster.Host{
		Incarnation: m.Incarnation, Node: m.Node, DataCenter: m.DataCenter, CallerAddress: m.Callers, PeerAddress: m.Peers, Leaving: m.Leaving,
		StartedAt: time.Duration(m.SinceMS) * time.Millisecond, Millicores: m.Millicores,
	}
	t := Update{Brief: m.Brief, Rollouts: m.Rollouts, Status: roster.Status{Host: host, Sequence: m.Sequence, StoreReachableFor: time.Duration(m.InTouchMS) * time.Millisecond, LeaseVersion: m.LeaseVersion}}
	for _, l := range m.Loads {
		t.Loads = append(t.Loads, roster.Load{Endpoint: l.Endpoint, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	for _, p := range m.Placed {
		t.Placements = append(t.Placements, route.Placement{Endpoint: p.Endpoint, PrefixHashes: p.Prefix})
	}
	for _, w := range m.Works {
		t.Demands = append(t.Demands, roster.Demand{Service: w.Service, Rate: float64(w.Rate)})
	}
	t.Counts = decodeCounts(m.Counts)
	t.TeamUsage = decodeSpent(m.Spent)
	return t
}
