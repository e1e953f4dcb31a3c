package node

import (
	"context"
	"time"

	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/routetable"
)

// observeLosses records which data centres have lost their reclaimable endpoints of a service and
// returns what this shows about further losses.
func (n *node) observeLosses(service routetable.Service, need autoscale.Need, serving map[autoscale.Pool]int, now time.Time) autoscale.Outlook {
	losses := n.losses.Of(service.Name)
	if n.rollouts.InProgress(service.Name) {
		// A roll-out replaces endpoints.
		losses.ForgetServing()
	} else {
		for dataCenter := range service.Scaling.Prices {
			n.observeLoss(losses, autoscale.Pool{Service: service.Name, DataCenter: dataCenter, Reclaimable: true}, serving, now)
		}
	}
	outlook := losses.Outlook(service.Scaling.BootTime, now)
	n.scaleMetrics.Set(service.Name, need, n.endpointReconciler.State(service.Name), outlook)
	if inWave, changed := losses.UpdateWave(now); changed {
		message := "wave of losses ended"
		if inWave {
			message = "wave of losses began"
		}
		n.log.Info().Str("service", service.Name).Float64("probability", outlook.Next).Int("need-engine-time", need.EngineTime).Int("need-slots", need.Slots).
			Int("need-memory", need.Memory).Int("need-refused", need.Refused).Msg(message)
	}
	return outlook
}

// observeLoss records whether the reclaimable endpoints of a data centre have been lost.
func (n *node) observeLoss(losses *autoscale.Losses, pool autoscale.Pool, serving map[autoscale.Pool]int, now time.Time) {
	ordered, known := n.endpointReconciler.Ordered(pool)
	if !known {
		ordered = serving[pool]
	}
	lost, isLoss := losses.Observe(pool.DataCenter, serving[pool], ordered, now)
	if !isLoss {
		return
	}
	n.endpointReconciler.RecordLoss(pool)
	n.scaleMetrics.CountLoss(pool.Service, pool.DataCenter)
	n.log.Warn().Str("service", pool.Service).Str("dc", pool.DataCenter).Int("lost", lost).Int("serving", serving[pool]).
		Float64("probability", losses.Outlook(0, now).Next).Msg("reclaimable endpoints lost")
}

// takeOver reads what an earlier holder of the lease ordered and recorded for a service, before the
// first order under a lease.
func (n *node) takeOver(ctx context.Context, service routetable.Service, grant lease.Grant, serving map[autoscale.Pool]int, now time.Time) {
	state, ok := n.scaleStates.Load(ctx, service.Name, grant)
	if !ok {
		return
	}
	completed := n.rollouts.CompletedOrder(service.Name)
	state = state.SinceRollout(completed)
	if state.Rollout == completed {
		// The pools were reset after this roll-out by an earlier holder.
		n.appliedOrders[service.Name] = completed
	}
	n.endpointReconciler.Restore(state.Pools, func(p autoscale.Pool) int { return serving[p] })
	n.losses.Of(service.Name).Restore(state.Losses, state.Pools, service.Scaling.BootTime, now)
	n.serviceDemandTracker.Restore(service.Name, state.Demand, now)
}

// scaleState returns what the next holder of the lease must know of a service.
func (n *node) scaleState(service string) autoscale.State {
	return autoscale.State{
		Rollout: n.appliedOrders[service],
		Pools:   n.endpointReconciler.State(service),
		Losses:  n.losses.Of(service).State(),
		Demand:  n.serviceDemandTracker.State(service),
	}
}
