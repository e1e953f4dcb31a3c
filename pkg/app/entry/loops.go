package entry

import (
	"context"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/job"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
	"ironhollow/pkg/route"
)

func now() time.Time { return time.Now() }

// Intervals and time-outs of an entry's background work.
const (
	// configSyncInterval is the interval of the checks for a new revision in the store. New
	// revisions normally arrive over the mesh; the checks cover the case that this fails.
	configSyncInterval = 30 * time.Second
	// reportTimeout bounds one poll of an endpoint's load.
	reportTimeout       = time.Second
	shareUpdateInterval = time.Second
	// recoverInterval is the interval of the checks for jobs of dead nodes in the membership
	// table. sweepInterval is that of the checks for registered nodes missing from the table.
	recoverInterval = 3 * time.Second
	sweepInterval   = 30 * time.Second
	storeTimeout    = 5 * time.Second
)

// syncConfig applies the store's newer revisions and publishes them to the mesh.
func (a *App) syncConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	before := a.config.Current().Revision()
	head, err := a.store.Head(ctx)
	if err != nil || head <= before {
		return
	}
	changes, err := a.changesAfter(ctx, before)
	if err != nil {
		a.log.Warn().Err(err).Int64("revision", head).Msg("configuration not loaded")
		return
	}
	a.peers.Send(a.mesh.Publish(peer.Update{Changes: changes}, now()))
	if after := a.config.Current().Revision(); after > before {
		a.log.Info().Int64("revision", after).Msg("configuration in force")
	}
}

// changesAfter reads the changes after a revision from the store. After revision 0 it loads the
// current configuration and returns the changes that result in it.
func (a *App) changesAfter(ctx context.Context, revision int64) ([]config.Change, error) {
	if revision > 0 {
		return a.store.Changes(ctx, revision)
	}
	if err := a.store.Load(ctx, a.config); err != nil {
		return nil, err
	}
	return a.config.ChangesAfter(0), nil
}

// applyConfigChanges applies each new revision to the components that do not read the
// configuration on every request: the retry budget and the hazard estimate.
func (a *App) applyConfigChanges(ctx context.Context) {
	for {
		changed := a.config.Changed()
		c := a.config.Current()
		a.budget.SetShare(c.Policy().RetryShare())
		for _, capacity := range c.Capacities() {
			a.hazard.SetPrior(hazard.Pool{DataCenter: capacity.DataCenter(), Class: capacity.Class()}, capacity.HazardPerHour(), now())
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// pollReports polls the load reports of endpoints, those with the oldest report first. Every
// answer also contains a report, so an endpoint in use is seldom polled. The rate limit bounds
// the cost of polling for a node regardless of the number of endpoints.
func (a *App) pollReports(ctx context.Context) {
	limiter := rate.NewLimiter(rate.Limit(a.settings.loadPollsPerSecond), 1)
	for limiter.Wait(ctx) == nil {
		if info, ok := a.router.NextToPoll(now()); ok {
			go a.pollReport(ctx, info)
		}
	}
}

func (a *App) pollReport(ctx context.Context, info endpoint.Info) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := a.engineAPI.Load(ctx, info.Address)
	if err != nil {
		return
	}
	a.applyReport(info, report)
}

// applyReport applies an endpoint's report, polled or received with an answer. A report from
// another incarnation is ignored.
func (a *App) applyReport(info endpoint.Info, report engine.Report) {
	if report.Incarnation != info.Incarnation {
		return
	}
	a.router.ApplyReport(info.Ref(), report)
	if updated := withReport(info, report); updated != info {
		a.publishEndpoint(updated)
	}
}

// publishEndpoint updates an endpoint here and at the other entries.
func (a *App) publishEndpoint(info endpoint.Info) {
	a.peers.Send(a.mesh.Publish(peer.Update{Endpoints: []endpoint.Info{info}}, now()))
}

// withReport returns an endpoint's info updated from a report by its engine.
func withReport(info endpoint.Info, report engine.Report) endpoint.Info {
	if report.Counter > info.Counter || (info.Counter == 0 && report.Model != info.Model) {
		info.Model, info.Version, info.Adapter, info.Counter = report.Model, report.Version, report.Adapter, report.Counter
	}
	if report.Leaving && info.State == endpoint.Live {
		info.State = endpoint.Leaving
	}
	return info
}

// onLeaving moves streams off an endpoint that is leaving, and records a reclaim for the hazard
// estimate. A notice is recorded once per incarnation: this is called a second time only if LeaveBy
// was unknown at the first, and LeaveBy does not change once it is known.
func (a *App) onLeaving(ctx context.Context, info endpoint.Info) {
	a.log.Info().Str("endpoint", info.ID).Str("data_center", info.DataCenter).Time("leave_by", info.LeaveBy).Msg("endpoint is leaving")
	if info.Reclaimable && !info.LeaveBy.IsZero() {
		a.hazard.RecordReclaim(hazard.Pool{DataCenter: info.DataCenter, Class: info.Class}, 1, now())
	}
	if info.LeaveBy.IsZero() {
		return
	}
	a.runner.MigrateStreams(ctx, info, a.config.Current().Policy().NaiveReclaim())
}

// updateLimitShares updates this entry's share of the limits that endpoints set, from the nodes
// that serve.
func (a *App) updateLimitShares(nodes []membership.Node) {
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = n.ID
	}
	slices.Sort(names)
	a.router.SetHosts(names, time.Now())
	a.api.Notices.ExpireLimits(time.Now())
}

// updateShares updates what depends on the number of entries that serve: this entry's shares of
// limits and permits. It also publishes this entry's load, readiness and demand.
func (a *App) updateShares(context.Context) {
	nodes := a.nodes.ServingNodes()
	entryCount := max(len(nodes), 1)
	a.router.SetEntryCount(entryCount)
	a.updateLimitShares(nodes)
	a.concurrencyLimiters.Resize(func(t route.Target) int { return a.permitCapacity(t, entryCount) })
	load := int(math.Round(10 * min(a.concurrencyLimiters.Load(), 2)))
	a.peers.Send(a.mesh.SetLoad(min(load, 10)))
	a.updateReady()
	a.exchangeDemand(entryCount)
	a.updateHostCounts()
}

// endpointWait is how long after its start an entry waits for a first endpoint before it
// advertises itself as ready without one: there may be none.
const endpointWait = 5 * time.Second

// updateReady advertises this entry to callers once it has a configuration, and has an endpoint or
// has waited for endpointWait. It is called after the concurrency limiters have been resized.
func (a *App) updateReady() {
	if a.config.Current().Revision() == 0 {
		return
	}
	known := len(a.router.Endpoints()) > 0
	if known || now().Sub(time.UnixMilli(a.self.Incarnation)) > endpointWait {
		a.peers.Send(a.mesh.SetReady())
	}
}

func (a *App) permitCapacity(t route.Target, entryCount int) int {
	if t.Model == "" {
		return a.router.EndpointCount(t) * callsPerPlainEndpoint
	}
	slots := a.router.TotalSlots(t)
	if slots == 0 {
		if other, ok := a.router.OtherVersion(t); ok {
			slots = a.router.TotalSlots(other)
		}
	}
	return int(math.Ceil(limit.PermitsPerSlot * float64(slots) / float64(entryCount)))
}

// callsPerPlainEndpoint is the maximum number of concurrent calls from one entry for each plain
// endpoint.
const callsPerPlainEndpoint = 256

func (a *App) exchangeDemand(entryCount int) {
	t := now()
	var own []peer.Demand
	demands := a.rateLimiter.Demands(t)
	for _, d := range demands {
		own = append(own, peer.Demand{Team: peer.TeamHash(d.Team), Value: d.PerSecond})
	}
	a.mesh.SetDemand(own)
	for _, d := range demands {
		if mean, ok := a.mesh.MeanDemand(peer.TeamHash(d.Team)); ok {
			a.rateLimiter.SetTotalDemand(d.Team, mean*float64(entryCount), t)
		}
	}
}

// updateHostCounts sets the number of reclaimable hosts of each pool in the hazard estimate.
func (a *App) updateHostCounts() {
	hosts := map[hazard.Pool]int{}
	for _, info := range a.endpoints.View().Infos() {
		if info.Reclaimable && info.AcceptsWork() {
			hosts[hazard.Pool{DataCenter: info.DataCenter, Class: info.Class}]++
		}
	}
	for pool, count := range hosts {
		a.hazard.SetHosts(pool, count, now())
	}
}

// recoveringEntries is the maximum number of entries that share the jobs of a dead node.
const recoveringEntries = 4

// recoverJobs takes over the jobs of dead nodes and of this node's earlier incarnations, and adds
// jobs that this entry owns in the store but does not run because it is not known whether their
// acceptance took effect.
func (a *App) recoverJobs(ctx context.Context) {
	a.recoverOwnJobs(ctx)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if added, err := a.worker.ReconcileIfRequested(ctx); err == nil && added > 0 {
		a.log.Info().Int("jobs", added).Msg("added own jobs found in the store")
	}
	for _, n := range a.nodes.Nodes() {
		if n.Status == membership.Dead {
			a.recoverNodeJobs(ctx, n.ID, n.Incarnation)
		}
	}
}

// recoverNodeJobs takes over this entry's shard of the jobs that a node still owns under the given
// or an earlier incarnation.
func (a *App) recoverNodeJobs(ctx context.Context, id string, incarnation int64) {
	serving := a.nodes.ServingNodes()
	rank := membership.RankOf(id, a.self.ID, serving)
	shardCount := min(recoveringEntries, len(serving))
	if rank < 0 || rank >= shardCount || a.wasRecovered(id, incarnation) {
		return
	}
	owners, err := a.jobs.Owners(ctx, id)
	if err != nil {
		return
	}
	left := 0
	for _, owner := range owners {
		if membership.IncarnationOfOwner(owner) > incarnation {
			continue
		}
		taken, remaining, err := a.worker.Recover(ctx, owner, job.Shard{Index: rank, Count: shardCount})
		if err != nil {
			a.log.Warn().Err(err).Str("owner", owner).Int("jobs", taken).Msg("not all jobs taken over")
		}
		if err != nil && !job.IsUnusable(err) {
			return
		}
		left += taken + remaining
		if taken > 0 {
			a.log.Info().Str("owner", owner).Int("jobs", taken).Int("left", remaining).Msg("jobs taken over")
		}
	}
	if left == 0 {
		a.markRecovered(id, incarnation)
	}
}

// sweep publishes registered nodes that are missing from the membership table, so that their jobs
// are recovered. Only the entry with rank 0 lists the registrations in the store.
func (a *App) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if membership.RankOf("sweep", a.self.ID, a.nodes.ServingNodes()) != 0 {
		return
	}
	registered, err := a.registeredNodes(ctx)
	if err != nil {
		return
	}
	var unknown []membership.Node
	for _, n := range registered {
		if _, known := a.nodes.Get(n.ID); !known {
			unknown = append(unknown, n)
		}
	}
	if len(unknown) > 0 {
		a.peers.Send(a.mesh.Publish(peer.Update{Nodes: unknown}, now()))
	}
}
