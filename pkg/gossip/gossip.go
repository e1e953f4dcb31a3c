// Package gossip sends the running requests per endpoint and the admitted usage per team of this
// host to the other hosts several times a second, as CBOR over UDP. Datagrams are not
// acknowledged or retransmitted: a lost or late one makes a choice worse but never an answer
// wrong, and the rows in the store hold the same data some time later.
package gossip

import (
	"context"
	"fmt"
	"net"
	"net/netip"
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
	// up to smallFleet hosts. It grows with the number of hosts in larger fleets, which keeps the
	// work per host constant.
	interval   = 200 * time.Millisecond
	smallFleet = 32
	// maxBytes bounds a datagram, below the usual payload size of a packet.
	maxBytes = 1400
)

// Interval returns the time between two datagrams to a host in a fleet of the given size.
func Interval(hosts int) time.Duration {
	return interval * time.Duration(max(hosts, smallFleet)) / smallFleet
}

// Update is the state that a host sends.
type Update struct {
	roster.Status
	TeamUsage []limit.TeamUsage
	// Placements holds the prompts sent to endpoints since the previous datagram.
	Placements []route.Placement
	// Brief reports whether the update covers only single endpoints, roll-outs or other parts of
	// the status, not the whole status.
	Brief bool
	// Rollouts holds encoded roll-out directives and reports.
	Rollouts []byte
	// Cases holds requests during which endpoints crashed, Notices what endpoints reported about
	// themselves. Each is sent in its own datagram, with only the host's incarnation. So are
	// TeamUsage and Counts when there are many teams; the received Update is then Brief.
	Cases   []quarantine.Case
	Notices []notice.Report
	// Work holds the work offered to the sender, sent in datagrams of its own.
	Work []roster.Work
	// Speeds holds what the host's answers show about the speed of endpoints, in its own datagram.
	Speeds []route.SpeedReport
	// Digest is sent by an aggregator, also in its own datagram.
	Digest roster.Digest
	// Links is what the sender reports about its links to endpoints, in its own datagram.
	Links LinkState
	// Origins concerns the origins of streams, in its own datagram. From is then the address that it
	// came from.
	Origins Origins
	From    string
	// Subscribes reports whether the sender subscribes to digests; nothing else is sent then.
	Subscribes bool
}

// Handler handles the updates received from other processes.
type Handler func(update Update)

// Exchange sends and receives updates. It is safe for concurrent use.
type Exchange struct {
	conn *net.UDPConn
	self roster.Host
	// sequence is the number of the last datagram.
	sequence    atomic.Int64
	roster      *roster.Roster
	localUpdate func() Update
	handle      Handler
	now         func() time.Time
	log         *log.Logger
	// teamStats selects the team statistics to send in a round when they do not all fit.
	teamStats *teamStatsSelector
	// digestRounds counts the rounds in which digests were sent; activity is this host's activity
	// in the last update. Only Run uses them.
	digestRounds int
	activity     roster.Activity
	// workSentAt is when the offered work was last sent. Only Run uses it.
	workSentAt time.Time
}

// Listen opens the UDP socket of the exchange. localUpdate returns the state to send, now returns
// the current time.
func Listen(address string, self roster.Host, members *roster.Roster, localUpdate func() Update, handler Handler, now func() time.Time, logger *log.Logger) (*Exchange, error) {
	udpAddress, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	conn, err := net.ListenUDP("udp4", udpAddress)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return &Exchange{conn: conn, self: self, roster: members, localUpdate: localUpdate, handle: handler, now: now, log: logger, teamStats: newTeamStatsSelector()}, nil
}

const (
	// infrequentRounds is the factor by which datagrams are less frequent to hosts that do not
	// share this one's callers, or to all hosts while this one has no callers: they only need to
	// know that it is alive.
	infrequentRounds = 2
	// maxInfrequentInterval bounds the interval of datagrams from a host that has callers to the
	// infrequent recipients. They advertise its address to callers and consider it dead after the
	// silence period, within which one datagram may be lost.
	maxInfrequentInterval = 1400 * time.Millisecond
)

// Run sends and receives until ctx ends, and calls afterRound after each round.
func (e *Exchange) Run(ctx context.Context, afterRound func()) {
	go e.receive()
	scheduler := RoundScheduler{}
	for ctx.Err() == nil {
		recipients := e.roster.Recipients(e.self, e.activity, e.now())
		delay, sendInfrequent := scheduler.Next(recipients)
		peers := recipients.Frequent
		if sendInfrequent {
			peers = slices.Concat(recipients.Frequent, recipients.Infrequent)
		}
		e.send(peers, recipients.Frequent, sendInfrequent)
		if sendInfrequent && len(recipients.Aggregators) > 0 {
			e.subscribe(recipients.Aggregators)
		}
		if sendInfrequent && recipients.HasSubscribers() {
			e.sendDigests(recipients)
		}
		afterRound()
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
	_ = e.conn.Close()
}

// RoundScheduler determines when datagrams are sent to which recipients.
type RoundScheduler struct {
	// untilInfrequent is the time until the next datagrams to infrequent recipients.
	untilInfrequent time.Duration
}

// Next returns the delay until the next round and whether infrequent recipients are due in this
// one.
func (s *RoundScheduler) Next(recipients roster.Recipients) (delay time.Duration, sendInfrequent bool) {
	if !recipients.Hierarchical {
		return s.NextForCounts(len(recipients.Frequent), len(recipients.Infrequent))
	}
	delay = levelInterval
	if len(recipients.Frequent) > 0 {
		delay = min(Interval(len(recipients.Frequent)+1), levelInterval)
	}
	return delay, s.infrequentDue(delay, levelInterval)
}

// infrequentDue reports whether infrequent recipients are due in a round, and counts down the
// delay after it.
func (s *RoundScheduler) infrequentDue(delay, infrequentInterval time.Duration) bool {
	sendInfrequent := s.untilInfrequent <= 0
	if sendInfrequent {
		s.untilInfrequent = infrequentInterval
	}
	s.untilInfrequent -= delay
	return sendInfrequent
}

// NextForCounts returns the delay until the next round and whether infrequent recipients are due
// in this one, for the given numbers of frequent and infrequent recipients.
func (s *RoundScheduler) NextForCounts(frequent, infrequent int) (delay time.Duration, sendInfrequent bool) {
	infrequentInterval := Interval(frequent + infrequent + 1)
	delay = Interval(frequent + 1)
	if frequent == 0 {
		delay = infrequentInterval
	}
	if infrequent > 0 {
		infrequentInterval *= infrequentRounds
	}
	if frequent > 0 {
		infrequentInterval = min(infrequentInterval, maxInfrequentInterval)
	}
	return delay, s.infrequentDue(delay, infrequentInterval)
}

// send sends this host's state to peers. sharing are the peers that share its callers.
func (e *Exchange) send(peers, sharing []string, sendInfrequent bool) {
	if len(peers) == 0 {
		// Data that is sent only once, such as placements, must not be consumed without a
		// recipient.
		return
	}
	update := e.localUpdate()
	e.recordActivity(update)
	e.sendUpdate(update, peers)
	e.sendSpeeds(update.Speeds, sharing)
	if e.workDue(sendInfrequent, e.now()) {
		e.sendWork(update.Work, peers)
	}
}

func (e *Exchange) sendUpdate(update Update, peers []string) {
	data, teamsFit, err := encode(update, e.sequence.Add(1))
	if err != nil {
		e.log.Error().Err(err).Msg("failed to encode update")
		return
	}
	e.write(data, peers)
	if !teamsFit {
		e.sendTeamStats(update, peers)
	}
	e.sendCasesAndNotices(update, peers)
}

// sendTeamStats sends the team statistics that did not fit in the status datagram.
func (e *Exchange) sendTeamStats(update Update, peers []string) {
	usage, counts := e.teamStats.pick(update, e.now())
	messages, err := teamMessages(e.self.Incarnation, usage, counts)
	if err != nil {
		e.log.Error().Err(err).Msg("failed to encode team statistics")
		return
	}
	for _, data := range messages {
		e.write(data, peers)
	}
}

// sendCasesAndNotices sends cases and notices, if any, in separate datagrams because both
// together may not fit in one.
func (e *Exchange) sendCasesAndNotices(update Update, peers []string) {
	if len(update.Cases) > 0 {
		m := mapMessage{Incarnation: e.self.Incarnation}
		m.addCases(update.Cases, e.now())
		e.sendMapMessage(m, peers)
	}
	if len(update.Notices) > 0 {
		m := mapMessage{Incarnation: e.self.Incarnation}
		m.addNotices(update.Notices)
		e.sendMapMessage(m, peers)
	}
}

func (e *Exchange) sendMapMessage(m mapMessage, peers []string) {
	data, err := m.encode()
	if err != nil {
		e.log.Error().Err(err).Msg("failed to encode cases, notices or speeds")
		return
	}
	e.write(data, peers)
}

func (e *Exchange) write(data []byte, peers []string) {
	for _, address := range peers {
		// Names are not looked up, as that may take seconds.
		peer, err := netip.ParseAddrPort(address)
		if err != nil {
			e.log.Debug().Err(err).Str("peer", address).Msg("peer address without an IP address")
			continue
		}
		if _, err := e.conn.WriteToUDPAddrPort(data, peer); err != nil {
			// The host is probably gone; its row will show that soon.
			e.log.Debug().Err(err).Str("peer", address).Msg("failed to send datagram")
		}
	}
}

func (e *Exchange) receive() {
	buffer := make([]byte, maxBytes+1)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			// The socket is closed only when the process exits.
			e.log.Debug().Err(err).Msg("stopped receiving datagrams")
			return
		}
		update, err := decodeDatagram(buffer[:n], e.now())
		if err != nil {
			e.log.Debug().Err(err).Msg("failed to decode datagram")
			continue
		}
		if !update.Origins.isEmpty() {
			update.From = netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		}
		e.handle(update)
	}
}

// decodeDatagram decodes a datagram of either kind.
func decodeDatagram(data []byte, now time.Time) (Update, error) {
	if isMapMessage(data) {
		return decodeMapMessage(data, now)
	}
	var m statusMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Update{}, err
	}
	return m.update()
}
