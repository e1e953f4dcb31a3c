package node

import (
	"context"
	"time"

	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/routetable"
)

// observeLosses records which data centres have lost their reclaimable endpoints of a service and
// returns what this says about further losses.
func (n *node) observeLosses(service routetable.Service, serving map[autoscale.Pool]int, now time.Time) autoscale.Outlook {
	losses := n.losses.Of(service.Name)
	if n.rollouts.InProgress(service.Name) {
		// A roll-out replaces endpoints.
		losses.ForgetServing()
		return losses.Outlook(now)
	}
	for dataCenter := range service.Scaling.Prices {
		pool := autoscale.Pool{Service: service.Name, DataCenter: dataCenter, Reclaimable: true}
		ordered, known := n.endpointReconciler.Ordered(pool)
		if !known {
			ordered = serving[pool]
		}
		lost, isLoss := losses.Observe(dataCenter, serving[pool], ordered, now)
		if isLoss {
			n.log.Warn().Str("service", service.Name).Str("dc", dataCenter).Int("lost", lost).Int("serving", serving[pool]).
				Float64("probability", losses.Outlook(now).Next).Msg("reclaimable endpoints lost")
		}
	}
	return losses.Outlook(now)
}

// takeOver reads what an earlier holder of the lease ordered and recorded for a service, before the
// first order under a lease.
func (n *node) takeOver(ctx context.Context, service routetable.Service, grant lease.Grant, serving map[autoscale.Pool]int, now time.Time) {
	state, ok := n.scaleStates.Load(ctx, service.Name, grant)
	if !ok {
		return
	}
	n.endpointReconciler.Restore(state.Pools, func(p autoscale.Pool) int { return serving[p] })
	n.losses.Of(service.Name).Restore(state.Losses, state.Pools, service.Scaling.BootTime, now)
	n.serviceDemandTracker.Restore(service.Name, state.Demand, now)
}

// scaleState returns what the next holder of the lease must know of a service.
func (n *node) scaleState(service string) autoscale.State {
	return autoscale.State{
		Pools:  n.endpointReconciler.State(service),
		Losses: n.losses.Of(service).State(),
		Demand: n.serviceDemandTracker.State(service),
	}
}
