package node

import (
	"context"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/reach"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
)

// restoredReports is how often a host reports that it has its links to endpoints again: a lost datagram
// keeps callers away only until the report of the cut expires.
const restoredReports = 3

func newLinks(view *storeview.View, s Settings, clock *storeclock.Clock, registry *prometheus.Registry, logger *log.Logger) *reach.Monitor {
	transport := newTransport()
	transport.DisableKeepAlives = true
	network := reach.NewSockets(&http.Client{Transport: transport})
	return reach.NewMonitor(network, checkFleet{view, s, clock}, time.Now, reach.NewMetrics(registry), logger)
}

// checkFleet lists the endpoints and hosts that checks of the links connect to.
type checkFleet struct {
	view     *storeview.View
	settings Settings
	clock    *storeclock.Clock
}

// Endpoints implements reach.Fleet.
func (f checkFleet) Endpoints() []reach.Target {
	var targets []reach.Target
	for _, info := range f.view.Directory().View().Infos() {
		if info.State == endpoint.Live && info.Address != "" {
			targets = append(targets, reach.Target{Address: info.Address, DataCenter: info.DataCenter})
		}
	}
	return targets
}

// Hosts implements reach.Fleet.
func (f checkFleet) Hosts() []reach.Target {
	var targets []reach.Target
	for _, h := range hostsInTouch(f.view, f.settings, f.clock) {
		targets = append(targets, reach.Target{Address: h.PeerAddress, DataCenter: h.DataCenter})
	}
	return targets
}

// hostsInTouch returns the other hosts that requests can be forwarded to while this host is cut: those that
// report no cut, the ones of its own data centre first.
func hostsInTouch(view *storeview.View, s Settings, clock *storeclock.Clock) []roster.Host {
	return view.Roster().InTouch(roster.Host{Node: s.Node, DataCenter: s.DataCenter}, clock.Now())
}

// watchLinks checks this host's links to endpoints until ctx ends, and reports when they are lost.
func (n *node) watchLinks(ctx context.Context, exchange *gossip.Exchange) {
	changed := pause.NewSignal()
	n.links.OnChange(func(cut bool, sinceAnswer time.Duration) {
		now := n.clock.Now()
		n.applyCut(cut, now.Add(-sinceAnswer), now)
		changed.Set()
	})
	loop := n.watchdog.Watch("links")
	go n.links.Run(ctx, loop.Kick)
	go n.reportLinks(ctx, exchange, changed)
}

// applyCut applies the beginning or the end of a cut to what this host has recorded of endpoints.
// Failures and unanswered requests since an endpoint last answered show nothing about endpoints.
func (n *node) applyCut(cut bool, since, now time.Time) {
	n.router.SetCut(cut, since, now)
	n.view.Roster().ApplyCut(string(n.incarnation), cut, now)
	if cut {
		n.quarantineWatch.DiscardSince(since, now)
	}
}

// reportLinks reports each loss of this host's links at once and repeatedly until they are restored.
// Nothing is sent before a loss.
func (n *node) reportLinks(ctx context.Context, exchange *gossip.Exchange, changed pause.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		for pending := restoredReports; pending > 0 && ctx.Err() == nil; {
			state := gossip.LinksCut
			if n.links.IsCut() {
				pending = restoredReports
				n.view.Roster().ApplyCut(string(n.incarnation), true, n.clock.Now())
			} else {
				state = gossip.LinksRestored
				pending--
			}
			exchange.SendLinks(state)
			pause.ForOrSignal(ctx, roster.CutInterval, changed, 0)
		}
	}
}

// cutUpdate returns the update that this host sends while it is cut: without its requests at endpoints and
// what it would observe of endpoints. Other hosts forward its callers' requests and count them.
func (n *node) cutUpdate(now time.Time) gossip.Update {
	n.router.DrainPlacements()
	n.router.DrainSpeeds()
	return gossip.Update{
		Status: roster.Status{
			Host: n.host(), Counts: n.counter.Latest(), StoreReachableFor: n.view.StoreReachableFor(), LeaseVersion: n.leases.RowVersion(dutyShard),
		},
		TeamUsage: n.limiter.LocalUsage(now),
		Notices:   n.noticeTracker.Reports(now),
	}
}

// crashReports returns the crashes of endpoints for the other hosts. None are sent while a cut of this host
// may explain the latest ones.
func (n *node) crashReports(now time.Time) []quarantine.Case {
	if n.links.IsDoubtful() {
		return nil
	}
	return n.quarantineWatch.Reports(now)
}
