package node

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	"ironhollow/pkg/limit"
	"ironhollow/pkg/loadsync"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/quarantinesync"
	"ironhollow/pkg/relay"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/rolloutsync"
	"ironhollow/pkg/route"
	"ironhollow/pkg/storecalls"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
	"ironhollow/pkg/upstream"
	"ironhollow/pkg/usage"
	"ironhollow/pkg/watchdog"
)

// Times of a node.
const (
	// stopMargin is kept of the grace: the process must be gone before its end.
	stopMargin = 300 * time.Millisecond
	// closeTime is how long the close of idle connections may take at the end.
	closeTime = 400 * time.Millisecond
	// mostFaults is how many faults of the ports and the watchdog may wait to be read.
	mostFaults = 8
	// sweepPause is the time between looks for connections idle for too long.
	sweepPause = 500 * time.Millisecond
	// memoryShare of the process's limit is the collector's soft limit; unread
	// bytes in sockets count towards the limit too.
	memoryShare = 0.6
	// collectAt is the growth in percent at which garbage is collected.
	collectAt = 60
)

// node is a running process.
type node struct {
	settings    Settings
	platform    Platform
	incarnation Incarnation
	log         *log.Logger
	clock       *storeclock.Clock
	life        *life
	store       *storecalls.Counted
	// copy is what others follow through this host, by peers.
	copy      *relay.Replica
	peers     peerClient
	view      *storeview.View
	router    *route.Router
	loads     *loadsync.Sync
	limits    *limit.CostLimiter
	pool      *upstream.Pool
	counter   *usage.Counter
	reporter  *usage.Reporter
	orderer   *autoscale.Reconciler
	leases    *lease.Manager
	traffic   *autoscale.DemandTracker
	forwarder *forward.Forwarder
	registry  *prometheus.Registry
	row       *ownRow
	role      *fleetRole
	rollouts  *rollout.Splitter
	desk      *rolloutsync.Coordinator
	datagrams *datagrams
	replaced  replacedBy
	crashes   *quarantine.Watch
	keeper    *quarantinesync.Syncer
	notices   *notice.Tracker
	watchdog  *watchdog.Watchdog

	suspensions *suspensions
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
				exit = process.ExitSettings
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
			exit = process.ExitFault
		}
	}
	return exit
}

func run(platform Platform, settings Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	tuneMemory(settings)
	n := build(platform, settings, newIncarnation(settings))
	n.log.Info().Str("incarnation", string(n.incarnation)).Str("dc", settings.DataCenter).Msg("start")
	go n.watchReloads()
	return n.serve(ctx)
}

func tuneMemory(s Settings) {
	debug.SetGCPercent(collectAt)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
}

// serve runs until ctx ends, and then until callers have left or the grace is
// nearly over.
func (n *node) serve(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := relay.NewSource(n.store, n.copy, n.peers.Client, n.view.Relays, n.view.MaxRelayLag, n.view.IsAdvertised, n.log)
	go n.follow(background, source)
	go n.beat(background)
	go n.sweep(background)
	go n.logCalls(background)
	go n.followRollouts(background, source)
	go n.keepQuarantine(background)
	if err := n.exchange(background); err != nil {
		return err
	}
	var duties sync.WaitGroup
	dutiesCtx, endDuties := context.WithCancel(background)
	duties.Go(func() { n.duties(dutiesCtx) })
	duties.Go(func() { n.ownRollouts(dutiesCtx) })
	go n.sendRollouts(dutiesCtx)

	faults := make(chan error, mostFaults)
	go func() {
		if err := n.watchdog.Run(background); err != nil {
			faults <- err
		}
	}()
	servers, err := n.listen(faults)
	if err != nil {
		endDuties()
		return err
	}
	select {
	case <-ctx.Done():
	case err := <-faults:
		endDuties()
		return err
	}
	started := time.Now()
	n.life.leave()
	n.log.Info().Dur("grace", n.settings.Grace).Msg("stopping")
	endDuties()
	if n.writesRow() {
		go n.writeRow(background)
	}
	pause.For(background, n.settings.Grace-stopMargin-closeTime-time.Since(started))
	closing, done := context.WithTimeout(background, closeTime)
	defer done()
	for _, s := range servers {
		if err := s.Shutdown(closing); err != nil {
			n.log.Warn().Err(err).Msg("requests were still running at the end of the grace")
		}
	}
	n.log.Info().Msg("stopped")
	if async, ok := n.log.Writer.(io.Closer); ok {
		_ = async.Close()
	}
	return nil
}

// Parameters of the first start of all hosts.
const (
	// largeHost is the processor share, in cores, from which on a host starts at once.
	largeHost = 0.3
	// smallStart and smallSpread are when the others do: they find the rows of the
	// large ones, which are their relays, in place of an empty table.
	smallStart  = 800 * time.Millisecond
	smallSpread = 700 * time.Millisecond
)

// startsLater reports whether this host lets the larger ones start first.
func (n *node) startsLater() bool {
	return n.settings.FirstStart && n.settings.Cores > 0 && n.settings.Cores < largeHost
}

// follow starts the feeds of the store's tables.
func (n *node) follow(ctx context.Context, source feed.Source) {
	if n.startsLater() {
		pause.For(ctx, smallStart+rand.N(smallSpread))
	}
	n.view.Follow(ctx, source, n.settings.FirstStart)
}

// exchange starts to tell the other hosts what is under way here.
func (n *node) exchange(ctx context.Context) error {
	e, err := gossip.Listen(n.settings.Peers, n.host(), n.view.Roster(), n.update, n.receive, n.clock.Now, n.log)
	if err != nil {
		return err
	}
	n.datagrams.set(e)
	loop := n.watchdog.Watch("exchange")
	go e.Run(ctx, func() {
		loop.Round()
		n.applyLoads()
	})
	go e.SendUrgent(ctx, n.router.Urgent(), n.updateOf)
	return nil
}

// isReady returns why the process does not take callers, nil if it does.
func (n *node) isReady() error {
	switch {
	case n.life.leaving():
		return errors.New("stopping")
	case n.watchdog.Stalled() != nil:
		return n.watchdog.Stalled()
	case !n.view.Ready():
		return errors.New("configuration, endpoints or hosts not known yet")
	default:
		return nil
	}
}

// sweep closes connections to endpoints that are no longer used.
func (n *node) sweep(ctx context.Context) {
	loop := n.watchdog.Watch("sweep")
	for ctx.Err() == nil {
		pause.For(ctx, sweepPause)
		loop.Round()
		n.pool.Sweep(n.inUse())
	}
}

// inUse returns a check whether an address is of an endpoint in use. It looks at them at
// the first question: a host without connections asks none.
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

// callsTold is the time between two lines on this host's calls to the store.
const callsLogged = 10 * time.Second

// tellCalls writes what this host has asked of the store, if anything.
func (n *node) logCalls(ctx context.Context) {
	for pause.For(ctx, callsLogged) {
		if calls := n.store.Summary(); calls != "" {
			n.log.Info().Str("calls", calls).Msg("calls to the store")
		}
	}
}

// watchReloads notes SIGHUP: all settings in use hold for a process's life.
func (n *node) watchReloads() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		if _, err := n.platform.ReadSettings(); err != nil {
			n.log.Error().Err(err).Msg("changed settings have faults")
			continue
		}
		n.log.Info().Msg("settings read again")
	}
}
