package node

import (
	"context"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/pause"
)

// Timing of the reports of leaving endpoints to a holder of the duties without access to the store.
const (
	// leavingReportInterval is the time between two rounds of reports.
	leavingReportInterval = 200 * time.Millisecond
	// leavingSettleTime is the time from the first row to the first round, so that the rows of one
	// batch are sent together.
	leavingSettleTime = 10 * time.Millisecond
)

// reportLeaving reports endpoints whose rows state that they leave to the holder of the duties while
// the holder cannot reach the store. Otherwise none would be ordered in their place until the lease
// expires, although the holder can still call the cloud.
func (n *node) reportLeaving(ctx context.Context, exchange *gossip.Exchange) {
	rows, began := notice.NewLeavingRows(), pause.NewSignal()
	n.view.EndpointSyncer().OnLeavingRow(func(info endpoint.Info) {
		if n.scalesEndpoints() && rows.Observe(info, n.clock.Now()) {
			began.Set()
		}
	})
	reportedTo := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-began:
		}
		pause.For(ctx, leavingSettleTime)
		for ctx.Err() == nil && rows.Pending(n.clock.Now()) {
			reportedTo = n.sendLeaving(exchange, rows, reportedTo)
			pause.For(ctx, leavingReportInterval)
		}
	}
}

// sendLeaving sends one round of reports if this host is a standby and the holder of the duties
// cannot reach the store. It returns the incarnation to which reports were sent last.
func (n *node) sendLeaving(exchange *gossip.Exchange, rows *notice.LeavingRows, reportedTo string) string {
	now := n.clock.Now()
	holder, ok := n.view.Roster().HolderWithoutStore(string(n.incarnation), n.settings.LeaseDuration, now)
	if !ok || !n.isStandby() {
		return reportedTo
	}
	reports := rows.Reports(holder.Incarnation, now)
	if len(reports) == 0 {
		return reportedTo
	}
	exchange.SendNotices(reports, holder.PeerAddress)
	if holder.Incarnation != reportedTo {
		n.log.Info().Str("holder", holder.Node).Int("endpoints", len(reports)).Msg("reporting leaving endpoints to the holder of the duties, which cannot reach the store")
	}
	return holder.Incarnation
}
