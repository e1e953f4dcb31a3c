package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/boottime"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/storeview"
	"ironhollow/pkg/table"
	"ironhollow/pkg/usage"
)

// dutyShard is the only shard of control work: one lease covers all duties.
const dutyShard = lease.Shard(0)

// Timing of the duties.
const (
	// renewalsPerLease is the number of renewals within the duration of the lease.
	renewalsPerLease = 4
	// dutyCallTimeout bounds one call to the platform.
	dutyCallTimeout = time.Second
	// deadRowRetention is how long the row of a dead process is kept: its usage counts until the
	// window has been reported, possibly by a new holder of the lease.
	deadRowRetention = 18 * time.Second
)

// runDuties renews the lease and performs the duties while the lease is held.
func (n *node) runDuties(ctx context.Context) {
	// The lease is never released: the next holder waits until it has expired, so that two holders
	// never act alternately within the duration of one lease.
	go n.renewLease(ctx)
	go n.scaleStates.Run(ctx)
	notices := pause.NewSignal()
	n.view.Directory().SubscribeLeaving(func(endpoint.Info) { notices.Set() })
	var last lease.Grant
	pause.EveryOrSignal(ctx, n.settings.LeaseDuration/renewalsPerLease, notices, noticeSettleTime, func(ctx context.Context, onNotice bool) {
		grant, held := n.leases.Held(dutyShard)
		if grant != last {
			// Another host may have held the lease between the two grants, even if this host held it at
			// the previous run too.
			last = grant
			n.log.Info().Bool("held", held).Msg("lease of the duties")
			n.endpointReconciler.Reset()
			n.losses.Reset()
			n.scaleStates.Reset()
			n.scaleMetrics.Reset()
		}
		if held {
			n.performDuties(ctx, onNotice)
		}
	})
}

// noticeSettleTime is the time from the first notice of a leaving endpoint to the run of the duties:
// a data centre is reclaimed at once, so that the rows of its endpoints arrive together. It also
// bounds how often notices cause runs.
const noticeSettleTime = 50 * time.Millisecond

// holderReportMaxAge is how recently another host must have reported that it holds the lease for
// standbys not to read it. It allows for three datagrams between near hosts.
const holderReportMaxAge = 600 * time.Millisecond

// standbyDiscoveryTime is how long it takes hosts that all start for the first time to know the
// standbys: when all of them read the lease at once, 195 hosts made 613 calls. Large hosts read it
// at once, because each second without duties costs money for endpoints that are not needed.
const standbyDiscoveryTime = 2 * time.Second

// awaitStandbys waits until the standbys for the lease are known.
func (n *node) awaitStandbys(ctx context.Context) {
	n.awaitStore(ctx)
	if n.delaysStart() {
		pause.For(ctx, standbyDiscoveryTime)
	}
}

// renewLease renews the lease, or acquires it if it has expired. Only a few hosts watch the lease,
// because each read is a call to the store.
func (n *node) renewLease(ctx context.Context) {
	n.awaitStandbys(ctx)
	for ctx.Err() == nil {
		_, held := n.leases.Held(dutyShard)
		if held || n.isStandby() && n.mustReadLease() {
			n.leases.Step(ctx, map[lease.Shard]lease.Intent{dutyShard: lease.Acquire})
		}
		pause.For(ctx, n.settings.LeaseDuration/renewalsPerLease)
	}
}

// mustReadLease reports whether the holder of the lease has been silent, or has not renewed the
// lease for its duration: it may have lost its connection to the store.
func (n *node) mustReadLease() bool {
	return n.leases.MayHaveExpired(dutyShard) || !n.view.Roster().DutiesHeld(string(n.incarnation), holderReportMaxAge, n.clock.Now())
}

// isStandby reports whether this host is one of those that watch the lease.
func (n *node) isStandby() bool {
	return slices.ContainsFunc(n.view.Roster().Standbys(), func(h roster.Host) bool { return h.Node == n.settings.Node })
}

// performDuties performs the duties. On a notice of a leaving endpoint, before the next periodic run is
// due, it only orders endpoints.
func (n *node) performDuties(ctx context.Context, onNotice bool) {
	held := func() (lease.Grant, bool) { return n.leases.Held(dutyShard) }
	if n.settings.ReportsUsage && !onNotice {
		n.reporter.Step(ctx, held)
	}
	if n.settings.OrdersEndpoints {
		n.orderEndpoints(ctx, held)
	}
	if !onNotice {
		n.removeDeadRows(ctx)
	}
}

// dutyCloud bounds each call by the remaining time of the lease under which it is made: a call that
// is still in flight then is abandoned and its connection closed.
type dutyCloud struct {
	cloud  Cloud
	leases *lease.Manager
}

// minLeaseRemaining is the least remaining time of the lease with which a call is made.
const minLeaseRemaining = 100 * time.Millisecond

var errLeaseExpiring = errors.New("the lease expires too soon for a call")

func (d *dutyCloud) withLeaseDeadline(ctx context.Context) (context.Context, context.CancelFunc, error) {
	remaining := d.leases.Remaining(dutyShard)
	if remaining < minLeaseRemaining {
		return nil, nil, errLeaseExpiring
	}
	ctx, cancel := boottime.WithTimeout(ctx, min(remaining, dutyCallTimeout))
	return ctx, cancel, nil
}

// Report sends the usage of a window.
func (d *dutyCloud) Report(ctx context.Context, grant lease.Grant, report usage.Report) error {
	ctx, cancel, err := d.withLeaseDeadline(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	return d.cloud.Report(ctx, grant, report)
}

// Order orders endpoints.
func (d *dutyCloud) Order(ctx context.Context, grant lease.Grant, order autoscale.Order) error {
	ctx, cancel, err := d.withLeaseDeadline(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	return d.cloud.Order(ctx, grant, order)
}

func (n *node) orderEndpoints(ctx context.Context, held func() (lease.Grant, bool)) {
	current, _ := n.view.RouteTables().Current()
	if current == nil || !n.view.EndpointSyncer().Loaded() {
		return
	}
	serving := map[autoscale.Pool]int{}
	now := n.clock.Now()
	for _, info := range n.view.Directory().View().Infos() {
		if info.State == endpoint.Live && n.rollouts.CountsTowardCapacity(&info, now) {
			serving[autoscale.Pool{Service: info.Service, DataCenter: info.DataCenter, Reclaimable: info.Reclaimable}]++
		}
	}
	demands := n.view.Roster().Demands(now)
	if !n.links.IsCut() {
		n.view.Roster().ApplyWork(string(n.incarnation), n.localWork(now), now)
	}
	work := n.view.Roster().Work(now)
	maxDemand := 0.0
	if rate, ok := current.TokenRate(); ok {
		maxDemand = rate * initialEngineSpeed.Prefill.Seconds()
	}
	for _, service := range current.Services() {
		if service.Scaling == nil {
			continue
		}
		grant, ok := held()
		if !ok {
			return
		}
		n.takeOver(ctx, service, grant, serving, now)
		o := n.observation(service.Name, demands[service.Name], work[service.Name], serving)
		demand := n.serviceDemandTracker.Observe(service.Name, o, now)
		demand.MaxLoad = maxDemand
		n.orderService(ctx, service, demand, serving, now, held)
		n.scaleStates.Save(service.Name, grant, n.scaleState(service.Name))
	}
}

// orderService plans and orders the endpoints of one service.
func (n *node) orderService(ctx context.Context, service routetable.Service, demand autoscale.Demand, serving map[autoscale.Pool]int, now time.Time, held func() (lease.Grant, bool)) {
	supply := func(dataCenter string, reclaimable bool) (int, int) {
		place := autoscale.Pool{Service: service.Name, DataCenter: dataCenter, Reclaimable: reclaimable}
		return serving[place], n.endpointReconciler.Booting(place, serving[place], service.Scaling.BootTime, now)
	}
	outlook := n.observeLosses(service, autoscale.NeedOf(service, demand), serving, now)
	orders, _ := autoscale.Plan(service, demand, supply, outlook)
	n.resetAfterRollout(service.Name)
	if n.rollouts.InProgress(service.Name) {
		preventScaleDown(orders, service.Scaling.MaxEndpoints)
	}
	count := func(p autoscale.Pool) int { return serving[p] }
	for _, pool := range n.endpointReconciler.Reconcile(ctx, orders, count, service.Scaling.BootTime, now, held) {
		n.losses.Of(service.Name).RecordRefusal(pool, now)
		n.scaleMetrics.CountRefusal(pool)
	}
}

// scalesEndpoints reports whether this system orders the endpoints of any service.
func (n *node) scalesEndpoints() bool {
	current, _ := n.view.RouteTables().Current()
	if current == nil || !n.settings.OrdersEndpoints {
		return false
	}
	for _, service := range current.Services() {
		if service.Scaling != nil {
			return true
		}
	}
	return false
}

// ordersEndpoints reports whether this host orders endpoints: it holds the lease of the duties.
func (n *node) ordersEndpoints() bool {
	_, held := n.leases.Held(dutyShard)
	return held && n.scalesEndpoints()
}

// observation returns what all hosts measured of a service. Refusals during a roll-out do not count:
// a request that finds no room at one version goes to the other.
func (n *node) observation(service string, load float64, work roster.Work, serving map[autoscale.Pool]int) autoscale.Observation {
	o := autoscale.Observation{Load: load, SlotTime: work.SlotTime, TokenTime: work.TokenTime, Offered: work.Offered, Refused: work.Refused}
	if n.rollouts.InProgress(service) {
		o.Refused = 0
	}
	for pool, count := range serving {
		if pool.Service == service {
			o.Serving += count
		}
	}
	return o
}

// resetAfterRollout discards the orders of the reconciler for a service whose endpoints a roll-out has
// replaced: the number of endpoints of the new version is the number that the operator started.
func (n *node) resetAfterRollout(service string) {
	if order := n.rollouts.CompletedOrder(service); order != n.appliedOrders[service] {
		n.appliedOrders[service] = order
		n.endpointReconciler.ResetService(service)
	}
}

// preventScaleDown changes orders so that no endpoints are released while a version is rolled out:
// those of the previous version must be able to serve all requests until the roll-out is decided.
func preventScaleDown(orders []autoscale.Order, maxEndpoints int) {
	for i := range orders {
		orders[i].Retain = maxEndpoints
	}
}

// removeDeadRows removes the rows of processes that have been dead for deadRowRetention.
func (n *node) removeDeadRows(ctx context.Context) {
	for _, incarnation := range n.view.Roster().SilentIncarnations(deadRowRetention) {
		write := table.Write{Key: storeview.RosterTable + "/" + incarnation, Delete: true, If: table.Always{}}
		if _, ok := n.store.Commit(ctx, table.Commit{Writes: []table.Write{write}}).(table.Committed); !ok {
			return
		}
		n.log.Info().Str("incarnation", incarnation).Msg("removed the row of a dead process")
		n.view.Roster().Remove(incarnation)
	}
}
