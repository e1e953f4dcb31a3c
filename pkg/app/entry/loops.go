package entry

import (
	"context"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

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

// Periods of what an entry does beside serving.
const (
	// configPeriod is how often the store is asked for a new revision. News of
	// one comes over the mesh; this is for when that fails.
	configPeriod = 30 * time.Second
	// reportTime bounds one question for an endpoint's load.
	reportTime  = time.Second
	sharePeriod = time.Second
	// recoverPeriod is how often lost owners' jobs are looked for, sweepPeriod
	// how often among all nodes that ever registered.
	recoverPeriod = 3 * time.Second
	sweepPeriod   = 30 * time.Second
	storeTime     = 5 * time.Second
)

// followConfig brings the configuration up to the store's.
func (a *App) followConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	before := a.config.Current().Revision()
	head, err := a.store.Head(ctx)
	if err != nil || head <= before {
		return
	}
	if before == 0 {
		if a.store.Load(ctx, a.config) != nil {
			return
		}
		a.peers.Send(a.mesh.Publish(peer.Update{Changes: a.config.ChangesAfter(0)}, now()))
	} else {
		changes, err := a.store.Changes(ctx, before)
		if err != nil {
			return
		}
		a.peers.Send(a.mesh.Publish(peer.Update{Changes: changes}, now()))
	}
	a.log.Info().Int64("revision", a.config.Current().Revision()).Msg("configuration in force")
}

// watchConfig applies what a new revision changes outside the request's path.
func (a *App) watchConfig(ctx context.Context) {
	for {
		changed := a.config.Changed()
		c := a.config.Current()
		a.budget.SetShare(c.Policy().RetryShare())
		for _, row := range c.Capacities() {
			a.hazard.SetPrior(hazard.Pool{DataCenter: row.DataCenter(), Class: row.Class()}, row.Hazard(), now())
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// readReports asks one endpoint after the other for its load, those with the
// oldest report first. Reports come with every answer too, so an endpoint in
// use is seldom asked; the rate bounds what this costs a node however many
// endpoints there are.
func (a *App) readReports(ctx context.Context) {
	limiter := rate.NewLimiter(rate.Limit(a.settings.loadPolls), 1)
	for limiter.Wait(ctx) == nil {
		if info, ok := a.router.NextToPoll(now()); ok {
			go a.readReport(ctx, info)
		}
	}
}

func (a *App) readReport(ctx context.Context, info endpoint.Info) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	report, err := a.engines.Load(ctx, info.Address)
	if err != nil {
		return
	}
	a.takeReport(info, report)
}

// takeReport takes in an endpoint's word, however it came.
func (a *App) takeReport(info endpoint.Info, report engine.Report) {
	if report.Incarnation != info.Incarnation {
		return
	}
	a.router.ApplyReport(info.Ref(), report)
	if heard := fromReport(info, report); heard != info {
		a.spread(heard)
	}
}

// spread makes news of an endpoint known here and at the other entries.
func (a *App) spread(heard endpoint.Info) {
	a.peers.Send(a.mesh.Publish(peer.Update{Endpoints: []endpoint.Info{heard}}, now()))
}

// fromReport is what an engine's own word makes of what is known of it.
func fromReport(info endpoint.Info, report engine.Report) endpoint.Info {
	if report.Counter > info.Counter || (info.Counter == 0 && report.Model != info.Model) {
		info.Model, info.Version, info.Adapter, info.Counter = report.Model, report.Version, report.Adapter, report.Counter
	}
	if report.Leaving && info.State == endpoint.Live {
		info.State = endpoint.Leaving
	}
	return info
}

// onLeave moves work off an endpoint that leaves and learns from it.
func (a *App) onLeave(ctx context.Context, info endpoint.Info) {
	a.log.Info().Str("endpoint", info.ID).Str("data_center", info.DataCenter).Time("leave_by", info.LeaveBy).Msg("endpoint is leaving")
	if info.Reclaimable && !info.LeaveBy.IsZero() {
		a.hazard.RecordReclaim(hazard.Pool{DataCenter: info.DataCenter, Class: info.Class}, 1, now())
	}
	if info.LeaveBy.IsZero() {
		return
	}
	a.runner.MigrateStreams(ctx, info, a.config.Current().Policy().NaiveReclaim())
}

// shareLimits has this entry keep its part of the limits that endpoints name.
func (a *App) shareLimits(nodes []membership.Node) {
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = n.ID
	}
	slices.Sort(names)
	a.router.SetHosts(names, time.Now())
	a.api.Notices.ExpireLimits(time.Now())
}

// share keeps limits and gates in step with the other entries.
func (a *App) share(context.Context) {
	nodes := a.nodes.ServingNodes()
	serving := max(len(nodes), 1)
	a.router.SetEntryCount(serving)
	a.shareLimits(nodes)
	a.gates.Resize(func(t route.Target) int { return a.gateCapacity(t, serving) })
	load := int(math.Round(10 * min(a.gates.Load(), 2)))
	a.peers.Send(a.mesh.SetLoad(min(load, 10)))
	a.showReady()
	a.shareDemand(serving)
	a.countHosts()
}

// readyTime is how long an entry without any endpoint waits for news of some
// before it shows itself all the same: there may be none.
const readyTime = 5 * time.Second

// showReady makes callers come here once there is something to serve with. The
// gates have been sized by then.
func (a *App) showReady() {
	if a.config.Current().Revision() == 0 {
		return
	}
	known := len(a.router.Endpoints()) > 0
	if known || now().Sub(time.UnixMilli(a.self.Incarnation)) > readyTime {
		a.peers.Send(a.mesh.SetReady())
	}
}

func (a *App) gateCapacity(t route.Target, serving int) int {
	if t.Model == "" {
		return a.router.EndpointCount(t) * plainRoom
	}
	slots := a.router.TotalSlots(t)
	if slots == 0 {
		if other, ok := a.router.OtherVersion(t); ok {
			slots = a.router.TotalSlots(other)
		}
	}
	return int(math.Ceil(limit.PermitsPerSlot * float64(slots) / float64(serving)))
}

// plainRoom is how many calls one plain endpoint is sent at once by one entry.
const plainRoom = 256

func (a *App) shareDemand(serving int) {
	t := now()
	var own []peer.Demand
	demands := a.rates.Demands(t)
	for _, d := range demands {
		own = append(own, peer.Demand{Team: peer.TeamHash(d.Team), Value: d.PerSecond})
	}
	a.mesh.SetDemand(own)
	for _, d := range demands {
		if mean, ok := a.mesh.MeanDemand(peer.TeamHash(d.Team)); ok {
			a.rates.SetTotalDemand(d.Team, mean*float64(serving), t)
		}
	}
}

// countHosts tells the hazard estimate how many hosts there are to lose.
func (a *App) countHosts() {
	hosts := map[hazard.Pool]int{}
	for _, info := range a.endpoints.View().Infos() {
		if info.Reclaimable && info.AcceptsWork() {
			hosts[hazard.Pool{DataCenter: info.DataCenter, Class: info.Class}]++
		}
	}
	for place, count := range hosts {
		a.hazard.SetHosts(place, count, now())
	}
}

// helpers is how many survivors share a lost owner's jobs.
const helpers = 4

// recoverJobs takes over jobs of nodes that died, and own ones of earlier
// starts or of unknown acceptance.
func (a *App) recoverJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	if rescued, err := a.worker.ReconcileIfRequested(ctx); err == nil && rescued > 0 {
		a.log.Info().Int("jobs", rescued).Msg("own jobs found in the store")
	}
	for _, n := range a.nodes.Nodes() {
		if n.Status == membership.Dead {
			a.recoverNode(ctx, n.ID, n.Incarnation)
		}
	}
}

// recoverNode takes this entry's part of the jobs that incarnations of a node
// up to the given one still own.
func (a *App) recoverNode(ctx context.Context, id string, incarnation int64) {
	serving := a.nodes.ServingNodes()
	rank := membership.RankOf(id, a.self.ID, serving)
	of := min(helpers, len(serving))
	if rank < 0 || rank >= of || a.wasRecovered(id, incarnation) {
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
		taken, remaining, err := a.worker.Recover(ctx, owner, job.Shard{Index: rank, Count: of})
		if err != nil {
			return
		}
		left += taken + remaining
		if taken > 0 {
			a.log.Info().Str("owner", owner).Int("jobs", taken).Int("left", remaining).Msg("jobs taken over")
		}
	}
	if left == 0 {
		a.setRecovered(id, incarnation)
	}
}

// sweep looks for jobs of nodes that nobody here remembers: one entry, chosen
// by rank, asks the store for all that ever registered.
func (a *App) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	if membership.RankOf("sweep", a.self.ID, a.nodes.ServingNodes()) != 0 {
		return
	}
	registered, err := a.registered(ctx)
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
