package node

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/boottime"
	"ironhollow/pkg/buffers"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/lifecycle"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/loadsync"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/origin"
	"ironhollow/pkg/originlog"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/quarantinesync"
	"ironhollow/pkg/reach"
	"ironhollow/pkg/relay"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/rolloutsync"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
	"ironhollow/pkg/scalesync"
	"ironhollow/pkg/statetransfer"
	"ironhollow/pkg/storecalls"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
	"ironhollow/pkg/table"
	"ironhollow/pkg/upstream"
	"ironhollow/pkg/usage"
	"ironhollow/pkg/watchdog"
)

// Timeouts of calls.
const (
	// storeCallTimeout bounds one call to the store, which usually answers within 4 ms.
	storeCallTimeout = time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before a connection of a caller
	// or of another host fails.
	unackedTimeout = 3 * time.Second
	// controlUnackedTimeout replaces unackedTimeout on connections to the platform and to other hosts.
	// A feed whose connection falls silent must be back within the time in which a change has to
	// apply.
	controlUnackedTimeout = 2 * time.Second
)

// initialEngineSpeed is used until an engine's speed has been measured from its answers: a large
// model on a current accelerator reads some 50 tokens per millisecond and generates one in about
// 7 ms.
var initialEngineSpeed = route.EngineSpeed{TokenGap: 7 * time.Millisecond, Prefill: 20 * time.Microsecond, MeanRequestTime: time.Second}

// Incarnation identifies one run of the process on a host.
type Incarnation string

func newIncarnation(s Settings) Incarnation { return Incarnation(s.Node + "." + rand.Text()[:10]) }

// storeClient is for calls to the platform, peerClient for calls to other hosts.
type (
	storeClient struct{ *http.Client }
	peerClient  struct{ *http.Client }
)

func newStoreClient(budget *buffers.Budget) storeClient {
	return storeClient{newClient(httpx.NewRenewingTransport(newTransport()), budget)}
}

func newPeerClient(budget *buffers.Budget) peerClient {
	return peerClient{newClient(httpx.NewRenewingTransport(newTransport()), budget)}
}

// newClient returns a client that makes its calls with a transport, and rejects malformed responses and those for which
// there is no memory.
func newClient(transport http.RoundTripper, budget *buffers.Budget) *http.Client {
	return &http.Client{Transport: httpx.NewBoundedTransport(httpx.NewStrictTransport(transport), budget)}
}

const (
	// responseShare is the share of the memory limit that the responses of the platform and of other hosts may take while
	// they are read, as a divisor.
	responseShare = 8
	// usualMemoryMB is assumed for a process without a memory limit.
	usualMemoryMB = 512
)

// newResponseBudget returns the budget of the responses of the platform and of other hosts.
func newResponseBudget(s Settings) *buffers.Budget {
	return buffers.NewBudget(int64(cmp.Or(s.MemoryLimitMB, usualMemoryMB)) << 20 / responseShare)
}

func newLogQueue() *process.LogQueue { return process.NewLogQueue(os.Stdout) }

func newLogger(s Settings, queue *process.LogQueue) *log.Logger {
	return process.NewQueuedLogger(queue, s.Node)
}

func newPool(links *reach.Monitor) *upstream.Pool {
	pool := upstream.New(upstream.UserTimeout)
	pool.Observe(links)
	return pool
}

// peerPool holds the connections on which requests are forwarded to other hosts.
type peerPool struct{ *upstream.Pool }

func newPeerPool() peerPool { return peerPool{upstream.New(controlUnackedTimeout)} }

func newDetours(view *storeview.View, s Settings, clock *storeclock.Clock, pool peerPool, registry *prometheus.Registry) *forward.Detours {
	return forward.NewDetours((&detourHosts{view: view, settings: s, clock: clock}).addresses, pool.Pool, registry)
}

func newStore(platform Platform, client storeClient, s Settings, registry *prometheus.Registry) *storecalls.CountingStore {
	return storecalls.New(platform.Store(client.Client, s), registry)
}

// readiness reports whether this process knows enough to serve: what the store holds and, after a
// restart, what the other hosts know beyond it.
type readiness func() bool

func newReadiness(view *storeview.View, syncer *statetransfer.Syncer) readiness {
	return func() bool { return syncer.Asked() && view.Loaded() }
}

func newStateSyncer(state *hostState, s Settings, budget *buffers.Budget, logger *log.Logger) *statetransfer.Syncer {
	transport := newTransport()
	transport.DisableKeepAlives, transport.DisableCompression = true, false
	peers := func() []string { return state.Roster().LivePeerAddresses(s.Node) }
	return statetransfer.NewSyncer(newClient(transport, budget), state, peers, s.SeedAddresses, logger)
}

// newReplica returns a replica that forwards a row of an endpoint only if its decoded content has
// changed: a heartbeat only shows that the endpoint is alive, and the store removes a row that is
// not renewed.
func newReplica(platform Platform, clock *storeclock.Clock) *relay.Replica {
	endpoints := platform.Tables().Endpoints
	changed := func(table string, previous, current []byte) bool {
		if table != endpoints {
			return true
		}
		previousInfo, previousErr := platform.DecodeEndpoint("", previous)
		currentInfo, currentErr := platform.DecodeEndpoint("", current)
		if previousErr != nil || currentErr != nil {
			// A row without a valid endpoint is not a change if the previous one had none either.
			return (previousErr == nil) != (currentErr == nil)
		}
		// Only the first row with a time left is of use: each later one states the same end.
		if previousInfo.LeavesIn > 0 && currentInfo.LeavesIn > 0 {
			previousInfo.LeavesIn = currentInfo.LeavesIn
		}
		return previousInfo != currentInfo
	}
	return relay.NewReplica(clock.Now, changed)
}

func newLocation(s Settings) route.Location {
	return route.Location{Node: s.Node, DataCenter: s.DataCenter}
}

func newSplitter(s Settings) *rollout.Splitter { return rollout.New(s.Rollouts) }

func newCoordinator(platform Platform, rollouts *rollout.Splitter, view *storeview.View, writer *table.Writer, clock *storeclock.Clock,
	leases *lease.Manager, logger *log.Logger,
) *rolloutsync.Coordinator {
	held := func() (lease.Grant, time.Duration, bool) {
		grant, ok := leases.Held(dutyShard)
		return grant, leases.Remaining(dutyShard), ok
	}
	fleet := func(order rollout.Order) rollout.Fleet { return rolloutFleet(view, order) }
	return rolloutsync.NewCoordinator(rollouts, rollout.DefaultBayesTest(), writer, platform, fleet, clock, held, logger)
}

func newView(platform Platform, s Settings, clock *storeclock.Clock, location route.Location, self Incarnation, rollouts *rollout.Splitter, logger *log.Logger) *storeview.View {
	members := roster.New(silenceTimeout, gossip.Interval)
	return storeview.New(platform, s.EndpointHeartbeat, clock, members, location, string(self), rollouts, logger)
}

// leavingReserve is the part of the time for which a leaving endpoint may get requests that is not
// used: a request arrives some time after its endpoint has been chosen. How late the host has read the
// endpoint's row is known, see discovery.Syncer.
const leavingReserve = 250 * time.Millisecond

func newRouter(view *storeview.View, location route.Location, clock *storeclock.Clock, s Settings) *route.Router {
	seed := uint64(clock.Now().UnixNano())
	router := route.NewWithEngineSpeed(view.Directory(), hazard.New(), location, seed, initialEngineSpeed)
	router.SetLeavingWindow(s.LeavingBound - leavingReserve)
	return router
}

func newLoadSync(router *route.Router, view *storeview.View, self Incarnation) *loadsync.Sync {
	return loadsync.New(router, view.Roster(), string(self))
}

func newLimiter(s Settings, clock *storeclock.Clock) *limit.CostLimiter {
	return limit.NewCostLimiter(limit.Tolerance(s.Limits), clock.Now())
}

// newCounter returns a counter that uses the store's clock plus the offset from the time of day that
// the hosts agree on. While that is unknown, it uses this host's own time of day.
func newCounter(s Settings, clock *storeclock.Clock, view *storeview.View) *usage.Counter {
	fleetTime := func() time.Time {
		storeNow, known := clock.StoreTime()
		offset, agreed := view.Roster().ClockOffset()
		if !known || !agreed {
			return clock.Now()
		}
		return time.Unix(0, int64(storeNow+offset))
	}
	return usage.NewCounter(s.UsageWindow, fleetTime)
}

func newWriter(store *storecalls.CountingStore, self Incarnation) *table.Writer {
	return table.NewWriter(store, string(self))
}

func newLeaseManager(writer *table.Writer, self Incarnation, s Settings, logger *log.Logger) *lease.Manager {
	return lease.New(writer, string(self), lease.Timing{Duration: s.LeaseDuration, RenewInterval: s.LeaseDuration / renewalsPerLease}, boottime.Now, logger)
}

func newDutyCloud(platform Platform, client storeClient, s Settings, leases *lease.Manager) *dutyCloud {
	return &dutyCloud{platform.Cloud(client.Client, s), leases}
}

func newReporter(counter *usage.Counter, view *storeview.View, writer *table.Writer, cloud *dutyCloud, logger *log.Logger) *usage.Reporter {
	return usage.NewReporter(counter, view.Roster(), writer, cloud, view.StoreEra, logger)
}

func newReconciler(cloud *dutyCloud, logger *log.Logger) *autoscale.Reconciler {
	return autoscale.NewReconciler(cloud, logger)
}

func newScaleStates(writer *table.Writer, clock *storeclock.Clock, logger *log.Logger) *scalesync.Syncer {
	return scalesync.New(writer, clock, logger)
}

func newScaleMetrics(registry *prometheus.Registry) *autoscale.Metrics {
	return autoscale.NewMetrics(registry)
}

func newRetryBudget(s Settings) *retry.WindowBudget {
	return retry.NewWindowBudget(s.Retry.Share, s.Retry.Slack, s.Retry.Window)
}

func newQuarantineWatch(registry *prometheus.Registry, logger *log.Logger) *quarantine.Watch {
	return quarantine.NewWatch(registry, logger)
}

func newQuarantineSyncer(watch *quarantine.Watch, writer *table.Writer, clock *storeclock.Clock, view *storeview.View, logger *log.Logger) *quarantinesync.Syncer {
	return quarantinesync.NewSyncer(watch, writer, clock, view.StoreEra, logger)
}

func newWatchdog(registry *prometheus.Registry, logger *log.Logger) *watchdog.Watchdog {
	return watchdog.New(registry, logger)
}

func newNoticeTracker(view *storeview.View, router *route.Router, logger *log.Logger) *notice.Tracker {
	return notice.New(view.Directory(), router, logger)
}

func newLifecycle(clock *storeclock.Clock, known readiness, limiter *limit.CostLimiter, view *storeview.View) *lifecycle.Lifecycle {
	return lifecycle.New(clock, func() bool {
		if known() {
			limiter.FleetRestarted(view.IdleBeforeStart())
			return true
		}
		return false
	})
}

func newForwarder(platform Platform, view *storeview.View, location route.Location, router *route.Router, limiter *limit.CostLimiter, budget *retry.WindowBudget,
	pool *upstream.Pool, links *reach.Monitor, detours *forward.Detours, origins *origin.Directory, originLog *originlog.Log, counter *usage.Counter, rollouts *rollout.Splitter, watch *quarantine.Watch, noticeTracker *notice.Tracker, lifecycle *lifecycle.Lifecycle, clock *storeclock.Clock, registry *prometheus.Registry, logger *log.Logger,
) *forward.Forwarder {
	forwarder := forward.New(platform.Protocol(), view.RouteTables(), router, limiter, budget, pool, counter,
		fleet{view.Roster(), location.Node}, rollouts, watch, noticeTracker, lifecycle, clock.Now, forward.NewMetrics(registry), logger)
	forwarder.UseLinks(links)
	forwarder.UseDetours(detours)
	forwarder.UseOrigins(origins)
	forwarder.UseOriginLog(originLog)
	forwarder.UseRowReader(view.HurryEndpoints)
	forwarder.MoveStreams(forward.NewMover(platform.MoveCalls(pool), pool, view.Directory(), router, view.RouteTables(), clock.Now, registry, logger))
	return forwarder
}

// fleet is the roster as one host sees it.
type fleet struct {
	*roster.Roster
	node string
}

// Share returns the fraction of a fleet-wide limit that this host may use.
func (f fleet) Share() float64 { return f.Roster.LimitShare(f.node) }

// newTransport returns a transport for calls to the platform and to other hosts. Closing the
// connection of an abandoned call discards the bytes that are still to be sent, so that the call
// cannot arrive later.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         storeCallTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		Control:         upstream.ControlUserTimeout(controlUnackedTimeout),
	}
	return &http.Transport{
		DialContext: httpx.DialReportingResets(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if tcp, ok := conn.(*net.TCPConn); ok {
				err = errors.Join(err, tcp.SetLinger(0))
			}
			return conn, err
		}),
		MaxResponseHeaderBytes: httpx.MaxHeadBytes,
		MaxIdleConnsPerHost:    8,
		IdleConnTimeout:        20 * time.Second,
		DisableCompression:     true,
	}
}
