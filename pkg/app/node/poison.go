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
	for _, id := range n.poison.Suspected(now) {
		if info, ok := n.view.Directory().Get(id); !ok || info.State == endpoint.Gone {
			n.poison.EndpointEnded(id, "row removed", now)
		}
	}
}

// callersLook is the pause between two looks whether callers are told of this host.
const callersLook = 200 * time.Millisecond

// keepQuarantine keeps requests that are held back in the store, and reads those there
// before once callers are told of this host. Until then others tell it.
func (n *node) keepQuarantine(ctx context.Context) {
	go n.keeper.Run(ctx)
	n.awaitStore(ctx)
	for !n.view.Roster().Known() || !n.view.Roster().Advertises(n.settings.Node) {
		if !pause.For(ctx, callersLook) {
			return
		}
	}
	n.keeper.Load(ctx)
}
