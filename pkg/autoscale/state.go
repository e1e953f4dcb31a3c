package autoscale

import (
	"math"
	"slices"
	"strings"
	"time"
)

// State is what a holder of the lease knows of a service beyond what can be observed, for the
// next holder.
type State struct {
	// Rollout is the ID of the roll-out after whose end the pools were last reset, 0 if there was
	// none.
	Rollout int64
	Pools   []PoolState
	Losses  LossState
	Demand  DemandState
}

// SinceRollout returns the state without the pools if they are from before the end of a roll-out,
// which replaces endpoints. completed is the ID of the service's last completed roll-out, 0 if it
// is not known.
func (s State) SinceRollout(completed int64) State {
	if completed != 0 && s.Rollout != completed {
		s.Pools = nil
	}
	return s
}

// PoolState is what was ordered for one pool.
type PoolState struct {
	Pool
	// Ordered is the count of the last acknowledged order at OrderedAt, which is zero if it
	// is not known. Booting is how many of them did not serve then.
	Ordered, Booting int
	OrderedAt        time.Time
	// RefusedAt is when an order was last refused for lack of capacity; zero for never.
	RefusedAt time.Time
}

// LossState is what is known of a service's losses; see Losses.
type LossState struct {
	// LostAt is the time of the last loss by data centre.
	LostAt map[string]time.Time
	// Pending is set while the last loss may be followed by another one.
	Pending         bool
	Followed, Ended int
	Delays          time.Duration
}

// DemandState has the peaks of a service's demand at At.
type DemandState struct {
	At, FirstLoadAt                    time.Time
	Load, SlotTime, TokenTime, Refused float64
}

// EqualOrders reports whether two states have the same orders, refusals and losses.
func (s State) EqualOrders(other State) bool {
	a, b := s.Losses, other.Losses
	return s.Rollout == other.Rollout && slices.Equal(s.Pools, other.Pools) && a.Pending == b.Pending && a.Followed == b.Followed && a.Ended == b.Ended &&
		a.Delays == b.Delays && latest(a.LostAt).Equal(latest(b.LostAt))
}

func latest(times map[string]time.Time) time.Time {
	var last time.Time
	for _, at := range times {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// State returns what was ordered for a service's pools, sorted.
func (r *Reconciler) State(service string) []PoolState {
	var list []PoolState
	for pool, state := range r.pools {
		if pool.Service == service && state.initialized {
			list = append(list, PoolState{pool, state.orderedCount, state.bootingCount, state.orderedAt, state.refusedAt})
		}
	}
	slices.SortFunc(list, func(a, b PoolState) int {
		if c := strings.Compare(a.DataCenter, b.DataCenter); c != 0 || a.Reclaimable == b.Reclaimable {
			return c
		}
		if a.Reclaimable {
			return -1
		}
		return 1
	})
	return list
}

// Restore takes over what an earlier holder ordered. If more endpoints serve than it ordered by
// the state, the state lacks later orders, and the number that serve counts as ordered.
func (r *Reconciler) Restore(pools []PoolState, serving func(Pool) int) {
	for _, p := range pools {
		state := r.stateOf(p.Pool)
		state.orderedCount, state.bootingCount, state.orderedAt = max(p.Ordered, serving(p.Pool)), p.Booting, p.OrderedAt
		state.lowestSent, state.refusedAt, state.initialized = state.orderedCount, p.RefusedAt, true
	}
}

// State returns the losses and what was learned from them.
func (l *Losses) State() LossState {
	lostAt := make(map[string]time.Time, len(l.lossAt))
	for dataCenter, at := range l.lossAt {
		lostAt[dataCenter] = at
	}
	return LossState{LostAt: lostAt, Pending: l.pending, Followed: l.followed, Ended: l.ended, Delays: l.delays}
}

// Restore takes over the losses that an earlier holder recorded, and from its orders how many
// reclaimable endpoints served: a data centre that has been lost since is then noticed as soon
// as it is observed.
func (l *Losses) Restore(losses LossState, pools []PoolState, boot time.Duration, now time.Time) {
	for dataCenter, at := range losses.LostAt {
		l.lossAt[dataCenter] = at
	}
	l.lastAt = latest(losses.LostAt)
	l.pending, l.followed, l.ended, l.delays = losses.Pending, losses.Followed, losses.Ended, losses.Delays
	for _, p := range pools {
		if !p.RefusedAt.IsZero() {
			l.refusedAt[p.Pool] = p.RefusedAt
		}
		if !p.Reclaimable || losses.LostAt[p.DataCenter].After(p.OrderedAt) {
			continue
		}
		served := p.Ordered
		if now.Sub(p.OrderedAt) < boot+bootMargin {
			served -= p.Booting
		}
		l.watches[p.DataCenter] = &poolWatch{serving: max(served, 0), at: now}
	}
}

// State returns the peaks of a service's demand.
func (t *DemandTracker) State(service string) DemandState {
	state, ok := t.services[service]
	if !ok {
		return DemandState{}
	}
	p := state.peak
	return DemandState{At: state.updatedAt, FirstLoadAt: state.firstLoadAt, Load: p.load, SlotTime: p.slotTime, TokenTime: p.tokenTime, Refused: p.refused}
}

// Restore takes over the peaks that an earlier holder observed, unless this one has observed
// the service since.
func (t *DemandTracker) Restore(service string, d DemandState, now time.Time) {
	if own, known := t.services[service]; known && own.updatedAt.After(d.At) || d.At.IsZero() {
		return
	}
	elapsed := max(now.Sub(d.At), 0)
	peak := peaks{d.Load, d.SlotTime, d.TokenTime, d.Refused}.scaled(math.Exp(-elapsed.Seconds() / loadDecayTime.Seconds()))
	t.services[service] = &serviceLoad{firstLoadAt: d.FirstLoadAt, peak: peak, updatedAt: now}
}
