package gossip

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/roster"
)

// levelInterval is the interval between datagrams to and from aggregators in a large fleet. A
// host is considered dead after 3.2 s of silence, so that one lost datagram is tolerated.
const levelInterval = time.Second

// maxHostCount bounds the host count read from a datagram, because send intervals grow with it.
const maxHostCount = 100_000

// wireLiveHost encodes a roster.LiveHost.
type wireLiveHost struct {
	_          struct{} `cbor:",toarray"`
	Hash       uint32
	AgeMS      int64
	Leaving    bool
	Advertised bool
}

// wireHost encodes a roster.Host.
type wireHost struct {
	_             struct{} `cbor:",toarray"`
	Incarnation   string
	Node          string
	DataCenter    string
	CallerAddress string
	PeerAddress   string
	StartedAtMS   int64
	Millicores    int
	Leaving       bool
}

func (m *mapMessage) addDigest(d roster.Digest) {
	m.RequestRate = float32(d.RequestRate)
	m.HostCount = d.HostCount
	for _, live := range d.LiveHosts {
		m.LiveHosts = append(m.LiveHosts, wireLiveHost{Hash: live.Hash, AgeMS: live.Age.Milliseconds(), Leaving: live.Leaving, Advertised: live.Advertised})
	}
	for _, h := range d.Hosts {
		m.Hosts = append(m.Hosts, wireHost{
			Incarnation: h.Incarnation, Node: h.Node, DataCenter: h.DataCenter, CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress,
			StartedAtMS: h.StartedAt.Milliseconds(), Millicores: h.Millicores, Leaving: h.Leaving,
		})
	}
}

func (m mapMessage) digest() roster.Digest {
	d := roster.Digest{HostCount: min(max(m.HostCount, 0), maxHostCount)}
	if rate := float64(m.RequestRate); rate > 0 && !math.IsInf(rate, 0) {
		d.RequestRate = rate
	}
	for _, live := range m.LiveHosts {
		d.LiveHosts = append(d.LiveHosts, roster.LiveHost{Hash: live.Hash, Age: time.Duration(min(max(live.AgeMS, 0), maxAge.Milliseconds())) * time.Millisecond, Leaving: live.Leaving, Advertised: live.Advertised})
	}
	for _, h := range m.Hosts {
		host := roster.Host{
			Incarnation: h.Incarnation, Node: h.Node, DataCenter: h.DataCenter, CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress,
			StartedAt: roster.FromMS(h.StartedAtMS), Millicores: h.Millicores, Leaving: h.Leaving,
		}
		if host.Check() == nil {
			d.Hosts = append(d.Hosts, host)
		}
	}
	return d
}

// subscribe subscribes to the digests of aggregators and sends them this host's state: the full
// update if the host serves callers, otherwise only its cases and notices.
func (e *Exchange) subscribe(peers []string) {
	update := e.localUpdate()
	e.recordActivity(update)
	m := mapMessage{Incarnation: update.Incarnation, Subscribes: true}
	m.addDigest(roster.Digest{Hosts: []roster.Host{update.Host}})
	e.sendMapMessage(m, peers)
	if e.activity.ServesCallers {
		e.sendUpdate(update, peers)
	} else {
		e.sendCasesAndNotices(update, peers)
	}
}

// recordActivity stores the part of this host's activity that determines its recipients.
func (e *Exchange) recordActivity(update Update) {
	e.activity = roster.Activity{ServesCallers: len(update.Loads)+len(update.Counts) > 0, HoldsDuties: update.LeaseVersion > 0}
}

// sendDigests sends the core's digests to the subscribers, and the digests of this data centre's
// hosts to the core.
func (e *Exchange) sendDigests(recipients roster.Recipients) {
	e.digestRounds++
	now := e.now()
	for _, digest := range e.roster.CoreDigests(e.self, e.digestRounds, now) {
		e.sendDigest(digest, recipients.Subscribers)
	}
	for _, digest := range e.roster.DataCenterDigests(e.self, e.digestRounds, now) {
		e.sendDigest(digest, recipients.Frequent)
	}
}

// sendDigest sends a digest without the hosts that do not fit; later digests contain them.
func (e *Exchange) sendDigest(digest roster.Digest, peers []string) {
	if len(peers) == 0 {
		return
	}
	for {
		m := mapMessage{Incarnation: e.self.Incarnation}
		m.addDigest(digest)
		data, err := cbor.Marshal(m)
		switch {
		case err != nil:
			e.log.Error().Err(err).Msg("failed to encode digest")
			return
		case len(data) <= maxBytes:
			e.write(data, peers)
			return
		case len(digest.Hosts) > 0:
			digest.Hosts = digest.Hosts[:len(digest.Hosts)-1]
		default:
			digest.LiveHosts = digest.LiveHosts[:len(digest.LiveHosts)*3/4]
		}
	}
}
