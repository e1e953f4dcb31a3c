package soak

import "sync"

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
	only   map[string]bool
	closed bool
}

func newEndpointLinks(onOpen func(address, target string), onError func(error)) *endpointLinks {
	return &endpointLinks{onOpen: onOpen, onError: onError, proxies: map[string]*Proxy{}}
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
	address, _, err := freePort()
	if err != nil {
		l.onError(err)
		return target
	}
	p, err := NewProxyAt(address, target)
	if err != nil {
		l.onError(err)
		return target
	}
	l.proxies[target] = p
	l.onOpen(address, target)
	if l.mode != Pass && l.appliesTo(target) {
		p.SetMode(l.mode)
	}
	return address
}

// setMode changes the mode of the links to the given targets, or to all targets, later ones too, if
// only is nil. Links to other targets pass.
func (l *endpointLinks) setMode(mode Mode, only map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.only = mode, only
	var changing sync.WaitGroup
	for target, p := range l.proxies {
		changing.Go(func() {
			if l.appliesTo(target) {
				p.SetMode(mode)
			} else {
				p.SetMode(Pass)
			}
		})
	}
	changing.Wait()
}

// appliesTo reports whether the mode applies to the link to a target. The caller holds l.mu.
func (l *endpointLinks) appliesTo(target string) bool { return l.only == nil || l.only[target] }

// close closes all links.
func (l *endpointLinks) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, p := range l.proxies {
		p.Close()
	}
}
