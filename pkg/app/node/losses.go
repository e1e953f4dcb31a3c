package node

import (
	"time"

	"ironhollow/pkg/autoscale"
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
