package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ironhollow/pkg/pause"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/storeview"
	"ironhollow/pkg/table"
)

// Timing of heartbeats.
const (
	// heartbeatInterval bounds how much usage is lost when a process is killed.
	heartbeatInterval = 1500 * time.Millisecond
	// silenceTimeout is how long a host may be silent before callers are no longer sent there; see
	// roster.New. Its row may be as old as one heartbeat and one pause of the feed, so the loss of
	// two datagrams in a row has no effect.
	silenceTimeout = 3200 * time.Millisecond
	// rowCheckInterval is the time between checks whether a write of the row is due.
	rowCheckInterval = 300 * time.Millisecond
	// storeCheckInterval is the time between checks whether the store has answered.
	storeCheckInterval = 50 * time.Millisecond
	// firstRowJitter is the time over which the first rows of hosts without callers are spread
	// when many hosts start at once: the store accepts 150 writes of rows per second, and 195
	// hosts that wrote at once were refused 44 times.
	firstRowJitter = 1500 * time.Millisecond
	// settleTime is how long after its first row a host without requests does not write another
	// one: until it knows the other hosts, it considers itself to have callers.
	settleTime = 5 * time.Second
)

const millicoresPerCore = 1000

// rowState is the state of this process's row in the store. Writes of the row are serialized.
type rowState struct {
	mu sync.Mutex
	// sequence is the sequence number of the last write.
	sequence int64
}

// runHeartbeat writes this process's row periodically until ctx is done.
func (n *node) runHeartbeat(ctx context.Context) {
	n.awaitStore(ctx)
	if n.view.UsesRelays() && !n.view.Roster().IsAdvertised(n.settings.Node) {
		pause.For(ctx, rand.N(n.firstRowMaxDelay()))
	}
	loop := n.watchdog.Watch("heartbeat")
	for !n.writesRow() {
		loop.Kick()
		// Other hosts know this host from digests.
		if !pause.For(ctx, rowCheckInterval) {
			return
		}
	}
	for minInterval := settleTime; ctx.Err() == nil; minInterval = 0 {
		loop.Kick()
		writtenAt := time.Now()
		n.writeRow(ctx)
		// The interval changes meanwhile if this host gets callers or loses them.
		for pause.For(ctx, rowCheckInterval); ctx.Err() == nil && (!n.writesRow() || time.Since(writtenAt) < n.rowInterval(minInterval)); {
			loop.Kick()
			pause.For(ctx, rowCheckInterval)
		}
	}
}

// writesRow reports whether this host writes its row. In a hierarchical fleet only hosts of the core
// do, so that the rows, the calls to write them and their bytes do not grow with the fleet.
func (n *node) writesRow() bool {
	members := n.view.Roster()
	return !members.IsHierarchical() || members.InCore(n.settings.Node)
}

// firstRowMaxDelay returns the time over which first rows of hosts without callers are spread,
// scaled to the number of known hosts.
func (n *node) firstRowMaxDelay() time.Duration {
	return roster.ScaleInterval(firstRowJitter, n.view.Roster().Sharing())
}

// awaitStore waits until the store has answered.
func (n *node) awaitStore(ctx context.Context) {
	for ctx.Err() == nil {
		if _, known := n.clock.Offset(); known {
			return
		}
		pause.For(ctx, storeCheckInterval)
	}
}

// rowInterval returns the time between two writes of the row, scaled to the number of hosts that
// write as often: those with callers preserve their counts, the others only show that they are alive.
// A host that has not served any request yet waits at least minInterval, even if it is advertised.
func (n *node) rowInterval(minInterval time.Duration) time.Duration {
	members := n.view.Roster()
	if members.IsHierarchical() {
		return roster.ScaleInterval(heartbeatInterval, members.CoreSize())
	}
	serving := n.router.HasInFlight() || len(n.counter.Recent()) > 0
	if serving || members.IsAdvertised(n.settings.Node) {
		interval := roster.ScaleInterval(heartbeatInterval, members.Advertised())
		if serving || !n.view.UsesRelays() {
			return interval
		}
		return max(interval, minInterval)
	}
	return roster.ScaleInterval(idleHeartbeatFactor*heartbeatInterval, members.Sharing())
}

// idleHeartbeatFactor is how many times less often a host without callers writes its row: its
// datagrams show that it is alive.
const idleHeartbeatFactor = 8

func (n *node) writeRow(ctx context.Context) {
	n.row.mu.Lock()
	defer n.row.mu.Unlock()
	n.row.sequence++
	now := n.clock.Now()
	offset, ok := n.clock.Offset()
	if !ok {
		return
	}
	writtenAt, _ := n.clock.StoreTime()
	row := roster.Row{
		Host:        n.host(),
		Sequence:    n.row.sequence,
		WrittenAt:   writtenAt,
		ClockOffset: offset,
		Counts:      n.counter.Recent(),
	}
	if !n.links.IsCut() {
		row.Loads = n.loadSync.LocalLoads()
		row.Demands = n.localDemands(now)
		row.Work = n.localWork(now)
	}
	value, err := row.Encode()
	if err != nil {
		n.log.Error().Err(err).Msg("own row not encoded")
		return
	}
	write := table.Write{Key: storeview.RosterTable + "/" + string(n.incarnation), Value: value, If: table.Always{}}
	outcome := n.store.Commit(ctx, table.Commit{Token: table.Token{Writer: string(n.incarnation), Sequence: n.row.sequence}, Writes: []table.Write{write}})
	var failed error
	switch o := outcome.(type) {
	case table.Refused:
		failed = o.Err
	case table.Unknown:
		failed = o.Err
	}
	if ctx.Err() == nil {
		n.view.RecordCallResult("own row", failed)
	}
	n.view.Roster().Merge(row, now)
}

func (n *node) host() roster.Host {
	return roster.Host{
		Incarnation:   string(n.incarnation),
		Node:          n.settings.Node,
		DataCenter:    n.settings.DataCenter,
		CallerAddress: n.settings.CallerAddress,
		PeerAddress:   n.settings.PeerAddress,
		StartedAt:     n.clock.StoreStartTime(),
		Millicores:    int(millicoresPerCore * n.settings.Cores),
		Leaving:       n.lifecycle.IsLeaving(),
	}
}

// fleetRole is the role of this host in the fleet as last logged. Only one goroutine uses it.
type fleetRole struct {
	advertised, relay, standby bool
	// hosts is the number of advertised hosts.
	hosts int
}

// logRole logs the role of this host in the fleet if it has changed.
func (n *node) logRole() {
	members := n.view.Roster()
	now := fleetRole{
		advertised: members.IsAdvertised(n.settings.Node),
		relay:      n.view.IsRelay(),
		standby:    n.isStandby(),
		hosts:      members.Advertised(),
	}
	if now == *n.role {
		return
	}
	*n.role = now
	n.log.Info().Bool("advertised", now.advertised).Bool("relay", now.relay).Bool("standby", now.standby).
		Int("hosts-told", now.hosts).Int("hosts-sharing", members.Sharing()).Msg("part in the fleet")
}
