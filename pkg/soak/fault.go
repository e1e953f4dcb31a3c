package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"ironhollow/platform/standin"
)

// fault is a fault to inject: signalNode, disruptStoreLink, disruptEndpointLink, degradeStore,
// dropHistory, drainEndpoint, crashEndpoint or reconfigure.
type fault interface{ fault() }

// signalNode sends a signal to a host's process. A process that ends is restarted; one that SIGSTOP
// suspends is resumed after the duration.
type signalNode struct {
	node     int
	signal   syscall.Signal
	duration time.Duration
}

// disruptStoreLink changes the proxy mode between one host and the store.
type disruptStoreLink struct {
	node     int
	mode     Mode
	duration time.Duration
}

// disruptEndpointLink changes the proxy mode between all hosts and one endpoint.
type disruptEndpointLink struct {
	endpoint int
	mode     Mode
	duration time.Duration
}

// degradeStore makes the store unavailable, slow or lossy for all hosts.
type degradeStore struct {
	faults   standin.StoreFaults
	duration time.Duration
}

// dropHistory makes the store drop its history of changes.
type dropHistory struct{}

// drainEndpoint and crashEndpoint replace an endpoint, with and without draining it.
type (
	drainEndpoint struct{ endpoint int }
	crashEndpoint struct{ endpoint int }
)

// reconfigure writes the next configuration.
type reconfigure struct{}

func (signalNode) fault()          {}
func (disruptStoreLink) fault()    {}
func (disruptEndpointLink) fault() {}
func (degradeStore) fault()        {}
func (dropHistory) fault()         {}
func (drainEndpoint) fault()       {}
func (crashEndpoint) fault()       {}
func (reconfigure) fault()         {}

// randomFault returns a random fault.
func randomFault(random *rand.Rand, nodes, endpoints int) fault {
	duration := 500*time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second)))
	mode := Mode(1 + random.IntN(int(Reset)))
	switch random.IntN(10) {
	case 0:
		return signalNode{random.IntN(nodes), syscall.SIGKILL, 0}
	case 1, 2:
		return signalNode{random.IntN(nodes), syscall.SIGTERM, 0}
	case 3:
		return signalNode{random.IntN(nodes), syscall.SIGSTOP, duration}
	case 4:
		return disruptStoreLink{random.IntN(nodes), mode, duration}
	case 5:
		return disruptEndpointLink{random.IntN(endpoints), mode, duration}
	case 6:
		faults := []standin.StoreFaults{{Down: true}, {Slow: 200 * time.Millisecond}, {LoseWrites: 0.4}}
		return degradeStore{faults[random.IntN(len(faults))], duration}
	case 7:
		return drainEndpoint{random.IntN(endpoints)}
	case 8:
		return crashEndpoint{random.IntN(endpoints)}
	default:
		if random.IntN(3) == 0 {
			return dropHistory{}
		}
		return reconfigure{}
	}
}

// residualEffectTime is how long after a fault its effects may still show at a host.
const residualEffectTime = 4 * time.Second

// inject injects a fault; a fault with a duration is ended by a timer.
func (r *run) inject(f fault) {
	r.log("%s", describe(f))
	switch f := f.(type) {
	case signalNode:
		r.sendSignal(f)
	case disruptStoreLink:
		n := r.nodes[f.node]
		n.markFaulty(time.Now().Add(f.duration + residualEffectTime))
		r.setMode(n.storeProxy, f.mode)
		r.schedule(f.duration, func() { r.setMode(n.storeProxy, Pass) })
	case disruptEndpointLink:
		proxy := r.endpointProxy(f.endpoint)
		r.markUnreachable(f.duration)
		r.markAllFaulty(f.duration + residualEffectTime)
		r.setMode(proxy, f.mode)
		r.schedule(f.duration, func() { r.setMode(proxy, Pass) })
	case degradeStore:
		r.markAllFaulty(f.duration + residualEffectTime)
		r.store.SetFaults(f.faults)
		r.schedule(f.duration, func() { r.store.SetFaults(standin.StoreFaults{}) })
	case dropHistory:
		r.store.DropHistory()
	case drainEndpoint:
		r.replace(f.endpoint, func(e *standin.Endpoint) { e.Drain(drainTime) })
	case crashEndpoint:
		r.replace(f.endpoint, (*standin.Endpoint).Stop)
	case reconfigure:
		r.reconfigure()
	}
}

func (r *run) setMode(proxy *Proxy, mode Mode) {
	if err := proxy.SetMode(mode); err != nil {
		r.report.addViolation("proxy %s: %v", proxy.Address(), err)
	}
}

func (r *run) sendSignal(f signalNode) {
	n := r.nodes[f.node]
	n.markFaulty(time.Now().Add(f.duration + gracePeriod + residualEffectTime))
	n.signal(f.signal)
	r.recordStop()
	if f.signal == syscall.SIGSTOP {
		r.markUnreachable(f.duration)
		r.schedule(f.duration, func() { n.signal(syscall.SIGCONT) })
	}
}

func describe(f fault) string {
	switch f := f.(type) {
	case signalNode:
		return fmt.Sprintf("%v to node-%d, duration %v", f.signal, f.node, f.duration)
	case disruptStoreLink:
		return fmt.Sprintf("link from node-%d to the store: %v for %v", f.node, f.mode, f.duration)
	case disruptEndpointLink:
		return fmt.Sprintf("link to endpoint %d: %v for %v", f.endpoint, f.mode, f.duration)
	case degradeStore:
		return fmt.Sprintf("store: %+v for %v", f.faults, f.duration)
	case drainEndpoint:
		return fmt.Sprintf("endpoint %d leaves", f.endpoint)
	case crashEndpoint:
		return fmt.Sprintf("endpoint %d crashes", f.endpoint)
	default:
		return fmt.Sprintf("%T", f)
	}
}
