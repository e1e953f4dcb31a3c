package node

import (
	"context"
	"sync/atomic"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/rolloutsync"
	"ironhollow/pkg/storeview"
)

// Timing of roll-outs.
const (
	// decisionInterval is the time between two decisions of the owner of an order, idleInterval
	// the time between checks whether there is an order.
	decisionInterval = 100 * time.Millisecond
	idleInterval     = 400 * time.Millisecond
	// directiveInterval is the time between two directives to each host in fleets of up to
	// unscaledFleet hosts. It is longer in larger fleets, so that the owner's work does not grow.
	directiveInterval = 250 * time.Millisecond
	unscaledFleet     = 250
	// rowFollowTime is how long the rows of orders are still followed after the last open order
	// has ended.
	rowFollowTime = 5 * time.Second
)

// rolloutSender sends roll-out datagrams once the exchange with other hosts has been set.
type rolloutSender struct {
	exchange atomic.Pointer[gossip.Exchange]
}

func (s *rolloutSender) set(e *gossip.Exchange) { s.exchange.Store(e) }

// send sends directives or reports to one host, or to all hosts if to is empty.
func (s *rolloutSender) send(data []byte, to string) {
	if e := s.exchange.Load(); e != nil {
		e.SendRollouts(data, to)
	}
}

// completedOrders is, by service, the last completed order after which the reconciler has been
// reset for it. Only one goroutine uses it.
type completedOrders map[string]int64

func newCompletedOrders() completedOrders { return completedOrders{} }

// coordinateRollouts decides on open orders while this host holds the lease of the duties.
func (n *node) coordinateRollouts(ctx context.Context) {
	if !n.rollouts.Bounds().Enabled() {
		return
	}
	for ctx.Err() == nil {
		n.rolloutCoordinator.Step(ctx)
		if len(n.rollouts.OpenOrders()) > 0 {
			pause.For(ctx, decisionInterval)
		} else {
			pause.For(ctx, idleInterval)
		}
	}
}

// sendRollouts sends this host's directives to all hosts.
func (n *node) sendRollouts(ctx context.Context) {
	if !n.rollouts.Bounds().Enabled() {
		return
	}
	for ctx.Err() == nil {
		directives := n.rolloutCoordinator.Directives()
		if len(directives) == 0 {
			pause.For(ctx, directiveInterval)
			continue
		}
		data, err := rolloutsync.EncodeDirectives(directives)
		if err != nil {
			n.log.Error().Err(err).Msg("failed to encode roll-out directives")
			return
		}
		n.rolloutSender.send(data, "")
		n.applyDirectives(directives, n.clock.Now())
		for _, r := range n.reports(directives) {
			n.rolloutCoordinator.ApplyReport(string(n.incarnation), r)
		}
		pause.For(ctx, directiveInterval*time.Duration(max(n.view.Roster().Sharing(), unscaledFleet))/unscaledFleet)
	}
}

// applyDirectives applies the directives of an owner.
func (n *node) applyDirectives(directives []rollout.Directive, now time.Time) {
	for _, directive := range directives {
		if n.rollouts.ApplyDirective(directive, now) {
			n.log.Info().Str("service", directive.Service).Int64("order", directive.Order).Str("phase", directive.Phase.String()).Float64("share", directive.Share).
				Int64("epoch", directive.Epoch).Int64("directive", directive.Number).Msg("share of a roll-out")
		}
	}
}

// reports returns this host's reports on the orders of directives, none while this host is cut: requests
// that wait for an answer then would count against a version.
func (n *node) reports(directives []rollout.Directive) []rollout.Report {
	if n.links.IsCut() {
		return nil
	}
	var reports []rollout.Report
	for _, directive := range directives {
		if r, ok := n.rollouts.Report(directive.Service, directive.Order, n.clock.Now()); ok {
			reports = append(reports, r)
		}
	}
	return reports
}

// receiveRollouts applies reports or directives, and replies to directives with reports.
func (n *node) receiveRollouts(update gossip.Update, now time.Time) {
	directives, reports, err := rolloutsync.Decode(update.Rollouts)
	if err != nil {
		n.log.Debug().Err(err).Str("from", update.Incarnation).Msg("failed to decode all of a roll-out datagram")
	}
	for _, r := range reports {
		n.rolloutCoordinator.ApplyReport(update.Incarnation, r)
	}
	if len(directives) == 0 {
		return
	}
	n.applyDirectives(directives, now)
	own := n.reports(directives)
	if len(own) == 0 || update.PeerAddress == "" {
		return
	}
	data, err := rolloutsync.EncodeReports(own)
	if err != nil {
		n.log.Error().Err(err).Msg("reports of roll-outs not encoded")
		return
	}
	n.rolloutSender.send(data, update.PeerAddress)
}

// refreshRollouts updates the split of requests to the current endpoints.
func (n *node) refreshRollouts(now time.Time) {
	if !n.rollouts.Bounds().Enabled() || !n.view.EndpointSyncer().Loaded() {
		return
	}
	_, fresh := n.view.RouteTables().Current()
	n.rollouts.UpdateEndpoints(n.view.Directory().View().Infos(), fresh, now)
	for _, order := range n.rollouts.NewlyExpired(now) {
		n.log.Warn().Str("service", order.Service).Str("target", order.Target).Int64("order", order.ID).
			Msg("the owner of the roll-out is not heard: requests go to the version before")
	}
}

// followRollouts follows the rows of orders while orders are open: hosts that do not receive the
// owner's directives read there how an order ended. Without open orders it makes no call.
func (n *node) followRollouts(ctx context.Context, source feed.Source) {
	if !n.rollouts.Bounds().Enabled() {
		return
	}
	for ctx.Err() == nil {
		pause.For(ctx, idleInterval)
		if len(n.rollouts.OpenOrders()) == 0 {
			continue
		}
		followCtx, stop := context.WithCancel(ctx)
		go n.view.FollowTable(followCtx, source, rolloutsync.Table, n.applyRolloutRows)
		lastOpenAt := time.Now()
		for ctx.Err() == nil && time.Since(lastOpenAt) < rowFollowTime {
			pause.For(ctx, idleInterval)
			if len(n.rollouts.OpenOrders()) > 0 {
				lastOpenAt = time.Now()
			}
		}
		stop()
	}
}

func (n *node) applyRolloutRows(batch feed.Batch) {
	for _, stored := range batch.Rows {
		if stored.Deleted {
			continue
		}
		state, err := rolloutsync.DecodeState(stored.Value)
		if err != nil {
			n.log.Error().Err(err).Str("row", stored.Key).Msg("failed to decode the state of a roll-out")
			continue
		}
		if n.rollouts.ApplyState(state, n.clock.Now()) {
			n.log.Info().Str("service", state.Order.Service).Int64("order", state.Order.ID).Str("phase", state.Phase.String()).
				Str("why", state.Reason).Msg("roll-out as its row tells")
		}
	}
}

// rolloutFleet returns the state of hosts and endpoints that the owner of an order decides on.
func rolloutFleet(view *storeview.View, order rollout.Order) rollout.Fleet {
	f := rollout.Fleet{Live: view.Roster().LiveIncarnations(), Advertised: view.Roster().Advertised()}
	for _, info := range view.Directory().View().Infos() {
		switch {
		case info.Service != order.Service || info.State != endpoint.Live:
		case info.Release != order.Target:
			f.OtherEndpoints++
		default:
			f.TargetEndpoints++
		}
	}
	return f
}
