package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"ironhollow/platform/standin"
)

// Options configures a run.
type Options struct {
	// Program is the path of ironhollow-node, Folder the folder for settings and logs.
	Program, Folder string
	// OtherProgram is the path of another release of it, which every other host runs; empty for none.
	OtherProgram string
	Seed         uint64
	// Length is how long faults are injected.
	Length  time.Duration
	Nodes   int
	Callers int
	// RequestPause is the mean time between two requests of a caller, 0 for the default.
	RequestPause time.Duration
	// Log receives a line for each fault.
	Log io.Writer
}

// programOf returns the program of a host.
func (o Options) programOf(host int) string {
	if o.OtherProgram != "" && host%2 == 1 {
		return o.OtherProgram
	}
	return o.Program
}

// Outcome is the result of a run.
type Outcome struct {
	Served, Failed int
	// ReportedWindows is how many usage windows were reported.
	ReportedWindows int
	// Violations describes each violation of a guarantee.
	Violations []string
}

// Timing and sizes of a run.
const (
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 3 * time.Second
	// drainTime is how long an endpoint keeps serving after it announces that it leaves.
	drainTime = 3 * time.Second
	// faultPause is the mean time between two faults, which may overlap.
	faultPause = 700 * time.Millisecond
	// recoveryTime is how long after the last fault the system must have recovered, and
	// calmTime how long it is observed then.
	recoveryTime = 8 * time.Second
	calmTime     = 3 * time.Second
	// minServedShare is the share of requests that must be served when no faults are injected.
	minServedShare = 0.98
	// plainEndpoints and streamEndpoints are the numbers of endpoints of the two services.
	plainEndpoints  = 3
	streamEndpoints = 3
	startTimeout    = 10 * time.Second
	// anyPortAddress lets a proxy listen on any free port.
	anyPortAddress = "127.0.0.1:0"
	// endpointRestartDelay is the time from a crash caused by a request to the restart.
	endpointRestartDelay = 1500 * time.Millisecond
	// stackDumpTime is how long a process that is not ready has to print its goroutine stacks.
	stackDumpTime = 500 * time.Millisecond
	// readyTimeout is how long all hosts together may take to report that they are ready when
	// no faults are injected. Each single query has a timeout of one second.
	readyTimeout = 5 * time.Second
)

// run is the state of a run in progress.
type run struct {
	options       Options
	random        *rand.Rand
	store         *standin.Store
	cloud         *standin.Cloud
	requestLog    *standin.RequestLog
	nodes         []*node
	report        *report
	configVersion int
	started       time.Time
	// fragility is shared by the plain endpoints; nil if they have no capacity.
	fragility *standin.Fragility
	timers    sync.WaitGroup

	mu               sync.Mutex
	endpoints        []*standin.Endpoint
	proxies          []*Proxy
	endpointsStarted int
	// stopTimes are the times at which hosts were stopped, killed or suspended.
	stopTimes []time.Time
	// unreachable are the times at which hosts may not have reached endpoints.
	unreachable []window
	// stopped is true once no more endpoints may be started.
	stopped bool
	// plainVersion is the version of the endpoints of the plain service.
	plainVersion standin.Version
	// streamVersions are the versions of the endpoints of the stream service.
	streamVersions []string
	// separateLinks is set if each host reaches endpoints over links of its own, node.links.
	separateLinks bool
	// firstReads is sent a value when host 0 has read the rows of endpoints. Host 0 and the others do not know each
	// other if it is set.
	firstReads chan struct{}
}

// Run makes one run. It returns an error if the run could not be started or was canceled.
func Run(ctx context.Context, o Options) (Outcome, error) {
	r := newRun(o)
	r.separateLinks = true
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, err
	}
	stopCallers := r.startCallers(ctx)
	stopCrashing := r.startCrashing(ctx)
	r.startRejections()
	r.startLimits()
	r.startEndings()
	r.startSevers()
	r.startSendFaults()
	r.startRestores(ctx)
	r.startCuts()
	r.injectFaults(ctx)
	r.timers.Wait()
	r.wait(ctx, recoveryTime)
	calmSince := time.Now()
	r.checkRecovery(ctx)
	stopCrashing()
	stopCallers()
	r.checkHeldBack(calmSince)
	r.checkInvariants()
	return r.outcome(), ctx.Err()
}

// outcome returns the result of the run. Callers must have stopped and all checks must be done.
func (r *run) outcome() Outcome {
	served, failed := r.report.totals()
	return Outcome{served, failed, r.cloud.ReportedWindows(), append(r.report.violations, r.cloud.Violations()...)}
}

func newRun(o Options) *run {
	return &run{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 0)), store: standin.NewStore(), cloud: standin.NewCloud(),
		requestLog: standin.NewRequestLog(), report: newReport(), configVersion: 1, started: time.Now(),
		plainVersion: standin.Version{Name: initialVersion}, streamVersions: slices.Repeat([]string{initialVersion}, streamEndpoints),
	}
}

// startCallers starts the callers and returns a function that stops them and waits until all have
// ended.
func (r *run) startCallers(ctx context.Context) (stop func()) {
	callersCtx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range r.options.Callers {
		c := newCaller(i, r.options, r.nodes, r.report)
		callers.Go(func() { c.run(callersCtx) })
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

func (r *run) log(format string, args ...any) {
	_, _ = fmt.Fprintf(r.options.Log, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the stand-ins and the processes, and waits until all are ready.
func (r *run) start() error {
	storeAddress, _, err := standin.Serve(r.store)
	if err != nil {
		return err
	}
	cloudAddress, _, err := standin.Serve(r.cloud)
	if err != nil {
		return err
	}
	if err := standin.PutConfiguration(r.store, r.configVersion, r.configVersion); err != nil {
		return err
	}
	for i := range plainEndpoints + len(r.streamVersions) {
		r.endpoints = append(r.endpoints, nil)
		r.proxies = append(r.proxies, nil)
		if err := r.startEndpoint(i); err != nil {
			return err
		}
	}
	for i := range r.options.Nodes {
		var links *endpointLinks
		if r.separateLinks {
			links = newEndpointLinks(r.requestLog.AddAlias, func(err error) { r.report.addViolation("node-%d: link to an endpoint: %v", i, err) })
			if storeAddress, _, err = standin.Serve(r.store.View(links.address)); err != nil {
				return err
			}
		}
		if r.firstReads != nil {
			if storeAddress, _, err = standin.Serve(r.hideHosts(i == 0)); err != nil {
				return err
			}
		}
		n, err := newNode(i, r.options.programOf(i), r.options.Folder, storeAddress, cloudAddress)
		if err != nil {
			return err
		}
		n.links = links
		r.nodes = append(r.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return r.waitReady(startTimeout)
}

func (r *run) waitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(timeout)
	for _, n := range r.nodes {
		for !n.ready(client) {
			if time.Now().After(deadline) {
				// SIGQUIT makes the program print its goroutine stacks to its log.
				n.signal(syscall.SIGQUIT)
				time.Sleep(stackDumpTime)
				return fmt.Errorf("%s is not ready after %v", n.settings.Name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (r *run) startEndpoint(i int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpointsStarted++
	service, version := standin.PlainService, r.plainVersion
	if i >= plainEndpoints {
		service, version = standin.StreamService, standin.Version{Name: r.streamVersions[i-plainEndpoints]}
	}
	for try := 1; ; try++ {
		// Outgoing connections cannot take the port while the endpoint is restarted.
		address, _, err := freePort()
		if err != nil {
			return err
		}
		err = r.startEndpointAt(i, service, version, address)
		if !errors.Is(err, syscall.EADDRINUSE) || try == maxLinkAttempts {
			return err
		}
		// The port was taken meanwhile.
	}
}

// initialVersion is the version of all endpoints at the start of a run.
const initialVersion = "v1"

// startEndpointAt starts endpoint i behind a proxy that listens on the given address. The caller
// holds r.mu.
func (r *run) startEndpointAt(i int, service string, version standin.Version, listenAddress string) error {
	return r.startEndpointAs(fmt.Sprintf("i-%d-%d", i, r.endpointsStarted), i, service, version, listenAddress)
}

// startEndpointAs is startEndpointAt with an ID.
func (r *run) startEndpointAs(id string, i int, service string, version standin.Version, listenAddress string) error {
	var proxy *Proxy
	shared := r.fragility
	if service != standin.PlainService {
		shared = nil
	}
	e, err := standin.StartFragileEndpoint(id, service, version, r.store, r.requestLog, shared, func(address string) (string, error) {
		var err error
		if proxy, err = NewProxyAt(listenAddress, address); err != nil {
			return "", err
		}
		return proxy.Address(), nil
	})
	if err != nil {
		return err
	}
	e.SetLingering(r.lingers(i))
	e.OnCrash(func() { r.handleCrash(id, i, service, version, proxy) })
	r.endpoints[i], r.proxies[i] = e, proxy
	return nil
}

// handleCrash closes the proxy of an endpoint that a request has crashed, and starts another endpoint
// at the same address after endpointRestartDelay.
func (r *run) handleCrash(id string, i int, service string, version standin.Version, proxy *Proxy) {
	proxy.Close()
	r.setEndpointDown(proxy.Address(), true)
	r.log("endpoint %d crashed by a request", i)
	time.AfterFunc(endpointRestartDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.stopped || r.proxies[i] != proxy {
			return
		}
		r.endpointsStarted++
		if !r.restartsUnderID(i) {
			id = fmt.Sprintf("i-%d-%d", i, r.endpointsStarted)
		}
		if err := r.startEndpointAs(id, i, service, version, proxy.Address()); err != nil {
			r.report.addViolation("endpoint %d: %v", i, err)
		}
		r.setEndpointDown(proxy.Address(), false)
	})
}

// setEndpointDown sets whether all hosts' links to an address refuse connections.
func (r *run) setEndpointDown(address string, down bool) {
	for _, n := range r.nodes {
		if n.links != nil {
			n.links.setDown(address, down)
		}
	}
}

func (r *run) endpointProxy(i int) *Proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proxies[i]
}

// replace starts a new endpoint in place of another one and calls stop for the old one.
func (r *run) replace(i int, stop func(*standin.Endpoint)) {
	r.mu.Lock()
	old := r.endpoints[i]
	r.mu.Unlock()
	if err := r.startEndpoint(i); err != nil {
		r.report.addViolation("endpoint %d: %v", i, err)
		return
	}
	stop(old)
}

func (r *run) schedule(after time.Duration, action func()) {
	r.timers.Go(func() {
		time.Sleep(after)
		action()
	})
}

func (r *run) markAllFaulty(duration time.Duration) {
	for _, n := range r.nodes {
		n.markFaulty(time.Now().Add(duration))
	}
}

func (r *run) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// injectFaults injects random faults for the length of the run.
func (r *run) injectFaults(ctx context.Context) {
	r.wait(ctx, time.Second)
	for end := time.Now().Add(r.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		r.inject(randomFault(r.random, len(r.nodes), len(r.endpoints)))
		r.wait(ctx, time.Duration(r.random.Int64N(int64(2*faultPause))))
	}
}

// checkRecovery checks that the system has recovered from the faults.
func (r *run) checkRecovery(ctx context.Context) {
	if err := r.waitReady(readyTimeout); err != nil {
		r.report.addViolation("%v after the faults ended: %v", recoveryTime, err)
	}
	servedBefore, failedBefore := r.report.totals()
	r.wait(ctx, calmTime)
	served, failed := r.report.totals()
	served, failed = served-servedBefore, failed-failedBefore
	if float64(served) < minServedShare*float64(served+failed) || served == 0 {
		r.report.addViolation("after the faults ended: got %d requests served and %d failed", served, failed)
	}
}

// checkInvariants compares what endpoints ran with the responses that callers received, and checks
// notices, limits and deadlines.
func (r *run) checkInvariants() {
	for _, id := range r.report.atMostOnce {
		if runs := r.requestLog.Runs(id); runs > 1 {
			r.report.addViolation("%s ran %d times, want once at most", id, runs)
		}
	}
	for _, id := range r.report.reportedNotRun {
		if r.requestLog.Runs(id) > 0 {
			r.report.addViolation("%s ran although its response said that it did not", id)
		}
	}
	r.checkEndings()
	r.checkOverlaps()
	r.checkNotices()
	r.checkLimits()
	r.checkDeadlines()
	for _, late := range r.requestLog.LateRequests() {
		noFaults := true
		for _, n := range r.nodes {
			noFaults = noFaults && !n.faulty(late.At)
		}
		if noFaults {
			r.report.addViolation("%s reached an endpoint %v after it announced that it leaves", late.Request, late.After)
		}
	}
}

// stop stops all processes that this run started, and its endpoints and proxies.
func (r *run) stop() {
	for _, n := range r.nodes {
		n.stop()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for i, e := range r.endpoints {
		if e != nil {
			e.Stop()
			r.proxies[i].Close()
		}
	}
}
