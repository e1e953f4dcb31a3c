package node

import (
	"time"

	"ironhollow/pkg/gossip"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

// localDemands returns the engine time per second that requests of this host need, for each service
// whose number of endpoints is scaled.
func (n *node) localDemands(now time.Time) []roster.Demand {
	current, _ := n.view.RouteTables().Current()
	if current == nil {
		return nil
	}
	var demands []roster.Demand
	for _, service := range current.Services() {
		if rate := n.router.EngineDemand(route.Target{Service: service.Name}, now); service.Scaling != nil && rate > 0 {
			demands = append(demands, roster.Demand{Service: service.Name, Rate: rate})
		}
	}
	return demands
}

// minOfferedWork is the engine time per second below which no work is sent: averages decay but never
// reach 0.
const minOfferedWork = 0.001

// localWork returns the work that this host's callers offer, for each service whose number of
// endpoints is scaled.
func (n *node) localWork(now time.Time) []roster.Work {
	current, _ := n.view.RouteTables().Current()
	if current == nil {
		return nil
	}
	var list []roster.Work
	for _, service := range current.Services() {
		if w := n.router.Work(route.Target{Service: service.Name}, now); service.Scaling != nil && w.Offered > minOfferedWork {
			list = append(list, roster.Work{Service: service.Name, SlotTime: w.SlotTime, TokenTime: w.TokenTime, Offered: w.Offered, Refused: w.Refused})
		}
	}
	return list
}

// statusUpdate returns the update that this host sends to the others periodically.
func (n *node) statusUpdate() gossip.Update {
	now := n.clock.Now()
	if n.links.IsCut() {
		return n.cutUpdate(now)
	}
	return gossip.Update{
		Status: roster.Status{
			Host: n.host(), Loads: n.loadSync.LocalLoads(), Demands: n.localDemands(now), Counts: n.counter.Latest(), StoreReachableFor: n.view.StoreReachableFor(),
			LeaseVersion: n.leases.RowVersion(dutyShard),
		},
		TeamUsage:  n.limiter.LocalUsage(now),
		Placements: n.router.DrainPlacements(),
		Cases:      n.crashReports(now),
		Notices:    n.noticeTracker.Reports(now),
		Work:       n.localWork(now),
		Speeds:     n.router.DrainSpeeds(),
	}
}

// receive applies an update from another process.
func (n *node) receive(update gossip.Update) {
	if update.Incarnation == string(n.incarnation) {
		return
	}
	now := n.clock.Now()
	if update.Links != gossip.LinksUnreported {
		n.view.Roster().ApplyCut(update.Incarnation, update.Links == gossip.LinksCut, now)
		return
	}
	if len(update.From) > 0 {
		n.origins.Apply(update.Origins.Records, update.Origins.Unknown, update.From)
		n.origins.Answer(update.Origins.Queries, update.From)
		return
	}
	if len(update.Rollouts) > 0 {
		n.receiveRollouts(update, now)
		return
	}
	if len(update.Cases)+len(update.Notices) > 0 {
		n.quarantineWatch.ApplyReports(update.Cases, update.Incarnation, now)
		n.noticeTracker.ApplyReports(update.Notices, now)
		return
	}
	if len(update.Work) > 0 {
		n.view.Roster().ApplyWork(update.Incarnation, update.Work, now)
		return
	}
	if len(update.Speeds) > 0 {
		n.loadSync.ApplySpeeds(update.Speeds, now)
		return
	}
	if update.Subscribes {
		n.view.Roster().Subscribe(update.Host, now)
		return
	}
	if len(update.Digest.LiveHosts)+len(update.Digest.Hosts) > 0 {
		n.view.Roster().ApplyDigest(update.Incarnation, update.Digest, now)
		return
	}
	if len(update.TeamUsage)+len(update.Counts) > 0 && update.Brief {
		n.limiter.ApplyPeer(update.Incarnation, update.TeamUsage, now)
		n.view.Roster().ApplyCounts(update.Incarnation, update.Counts)
		return
	}
	if update.Brief {
		n.loadSync.ApplyBrief(update.Incarnation, update.Sequence, update.Loads, update.Placements, now)
		return
	}
	n.view.Roster().ApplyStatus(update.Status, now)
	n.limiter.ApplyPeer(update.Incarnation, update.TeamUsage, now)
	n.loadSync.ApplyPlacements(update.Placements)
	if update.LeaseVersion > 0 {
		n.leases.ObserveVersion(dutyShard, update.LeaseVersion)
	}
}

// urgentUpdate returns the update about single endpoints that this host sends immediately.
func (n *node) urgentUpdate(endpoints []string) gossip.Update {
	if n.links.IsCut() {
		return gossip.Update{Status: roster.Status{Host: roster.Host{Incarnation: string(n.incarnation)}}, Notices: n.noticeTracker.ReportsFor(endpoints, n.clock.Now())}
	}
	return gossip.Update{
		Status:     roster.Status{Host: roster.Host{Incarnation: string(n.incarnation)}, Loads: n.loadSync.LocalLoadsAt(endpoints)},
		Placements: n.router.DrainPlacements(),
		Notices:    n.noticeTracker.ReportsFor(endpoints, n.clock.Now()),
	}
}

// advertisedNames returns the names of the hosts that are advertised to callers, in order.
func (n *node) advertisedNames() []string {
	entries := n.view.Roster().AdvertisedHosts()
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Node
	}
	return names
}

// updateRequestRate sets, in the roster, the rate at which requests started on all hosts in the
// last complete window. Only the core receives all counts; other hosts get the rate from digests.
func (n *node) updateRequestRate() {
	members := n.view.Roster()
	if n.settings.UsageWindow <= 0 || !members.IsHierarchical() || !members.InCore(n.settings.Node) {
		return
	}
	sum := 0
	for _, started := range members.StartedRequests(n.counter.CurrentWindow() - 1) {
		sum += started
	}
	members.SetRequestRate(float64(sum) / n.settings.UsageWindow.Seconds())
}

// applyPeerState passes what other processes have sent to the components that decide with it.
func (n *node) applyPeerState() {
	now := n.clock.Now()
	n.view.Roster().MergeSelf(n.host(), now)
	if members := n.view.Roster(); !members.IsHierarchical() || members.InCore(n.settings.Node) || n.router.HasInFlight() {
		// Other hosts do not receive loads.
		n.loadSync.UpdateRouter(now)
	}
	n.updateRequestRate()
	n.view.Roster().Prune(deadRowRetention)
	n.view.EndpointSyncer().Expire()
	n.recordCrashedSuspects(now)
	n.logSpeeds()
	n.logSuspension()
	n.logRole()
	n.refreshRollouts(now)
	n.router.SetHosts(n.advertisedNames(), now)
	n.limiter.SetFleet(n.view.Roster().CountHosts(string(n.incarnation), now))
}

// logSpeeds logs when the endpoints of a service begin to differ in speed, or no longer do.
func (n *node) logSpeeds() {
	for _, change := range n.loadSync.SpeedChanges() {
		n.log.Info().Str("service", change.Target.Service).Bool("differ", change.Differs).
			Float64("least", change.Least).Float64("greatest", change.Greatest).Msg("speed of endpoints changed")
	}
}
