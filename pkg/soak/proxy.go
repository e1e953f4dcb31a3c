// Package soak runs the real program as separate processes on one machine, injects random faults
// determined by a seed, and checks what callers, back ends and the platform observe.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats the connections through it.
type Mode int

// Modes of a proxy.
const (
	// Pass forwards all data unchanged.
	Pass Mode = iota
	// Delay delays each chunk by delayTime.
	Delay
	// Silence forwards nothing in either direction; connections stay open.
	Silence
	// OneWay forwards requests but no responses.
	OneWay
	// Reset resets all open connections and each new one.
	Reset
)

// String returns the name of the mode.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "silence", "one-way", "reset"}[m]
}

// delayTime is how long Delay holds each chunk.
const delayTime = 150 * time.Millisecond

// Proxy is a loopback proxy to one address. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
	// changed is closed when the mode changes.
	changed chan struct{}
}

// NewProxy starts a proxy to a target on any free port.
func NewProxy(target string) (*Proxy, error) { return NewProxyAt(anyPortAddress, target) }

// NewProxyAt starts a proxy to a target that listens on the given address.
func NewProxyAt(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetMode(Reset)
}

// SetMode changes the mode of the proxy.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *Proxy) currentMode() (Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.currentMode(); mode == Reset {
			reset(client)
			continue
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	upstream, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	p.track(client, upstream)
	go p.copyDirection(upstream, client, false)
	p.copyDirection(client, upstream, true)
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *Proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// copyDirection copies one direction of a connection; responses is true for the one from the target.
func (p *Proxy) copyDirection(to, from net.Conn, responses bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.applyMode(responses)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				break
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			if !responses {
				// The client has finished sending; responses are still copied.
				return
			}
			break
		}
		if err != nil {
			reset(to)
			break
		}
	}
	p.closeConns(to, from)
}

// applyMode delays a chunk as the mode requires before it is forwarded.
func (p *Proxy) applyMode(responses bool) {
	for {
		mode, changed := p.currentMode()
		switch {
		case mode == Delay:
			time.Sleep(delayTime)
			return
		case mode == Silence, mode == OneWay && responses:
			<-changed
		default:
			return
		}
	}
}
