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
	// heartbeat bounds what of the usage a killed process takes with it.
	heartbeat = 1500 * time.Millisecond
	// silence is how long a host may go unseen before callers are no longer sent there; see
	// roster.New. Its row may be one heartbeat and one pause of the feed old, so that two lost
	// datagrams in a row show nothing.
	silence = 3200 * time.Millisecond
	// rowCheck is the time between two looks whether the row is due.
	rowCheck = 300 * time.Millisecond
	// firstRow is the pause between looks whether the store has answered.
	firstRow = 50 * time.Millisecond
	// rowSpread is the time over which the first rows of hosts without callers are
	// spread where many start at once: the store writes 150 rows a second, and 195
	// hosts that wrote at once were refused 44 times.
	rowSpread = 1500 * time.Millisecond
	// settling is how long after its first row a host without requests writes no
	// other: until the others are known it takes itself for one that has callers.
	settling = 5 * time.Second
)

// millicores are in a core.
const millicores = 1000

// ownRow is this process's row in the store. Writes of it go one by one.
type ownRow struct {
	mu sync.Mutex
	// sequence is of the last write.
	sequence int64
}

// beat writes this process's row until ctx ends.
func (n *node) beat(ctx context.Context) {
	n.awaitStore(ctx)
	if n.view.UsesRelays() && !n.view.Roster().IsAdvertised(n.settings.Node) {
		pause.For(ctx, rand.N(n.rowSpread()))
	}
	loop := n.watchdog.Watch("heartbeat")
	for !n.writesRow() {
		loop.Round()
		// Digests have this host.
		if !pause.For(ctx, rowCheck) {
			return
		}
	}
	for least := settling; ctx.Err() == nil; least = 0 {
		loop.Round()
		written := time.Now()
		n.writeRow(ctx)
		// Whether this host has callers changes meanwhile.
		for pause.For(ctx, rowCheck); ctx.Err() == nil && (!n.writesRow() || time.Since(written) < n.rowPause(least)); {
			loop.Round()
			pause.For(ctx, rowCheck)
		}
	}
}

// writesRow reports whether this host writes its row: in a fleet with levels only those of
// the core do, so that rows, calls for them and their bytes do not grow with the fleet.
func (n *node) writesRow() bool {
	members := n.view.Roster()
	return !members.IsHierarchical() || members.InCore(n.settings.Node)
}

// rowSpread is the time over which rows of hosts without callers are spread, by how many
// are known.
func (n *node) rowSpread() time.Duration {
	return roster.ScaleInterval(rowSpread, n.view.Roster().Sharing())
}

// awaitStore waits until the store has answered.
func (n *node) awaitStore(ctx context.Context) {
	for ctx.Err() == nil {
		if _, known := n.clock.Offset(); known {
			return
		}
		pause.For(ctx, firstRow)
	}
}

// rowPause is the time between two writes of the row, by how many hosts write as
// often: those with callers keep what they counted, the others show that they live.
// A host that has served nobody yet waits for least, whatever its rank.
func (n *node) rowPause(least time.Duration) time.Duration {
	members := n.view.Roster()
	if members.IsHierarchical() {
		return roster.ScaleInterval(heartbeat, members.CoreSize())
	}
	serving := n.router.HasInFlight() || len(n.counter.Recent()) > 0
	if serving || members.IsAdvertised(n.settings.Node) {
		pace := roster.ScaleInterval(heartbeat, members.Advertised())
		if serving || !n.view.UsesRelays() {
			return pace
		}
		return max(pace, least)
	}
	return roster.ScaleInterval(idleHeartbeats*heartbeat, members.Sharing())
}

// idleHeartbeats is how many times less often a host without callers writes its row: its
// datagrams show that it is alive.
const idleHeartbeats = 8

func (n *node) writeRow(ctx context.Context) {
	n.row.mu.Lock()
	defer n.row.mu.Unlock()
	n.row.sequence++
	now := n.clock.Now()
	offset, known := n.clock.Offset()
	if !known {
		return
	}
	written, _ := n.clock.Store()
	row := roster.Row{
		Host:        n.host(),
		Sequence:    n.row.sequence,
		WrittenAt:   written,
		ClockOffset: offset,
		Counts:      n.counter.Recent(),
	}
	row.Loads = n.loads.LocalLoads()
	row.Demands = n.ownWorks(now)
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
		CallerAddress: n.settings.Callers,
		PeerAddress:   n.settings.Peers,
		StartedAt:     n.clock.Since(),
		Millicores:    int(millicores * n.settings.Cores),
		Leaving:       n.life.leaving(),
	}
}

// fleetRole is what this host does for the fleet, as last logged. One goroutine
// uses it.
type fleetRole struct {
	advertised, relay, standby bool
	// hosts is how many hosts are advertised.
	hosts int
}

// noteRole writes a line when this host's part in the fleet changes.
func (n *node) noteRole() {
	members := n.view.Roster()
	now := fleetRole{
		advertised: members.IsAdvertised(n.settings.Node),
		relay:      n.view.IsRelay(),
		standby:    n.standsBy(),
		hosts:      members.Advertised(),
	}
	if now == *n.role {
		return
	}
	*n.role = now
	n.log.Info().Bool("advertised", now.advertised).Bool("relay", now.relay).Bool("standby", now.standby).
		Int("hosts-told", now.hosts).Int("hosts-sharing", members.Sharing()).Msg("part in the fleet")
}
