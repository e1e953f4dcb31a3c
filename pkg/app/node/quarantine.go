package node

import (
	"context"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/pause"
)

// surveySuspects counts endpoints as ended whose rows have gone since runs broke off
// there: one that is cut off or silent refuses no connection.
func (n *node) surveySuspects(now time.Time) {
	for _, id := range n.crashes.SuspectedEndpoints(now) {
		if info, ok := n.view.Directory().Get(id); !ok || info.State == endpoint.Gone {
			n.crashes.EndpointCrashed(id, "row removed", now)
		}
	}
}

// Times of a start, for what is held back.
const (
	// callersLook is the pause between two looks whether callers are told of this host.
	callersLook = 200 * time.Millisecond
	// othersTell is how long after its start a host has heard from others what is held
	// back, of some hundred requests two a datagram.
	othersTell = 15 * time.Second
)

// keepQuarantine keeps requests that are held back in the store, and reads those there if
// callers are told of this host soon after its start: others may have begun anew too.
func (n *node) keepQuarantine(ctx context.Context) {
	go n.keeper.Run(ctx)
	n.awaitStore(ctx)
	for n.clock.Uptime() < othersTell {
		if n.view.Roster().Loaded() && n.view.Roster().IsAdvertised(n.settings.Node) {
			n.keeper.Load(ctx)
			return
		}
		if !pause.For(ctx, callersLook) {
			return
		}
	}
}
