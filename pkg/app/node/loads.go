package node

import (
	"time"

	"ironhollow/pkg/gossip"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

// ownWorks is the engine time asked for here, of services whose size follows it.
func (n *node) ownWorks(now time.Time) []roster.Demand {
	current, _ := n.view.RouteTables().Current()
	if current == nil {
		return nil
	}
	var works []roster.Demand
	for _, service := range current.Services() {
		if rate := n.router.EngineDemand(route.Target{Service: service.Name}, now); service.Scaling != nil && rate > 0 {
			works = append(works, roster.Demand{Service: service.Name, Rate: rate})
		}
	}
	return works
}

// update is what this host sends the others.
func (n *node) update() gossip.Update {
	now := n.clock.Now()
	return gossip.Update{
		Status: roster.Status{
			Host: n.host(), Loads: n.loads.LocalLoads(), Demands: n.ownWorks(now), Counts: n.counter.Latest(), StoreReachableFor: n.view.StoreReachableFor(),
			LeaseVersion: n.leases.RowVersion(dutyShard),
		},
		TeamUsage:  n.limits.LocalUsage(now),
		Placements: n.router.DrainPlacements(),
		Cases:      n.crashes.Reports(now),
		Notices:    n.notices.Reports(now),
	}
}

// receive applies what another process sends.
func (n *node) receive(update gossip.Update) {
	if update.Incarnation == string(n.incarnation) {
		return
	}
	now := n.clock.Now()
	if len(update.Rollouts) > 0 {
		n.receiveRollouts(update, now)
		return
	}
	if len(update.Cases)+len(update.Notices) > 0 {
		n.crashes.ApplyReports(update.Cases, update.Incarnation, now)
		n.notices.ApplyReports(update.Notices, now)
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
		n.limits.ApplyPeer(update.Incarnation, update.TeamUsage, now)
		n.view.Roster().ApplyCounts(update.Incarnation, update.Counts)
		return
	}
	if update.Brief {
		n.loads.ApplyBrief(update.Incarnation, update.Sequence, update.Loads, update.Placements, now)
		return
	}
	n.view.Roster().ApplyStatus(update.Status, now)
	n.limits.ApplyPeer(update.Incarnation, update.TeamUsage, now)
	n.loads.ApplyPlacements(update.Placements)
	if update.LeaseVersion > 0 {
		n.leases.ObserveVersion(dutyShard, update.LeaseVersion)
	}
}

// updateOf is what this host sends at once about single endpoints.
func (n *node) updateOf(endpoints []string) gossip.Update {
	return gossip.Update{
		Status:     roster.Status{Host: roster.Host{Incarnation: string(n.incarnation)}, Loads: n.loads.LocalLoadsAt(endpoints)},
		Placements: n.router.DrainPlacements(),
		Notices:    n.notices.ReportsFor(endpoints, n.clock.Now()),
	}
}

// sharers returns the hosts that take callers, by name.
func (n *node) sharers() []string {
	entries := n.view.Roster().AdvertisedHosts()
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Node
	}
	return names
}

// countRequests sets how many requests a second began in the last whole window, over all hosts,
// in the roster. Only the core receives all counts; others learn it from digests.
func (n *node) countRequests() {
	members := n.view.Roster()
	if n.settings.UsageWindow <= 0 || !members.IsHierarchical() || !members.InCore(n.settings.Node) {
		return
	}
	sum := 0
	for _, begun := range members.StartedRequests(n.counter.CurrentWindow() - 1) {
		sum += begun
	}
	members.SetRequestRate(float64(sum) / n.settings.UsageWindow.Seconds())
}

// applyLoads hands what the other processes have sent to the decisions.
func (n *node) applyLoads() {
	now := n.clock.Now()
	n.view.Roster().MergeSelf(n.host(), now)
	if members := n.view.Roster(); !members.IsHierarchical() || members.InCore(n.settings.Node) || n.router.HasInFlight() {
		// Others receive no loads.
		n.loads.UpdateRouter(now)
	}
	n.countRequests()
	n.view.Roster().Prune(rowKept)
	n.view.EndpointSyncer().Expire()
	n.surveySuspects(now)
	n.noteSuspension()
	n.noteRole()
	n.surveyRollouts(now)
	n.router.SetHosts(n.sharers(), now)
	n.limits.SetFleet(n.view.Roster().CountHosts(string(n.incarnation), now))
}
