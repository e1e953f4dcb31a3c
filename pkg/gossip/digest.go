package gossip

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/roster"
)

// levelPause is the time between two datagrams up and down the levels of a large fleet: a
// host is held for gone after 3.2 s, within which one datagram may be lost.
const levelPause = time.Second

// mostSharing bounds what is taken for the number of hosts: pauses grow with it.
const maxSharing = 100_000

// toldAlive is a roster.LiveHost.
type wireAlive struct {
	_          struct{} `cbor:",toarray"`
	Hash       uint32
	AgeMS      int64
	Leaving    bool
	Advertised bool
}

// toldHost is a roster.Host.
type wireHost struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	Node        string
	DataCenter  string
	Callers     string
	Peers       string
	SinceMS     int64
	Millicores  int
	Leaving     bool
}

func (m *eventMessage) addDigest(p roster.Digest) {
	m.Requests = float32(p.RequestRate)
	m.Sharing = p.HostCount
	for _, a := range p.LiveHosts {
		m.Alive = append(m.Alive, wireAlive{Hash: a.Hash, AgeMS: a.Age.Milliseconds(), Leaving: a.Leaving, Advertised: a.Advertised})
	}
	for _, h := range p.Hosts {
		m.Hosts = append(m.Hosts, wireHost{
			Incarnation: h.Incarnation, Node: h.Node, DataCenter: h.DataCenter, Callers: h.CallerAddress, Peers: h.PeerAddress,
			SinceMS: h.StartedAt.Milliseconds(), Millicores: h.Millicores, Leaving: h.Leaving,
		})
	}
}

func (m eventMessage) digest() roster.Digest {
	p := roster.Digest{HostCount: min(max(m.Sharing, 0), maxSharing)}
	if requests := float64(m.Requests); requests > 0 && !math.IsInf(requests, 0) {
		p.RequestRate = requests
	}
	for _, a := range m.Alive {
		p.LiveHosts = append(p.LiveHosts, roster.LiveHost{Hash: a.Hash, Age: time.Duration(min(max(a.AgeMS, 0), oldest.Milliseconds())) * time.Millisecond, Leaving: a.Leaving, Advertised: a.Advertised})
	}
	for _, h := range m.Hosts {
		p.Hosts = append(p.Hosts, roster.Host{
			Incarnation: h.Incarnation, Node: h.Node, DataCenter: h.DataCenter, CallerAddress: h.Callers, PeerAddress: h.Peers,
			StartedAt: time.Duration(h.SinceMS) * time.Millisecond, Millicores: h.Millicores, Leaving: h.Leaving,
		})
	}
	return p
}

// subscribe subscribes to aggregators, and sends them what this host serves, if anything.
func (e *Exchange) subscribe(peers []string) {
	update := e.own()
	e.noteActivity(update)
	m := eventMessage{Incarnation: update.Incarnation, Subscribes: true}
	m.addDigest(roster.Digest{Hosts: []roster.Host{update.Host}})
	e.sendEvent(m, peers)
	if e.activity.ServesCallers {
		e.sendUpdate(update, peers)
	} else {
		e.sendEvents(update, peers)
	}
}

// noteActivity keeps what this host does, as far as its recipients depend on it.
func (e *Exchange) noteActivity(update Update) {
	e.activity = roster.Activity{ServesCallers: len(update.Loads)+len(update.Counts) > 0, HoldsDuties: update.LeaseVersion > 0}
}

// sendDigests sends the core's digests to the subscribers, and the subscribers' to the core.
func (e *Exchange) sendDigests(a roster.Recipients) {
	e.digests++
	now := e.now()
	for _, p := range e.roster.CoreDigests(e.self, e.digests, now) {
		e.sendDigest(p, a.Subscribers)
	}
	for _, p := range e.roster.DataCenterDigests(e.self, e.digests, now) {
		e.sendDigest(p, a.Frequent)
	}
}

// sendDigest sends a digest, without hosts that do not fit: later digests have them.
func (e *Exchange) sendDigest(p roster.Digest, peers []string) {
	if len(peers) == 0 {
		return
	}
	for {
		m := eventMessage{Incarnation: e.self.Incarnation}
		m.addDigest(p)
		data, err := cbor.Marshal(m)
		switch {
		case err != nil:
			e.log.Error().Err(err).Msg("failed to encode digest")
			return
		case len(data) <= maxBytes:
			e.write(data, peers)
			return
		case len(p.Hosts) > 0:
			p.Hosts = p.Hosts[:len(p.Hosts)-1]
		default:
			p.LiveHosts = p.LiveHosts[:len(p.LiveHosts)*3/4]
		}
	}
}
