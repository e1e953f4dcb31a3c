package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"ironhollow/platform/standin"
)

// fault is one thing that goes wrong: stopNode, cutStore, harmEndpoint,
// storeTrouble, forget, leave, crash or reconfigure.
type fault interface{ fault() }

// stopNode signals a host's process. A stopped one is started again; a frozen one
// is woken after a time.
type stopNode struct {
	node    int
	signal  syscall.Signal
	lasting time.Duration
}

// cutStore harms the way from a host to the store.
type cutStore struct {
	node    int
	harm    Mode
	lasting time.Duration
}

// harmEndpoint harms the way from all hosts to an endpoint.
type harmEndpoint struct {
	endpoint int
	harm     Mode
	lasting  time.Duration
}

// storeTrouble makes the store down, slow or lossy for all.
type storeTrouble struct {
	trouble standin.StoreFaults
	lasting time.Duration
}

// forget makes the store forget its history.
type forget struct{}

// leave replaces an endpoint in order, crash at once.
type (
	leave struct{ endpoint int }
	crash struct{ endpoint int }
)

// reconfigure puts another configuration in force.
type reconfigure struct{}

func (stopNode) fault()     {}
func (cutStore) fault()     {}
func (harmEndpoint) fault() {}
func (storeTrouble) fault() {}
func (forget) fault()       {}
func (leave) fault()        {}
func (crash) fault()        {}
func (reconfigure) fault()  {}

// draw draws a fault.
func draw(random *rand.Rand, nodes, endpoints int) fault {
	lasting := 500*time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second)))
	harm := Mode(1 + random.IntN(int(Reset)))
	switch random.IntN(10) {
	case 0:
		return stopNode{random.IntN(nodes), syscall.SIGKILL, 0}
	case 1, 2:
		return stopNode{random.IntN(nodes), syscall.SIGTERM, 0}
	case 3:
		return stopNode{random.IntN(nodes), syscall.SIGSTOP, lasting}
	case 4:
		return cutStore{random.IntN(nodes), harm, lasting}
	case 5:
		return harmEndpoint{random.IntN(endpoints), harm, lasting}
	case 6:
		troubles := []standin.StoreFaults{{Down: true}, {Slow: 200 * time.Millisecond}, {LoseWrites: 0.4}}
		return storeTrouble{troubles[random.IntN(len(troubles))], lasting}
	case 7:
		return leave{random.IntN(endpoints)}
	case 8:
		return crash{random.IntN(endpoints)}
	default:
		if random.IntN(3) == 0 {
			return forget{}
		}
		return reconfigure{}
	}
}

// traces is how long after a fault its traces may show at a host.
const traces = 4 * time.Second

// inject carries a fault out; what lasts is ended by a timer.
func (r *run) inject(f fault) {
	r.log("%s", describe(f))
	switch f := f.(type) {
	case stopNode:
		r.stop(f)
	case cutStore:
		n := r.nodes[f.node]
		n.harm(time.Now().Add(f.lasting + traces))
		n.store.SetMode(f.harm)
		r.later(f.lasting, func() { n.store.SetMode(Pass) })
	case harmEndpoint:
		p := r.proxyOf(f.endpoint)
		r.harmAll(f.lasting + traces)
		p.SetMode(f.harm)
		r.later(f.lasting, func() { p.SetMode(Pass) })
	case storeTrouble:
		r.harmAll(f.lasting + traces)
		r.store.SetFaults(f.trouble)
		r.later(f.lasting, func() { r.store.SetFaults(standin.StoreFaults{}) })
	case forget:
		r.store.DropHistory()
	case leave:
		r.replace(f.endpoint, func(e *standin.Endpoint) { e.Drain(serveOn) })
	case crash:
		r.replace(f.endpoint, (*standin.Endpoint).Stop)
	case reconfigure:
		r.reconfigure()
	}
}

func (r *run) stop(f stopNode) {
	n := r.nodes[f.node]
	n.harm(time.Now().Add(f.lasting + grace + traces))
	n.signal(f.signal)
	r.noteStop()
	if f.signal == syscall.SIGSTOP {
		r.later(f.lasting, func() { n.signal(syscall.SIGCONT) })
	}
}

func describe(f fault) string {
	switch f := f.(type) {
	case stopNode:
		return fmt.Sprintf("%v to node-%d, %v", f.signal, f.node, f.lasting)
	case cutStore:
		return fmt.Sprintf("store of node-%d: %v for %v", f.node, f.harm, f.lasting)
	case harmEndpoint:
		return fmt.Sprintf("endpoint %d: %v for %v", f.endpoint, f.harm, f.lasting)
	case storeTrouble:
		return fmt.Sprintf("store: %+v for %v", f.trouble, f.lasting)
	case leave:
		return fmt.Sprintf("endpoint %d leaves", f.endpoint)
	case crash:
		return fmt.Sprintf("endpoint %d crashes", f.endpoint)
	default:
		return fmt.Sprintf("%T", f)
	}
}
