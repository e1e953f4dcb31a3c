package node

import (
	"context"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/pause"
)

// recordCrashedSuspects records a crash of each suspected endpoint whose row has been removed since
// its runs were interrupted. Probes do not show such a crash: an endpoint that is cut off or silent
// does not refuse connections.
func (n *node) recordCrashedSuspects(now time.Time) {
	if n.links.IsDoubtful() {
		return
	}
	for _, id := range n.quarantineWatch.SuspectedEndpoints(now) {
		if info, ok := n.view.Directory().Get(id); !ok || info.State == endpoint.Gone {
			n.quarantineWatch.EndpointCrashed(id, "row removed", now)
		}
	}
}

// Timing of the quarantine after a start.
const (
	// advertisedCheckInterval is the time between checks whether this host is advertised to
	// callers.
	advertisedCheckInterval = 200 * time.Millisecond
	// peerReportTime is how long after its start a host has received the quarantined requests
	// from other hosts: some hundred requests, two per datagram.
	peerReportTime = 15 * time.Second
)

// syncQuarantine writes quarantined requests to the store. It also loads those in the store if this
// host is advertised to callers soon after its start: other hosts may have restarted too.
func (n *node) syncQuarantine(ctx context.Context) {
	go n.quarantineSyncer.Run(ctx)
	n.awaitStore(ctx)
	for n.clock.Uptime() < peerReportTime {
		if n.view.Roster().Loaded() && n.view.Roster().IsAdvertised(n.settings.Node) {
			n.quarantineSyncer.Load(ctx)
			return
		}
		if !pause.For(ctx, advertisedCheckInterval) {
			return
		}
	}
}
