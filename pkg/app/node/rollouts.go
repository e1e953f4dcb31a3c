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
	// decidePause is the time between two decisions of the owner of an order, idlePause
	// between two looks whether there is one.
	decidePause = 100 * time.Millisecond
	idlePause   = 400 * time.Millisecond
	// directivePause is the time between two directives to each host, in fleets of up to
	// directiveHosts; longer in larger ones, so that the owner's work does not grow.
	directivePause = 250 * time.Millisecond
	directiveHosts = 250
	// rowsFollowed is how long the orders' rows are followed after the last has ended.
	rowsFollowed = 5 * time.Second
)

// datagrams is the exchange with other hosts, once it is there.
type datagrams struct {
	exchange atomic.Pointer[gossip.Exchange]
}

func (d *datagrams) set(e *gossip.Exchange) { d.exchange.Store(e) }

// send sends directives or reports to one host, or to all where to is empty.
func (d *datagrams) send(data []byte, to string) {
	if e := d.exchange.Load(); e != nil {
		e.SendRollouts(data, to)
	}
}

// replacedBy is the last completed order of each service of which the orderer of
// endpoints knows. One goroutine uses it.
type replacedBy map[string]int64

func newReplacedBy() replacedBy { return replacedBy{} }

// ownRollouts decides on open orders while this host holds the lease of the duties.
func (n *node) ownRollouts(ctx context.Context) {
	if !n.rollouts.Bounds().Enabled() {
		return
	}
	for ctx.Err() == nil {
		n.desk.Step(ctx)
		if len(n.rollouts.OpenOrders()) > 0 {
			pause.For(ctx, decidePause)
		} else {
			pause.For(ctx, idlePause)
		}
	}
}

// sendRollouts sends all hosts what this one has decided.
func (n *node) sendRollouts(ctx context.Context) {
	if !n.rollouts.Bounds().Enabled() {
		return
	}
	for ctx.Err() == nil {
		directives := n.desk.Directives()
		if len(directives) == 0 {
			pause.For(ctx, directivePause)
			continue
		}
		data, err := rolloutsync.EncodeDirectives(directives)
		if err != nil {
			n.log.Error().Err(err).Msg("failed to encode roll-out directives")
			return
		}
		n.datagrams.send(data, "")
		n.applyDirectives(directives, n.clock.Now())
		for _, r := range n.reports(directives) {
			n.desk.ApplyReport(string(n.incarnation), r)
		}
		pause.For(ctx, directivePause*time.Duration(max(n.view.Roster().Sharing(), directiveHosts))/directiveHosts)
	}
}

// applyDirectives applies an owner's directives.
func (n *node) applyDirectives(directives []rollout.Directive, now time.Time) {
	for _, w := range directives {
		if n.rollouts.ApplyDirective(w, now) {
			n.log.Info().Str("service", w.Service).Int64("order", w.Order).Str("phase", w.Phase.String()).Float64("share", w.Share).
				Int64("epoch", w.Epoch).Int64("directive", w.Number).Msg("share of a roll-out")
		}
	}
}

// reports returns this host's reports on the orders of directives.
func (n *node) reports(directives []rollout.Directive) []rollout.Report {
	var reports []rollout.Report
	for _, w := range directives {
		if r, ok := n.rollouts.Report(w.Service, w.Order, n.clock.Now()); ok {
			reports = append(reports, r)
		}
	}
	return reports
}

// receiveRollouts applies directives and answers them with reports, or applies reports.
func (n *node) receiveRollouts(update gossip.Update, now time.Time) {
	directives, reports, err := rolloutsync.Decode(update.Rollouts)
	if err != nil {
		n.log.Debug().Err(err).Str("from", update.Incarnation).Msg("failed to decode roll-out datagram")
		return
	}
	for _, r := range reports {
		n.desk.ApplyReport(update.Incarnation, r)
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
	n.datagrams.send(data, update.PeerAddress)
}

// surveyRollouts brings the split of requests up to date with the endpoints.
func (n *node) surveyRollouts(now time.Time) {
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

// followRollouts follows the orders' rows while there are open ones: hosts that do not
// hear the owner learn from them how an order ended. Without orders it makes no call.
func (n *node) followRollouts(ctx context.Context, source feed.Source) {
	if !n.rollouts.Bounds().Enabled() {
		return
	}
	for ctx.Err() == nil {
		pause.For(ctx, idlePause)
		if len(n.rollouts.OpenOrders()) == 0 {
			continue
		}
		following, stop := context.WithCancel(ctx)
		go n.view.FollowTable(following, source, rolloutsync.Table, n.takeRolloutRows)
		openAt := time.Now()
		for ctx.Err() == nil && time.Since(openAt) < rowsFollowed {
			pause.For(ctx, idlePause)
			if len(n.rollouts.OpenOrders()) > 0 {
				openAt = time.Now()
			}
		}
		stop()
	}
}

func (n *node) takeRolloutRows(batch feed.Batch) {
	for _, stored := range batch.Rows {
		if stored.Deleted {
			continue
		}
		state, err := rolloutsync.DecodeState(stored.Value)
		if err != nil {
			n.log.Error().Err(err).Str("row", stored.Key).Msg("state of a roll-out not taken")
			continue
		}
		if n.rollouts.ApplyState(state, n.clock.Now()) {
			n.log.Info().Str("service", state.Order.Service).Int64("order", state.Order.ID).Str("phase", state.Phase.String()).
				Str("why", state.Reason).Msg("roll-out as its row tells")
		}
	}
}

// rolloutFleet is what an owner needs to know of hosts and endpoints.
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
