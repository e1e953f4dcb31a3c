package control

import (
	"context"
	"errors"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/peer"
	"ironhollow/pkg/placement"
)

const callTimeout = 3 * time.Second

// publish floods an update through the mesh by way of the entry that this process is attached to.
func (a *App) publish(update peer.Update) {
	a.peers.Send(a.mesh.Publish(update, time.Now()))
}

// pollNotices reads new reclaim notices from the cloud and publishes them, if this process holds
// that task. Earlier notices are published once their endpoint has become known, also while the
// cloud cannot be read.
func (a *App) pollNotices(ctx context.Context) {
	if _, ok := a.grantFor(taskNotices); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	notices, err := a.cloud.Notices(ctx, a.notices.LastSequence())
	if err != nil && !a.noticesFailed {
		a.log.Warn().Err(err).Msg("reclaim notices not read")
	}
	a.noticesFailed = err != nil
	a.notices.Add(notices)
	leaving, expired := a.notices.Apply(a.endpoints.Get, time.Now())
	if expired > 0 {
		a.log.Warn().Int("notices", expired).Msg("reclaim notices of endpoints that no host list contained")
	}
	if len(leaving) > 0 {
		a.counters.Notices.Add(float64(len(leaving)))
		a.publish(peer.Update{Endpoints: leaving})
	}
}

// pollHostLists reads and publishes the host lists of the data centres whose shards this process
// holds.
func (a *App) pollHostLists(ctx context.Context) {
	for _, dataCenter := range a.dataCenters() {
		if _, ok := a.grantFor(taskHostListPrefix + dataCenter); !ok {
			continue
		}
		a.pollHostList(ctx, dataCenter)
	}
}

// dataCenters returns the data centres with a capacity in the configuration. If there are none, it
// returns one empty name, which means all data centres.
func (a *App) dataCenters() []string {
	seen := map[string]bool{}
	var names []string
	for _, c := range a.config.Current().Capacities() {
		if !seen[c.DataCenter()] {
			seen[c.DataCenter()] = true
			names = append(names, c.DataCenter())
		}
	}
	if len(names) == 0 {
		return []string{""}
	}
	return names
}

func (a *App) pollHostList(ctx context.Context, dataCenter string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts, err := a.hostList.Hosts(ctx, dataCenter)
	if err != nil {
		return
	}
	var update peer.Update
	for _, received := range hosts {
		current, known := a.endpoints.Get(received.ID)
		if known {
			if _, changed := endpoint.Merge(current, received); !changed {
				continue
			}
		}
		update.Endpoints = append(update.Endpoints, received)
	}
	a.publish(update)
}

// pendingPollFactor is how many times as often as others endpoints with a pending order are
// polled.
const pendingPollFactor = 10

// pollReports polls the reports of the endpoints of held shards and publishes changes. Endpoints
// without a model or with a pending order are polled on every call, the others on every
// pendingPollFactor-th call.
func (a *App) pollReports(ctx context.Context) {
	a.mu.Lock()
	a.pollRound++
	all := a.pollRound%pendingPollFactor == 1
	a.mu.Unlock()
	for _, info := range a.heldEndpoints() {
		if info.Kind == endpoint.Model && (all || info.Model == "" || a.hasPendingOrder(info.ID)) {
			go a.pollReport(ctx, info)
		}
	}
}

func (a *App) hasPendingOrder(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pendingOrders[id]
}

func (a *App) setPendingOrder(id string, pending bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if pending {
		a.pendingOrders[id] = true
		return
	}
	delete(a.pendingOrders, id)
}

func (a *App) pollReport(ctx context.Context, info endpoint.Info) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := a.engineAPI.Load(ctx, info.Address)
	if err != nil || report.Incarnation != info.Incarnation {
		return
	}
	updated := info
	if report.Counter > info.Counter {
		updated.Model, updated.Version, updated.Adapter, updated.Counter = report.Model, report.Version, report.Adapter, report.Counter
	}
	if report.Leaving {
		updated.State = endpoint.Leaving
	}
	if updated != info {
		a.publish(peer.Update{Endpoints: []endpoint.Info{updated}})
	}
}

// placeModels makes a placement plan and sends the orders for the endpoints of held shards. All
// holders of shards make the same plan, and each sends only the orders for its own endpoints.
func (a *App) placeModels(ctx context.Context) {
	c, view := a.config.Current(), a.endpoints.View()
	if c.Revision() == 0 || !a.needsPlan(c.Revision(), view.Generation()) {
		return
	}
	for _, assignment := range placement.Plan(placement.Shares(c.Services()), view.Infos()) {
		_, held := a.grantFor(assignment.Endpoint.ID)
		a.setPendingOrder(assignment.Endpoint.ID, assignment.Change && held)
		if assignment.Change && held {
			a.sendOrder(ctx, assignment)
		}
	}
}

// needsPlan reports whether the input changed since the last plan or orders are pending. At the
// planned size, a plan takes some milliseconds.
func (a *App) needsPlan(revision int64, generation uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	input := planInput{revision, generation, hashGrants(a.leases.Grants())}
	if a.lastPlanInput == input && len(a.pendingOrders) == 0 {
		return false
	}
	a.lastPlanInput = input
	return true
}

// hashGrants returns a value that changes when a shard is acquired or lost.
func hashGrants(grants []lease.Grant) int64 {
	sum := int64(0)
	for _, g := range grants {
		sum += (int64(g.Shard) + 1) * (g.Epoch + 1_000_003)
	}
	return sum
}

// sendOrder sends one order with the epoch of the shard's grant. An endpoint that does not check
// epochs is sent the same order: a late or repeated order to load a model is harmless, because the
// current holder checks which model is loaded and sends orders until it is the planned one.
func (a *App) sendOrder(ctx context.Context, assignment placement.Assignment) {
	info := assignment.Endpoint
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	grant, ok := a.grantFor(info.ID)
	if !ok {
		return
	}
	err := a.engineAPI.Order(ctx, info.Address, engine.Order{
		Epoch: grant.Epoch, Model: assignment.Target.Model, Version: assignment.Target.Version, Adapter: assignment.Target.Adapter,
	})
	switch {
	case errors.Is(err, engine.ErrStaleEpoch):
		a.counters.OrdersStale.Inc()
	case err != nil:
		a.counters.OrdersFailed.Inc()
	default:
		a.counters.Orders.Inc()
	}
}
