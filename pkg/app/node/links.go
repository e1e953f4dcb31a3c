package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/httpx"
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

func newLinks(platform Platform, view *storeview.View, s Settings, clock *storeclock.Clock, registry *prometheus.Registry, logger *log.Logger) *reach.Monitor {
	transport := newTransport()
	transport.DisableKeepAlives = true
	network := reach.NewSockets(&http.Client{Transport: httpx.NewStrictTransport(transport)}, platform.ProbePath())
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

// detourHosts lists the hosts that requests are forwarded to. It is safe for concurrent use.
type detourHosts struct {
	view     *storeview.View
	settings Settings
	clock    *storeclock.Clock

	mu sync.Mutex
	// listed are the addresses as of listedAt.
	listed   []string
	listedAt time.Time
}

// detourHostsTTL is how long the list is used: each request that is forwarded needs it.
const detourHostsTTL = 100 * time.Millisecond

// addresses returns the peer addresses of the advertised hosts that report no cut, as they know the loads
// of endpoints; of all hosts if no other host is advertised.
func (d *detourHosts) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if age := now.Sub(d.listedAt); age >= 0 && age < detourHostsTTL {
		return d.listed
	}
	advertised := map[string]bool{}
	for _, h := range d.view.Roster().AdvertisedHosts() {
		advertised[h.Node] = true
	}
	var all []string
	d.listed, d.listedAt = nil, now
	for _, h := range hostsInTouch(d.view, d.settings, d.clock) {
		all = append(all, h.PeerAddress)
		if advertised[h.Node] {
			d.listed = append(d.listed, h.PeerAddress)
		}
	}
	if len(d.listed) == 0 {
		d.listed = all
	}
	return d.listed
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
	n.detours.SetCut(cut)
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
