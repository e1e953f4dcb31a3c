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

// ShardOf returns the shard that a piece of control work belongs to.
func ShardOf(work string, shards int) lease.Shard {
	return lease.Shard(xxhash.Sum64String(work) % uint64(shards))
}

// The pieces of work beside those of single endpoints.
const (
	workNotices  = "notices"
	workHostList = "hosts/"
)

// stepLeases renews and takes leases. The first two nodes by rendezvous share
// a shard: one wants it, the next stands by.
func (a *App) stepLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.leaseTiming.RenewInterval)
	defer cancel()
	a.leases.Step(ctx, a.wishes())
	a.noteGrants()
}

func (a *App) wishes() map[lease.Shard]lease.Intent {
	controls := a.controls()
	wishes := map[lease.Shard]lease.Intent{}
	for s := range a.settings.shards {
		shard := lease.Shard(s)
		wish := wishOf(membership.RankOf(shardKey(shard), a.settings.id, controls))
		held := a.leases.HeldFor(shard)
		if wish == lease.Standby && held > 0 {
			wish = a.keepOrHandOver(held)
		}
		if wish != lease.Release || held > 0 {
			wishes[shard] = wish
		}
	}
	return wishes
}

func shardKey(s lease.Shard) string { return fmt.Sprintf("shard/%d", s) }

func wishOf(rank int) lease.Intent {
	switch rank {
	case 0:
		return lease.Acquire
	case 1:
		return lease.Standby
	}
	return lease.Release
}

// keepOrHandOver keeps a shard that was taken over from a node that died until
// its death is known everywhere: the first node by rank must be a living one
// when the shard is handed on.
func (a *App) keepOrHandOver(held time.Duration) lease.Intent {
	if held < 2*a.settings.leaseTiming.Duration {
		return lease.Acquire
	}
	return lease.Release
}

// controls returns the nodes that have a control process, this one included:
// it knows of itself without being told.
func (a *App) controls() []membership.Node {
	var list []membership.Node
	own := false
	for _, n := range a.nodes.Nodes() {
		if n.ID == a.settings.id {
			own = true
			list = append(list, n)
			continue
		}
		if n.HasControl && n.Serves() {
			list = append(list, n)
		}
	}
	if !own {
		list = append(list, membership.Node{ID: a.settings.id})
	}
	return list
}

// noteGrants logs and counts shards that are newly held.
func (a *App) noteGrants() {
	grants := a.leases.Grants()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := map[lease.Shard]int64{}
	for _, g := range grants {
		now[g.Shard] = g.Epoch
		if a.hadGrant[g.Shard] != g.Epoch {
			a.counters.Grants.Inc()
			a.log.Info().Int("shard", int(g.Shard)).Int64("epoch", g.Epoch).Msg("shard taken")
		}
	}
	for shard := range a.hadGrant {
		if _, still := now[shard]; !still {
			a.log.Info().Int("shard", int(shard)).Msg("shard given up")
		}
	}
	a.hadGrant = now
}

// holds reports whether a piece of work is this process's at the moment.
func (a *App) holds(work string) (lease.Grant, bool) {
	return a.leases.Held(ShardOf(work, a.settings.shards))
}

// ownEndpoints returns the live endpoints whose shards are held.
func (a *App) ownEndpoints() []endpoint.Info {
	var own []endpoint.Info
	for _, info := range a.endpoints.View().Infos() {
		if !info.AcceptsWork() {
			continue
		}
		if _, ok := a.holds(info.ID); ok {
			own = append(own, info)
		}
	}
	return own
}
