package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"ironhollow/platform/standin"
)

// Options of a run.
type Options struct {
	// Program is the path of ironhollow-node, Folder where logs go.
	Program, Folder string
	Seed            uint64
	// Length is how long faults are injected.
	Length  time.Duration
	Nodes   int
	Callers int
	// RequestPause is the mean time between two requests of a caller, 0 for the usual.
	RequestPause time.Duration
	// Log takes a line for each fault.
	Log io.Writer
}

// Outcome is how a run ended.
type Outcome struct {
	Served, Failed int
	// ReportedWindows is how many windows of usage were reported.
	ReportedWindows int
	// Violations is every broken promise.
	Violations []string
}

// Figures of a run.
const (
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 3 * time.Second
	// drainTime is how long an endpoint serves after it said that it leaves.
	drainTime = 3 * time.Second
	// faultPause is the mean time between two faults: they overlap.
	faultPause = 700 * time.Millisecond
	// recoveryTime is how long after the last fault all must be well again, and
	// calm how long it is watched then.
	recoveryTime = 8 * time.Second
	calmTime     = 3 * time.Second
	// minServedShare is the share of requests that must be served when all is well.
	minServedShare = 0.98
	// plainEndpoints and streamEndpoints are how many of each there are.
	plainEndpoints  = 3
	streamEndpoints = 3
	startTimeout    = 10 * time.Second
	// anyPortAddress is where a proxy listens that may be anywhere.
	anyPortAddress = "127.0.0.1:0"
	// endpointRestartDelay is how long an endpoint is away that a request has ended.
	endpointRestartDelay = 1500 * time.Millisecond
	// stackDumpTime is how long a process that is not ready has to print why.
	stackDumpTime = 500 * time.Millisecond
	// readyTimeout is how long all hosts together may take to say that they are
	// ready when all is well: each is asked with a second's patience.
	readyTimeout = 5 * time.Second
)

// run is a run in progress.
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
	timers        sync.WaitGroup

	mu               sync.Mutex
	endpoints        []*standin.Endpoint
	proxies          []*Proxy
	endpointsStarted int
	// stopTimes is when hosts were stopped, killed or frozen.
	stopTimes []time.Time
	// stopped says that no endpoint is started any more.
	stopped bool
}

// Run makes one run. The error says that it could not be made.
func Run(ctx context.Context, o Options) (Outcome, error) {
	r := newRun(o)
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, err
	}
	stopCallers := r.startCallers(ctx)
	stopCrashing := r.startCrashing(ctx)
	r.startRejections()
	r.startLimits()
	r.startRestores(ctx)
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

// outcome is how the run ended, once callers have stopped and all is checked.
func (r *run) outcome() Outcome {
	served, failed := r.report.totals()
	return Outcome{served, failed, r.cloud.ReportedWindows(), append(r.report.violations, r.cloud.Violations()...)}
}

func newRun(o Options) *run {
	return &run{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 0)), store: standin.NewStore(), cloud: standin.NewCloud(),
		requestLog: standin.NewRequestLog(), report: newReport(), configVersion: 1, started: time.Now(),
	}
}

// startCallers has callers send until the function returned is called; it returns
// once all have ended.
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
	for i := range plainEndpoints + streamEndpoints {
		r.endpoints = append(r.endpoints, nil)
		r.proxies = append(r.proxies, nil)
		if err := r.startEndpoint(i); err != nil {
			return err
		}
	}
	for i := range r.options.Nodes {
		n, err := newNode(i, r.options.Program, r.options.Folder, storeAddress, cloudAddress)
		if err != nil {
			return err
		}
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
				// The program prints what its goroutines do, into its log.
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
	service := standin.PlainService
	if i >= plainEndpoints {
		service = standin.StreamService
	}
	return r.startEndpointAt(i, service, standin.Version{Name: initialVersion}, anyPortAddress)
}

// initialVersion is the software of all endpoints at the start.
const initialVersion = "v1"

// startEndpointAt starts an endpoint at a place, told at an address. The lock is held.
func (r *run) startEndpointAt(i int, service string, version standin.Version, listenAddress string) error {
	var proxy *Proxy
	e, err := standin.StartEndpoint(fmt.Sprintf("i-%d-%d", i, r.endpointsStarted), service, version, r.store, r.requestLog, func(address string) (string, error) {
		var err error
		if proxy, err = NewProxyAt(listenAddress, address); err != nil {
			return "", err
		}
		return proxy.Address(), nil
	})
	if err != nil {
		return err
	}
	e.OnCrash(func() { r.handleCrash(i, service, version, proxy) })
	r.endpoints[i], r.proxies[i] = e, proxy
	return nil
}

// handleCrash ends what stands before an endpoint that a request has ended, and starts
// another at its address after a while.
func (r *run) handleCrash(i int, service string, version standin.Version, proxy *Proxy) {
	proxy.Close()
	r.log("endpoint %d is ended by a request", i)
	time.AfterFunc(endpointRestartDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.stopped || r.proxies[i] != proxy {
			return
		}
		r.endpointsStarted++
		if err := r.startEndpointAt(i, service, version, proxy.Address()); err != nil {
			r.report.addViolation("endpoint %d: %v", i, err)
		}
	})
}

func (r *run) endpointProxy(i int) *Proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proxies[i]
}

// replace ends an endpoint in some way and starts another in its place.
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

// injectFaults injects injectFaults for the run's length.
func (r *run) injectFaults(ctx context.Context) {
	r.wait(ctx, time.Second)
	for end := time.Now().Add(r.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		r.inject(randomFault(r.random, len(r.nodes), len(r.endpoints)))
		r.wait(ctx, time.Duration(r.random.Int64N(int64(2*faultPause))))
	}
}

// checkRecovery checks that all is well again after the faults.
func (r *run) checkRecovery(ctx context.Context) {
	if err := r.waitReady(readyTimeout); err != nil {
		r.report.addViolation("%v after the faults ended: %v", recoveryTime, err)
	}
	servedBefore, failedBefore := r.report.totals()
	r.wait(ctx, calmTime)
	served, failed := r.report.totals()
	served, failed = served-servedBefore, failed-failedBefore
	if float64(served) < minServedShare*float64(served+failed) || served == 0 {
		r.report.addViolation("after the faults ended %d requests were served and %d failed", served, failed)
	}
}

// checkInvariants checks what endpoints ran against what callers were told.
func (r *run) checkInvariants() {
	for _, id := range r.report.atMostOnce {
		if runs := r.requestLog.Runs(id); runs > 1 {
			r.report.addViolation("%s may run once and ran %d times", id, runs)
		}
	}
	for _, id := range r.report.reportedNotRun {
		if r.requestLog.Runs(id) > 0 {
			r.report.addViolation("%s was said not to have run, and ran", id)
		}
	}
	r.checkNotices()
	r.checkLimits()
	r.checkDeadlines()
	for _, late := range r.requestLog.LateRequests() {
		noFaults := true
		for _, n := range r.nodes {
			noFaults = noFaults && !n.faulty(late.At)
		}
		if noFaults {
			r.report.addViolation("%s came to an endpoint %v after it said that it leaves", late.Request, late.After)
		}
	}
}

// stop ends all processes that this run started, and its stand-ins.
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
