package control

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/membership"
)

// ShardOf returns the shard that a control task belongs to.
func ShardOf(task string, shardCount int) lease.Shard {
	return lease.Shard(xxhash.Sum64String(task) % uint64(shardCount))
}

// Control tasks besides those of single endpoints, whose task is named by the endpoint's id.
const (
	taskNotices        = "notices"
	taskHostListPrefix = "hosts/"
)

// updateLeases renews, acquires and releases leases. By rendezvous hashing, the first node of a
// shard acquires its lease and the second is on standby.
func (a *App) updateLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.leaseTiming.RenewInterval)
	defer cancel()
	a.leases.Step(ctx, a.shardIntents())
	a.recordGrants()
}

func (a *App) shardIntents() map[lease.Shard]lease.Intent {
	nodes := a.controlNodes()
	intents := map[lease.Shard]lease.Intent{}
	for s := range a.settings.shardCount {
		shard := lease.Shard(s)
		intent := intentForRank(membership.RankOf(shardKey(shard), a.settings.id, nodes))
		heldFor := a.leases.HeldFor(shard)
		if intent == lease.Standby && heldFor > 0 {
			intent = a.keepOrRelease(heldFor)
		}
		if intent != lease.Release || heldFor > 0 {
			intents[shard] = intent
		}
	}
	return intents
}

func shardKey(s lease.Shard) string { return fmt.Sprintf("shard/%d", s) }

func intentForRank(rank int) lease.Intent {
	switch rank {
	case 0:
		return lease.Acquire
	case 1:
		return lease.Standby
	}
	return lease.Release
}

// keepOrRelease returns the intent for a shard that was acquired on standby from a node that
// died. The shard is kept for two lease durations, until all nodes know that the node is dead:
// when it is released, the first node by rank must be alive.
func (a *App) keepOrRelease(heldFor time.Duration) lease.Intent {
	if heldFor < 2*a.settings.leaseTiming.Duration {
		return lease.Acquire
	}
	return lease.Release
}

// controlNodes returns the nodes that have a control process. This node is always included, also
// if the membership table does not contain it yet.
func (a *App) controlNodes() []membership.Node {
	var list []membership.Node
	includesSelf := false
	for _, n := range a.nodes.Nodes() {
		if n.ID == a.settings.id {
			includesSelf = true
			list = append(list, n)
			continue
		}
		if n.HasControl && n.Serves() {
			list = append(list, n)
		}
	}
	if !includesSelf {
		list = append(list, membership.Node{ID: a.settings.id})
	}
	return list
}

// recordGrants logs and counts new grants, and logs shards that are no longer held.
func (a *App) recordGrants() {
	grants := a.leases.Grants()
	a.mu.Lock()
	defer a.mu.Unlock()
	epochs := map[lease.Shard]int64{}
	for _, g := range grants {
		epochs[g.Shard] = g.Epoch
		if a.recordedEpochs[g.Shard] != g.Epoch {
			a.counters.Grants.Inc()
			a.log.Info().Int("shard", int(g.Shard)).Int64("epoch", g.Epoch).Msg("shard acquired")
		}
	}
	for shard := range a.recordedEpochs {
		if _, held := epochs[shard]; !held {
			a.log.Info().Int("shard", int(shard)).Msg("shard no longer held")
		}
	}
	a.recordedEpochs = epochs
}

// grantFor returns the grant of a task's shard. The result is false if this process does not hold
// the shard.
func (a *App) grantFor(task string) (lease.Grant, bool) {
	return a.leases.Held(ShardOf(task, a.settings.shardCount))
}

// heldEndpoints returns the endpoints that accept work and whose shards this process holds.
func (a *App) heldEndpoints() []endpoint.Info {
	var held []endpoint.Info
	for _, info := range a.endpoints.View().Infos() {
		if !info.AcceptsWork() {
			continue
		}
		if _, ok := a.grantFor(info.ID); ok {
			held = append(held, info)
		}
	}
	return held
}
