package node

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/loadsync"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/quarantinesync"
	"ironhollow/pkg/relay"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/rolloutsync"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
	"ironhollow/pkg/steady"
	"ironhollow/pkg/storecalls"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
	"ironhollow/pkg/table"
	"ironhollow/pkg/upstream"
	"ironhollow/pkg/usage"
	"ironhollow/pkg/watchdog"
)

// Times of calls.
const (
	// storeCall bounds one call to the store; it answers within 4 ms as a rule.
	storeCall = time.Second
	// deadPeer is how long sent bytes may stay unacknowledged.
	deadPeer = 3 * time.Second
)

// engineFigures are used until answers have shown an engine's speed: a large
// model on a current accelerator reads some 50 tokens a millisecond and makes
// one in about 7 ms.
var engineFigures = route.EngineSpeed{TokenGap: 7 * time.Millisecond, Prefill: 20 * time.Microsecond, MeanRequestTime: time.Second}

// Incarnation names one life of a process on a host.
type Incarnation string

func newIncarnation(s Settings) Incarnation { return Incarnation(s.Node + "." + rand.Text()[:10]) }

// storeClient is for calls to the platform, peerClient for those to other hosts.
type (
	storeClient struct{ *http.Client }
	peerClient  struct{ *http.Client }
)

func newStoreClient() storeClient { return storeClient{&http.Client{Transport: newTransport()}} }

func newPeerClient() peerClient { return peerClient{&http.Client{Transport: newTransport()}} }

func newLog(s Settings) *log.Logger { return process.NewAsyncLog(os.Stdout, s.Node) }

func newPool() *upstream.Pool { return upstream.New(deadPeer) }

func newStore(platform Platform, client storeClient, s Settings, registry *prometheus.Registry) *storecalls.Counted {
	return storecalls.New(platform.Store(client.Client, s), registry)
}

// newCopy passes on rows of endpoints only where something of them has changed that
// is decoded: their heartbeats tell nothing but that they live, and a row that is not
// renewed is removed by the store.
func newCopy(platform Platform, clock *storeclock.Clock) *relay.Replica {
	endpoints := platform.Tables().Endpoints
	says := func(table string, before, now []byte) bool {
		if table != endpoints {
			return true
		}
		held, errHeld := platform.DecodeEndpoint("", before)
		heard, errHeard := platform.DecodeEndpoint("", now)
		if errHeld != nil || errHeard != nil {
			// A row that names no endpoint is no news while it goes on naming none.
			return (errHeld == nil) != (errHeard == nil)
		}
		return held != heard
	}
	return relay.NewReplica(clock.Now, says)
}

func newHome(s Settings) route.Location {
	return route.Location{Node: s.Node, DataCenter: s.DataCenter}
}

func newRollouts(s Settings) *rollout.Splitter { return rollout.New(s.Rollouts) }

func newDesk(platform Platform, rollouts *rollout.Splitter, view *storeview.View, writer *table.Writer, clock *storeclock.Clock,
	leases *lease.Manager, logger *log.Logger,
) *rolloutsync.Coordinator {
	held := func() (lease.Grant, time.Duration, bool) {
		grant, ok := leases.Held(dutyShard)
		return grant, leases.Remaining(dutyShard), ok
	}
	fleet := func(order rollout.Order) rollout.Fleet { return rolloutFleet(view, order) }
	return rolloutsync.NewCoordinator(rollouts, rollout.DefaultBayesTest(), writer, platform, fleet, clock, held, logger)
}

func newView(platform Platform, s Settings, clock *storeclock.Clock, home route.Location, self Incarnation, rollouts *rollout.Splitter, logger *log.Logger) *storeview.View {
	members := roster.New(silence, gossip.Interval)
	return storeview.New(platform, s.EndpointHeartbeat, clock, members, home, string(self), rollouts, logger)
}

func newRouter(view *storeview.View, home route.Location, clock *storeclock.Clock) *route.Router {
	seed := uint64(clock.Now().UnixNano())
	return route.NewWithEngineSpeed(view.Directory(), hazard.New(), home, seed, engineFigures)
}

func newLoads(router *route.Router, view *storeview.View, self Incarnation) *loadsync.Sync {
	return loadsync.New(router, view.Roster(), string(self))
}

func newLimits(s Settings, clock *storeclock.Clock) *limit.CostLimiter {
	return limit.NewCostLimiter(limit.Tolerance(s.Limits), clock.Now())
}

// newCounter counts by the store's clock plus what the hosts agree it differs by
// from the time of day; by this host's own time of day while that is not known.
func newCounter(s Settings, clock *storeclock.Clock, view *storeview.View) *usage.Counter {
	trueTime := func() time.Time {
		storeNow, known := clock.Store()
		offset, agreed := view.Roster().ClockOffset()
		if !known || !agreed {
			return clock.Now()
		}
		return time.Unix(0, int64(storeNow+offset))
	}
	return usage.NewCounter(s.UsageWindow, trueTime)
}

func newWriter(store *storecalls.Counted, self Incarnation) *table.Writer {
	return table.NewWriter(store, string(self))
}

func newLeases(writer *table.Writer, self Incarnation, s Settings) *lease.Manager {
	return lease.New(writer, string(self), lease.Timing{Duration: s.Lease, RenewInterval: s.Lease / renewals}, steady.Now)
}

func newDutyCloud(platform Platform, client storeClient, s Settings, leases *lease.Manager) *dutyCloud {
	return &dutyCloud{platform.Cloud(client.Client, s), leases}
}

func newReporter(counter *usage.Counter, view *storeview.View, writer *table.Writer, cloud *dutyCloud, logger *log.Logger) *usage.Reporter {
	return usage.NewReporter(counter, view.Roster(), writer, cloud, view.StoreEra, logger)
}

func newOrderer(cloud *dutyCloud, logger *log.Logger) *autoscale.Reconciler {
	return autoscale.NewReconciler(cloud, logger)
}

func newBudget(s Settings) *retry.WindowBudget {
	return retry.NewWindowBudget(s.Retry.Share, s.Retry.Slack, s.Retry.Window)
}

func newWatch(registry *prometheus.Registry, logger *log.Logger) *quarantine.Watch {
	return quarantine.NewWatch(registry, logger)
}

func newKeeper(watch *quarantine.Watch, writer *table.Writer, clock *storeclock.Clock, view *storeview.View, logger *log.Logger) *quarantinesync.Syncer {
	return quarantinesync.NewSyncer(watch, writer, clock, view.StoreEra, logger)
}

func newWatchdog(registry *prometheus.Registry, logger *log.Logger) *watchdog.Watchdog {
	return watchdog.New(registry, logger)
}

func newNotices(view *storeview.View, router *route.Router, logger *log.Logger) *notice.Tracker {
	return notice.New(view.Directory(), router, logger)
}

func newForwarder(platform Platform, view *storeview.View, home route.Location, router *route.Router, limits *limit.CostLimiter, budget *retry.WindowBudget,
	pool *upstream.Pool, counter *usage.Counter, rollouts *rollout.Splitter, watch *quarantine.Watch, notices *notice.Tracker, life *life, clock *storeclock.Clock, registry *prometheus.Registry, logger *log.Logger,
) *forward.Forwarder {
	// What is known once stays known.
	var ready atomic.Bool
	phase := func() forward.Phase {
		if !ready.Load() {
			if !view.Ready() {
				return forward.Starting
			}
			limits.FleetRestarted(view.IdleBeforeStart())
			ready.Store(true)
		}
		return life.phase()
	}
	return forward.New(platform.Protocol(), view.RouteTables(), router, limits, budget, pool, counter,
		fleet{view.Roster(), home.Node}, rollouts, watch, notices, phase, clock.Now, forward.NewMetrics(registry), logger)
}

// fleet is the roster as one host sees it.
type fleet struct {
	*roster.Roster
	node string
}

// Share returns the part of a bound on all hosts together that this one may use.
func (f fleet) Share() float64 { return f.Roster.LimitShare(f.node) }

// newTransport is for calls to the platform. A close that gives up on a call
// throws away what the network still holds, so that it can't arrive later.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         storeCall,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		Control:         upstream.ControlUserTimeout(deadPeer),
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if tcp, ok := conn.(*net.TCPConn); ok {
				err = errors.Join(err, tcp.SetLinger(0))
			}
			return conn, err
		},
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}
}
