package reach

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/pause"
)

// Target is an endpoint or another host to which a check connects.
type Target struct {
	Address, DataCenter string
}

// Contact is how far a check reaches an endpoint.
type Contact int

// The contacts.
const (
	// NoContact means that the endpoint accepts no connection.
	NoContact Contact = iota
	// Accepts means that it accepts a connection and sends nothing: a balancer or a proxy on the way may
	// accept connections for an endpoint that is out of reach.
	Accepts
	// Answers means that it answers a request that it does not run.
	Answers
)

// Network is what a check does on the network. Both calls use new connections.
type Network interface {
	// Connect opens a connection to an endpoint, sends a request that no endpoint runs, and waits for a
	// byte of the answer until ctx ends.
	Connect(ctx context.Context, address string) Contact
	// Ask reports whether another host reaches endpoints.
	Ask(ctx context.Context, address string) bool
}

// Fleet lists what a check can use.
type Fleet interface {
	// Endpoints returns the endpoints that are known to serve.
	Endpoints() []Target
	// Hosts returns the other hosts that do not report a cut.
	Hosts() []Target
}

// Timing of checks.
const (
	// checkTimeout bounds the connections and questions of a check. Hosts and endpoints are less than
	// 40 ms away, so that a connection opens within this time unless packets are lost.
	checkTimeout = 400 * time.Millisecond
	// askDelay is the time for endpoints to answer before other hosts are asked. Most checks need no
	// other host.
	askDelay = 60 * time.Millisecond
	// endCheckInterval is the mean time between the checks of a host that is cut, endCheckJitter the
	// range in which it varies: many hosts may be cut at once.
	endCheckInterval = 300 * time.Millisecond
	endCheckJitter   = 100 * time.Millisecond
	// deadCheckInterval is the time between checks while no host reaches an endpoint.
	deadCheckInterval = 700 * time.Millisecond
	// maxTargets is the number of endpoints and of hosts in a check.
	maxTargets = 3
)

// Monitor runs the checks of a Detector and answers those of other hosts. It implements
// upstream.Observer. It is safe for concurrent use.
type Monitor struct {
	detector *Detector
	network  Network
	fleet    Fleet
	now      func() time.Time
	metrics  *Metrics
	log      *log.Logger
	// started and failed wake Run: started when it waits for the first request, failed when
	// connections have failed.
	started, failed pause.Signal
	// onChange is called with each beginning and end of a cut.
	onChange func(cut bool, sinceAnswer time.Duration)

	settleMu sync.Mutex
	// unsettled are failures of which it is not known yet whether a cut caused them.
	unsettled []func()

	probeMu sync.Mutex
	// probe is the latest connection to endpoints for other hosts, nil before the first.
	probe *probe
}

// NewMonitor returns a Monitor. now returns the time of a monotonic clock; it is called at each read of a
// connection.
func NewMonitor(network Network, fleet Fleet, now func() time.Time, metrics *Metrics, logger *log.Logger) *Monitor {
	return &Monitor{
		detector: NewDetector(now()), network: network, fleet: fleet, now: now, metrics: metrics, log: logger,
		started: pause.NewSignal(), failed: pause.NewSignal(), onChange: func(bool, time.Duration) {},
	}
}

// OnChange sets the function that is called when a cut has been detected or has ended, with the time since
// an endpoint last answered before the cut. It must be called before Run.
func (m *Monitor) OnChange(call func(cut bool, sinceAnswer time.Duration)) { m.onChange = call }

// IsCut reports whether this host has lost its links to endpoints.
func (m *Monitor) IsCut() bool { return m.detector.IsCut() }

// NoneReachable reports whether no endpoint can be reached from any host.
func (m *Monitor) NoneReachable() bool { return m.detector.NoneReachable() }

// IsDoubtful reports whether this host is cut, or whether a check that is under way or due may show it.
func (m *Monitor) IsDoubtful() bool { return m.detector.IsDoubtful(m.now()) }

// maxUnsettled bounds the failures that wait. Further ones are recorded at once.
const maxUnsettled = 1024

// Settle calls record once it is known that a failure that has just occurred was not caused by a cut,
// which takes as long as a check, and never if it was.
func (m *Monitor) Settle(record func()) {
	if m.IsCut() {
		return
	}
	m.settleMu.Lock()
	waits := m.IsDoubtful() && len(m.unsettled) < maxUnsettled
	if waits {
		m.unsettled = append(m.unsettled, record)
	}
	m.settleMu.Unlock()
	if !waits {
		record()
	}
}

// settle records the failures that wait, unless a cut is possible, and drops them if there is one.
func (m *Monitor) settle() {
	m.settleMu.Lock()
	var settled []func()
	switch {
	case m.IsCut():
		m.unsettled = nil
	case !m.IsDoubtful():
		settled, m.unsettled = m.unsettled, nil
	}
	m.settleMu.Unlock()
	for _, record := range settled {
		record()
	}
}

// Started implements upstream.Observer.
func (m *Monitor) Started(string) int64 {
	w := m.detector.Started(m.now())
	m.started.Set()
	return int64(w)
}

// Ended implements upstream.Observer.
func (m *Monitor) Ended(wait int64) { m.detector.Ended(Wait(wait), m.now()) }

// Received implements upstream.Observer.
func (m *Monitor) Received() { m.detector.Received(m.now()) }

// Failed implements upstream.Observer.
func (m *Monitor) Failed(address string) {
	if m.detector.Failed(address, m.now()) {
		m.failed.Set()
	}
	m.started.Set()
}

// Run checks the links when that is due until ctx ends. It calls kick in each round, which takes a few
// seconds at most.
func (m *Monitor) Run(ctx context.Context, kick func()) {
	for ctx.Err() == nil {
		kick()
		m.settle()
		switch wait, due := m.detector.UntilCheck(m.now()); {
		case m.NoneReachable():
			pause.For(ctx, deadCheckInterval)
			m.check(ctx)
		case m.IsCut():
			pause.For(ctx, endCheckInterval+endCheckJitter*time.Duration(rand.IntN(1000)-500)/1000)
			m.check(ctx)
		case due && wait <= 0:
			m.check(ctx)
		case due:
			m.sleep(ctx, min(wait, settleInterval), m.failed)
		default:
			m.sleep(ctx, maxSleep, m.started)
		}
	}
}

// settleInterval bounds the sleep while a check may become due, and with it how long failures wait after
// a byte has shown that they have another cause.
const settleInterval = 200 * time.Millisecond

// maxSleep bounds the sleep of an idle host, whose loop is watched.
const maxSleep = time.Second

// sleep waits for d, for the signal or for the end of ctx.
func (m *Monitor) sleep(ctx context.Context, d time.Duration, wake pause.Signal) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}

// check makes one check and applies its result.
func (m *Monitor) check(ctx context.Context) {
	startedAt, noneReachable := m.now(), m.NoneReachable()
	m.detector.CheckStarted(startedAt)
	c := m.measure(ctx)
	if ctx.Err() != nil {
		return
	}
	now := m.now()
	change := m.detector.CheckDone(c, startedAt, now)
	m.metrics.count(c, m.IsCut())
	switch {
	case m.NoneReachable() && !noneReachable:
		m.logChange(c).Msg("requests are refused: no host reaches an endpoint")
	case noneReachable && !m.NoneReachable():
		m.logChange(c).Msg("requests are accepted again: a host reaches an endpoint")
	}
	switch change {
	case CutDetected:
		sinceAnswer := now.Sub(m.detector.CutSince())
		m.logChange(c).Dur("silent", sinceAnswer).Msg("links to endpoints lost")
		m.onChange(true, sinceAnswer)
	case CutEnded:
		sinceAnswer := now.Sub(m.detector.CutSince())
		m.logChange(c).Dur("lasted", sinceAnswer).Msg("links to endpoints restored")
		m.onChange(false, sinceAnswer)
	case Unchanged:
	}
}

func (m *Monitor) logChange(c Check) *log.Entry {
	return m.log.Warn().Int("endpoints", c.Known).Int("tried", c.Tried).Int("accepted", c.Accepted).Int("answered", c.Answered).Int("asked", c.Asked).Int("in-touch", c.InTouch)
}

// measure connects to endpoints and, unless one of them answers soon, asks other hosts.
func (m *Monitor) measure(ctx context.Context) Check {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout+askDelay)
	defer cancel()
	known := m.fleet.Endpoints()
	targets := pick(known)
	c := Check{Known: len(known), Tried: len(targets)}
	if c.Tried == 0 {
		return c
	}
	needed := 1
	if m.IsCut() {
		needed = min(minAccepting, c.Known)
	}
	contacts := results(ctx, targets, checkTimeout, m.network.Connect)
	askTimer := time.NewTimer(askDelay)
	defer askTimer.Stop()
	var answers <-chan bool
	ask := func() {
		hosts := pick(m.fleet.Hosts())
		c.Asked = len(hosts)
		answers = results(ctx, hosts, checkTimeout, m.network.Ask)
	}
	for connecting, asking := c.Tried, -1; connecting > 0 || asking != 0; {
		if connecting == 0 && asking < 0 {
			ask()
			asking = c.Asked
			continue
		}
		select {
		case contact := <-contacts:
			connecting--
			if contact >= Accepts {
				c.Accepted++
			}
			if contact == Answers {
				c.Answered++
			}
			if c.Answered >= needed {
				return c
			}
		case inTouch := <-answers:
			asking--
			if inTouch {
				c.InTouch++
			}
			if c.InTouch > 0 && connecting == 0 {
				return c
			}
		case <-askTimer.C:
			if asking < 0 {
				ask()
				asking = c.Asked
			}
		}
	}
	return c
}

// results calls do for each target, each with a timeout, and returns a channel of the results.
func results[T any](ctx context.Context, targets []Target, timeout time.Duration, do func(context.Context, string) T) <-chan T {
	list := make(chan T, len(targets))
	for _, t := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			list <- do(ctx, t.Address)
		}()
	}
	return list
}

// pick returns up to maxTargets random targets, of different data centres as far as possible.
func pick(targets []Target) []Target {
	var picked, others []Target
	seen := map[string]bool{}
	for _, i := range rand.Perm(len(targets)) {
		t := targets[i]
		if seen[t.DataCenter] {
			others = append(others, t)
			continue
		}
		seen[t.DataCenter] = true
		picked = append(picked, t)
	}
	picked = append(picked, others...)
	return picked[:min(len(picked), maxTargets)]
}
