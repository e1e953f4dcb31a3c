package soak

import (
	"errors"
	"net"
	"sync"
)

// endpointLinks are the links from one host to the endpoints: a proxy for each address in the rows of
// endpoints. It is safe for concurrent use.
type endpointLinks struct {
	// onOpen is called with the address of each new proxy and that of its target.
	onOpen func(address, target string)
	// onError is called if a proxy could not be started.
	onError func(error)

	mu      sync.Mutex
	proxies map[string]*Proxy
	mode    Mode
	// only holds the targets to which mode applies, nil for all.
	only map[string]bool
	// down holds the targets that refuse connections.
	down   map[string]bool
	closed bool
	// repeatsMisdirected is that of all links.
	repeatsMisdirected bool
}

func newEndpointLinks(onOpen func(address, target string), onError func(error)) *endpointLinks {
	return &endpointLinks{onOpen: onOpen, onError: onError, proxies: map[string]*Proxy{}, down: map[string]bool{}}
}

// address returns the address at which the host reaches a target.
func (l *endpointLinks) address(target string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.proxies[target]; p != nil {
		return p.Address()
	}
	if l.closed {
		return target
	}
	p, err := newLink(target)
	if err != nil {
		l.onError(err)
		return target
	}
	l.proxies[target] = p
	p.repeatsMisdirected.Store(l.repeatsMisdirected)
	l.onOpen(p.Address(), target)
	l.applyMode(target, p)
	return p.Address()
}

// maxLinkAttempts is how often newLink tries another port.
const maxLinkAttempts = 10

// newLink starts a proxy at an explicit port. The port is from the kernel's range for outgoing
// connections, so that a host that restarts finds its own ports, which are below, free.
func newLink(target string) (*Proxy, error) {
	var failures error
	for range maxLinkAttempts {
		listener, err := net.Listen("tcp", anyPortAddress)
		if err != nil {
			return nil, err
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return nil, err
		}
		p, err := NewProxyAt(address, target)
		if err == nil {
			return p, nil
		}
		// The port may have been taken meanwhile.
		failures = errors.Join(failures, err)
	}
	return nil, failures
}

// applyMode sets the mode of the link to a target. The caller holds l.mu.
func (l *endpointLinks) applyMode(target string, p *Proxy) {
	if err := p.SetMode(l.modeOf(target)); err != nil && !l.closed {
		l.onError(err)
	}
}

// setMode changes the mode of the links to the given targets, or to all targets, later ones too, if
// only is nil. Links to other targets pass.
func (l *endpointLinks) setMode(mode Mode, only map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.only = mode, only
	var changing sync.WaitGroup
	for target, p := range l.proxies {
		changing.Go(func() { l.applyMode(target, p) })
	}
	changing.Wait()
}

// detach separates the ends of the open connections of all links; see Proxy.Detach.
func (l *endpointLinks) detach(resets bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.proxies {
		p.Detach(resets)
	}
}

// setRepeats sets whether the responses of a target arrive twice.
func (l *endpointLinks) setRepeats(target string, repeats bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.proxies[target]; p != nil {
		p.repeats.Store(repeats)
	}
}

// repeatMisdirected makes responses with status 421 arrive again where the next ones are due, on all links.
func (l *endpointLinks) repeatMisdirected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeatsMisdirected = true
	for _, p := range l.proxies {
		p.repeatsMisdirected.Store(true)
	}
}

// setDown sets whether a target refuses connections, as one without a process does. The link then
// refuses them too; otherwise it would accept and reset them.
func (l *endpointLinks) setDown(target string, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down[target] = down
	if p := l.proxies[target]; p != nil {
		l.applyMode(target, p)
	}
}

// modeOf returns the mode of the link to a target. The caller holds l.mu.
func (l *endpointLinks) modeOf(target string) Mode {
	switch {
	case l.mode != Pass && (l.only == nil || l.only[target]):
		return l.mode
	case l.down[target]:
		return Disconnect
	default:
		return Pass
	}
}

// close closes all links.
func (l *endpointLinks) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, p := range l.proxies {
		p.Close()
	}
}
