// Package gossip sends the other hosts several times a second what this one has under way at each
// endpoint and has admitted of each team, over UDP with CBOR. A lost or late datagram costs a worse
// choice, never a wrong answer, so that nothing is repeated or confirmed; rows in the store have
// the same a while later.
package gossip

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"

	"ironhollow/pkg/limit"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

// Parameters of the exchange.
const (
	// interval is the time between two datagrams to each host that shares callers, in fleets of
	// up to smallFleet; it grows with larger ones, so that a host's work does not.
	interval   = 200 * time.Millisecond
	smallFleet = 32
	// mostBytes bounds a datagram: below the usual size of a packet's data.
	maxBytes = 1400
)

// Interval returns the time between two datagrams to a host in a fleet of a size.
func Interval(hosts int) time.Duration {
	return interval * time.Duration(max(hosts, smallFleet)) / smallFleet
}

// Update is what a host sends.
type Update struct {
	roster.Status
	TeamUsage []limit.TeamUsage
	// Placements is where prompts were sent since the datagram before.
	Placements []route.Placement
	// Brief says that Loads are of single endpoints and that nothing else is sent but Rollouts.
	Brief bool
	// Rollouts is words and reports of roll-outs, as they were encoded.
	Rollouts []byte
	// Cases is of requests under which endpoints have ended, Notices what endpoints have
	// said of themselves. Each go in a datagram of their own, with nothing else but the
	// host's incarnation. So do Spent and Counts where there are many; it is Brief then.
	Cases   []quarantine.Case
	Notices []notice.Report
	// Digest is an aggregator's, in a datagram of its own as well.
	Digest roster.Digest
	// Subscribes says that the sender subscribes to digests; nothing else is sent then.
	Subscribes bool
}

// Handler receives what another process sends.
type Handler func(update Update)

// Exchange sends and receives. It is safe for concurrent use.
type Exchange struct {
	conn *net.UDPConn
	self roster.Host
	// sequence is of the last datagram.
	sequence atomic.Int64
	roster   *roster.Roster
	own      func() Update
	handle   Handler
	now      func() time.Time
	log      *log.Logger
	// teams chooses the figures of teams for a round, where not all fit.
	teams *teamFigures
	// digests counts the rounds of digests, activity is what this host last sent of its own. Run
	// alone uses them.
	digests  int
	activity roster.Activity
}

// Listen opens the port of the exchange. own returns what this host sends, now is the clock of
// its times.
func Listen(address string, self roster.Host, members *roster.Roster, own func() Update, take Handler, now func() time.Time, logger *log.Logger) (*Exchange, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return &Exchange{conn: conn, self: self, roster: members, own: own, handle: take, now: now, log: logger, teams: newTeamFigures()}, nil
}

const (
	// infrequentRounds is how many times less often datagrams go to hosts that do not share this
	// one's callers, or to all while this one has none: they need to know that it is alive.
	infrequentRounds = 2
	// maxInfrequentPause bounds the time between two datagrams of a host that has callers to the
	// infrequent recipients, which give its address to callers and hold it for gone after the
	// silence, within which one datagram may be lost.
	maxInfrequentPause = 1400 * time.Millisecond
)

// Run exchanges until ctx ends; received is called after each round.
func (e *Exchange) Run(ctx context.Context, received func()) {
	go e.receive()
	rounds := RoundScheduler{}
	for ctx.Err() == nil {
		audience := e.roster.Recipients(e.self, e.activity, e.now())
		pause, sendInfrequent := rounds.Next(audience)
		peers := audience.Frequent
		if sendInfrequent {
			peers = slices.Concat(audience.Frequent, audience.Infrequent)
		}
		e.send(peers)
		if sendInfrequent && len(audience.Aggregators) > 0 {
			e.subscribe(audience.Aggregators)
		}
		if sendInfrequent && audience.HasSubscribers() {
			e.sendDigests(audience)
		}
		received()
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
	_ = e.conn.Close()
}

// RoundScheduler determines when datagrams go to which recipients.
type RoundScheduler struct {
	// untilInfrequent is the time until the next datagrams to infrequent recipients.
	untilInfrequent time.Duration
}

// Next returns the pause to the next round and whether infrequent recipients are due in this one.
func (p *RoundScheduler) Next(a roster.Recipients) (pause time.Duration, sendInfrequent bool) {
	if !a.Hierarchical {
		return p.NextForCounts(len(a.Frequent), len(a.Infrequent))
	}
	pause = levelPause
	if len(a.Frequent) > 0 {
		pause = min(Interval(len(a.Frequent)+1), levelPause)
	}
	return pause, p.infrequent(pause, levelPause)
}

// infrequent reports whether infrequent recipients are due in a round with a pause after it.
func (p *RoundScheduler) infrequent(pause, infrequentPause time.Duration) bool {
	sendInfrequent := p.untilInfrequent <= 0
	if sendInfrequent {
		p.untilInfrequent = infrequentPause
	}
	p.untilInfrequent -= pause
	return sendInfrequent
}

// NextForCounts returns the pause to the next round and whether infrequent recipients are due in this
// one, for numbers of near and far hosts.
func (p *RoundScheduler) NextForCounts(near, far int) (pause time.Duration, sendInfrequent bool) {
	infrequentPause := Interval(near + far + 1)
	pause = Interval(near + 1)
	if near == 0 {
		pause = infrequentPause
	}
	if far > 0 {
		infrequentPause *= infrequentRounds
	}
	if near > 0 {
		infrequentPause = min(infrequentPause, maxInfrequentPause)
	}
	return pause, p.infrequent(pause, infrequentPause)
}

func (e *Exchange) send(peers []string) {
	if len(peers) == 0 {
		// What is sent once, as placements, must not be lost for want of a recipient.
		return
	}
	update := e.own()
	e.noteActivity(update)
	e.sendUpdate(update, peers)
}

func (e *Exchange) sendUpdate(update Update, peers []string) {
	data, whole, err := encode(update, e.sequence.Add(1))
	if err != nil {
		e.log.Error().Err(err).Msg("failed to encode update")
		return
	}
	e.write(data, peers)
	if !whole {
		e.sendTeams(update, peers)
	}
	e.sendEvents(update, peers)
}

// sendTeams sends the figures of teams that did not fit the datagram of loads.
func (e *Exchange) sendTeams(update Update, peers []string) {
	spent, counts := e.teams.pick(update, e.now())
	messages, err := teamMessages(e.self.Incarnation, spent, counts)
	if err != nil {
		e.log.Error().Err(err).Msg("failed to encode figures of teams")
		return
	}
	for _, data := range messages {
		e.write(data, peers)
	}
}

// sendEvents sends what goes in datagrams of their own, if there is any: cases and notices
// apart, as both together may not fit one.
func (e *Exchange) sendEvents(update Update, peers []string) {
	if len(update.Cases) > 0 {
		m := eventMessage{Incarnation: e.self.Incarnation}
		m.addCases(update.Cases, e.now())
		e.sendEvent(m, peers)
	}
	if len(update.Notices) > 0 {
		m := eventMessage{Incarnation: e.self.Incarnation}
		m.addNotices(update.Notices)
		e.sendEvent(m, peers)
	}
}

func (e *Exchange) sendEvent(m eventMessage, peers []string) {
	data, err := m.encode()
	if err != nil {
		e.log.Error().Err(err).Msg("failed to encode cases or notices")
		return
	}
	e.write(data, peers)
}

func (e *Exchange) write(data []byte, peers []string) {
	for _, address := range peers {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			e.log.Debug().Err(err).Str("peer", address).Msg("unusable address of a host")
			continue
		}
		if _, err := e.conn.WriteToUDP(data, to); err != nil {
			// A host that is gone; its row says so soon.
			e.log.Debug().Err(err).Str("peer", address).Msg("failed to send datagram")
		}
	}
}

func (e *Exchange) receive() {
	buffer := make([]byte, maxBytes+1)
	for {
		n, _, err := e.conn.ReadFromUDP(buffer)
		if err != nil {
			// The socket is closed at the end of the process's life only.
			e.log.Debug().Err(err).Msg("stopped receiving datagrams")
			return
		}
		update, err := decode(buffer[:n], e.now())
		if err != nil {
			e.log.Debug().Err(err).Msg("failed to decode datagram")
			continue
		}
		e.handle(update)
	}
}

// decode reads a datagram of either kind.
func decode(data []byte, now time.Time) (Update, error) {
	if isEvents(data) {
		return decodeEvents(data, now)
	}
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Update{}, err
	}
	return m.update(), nil
}
