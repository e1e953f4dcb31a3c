// Package gossip tells the other hosts several times a second what this one has
// under way at each endpoint and has admitted of each team, over UDP with CBOR. A datagram that is lost or
// late costs a worse choice, never a wrong answer, so that nothing is repeated
// or confirmed; what the store's rows tell takes its place after a while.
package gossip

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"

	"ironhollow/pkg/limit"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

// Parameters of the exchange.
const (
	// interval is the time between two datagrams to each host that shares callers,
	// of up to smallFleet; more are told less often, so that a host's work stays.
	interval   = 200 * time.Millisecond
	smallFleet = 32
	// mostBytes bounds a datagram: below the usual size of a packet's data.
	mostBytes = 1400
)

// Interval returns the time between two datagrams to a host in a fleet of a size.
func Interval(hosts int) time.Duration {
	return interval * time.Duration(max(hosts, smallFleet)) / smallFleet
}

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
	// Brief marks a datagram that tells of single endpoints only.
	Brief bool
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

// Told is what a host tells.
type Told struct {
	roster.Told
	Spent []limit.Spent
	// Placed is where prompts were sent since the datagram before.
	Placed []route.Placement
	// Brief says that Loads are of single endpoints and that nothing else is told.
	Brief bool
}

// Take receives what another process tells.
type Take func(told Told)

// Exchange sends and receives. It is safe for concurrent use.
type Exchange struct {
	conn *net.UDPConn
	self roster.Host
	// sequence is of the last datagram.
	sequence atomic.Int64
	roster   *roster.Roster
	own      func() Told
	take     Take
	log      *log.Logger
}

// Listen opens the port of the exchange. own returns what this host tells.
func Listen(address string, self roster.Host, members *roster.Roster, own func() Told, take Take, logger *log.Logger) (*Exchange, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return &Exchange{conn: conn, self: self, roster: members, own: own, take: take, log: logger}, nil
}

// farRounds is how many times rarer hosts are told that do not share this one's
// callers, or while this one has none: they need to know that it lives.
const farRounds = 2

// Run exchanges until ctx ends; heard is called after each round.
func (e *Exchange) Run(ctx context.Context, heard func()) {
	go e.receive()
	rounds := Pace{}
	for ctx.Err() == nil {
		near, far := e.roster.Peers(e.self)
		pause, tellFar := rounds.Next(len(near), len(far))
		if tellFar {
			near = append(near, far...)
		}
		e.send(near)
		heard()
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
	_ = e.conn.Close()
}

// Pace says when which hosts are told.
type Pace struct {
	// untilFar is the time until far hosts are told again.
	untilFar time.Duration
}

// Next returns the pause to the next round and whether far hosts are told in
// this one, for numbers of near and far hosts.
func (p *Pace) Next(near, far int) (pause time.Duration, tellFar bool) {
	farPause := Interval(near + far + 1)
	pause = Interval(near + 1)
	if near == 0 {
		pause = farPause
	}
	if far > 0 {
		farPause *= farRounds
	}
	tellFar = p.untilFar <= 0
	if tellFar {
		p.untilFar = farPause
	}
	p.untilFar -= pause
	return pause, tellFar
}

func (e *Exchange) send(peers []string) {
	data, err := encode(e.own(), e.sequence.Add(1))
	if err != nil {
		e.log.Error().Err(err).Msg("own load not encoded")
		return
	}
	e.write(data, peers)
}

func (e *Exchange) write(data []byte, peers []string) {
	for _, address := range peers {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			e.log.Debug().Err(err).Str("peer", address).Msg("address of a host is not usable")
			continue
		}
		if _, err := e.conn.WriteToUDP(data, to); err != nil {
			// A host that is gone; its row says so soon.
			e.log.Debug().Err(err).Str("peer", address).Msg("own load not sent")
		}
	}
}

// encode leaves out what does not fit: the rows in the store tell it.
func encode(told Told, sequence int64) ([]byte, error) {
	m := message{
		Incarnation: told.Incarnation, Node: told.Node, DataCenter: told.DataCenter,
		Callers: told.Callers, Peers: told.Peers, SinceMS: told.Since.Milliseconds(),
		InTouchMS: told.InTouch.Milliseconds(), Leaving: told.Leaving, Sequence: sequence, Millicores: told.Millicores, LeaseVersion: told.LeaseVersion,
		Brief: told.Brief,
	}
	for _, l := range told.Spent {
		m.Spent = append(m.Spent, spent{Team: l.Team, Admitted: int64(l.Admitted), Asked: float32(l.Asked), Held: int64(l.Held), Settled: l.Settled})
	}
	for _, p := range told.Placed {
		m.Placed = append(m.Placed, placement{Endpoint: p.Endpoint, Prefix: p.Prefix})
	}
	for _, c := range told.Counts {
		m.Counts = append(m.Counts, count{Window: c.Window, Team: c.Team, Begun: c.Begun})
	}
	for _, w := range told.Works {
		m.Works = append(m.Works, work{Service: w.Service, Rate: float32(w.Rate)})
	}
	for _, l := range told.Loads {
		m.Loads = append(m.Loads, load{Endpoint: l.Endpoint, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	for {
		data, err := cbor.Marshal(m)
		if err != nil || len(data) <= mostBytes || len(m.Loads)+len(m.Placed) == 0 {
			return data, err
		}
		if len(m.Placed) > 0 {
			m.Placed = m.Placed[:len(m.Placed)/2]
			continue
		}
		m.Loads = m.Loads[:len(m.Loads)*3/4]
	}
}

func (e *Exchange) receive() {
	buffer := make([]byte, mostBytes+1)
	for {
		n, _, err := e.conn.ReadFromUDP(buffer)
		if err != nil {
			// The socket is closed at the end of the process's life only.
			e.log.Debug().Err(err).Msg("exchange of loads ends")
			return
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			e.log.Debug().Err(err).Msg("datagram not understood")
			continue
		}
		e.take(m.told())
	}
}

func (m message) told() Told {
	host := roster.Host{
		Incarnation: m.Incarnation, Node: m.Node, DataCenter: m.DataCenter, Callers: m.Callers, Peers: m.Peers, Leaving: m.Leaving,
		Since: time.Duration(m.SinceMS) * time.Millisecond, Millicores: m.Millicores,
	}
	t := Told{Brief: m.Brief, Told: roster.Told{Host: host, Sequence: m.Sequence, InTouch: time.Duration(m.InTouchMS) * time.Millisecond, LeaseVersion: m.LeaseVersion}}
	for _, l := range m.Loads {
		t.Loads = append(t.Loads, roster.Load{Endpoint: l.Endpoint, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	for _, p := range m.Placed {
		t.Placed = append(t.Placed, route.Placement{Endpoint: p.Endpoint, Prefix: p.Prefix})
	}
	for _, w := range m.Works {
		t.Works = append(t.Works, roster.Work{Service: w.Service, Rate: float64(w.Rate)})
	}
	for _, c := range m.Counts {
		t.Counts = append(t.Counts, roster.Count{Window: c.Window, Team: c.Team, Begun: c.Begun})
	}
	for _, l := range m.Spent {
		t.Spent = append(t.Spent, limit.Spent{Team: l.Team, Admitted: float64(l.Admitted), Asked: float64(l.Asked), Held: float64(l.Held), Settled: l.Settled})
	}
	return t
}
