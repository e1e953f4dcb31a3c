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
	"ironhollow/pkg/storeview"
	"ironhollow/pkg/table"
	"ironhollow/pkg/usage"
)

// dutyShard is the one shard of control work: all duties go together.
const dutyShard = lease.Shard(0)

// Timing of the duties.
const (
	// renewals of the lease within its duration.
	renewals = 4
	// dutyCall bounds one call to the platform.
	dutyCall = time.Second
	// rowKept is how long the row of a dead process is kept: its usage counts
	// until the window is reported, also by a new holder of the lease.
	rowKept = 18 * time.Second
)

// duties renews the lease and does the duties while it is held.
func (n *node) duties(ctx context.Context) {
	// The lease is never given back: the next holder waits until it has lapsed,
	// so that no two holders act by turns within one lease.
	go n.renew(ctx)
	held := false
	for ctx.Err() == nil {
		pause.For(ctx, n.settings.LeaseDuration/renewals)
		_, has := n.leases.Held(dutyShard)
		if has != held {
			held = has
			n.log.Info().Bool("held", held).Msg("lease of the duties")
			n.orderer.Forget()
		}
		if held {
			n.doDuties(ctx)
		}
	}
}

// holderHeard is how long ago the holder of the lease may have told that it holds
// it for standbys not to look: three datagrams between hosts near each other.
const holderHeard = 600 * time.Millisecond

// standbysKnown is how long hosts that all start for the first time take to know who
// stands by: where all looked at the lease at once, 195 hosts made 613 calls for it.
// The large ones look at once: every second without duties is paid for endpoints that
// are not needed.
const standbysKnown = 2 * time.Second

// awaitStandbys waits until it is known who stands by for the lease.
func (n *node) awaitStandbys(ctx context.Context) {
	n.awaitStore(ctx)
	if n.startsLater() {
		pause.For(ctx, standbysKnown)
	}
}

// renew renews the lease, or looks whether it has lapsed. Only a few hosts stand
// by for it: each look is a call.
func (n *node) renew(ctx context.Context) {
	n.awaitStandbys(ctx)
	for ctx.Err() == nil {
		_, held := n.leases.Held(dutyShard)
		if held || n.standsBy() && n.mustLook() {
			n.leases.Step(ctx, map[lease.Shard]lease.Intent{dutyShard: lease.Acquire})
		}
		pause.For(ctx, n.settings.LeaseDuration/renewals)
	}
}

// mustLook reports whether the holder of the lease is not heard, or has not
// renewed it for its duration: it may have lost the store.
func (n *node) mustLook() bool {
	return n.leases.MayHaveExpired(dutyShard) || !n.view.Roster().DutiesHeld(string(n.incarnation), holderHeard, n.clock.Now())
}

// standsBy reports whether this host is among those that watch the lease.
func (n *node) standsBy() bool {
	return slices.ContainsFunc(n.view.Roster().Standbys(), func(h roster.Host) bool { return h.Node == n.settings.Node })
}

func (n *node) doDuties(ctx context.Context) {
	held := func() (lease.Grant, bool) { return n.leases.Held(dutyShard) }
	if n.settings.ReportsUsage {
		n.reporter.Step(ctx, held)
	}
	if n.settings.OrdersEndpoints {
		n.orderEndpoints(ctx, held)
	}
	n.sweepRows(ctx)
}

// dutyCloud ends each call with the lease under which it is made: a call that
// is still on its way then is thrown away with its connection.
type dutyCloud struct {
	cloud  Cloud
	leases *lease.Manager
}

// leastLeft is how much of the lease must be left for a call.
const leastLeft = 100 * time.Millisecond

var errLeaseEnds = errors.New("too little is left of the lease")

func (d *dutyCloud) within(ctx context.Context) (context.Context, context.CancelFunc, error) {
	left := d.leases.Remaining(dutyShard)
	if left < leastLeft {
		return nil, nil, errLeaseEnds
	}
	ctx, cancel := boottime.WithTimeout(ctx, min(left, dutyCall))
	return ctx, cancel, nil
}

// Report sends a window's usage.
func (d *dutyCloud) Report(ctx context.Context, grant lease.Grant, report usage.Report) error {
	ctx, cancel, err := d.within(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	return d.cloud.Report(ctx, grant, report)
}

// Order orders endpoints.
func (d *dutyCloud) Order(ctx context.Context, grant lease.Grant, order autoscale.Order) error {
	ctx, cancel, err := d.within(ctx)
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
	serving := map[autoscale.Place]int{}
	now := n.clock.Now()
	for _, info := range n.view.Directory().View().Infos() {
		if info.State == endpoint.Live && n.rollouts.CountsTowardCapacity(&info, now) {
			serving[autoscale.Place{Service: info.Service, DataCenter: info.DataCenter, Reclaimable: info.Reclaimable}]++
		}
	}
	works := n.view.Roster().Demands(now)
	most := 0.0
	if rate, ok := current.TokenRate(); ok {
		most = rate * engineFigures.Prefill.Seconds()
	}
	for _, service := range current.Services() {
		if service.Scaling == nil {
			continue
		}
		supply := func(dataCenter string, reclaimable bool) (int, int) {
			place := autoscale.Place{Service: service.Name, DataCenter: dataCenter, Reclaimable: reclaimable}
			return serving[place], n.orderer.Soon(place, serving[place], service.Scaling.Boot, now)
		}
		demand := n.traffic.Demand(service.Name, works[service.Name], now)
		demand.Most = most
		orders, _ := autoscale.Plan(service, demand, supply)
		n.noteReplaced(service.Name)
		if n.rollouts.InProgress(service.Name) {
			keepAll(orders, service.Scaling.Most)
		}
		count := func(p autoscale.Place) int { return serving[p] }
		n.orderer.Step(ctx, orders, count, service.Scaling.Boot, now, held)
	}
}

// noteReplaced forgets what was ordered for a service whose endpoints a roll-out has
// replaced: those of the new version are as many as the operator started.
func (n *node) noteReplaced(service string) {
	if order := n.rollouts.CompletedOrder(service); order != n.replaced[service] {
		n.replaced[service] = order
		n.orderer.ForgetService(service)
	}
}

// keepAll keeps orders from giving up endpoints while a version is rolled out: those of
// the version before must carry all requests until it is decided.
func keepAll(orders []autoscale.Order, most int) {
	for i := range orders {
		orders[i].Keep = most
	}
}

// sweepRows removes rows of processes that are long dead.
func (n *node) sweepRows(ctx context.Context) {
	for _, incarnation := range n.view.Roster().SilentIncarnations(rowKept) {
		write := table.Write{Key: storeview.RosterTable + "/" + incarnation, Delete: true, If: table.Always{}}
		if _, ok := n.store.Commit(ctx, table.Commit{Writes: []table.Write{write}}).(table.Done); !ok {
			return
		}
		n.log.Info().Str("incarnation", incarnation).Msg("row of a dead process removed")
		n.view.Roster().Remove(incarnation)
	}
}
