package node

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/cobra"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/relay"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
	"ironhollow/pkg/table"
	"ironhollow/pkg/upstream"
	"ironhollow/pkg/usage"
)

// Times of a node.
const (
	// storeCall bounds one call to the store; it answers within 4 ms as a rule.
	storeCall = time.Second
	// deadPeer is how long sent bytes may stay unacknowledged.
	deadPeer = 3 * time.Second
	// stopMargin is kept of the grace: the process must be gone before its end.
	stopMargin = 300 * time.Millisecond
	// streamsTaken is how long after the stop began new streams are taken: callers
	// have been told the other hosts by then, and a stream takes seconds.
	streamsTaken = 2500 * time.Millisecond
	// closeTime is how long the close of idle connections may take at the end.
	closeTime = 400 * time.Millisecond
	// sweepPause is the time between looks for connections idle for too long.
	sweepPause = 500 * time.Millisecond
	// memoryShare of the process's limit is the collector's soft limit; unread
	// bytes in sockets count towards the limit too.
	memoryShare = 0.6
	// collectAt is the growth in percent at which garbage is collected.
	collectAt = 60
)

// engineFigures are used until an endpoint's own have been measured: a large
// model on a current accelerator reads some 50 tokens a millisecond and makes
// one in about 7 ms.
var engineFigures = route.Figures{TokenGap: 7 * time.Millisecond, Prefill: 20 * time.Microsecond, MeanAnswer: time.Second}

// node is a running process.
type node struct {
	settings    Settings
	platform    Platform
	incarnation string
	log         *log.Logger
	clock       *storeclock.Clock
	store       Store
	// copy is what others follow through this host, by peers.
	copy      *relay.Copy
	peers     *http.Client
	view      *storeview.View
	router    *route.Router
	limits    *limit.Shared
	pool      *upstream.Pool
	counter   *usage.Counter
	reporter  *usage.Reporter
	orderer   *autoscale.Orderer
	leases    *lease.Manager
	traffic   *autoscale.Traffic
	forwarder *forward.Forwarder
	registry  *prometheus.Registry

	leaving atomic.Bool
	// leavingSince is when it began to leave, counted from the start.
	leavingSince atomic.Int64
	rowMu        sync.Mutex
	rowSequence  int64
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
	n := newNode(platform, settings)
	n.log.Info().Str("incarnation", n.incarnation).Str("dc", settings.DataCenter).Msg("start")
	go n.watchReloads()
	return n.serve(ctx)
}

func tuneMemory(s Settings) {
	debug.SetGCPercent(collectAt)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
}

func newNode(platform Platform, s Settings) *node {
	n := &node{
		settings:    s,
		platform:    platform,
		incarnation: s.Node + "." + rand.Text()[:10],
		log:         process.NewAsyncLog(os.Stdout, s.Node),
		clock:       storeclock.New(),
		pool:        upstream.New(deadPeer),
		traffic:     autoscale.NewTraffic(),
	}
	n.limits = limit.NewShared(limit.Tolerance(s.Limits), n.clock.Now())
	client := &http.Client{Transport: newTransport()}
	n.store = platform.Store(client, s)
	n.copy = relay.NewCopy(n.clock.Now)
	n.peers = &http.Client{Transport: newTransport()}
	home := route.Home{Node: s.Node, DataCenter: s.DataCenter}
	n.view = storeview.New(platform, s.EndpointHeartbeat, n.clock, roster.New(silence, gossip.Interval), home, n.incarnation, n.log)
	n.router = route.NewWithFigures(n.view.Directory(), hazard.New(), home, uint64(n.clock.Now().UnixNano()), engineFigures)
	n.counter = usage.NewCounter(s.UsageWindow, n.trueTime)
	writer := table.NewWriter(n.store, n.incarnation)
	n.leases = lease.New(writer, n.incarnation, lease.Timing{Duration: s.Lease, Renew: s.Lease / renewals})
	cloud := &dutyCloud{platform.Cloud(client, s), n.leases}
	n.reporter = usage.NewReporter(n.counter, n.view.Roster(), writer, cloud, n.log)
	n.orderer = autoscale.NewOrderer(cloud, n.log)
	budget := retry.NewWindow(s.Retry.Share, s.Retry.Slack, s.Retry.Window)
	n.registry = process.NewRegistry()
	n.forwarder = forward.New(platform.Protocol(), n.view.Tables(), n.router, n.limits, budget, n.pool, n.counter,
		fleet{n.view.Roster(), s.Node}, n.phase, n.clock.Now, forward.NewMetrics(n.registry), n.log)
	return n
}

// fleet is the roster as one host sees it.
type fleet struct {
	*roster.Roster
	node string
}

// Share returns the part of a bound on all hosts together that this one may use.
func (f fleet) Share() float64 { return f.Roster.Share(f.node) }

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

// trueTime is the store's clock plus what the hosts agree it differs by from
// the time of day; this host's own time of day as long as that is not known.
func (n *node) trueTime() time.Time {
	storeNow, known := n.clock.Store()
	offset, agreed := n.view.Roster().ClockOffset()
	if !known || !agreed {
		return n.clock.Now()
	}
	return time.Unix(0, int64(storeNow+offset))
}

// serve runs until ctx ends, and then until callers have left or the grace is
// nearly over.
func (n *node) serve(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := relay.NewSource(n.store, n.copy, n.peers, n.view.Relay, n.view.RelayLag, n.log)
	go n.view.Follow(background, source, n.settings.FirstStart)
	go n.beat(background)
	go n.sweep(background)
	if err := n.exchange(background); err != nil {
		return err
	}
	var duties sync.WaitGroup
	dutiesCtx, endDuties := context.WithCancel(background)
	duties.Go(func() { n.duties(dutiesCtx) })

	faults := make(chan error, 3)
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
	n.leavingSince.Store(int64(n.clock.Running()))
	n.leaving.Store(true)
	n.log.Info().Dur("grace", n.settings.Grace).Msg("stopping")
	endDuties()
	go n.writeRow(background)
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

// exchange starts to tell the other hosts what is under way here.
func (n *node) exchange(ctx context.Context) error {
	e, err := gossip.Listen(n.settings.Peers, n.host(), n.view.Roster(), n.told, n.hear, n.log)
	if err != nil {
		return err
	}
	go e.Run(ctx, n.takeLoads)
	return nil
}

// isReady returns why the process does not take callers, nil if it does.
func (n *node) isReady() error {
	switch {
	case n.leaving.Load():
		return errors.New("stopping")
	case !n.view.Ready():
		return errors.New("configuration, endpoints or hosts not known yet")
	default:
		return nil
	}
}

// sweep closes connections to endpoints that are no longer used.
func (n *node) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, sweepPause)
		used := map[string]bool{}
		for _, info := range n.router.InUse() {
			used[info.Address] = true
		}
		n.pool.Sweep(func(address string) bool { return used[address] })
	}
}

// phase tells the forwarder how far this process is on its way to its end.
func (n *node) phase() forward.Phase {
	switch {
	case !n.leaving.Load():
		return forward.Serving
	case n.clock.Running()-time.Duration(n.leavingSince.Load()) < streamsTaken:
		return forward.Leaving
	default:
		return forward.Ending
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
