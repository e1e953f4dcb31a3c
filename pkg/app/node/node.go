package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/cobra"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/lifecycle"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/loadsync"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/origin"
	"ironhollow/pkg/originlog"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/quarantinesync"
	"ironhollow/pkg/reach"
	"ironhollow/pkg/relay"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/rolloutsync"
	"ironhollow/pkg/route"
	"ironhollow/pkg/scalesync"
	"ironhollow/pkg/statetransfer"
	"ironhollow/pkg/storecalls"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
	"ironhollow/pkg/upstream"
	"ironhollow/pkg/usage"
	"ironhollow/pkg/watchdog"
)

// Parameters of a node.
const (
	// maxPendingFaults is how many faults of the ports and the watchdog can be pending.
	maxPendingFaults = 8
	// sweepInterval is the time between searches for connections that have been idle for too long.
	sweepInterval = 500 * time.Millisecond
	// softMemoryRatio is the fraction of the process's memory limit that is the garbage
	// collector's soft limit; unread bytes in sockets count towards the process's limit too.
	softMemoryRatio = 0.6
	// gcPercent is the heap growth, in percent, that starts a garbage collection.
	gcPercent = 60
)

// node is a running process.
type node struct {
	settings    Settings
	platform    Platform
	incarnation Incarnation
	log         *log.Logger
	logQueue    *process.LogQueue
	clock       *storeclock.Clock
	lifecycle   *lifecycle.Lifecycle
	store       *storecalls.CountingStore
	// storeReplica is the replica of the store that other hosts follow through this host.
	storeReplica         *relay.Replica
	relayClient          peerClient
	stateSyncer          *statetransfer.Syncer
	hostState            *hostState
	known                readiness
	view                 *storeview.View
	router               *route.Router
	loadSync             *loadsync.Sync
	limiter              *limit.CostLimiter
	pool                 *upstream.Pool
	counter              *usage.Counter
	reporter             *usage.Reporter
	endpointReconciler   *autoscale.Reconciler
	leases               *lease.Manager
	serviceDemandTracker *autoscale.DemandTracker
	losses               *autoscale.LossTracker
	scaleStates          *scalesync.Syncer
	scaleMetrics         *autoscale.Metrics
	links                *reach.Monitor
	detours              *forward.Detours
	peerPool             peerPool
	origins              *origin.Directory
	originSender         *originSender
	originLog            *originlog.Log
	forwarder            *forward.Forwarder
	registry             *prometheus.Registry
	row                  *rowState
	role                 *fleetRole
	rollouts             *rollout.Splitter
	rolloutCoordinator   *rolloutsync.Coordinator
	rolloutSender        *rolloutSender
	appliedOrders        completedOrders
	quarantineWatch      *quarantine.Watch
	quarantineSyncer     *quarantinesync.Syncer
	noticeTracker        *notice.Tracker
	watchdog             *watchdog.Watchdog

	suspendLog *suspendLog
}

// Main runs a node's command line and returns the exit code.
func Main(platform Platform) int {
	exit := process.ExitOK
	var check bool
	command := &cobra.Command{
		Use:           "ironhollow-node",
		Short:         "ironhollow-node serves callers on one host of the platform; see docs/OPERATIONS.md.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings, err := platform.ReadSettings()
			if err != nil {
				exit = process.ExitInvalidSettings
				return err
			}
			if check {
				return nil
			}
			return run(platform, settings)
		},
	}
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if exit == process.ExitOK {
			exit = process.ExitFailure
		}
	}
	return exit
}

func run(platform Platform, settings Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signalledAt := make(chan time.Time, 1)
	context.AfterFunc(ctx, func() { signalledAt <- time.Now() })
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	tuneMemory(settings)
	n := build(platform, settings, newIncarnation(settings))
	n.forwarder.LimitMemory(int64(settings.MemoryLimitMB) << 20)
	n.log.Info().Str("incarnation", string(n.incarnation)).Str("dc", settings.DataCenter).Msg("start")
	n.registry.MustRegister(n.loadSync, n.logQueue, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "ironhollow_body_bytes", Help: "Memory that the bodies of callers' requests take.",
	}, func() float64 { return float64(n.forwarder.BodyBytes()) }))
	go n.checkSettings(reloads)
	err := n.serve(ctx, signalledAt)
	if err != nil {
		n.log.Error().Err(err).Msg("the process ends for a fault")
	}
	// An error means that nobody reads the log.
	_ = n.logQueue.Close()
	return err
}

func tuneMemory(s Settings) {
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(softMemoryRatio * float64(s.MemoryLimitMB) * (1 << 20)))
	}
}

// serve runs until ctx is done, and then until the grace period is nearly over, so that callers can
// leave. The grace period counts from signalledAt, which gets the time at which ctx is done.
func (n *node) serve(ctx context.Context, signalledAt <-chan time.Time) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := relay.NewSource(n.store, n.storeReplica, n.relayClient.Client, n.view.Relays, n.view.MaxRelayLag, n.view.IsAdvertised, n.log)
	n.view.SetOrdersEndpoints(n.ordersEndpoints)
	go n.follow(background, source)
	go n.stateSyncer.Run(background, n.settings.FirstStart)
	go n.runHeartbeat(background)
	go n.sweepConnections(background)
	go n.logCalls(background)
	go n.followRollouts(background, source)
	go n.syncQuarantine(background)
	go n.originLog.Run(background)
	if err := n.startGossip(background); err != nil {
		return err
	}
	var duties sync.WaitGroup
	dutiesCtx, stopDuties := context.WithCancel(background)
	duties.Go(func() { n.runDuties(dutiesCtx) })
	duties.Go(func() { n.coordinateRollouts(dutiesCtx) })
	go n.sendRollouts(dutiesCtx)

	faults := make(chan error, maxPendingFaults)
	go func() {
		if err := n.watchdog.Run(background); err != nil {
			faults <- err
		}
	}()
	servers, err := n.listen(faults)
	if err != nil {
		stopDuties()
		return err
	}
	select {
	case <-ctx.Done():
	case err := <-faults:
		stopDuties()
		n.endForFault()
		return err
	}
	stopDuties()
	n.shutDown(background, servers, <-signalledAt)
	return nil
}

// Parameters of the first start of all hosts.
const (
	// largeHostCores is the processor share, in cores, from which on a host starts without delay.
	largeHostCores = 0.3
	// smallHostDelay is the least delay of the other hosts, smallHostJitter its random part. They
	// then find the rows of the large hosts, which are their relays, and not an empty table.
	smallHostDelay  = 800 * time.Millisecond
	smallHostJitter = 700 * time.Millisecond
)

// delaysStart reports whether this host starts after the larger ones.
func (n *node) delaysStart() bool {
	return n.settings.FirstStart && n.settings.Cores > 0 && n.settings.Cores < largeHostCores
}

// follow starts the feeds of the store's tables.
func (n *node) follow(ctx context.Context, source feed.Source) {
	if n.delaysStart() {
		pause.For(ctx, smallHostDelay+rand.N(smallHostJitter))
	}
	n.view.Follow(ctx, source, n.settings.FirstStart)
}

// startGossip starts the exchange of state with the other hosts.
func (n *node) startGossip(ctx context.Context) error {
	e, err := gossip.Listen(n.settings.PeerAddress, n.host(), n.view.Roster(), n.statusUpdate, n.receive, n.clock.Now, n.log)
	if err != nil {
		return err
	}
	n.rolloutSender.set(e)
	n.originSender.set(e)
	loop := n.watchdog.Watch("exchange")
	go e.Run(ctx, func() {
		loop.Kick()
		n.applyPeerState()
	})
	go n.reportLeaving(ctx, e)
	n.watchLinks(ctx, e)
	go e.SendUrgent(ctx, n.router.Urgent(), n.urgentUpdate)
	return nil
}

// checkReady returns nil if the process accepts callers, otherwise an error with the reason.
func (n *node) checkReady() error {
	switch {
	case n.lifecycle.IsLeaving():
		return errors.New("stopping")
	case n.watchdog.Stalled() != nil:
		return n.watchdog.Stalled()
	case !n.known():
		return errors.New("configuration, endpoints or hosts not known yet, or other hosts not asked yet")
	default:
		return nil
	}
}

// sweepConnections closes connections to endpoints that are no longer used.
func (n *node) sweepConnections(ctx context.Context) {
	loop := n.watchdog.Watch("sweep")
	for ctx.Err() == nil {
		pause.For(ctx, sweepInterval)
		loop.Kick()
		n.pool.Sweep(n.inUse())
		n.peerPool.Sweep(func(string) bool { return true })
	}
}

// inUse returns a function that reports whether an address belongs to an endpoint in use. The
// function lists the endpoints on its first call, so that a host without connections does not.
func (n *node) inUse() func(address string) bool {
	var used map[string]bool
	return func(address string) bool {
		if used == nil {
			used = map[string]bool{}
			for _, info := range n.router.Endpoints() {
				used[info.Address] = true
			}
		}
		return used[address]
	}
}

// callLogInterval is the time between log lines about this host's calls to the store.
const callLogInterval = 10 * time.Second

// logCalls logs the calls that this host has made to the store, if there were any.
func (n *node) logCalls(ctx context.Context) {
	for pause.For(ctx, callLogInterval) {
		if calls := n.store.Summary(); calls != "" {
			n.log.Info().Str("calls", calls).Msg("calls to the store")
		}
	}
}

// checkSettings checks the settings on each signal. Changes take effect only when the process restarts.
func (n *node) checkSettings(reloads <-chan os.Signal) {
	for range reloads {
		if _, err := n.platform.ReadSettings(); err != nil {
			n.log.Error().Err(err).Msg("settings are invalid")
			continue
		}
		n.log.Info().Msg("settings checked; changes take effect after a restart")
	}
}
