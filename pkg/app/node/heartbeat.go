package node

import (
	"context"
	"sync"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
	"ironhollow/pkg/storeview"
	"ironhollow/pkg/table"
)

// Timing of heartbeats.
const (
	// heartbeat bounds what of the usage a killed process takes with it.
	heartbeat = 1500 * time.Millisecond
	// silence is how long a host may be unheard before callers are no longer
	// sent there; see roster.New. Its row may be one heartbeat and one pause of
	// the feed old, so that two lost datagrams in a row tell nothing.
	silence = 3200 * time.Millisecond
	// rowCheck is the time between two looks whether the row is due.
	rowCheck = 300 * time.Millisecond
	// firstRow is the pause until the store has been heard of.
	firstRow = 50 * time.Millisecond
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
	for ctx.Err() == nil {
		if _, known := n.clock.Offset(); !known {
			pause.For(ctx, firstRow)
			continue
		}
		written := time.Now()
		n.writeRow(ctx)
		// Whether this host has callers changes meanwhile.
		for pause.For(ctx, rowCheck); ctx.Err() == nil && time.Since(written) < n.rowPause(); {
			pause.For(ctx, rowCheck)
		}
	}
}

// rowPause is the time between two writes of the row, by how many hosts write as
// often: those with callers keep what they counted, the others show that they live.
func (n *node) rowPause() time.Duration {
	if n.view.Roster().Advertises(n.settings.Node) || len(n.router.OwnLoads()) > 0 {
		return roster.Pace(heartbeat, n.view.Roster().Advertised())
	}
	return roster.Pace(idleHeartbeats*heartbeat, n.view.Roster().Sharing())
}

// idleHeartbeats is how many times rarer a host without callers writes its row:
// its datagrams tell that it lives.
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
	row := roster.Row{
		Host:        n.host(),
		Sequence:    n.row.sequence,
		ClockOffset: offset,
		Counts:      n.counter.Recent(),
	}
	row.Loads = n.ownLoads()
	row.Works = n.ownWorks(now)
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
		n.view.NoteCall("own row", failed)
	}
	n.view.Roster().Merge(row, now)
}

func (n *node) ownLoads() []roster.Load {
	var loads []roster.Load
	for _, l := range n.router.OwnLoads() {
		loads = append(loads, roster.Load{Endpoint: l.Endpoint.ID, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	return loads
}

func (n *node) host() roster.Host {
	return roster.Host{
		Incarnation: string(n.incarnation),
		Node:        n.settings.Node,
		DataCenter:  n.settings.DataCenter,
		Callers:     n.settings.Callers,
		Peers:       n.settings.Peers,
		Since:       n.clock.Since(),
		Millicores:  int(millicores * n.settings.Cores),
		Leaving:     n.life.leaving(),
	}
}

// ownWorks is the engine time asked for here, of services whose size follows it.
func (n *node) ownWorks(now time.Time) []roster.Work {
	current, _ := n.view.Tables().Current()
	if current == nil {
		return nil
	}
	var works []roster.Work
	for _, service := range current.Services() {
		if rate := n.router.Work(route.Target{Service: service.Name}, now); service.Scaling != nil && rate > 0 {
			works = append(works, roster.Work{Service: service.Name, Rate: rate})
		}
	}
	return works
}

// told is what this host tells the others.
func (n *node) told() gossip.Told {
	now := n.clock.Now()
	return gossip.Told{
		Told: roster.Told{
			Host: n.host(), Loads: n.ownLoads(), Works: n.ownWorks(now), Counts: n.counter.Latest(), InTouch: n.view.InTouch(),
			LeaseVersion: n.leases.Version(dutyShard),
		},
		Spent:  n.limits.Own(now),
		Placed: n.router.TakePlacements(),
	}
}

// hear takes in what another process tells.
func (n *node) hear(told gossip.Told) {
	if told.Incarnation == string(n.incarnation) {
		return
	}
	now := n.clock.Now()
	if told.Brief {
		n.hearBrief(told, now)
		return
	}
	n.view.Roster().Hear(told.Told, now)
	n.limits.Heard(told.Incarnation, told.Spent, now)
	for _, placed := range told.Placed {
		n.router.Place(placed)
	}
	if told.LeaseVersion > 0 {
		n.leases.Heard(dutyShard, told.LeaseVersion)
	}
}

// toldOf is what this host tells at once of single endpoints.
func (n *node) toldOf(endpoints []string) gossip.Told {
	told := gossip.Told{Told: roster.Told{Host: roster.Host{Incarnation: string(n.incarnation)}}, Placed: n.router.TakePlacements()}
	for _, id := range endpoints {
		load := n.router.OwnLoad(id)
		told.Loads = append(told.Loads, roster.Load{Endpoint: id, Running: load.Running, PrefillTokens: load.PrefillTokens})
	}
	return told
}

// hearBrief takes in what another process tells of single endpoints.
func (n *node) hearBrief(told gossip.Told, now time.Time) {
	n.view.Roster().HearLoads(told.Incarnation, told.Sequence, told.Loads, now)
	for _, placed := range told.Placed {
		n.router.Place(placed)
	}
	for _, l := range told.Loads {
		if info, ok := n.router.Lookup(l.Endpoint); ok {
			n.report(info, n.view.Roster().Load(string(n.incarnation), l.Endpoint, now), now)
		}
	}
}

// report hands the load of one endpoint to the router.
func (n *node) report(info endpoint.Info, others roster.Load, now time.Time) {
	n.router.Report(info.Ref(), engine.Report{
		Sequence:     now.UnixMilli(),
		Running:      others.Running + n.router.OwnLoad(info.ID).Running,
		Slots:        max(info.Slots, 1),
		QueuedTokens: others.PrefillTokens,
		QueuedAt:     others.At,
	})
}

// fleetRole is what this host does for the fleet, as last logged. One goroutine
// uses it.
type fleetRole struct {
	advertised, relay, standby bool
	// hosts is how many hosts callers are told.
	hosts int
}

// noteRole writes a line when this host's part in the fleet changes.
func (n *node) noteRole() {
	members := n.view.Roster()
	now := fleetRole{
		advertised: members.Advertises(n.settings.Node),
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

// takeLoads hands what the other processes told to the decisions.
func (n *node) takeLoads() {
	now := n.clock.Now()
	n.view.Roster().MergeSelf(n.host(), now)
	loads := n.view.Roster().Loads(string(n.incarnation), now)
	for _, info := range n.router.InUse() {
		n.report(info, loads[info.ID], now)
	}
	n.view.Endpoints().Expire()
	n.noteRole()
	n.limits.SetFleet(n.view.Roster().Fleet(string(n.incarnation), now))
}
