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

const callTime = 3 * time.Second

// tell floods news through the entry this process is attached to.
func (a *App) tell(news peer.Update) {
	a.peers.Send(a.mesh.Publish(news, time.Now()))
}

// readNotices passes reclaim notices on.
func (a *App) readNotices(ctx context.Context) {
	if _, ok := a.holds(workNotices); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	a.mu.Lock()
	after := a.noticed
	a.mu.Unlock()
	notices, err := a.cloud.Notices(ctx, after)
	if err != nil || len(notices) == 0 {
		return
	}
	var news peer.Update
	for _, n := range notices {
		after = max(after, n.Sequence)
		info, known := a.endpoints.Get(n.Endpoint.ID)
		if !known || info.Incarnation > n.Endpoint.Incarnation {
			continue
		}
		info.Incarnation = n.Endpoint.Incarnation
		info.State = endpoint.Leaving
		info.LeaveBy = n.LeaveBy
		news.Endpoints = append(news.Endpoints, info)
		a.counters.Notices.Inc()
	}
	a.tell(news)
	a.mu.Lock()
	a.noticed = after
	a.mu.Unlock()
}

// readHosts passes on what the list of hosts says of the data centres whose
// shards are held.
func (a *App) readHosts(ctx context.Context) {
	for _, centre := range a.centres() {
		if _, ok := a.holds(workHostList + centre); !ok {
			continue
		}
		a.readCentre(ctx, centre)
	}
}

// centres are the data centres of the configuration's capacity; one without a
// name stands for all where there is none.
func (a *App) centres() []string {
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

func (a *App) readCentre(ctx context.Context, centre string) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	hosts, err := a.hosts.Hosts(ctx, centre)
	if err != nil {
		return
	}
	var news peer.Update
	for _, heard := range hosts {
		held, known := a.endpoints.Get(heard.ID)
		if known {
			if _, isNews := endpoint.Merge(held, heard); !isNews {
				continue
			}
		}
		news.Endpoints = append(news.Endpoints, heard)
	}
	a.tell(news)
}

// hurry is how much more often endpoints are asked that have an order under way.
const hurry = 10

// readReports asks the endpoints of held shards what they have loaded, and
// passes on what changed. Those that were ordered to change are asked each
// time, the others each hurry-th time.
func (a *App) readReports(ctx context.Context) {
	a.mu.Lock()
	a.reportRound++
	all := a.reportRound%hurry == 1
	a.mu.Unlock()
	for _, info := range a.ownEndpoints() {
		if info.Kind == endpoint.Model && (all || info.Model == "" || a.isOrdered(info.ID)) {
			go a.readReport(ctx, info)
		}
	}
}

func (a *App) isOrdered(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ordered[id]
}

func (a *App) setOrdered(id string, ordered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ordered {
		a.ordered[id] = true
		return
	}
	delete(a.ordered, id)
}

func (a *App) readReport(ctx context.Context, info endpoint.Info) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	report, err := a.engines.Load(ctx, info.Address)
	if err != nil || report.Incarnation != info.Incarnation {
		return
	}
	heard := info
	if report.Counter > info.Counter {
		heard.Model, heard.Version, heard.Adapter, heard.Counter = report.Model, report.Version, report.Adapter, report.Counter
	}
	if report.Leaving {
		heard.State = endpoint.Leaving
	}
	if heard != info {
		a.tell(peer.Update{Endpoints: []endpoint.Info{heard}})
	}
}

// place gives the endpoints of held shards their orders. The plan is the same
// for every holder; each gives only the orders of its own endpoints.
func (a *App) place(ctx context.Context) {
	c, view := a.config.Current(), a.endpoints.View()
	if c.Revision() == 0 || !a.mustPlan(c.Revision(), view.Generation()) {
		return
	}
	for _, assignment := range placement.Plan(placement.Shares(c.Services()), view.Infos()) {
		_, own := a.holds(assignment.Endpoint.ID)
		a.setOrdered(assignment.Endpoint.ID, assignment.Change && own)
		if assignment.Change && own {
			a.order(ctx, assignment)
		}
	}
}

// mustPlan reports whether anything changed since the last plan, or an order of
// it is not seen to be obeyed yet. At the planned size a plan takes some
// milliseconds.
func (a *App) mustPlan(revision int64, generation uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	input := planInput{revision, generation, grantsSum(a.leases.Grants())}
	if a.planned == input && len(a.ordered) == 0 {
		return false
	}
	a.planned = input
	return true
}

// grantsSum changes when a shard is taken or given up.
func grantsSum(grants []lease.Grant) int64 {
	sum := int64(0)
	for _, g := range grants {
		sum += (int64(g.Shard) + 1) * (g.Epoch + 1_000_003)
	}
	return sum
}

// order gives one order under the shard's grant. An endpoint that does not
// check epochs gets the same order: loading a model is harmless when late or
// doubled, because the present holder looks at what is loaded and orders again
// until it is what it wants.
func (a *App) order(ctx context.Context, assignment placement.Assignment) {
	info := assignment.Endpoint
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	grant, ok := a.holds(info.ID)
	if !ok {
		return
	}
	err := a.engines.Order(ctx, info.Address, engine.Order{
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
