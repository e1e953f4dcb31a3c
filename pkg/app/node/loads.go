package node

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

func (n *node) ownLoads() []roster.Load {
	var loads []roster.Load
	for _, l := range n.router.OwnLoads() {
		loads = append(loads, roster.Load{Endpoint: l.Endpoint.ID, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	return loads
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
