// Package soak runs the real program as separate processes on one machine, injects random faults
// determined by a seed, and checks what callers, back ends and the platform observe.
package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
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
	// Hang is a partition: open connections forward nothing, and attempts to open one get no
	// response. After hangTimeout the open connections are lost with what they hold.
	Hang
	// Disconnect resets all open connections and refuses new ones.
	Disconnect
	// Refuse forwards on open connections and refuses new ones.
	Refuse
	// Discard accepts connections and discards all bytes, as something on the way does that accepts
	// connections for an endpoint out of reach. Connections that lost bytes are reset at its end.
	Discard
)

// String returns the name of the mode.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "silence", "one-way", "reset", "hang", "disconnect", "refuse", "discard"}[m]
}

// accepts reports whether connections can be opened in this mode.
func (m Mode) accepts() bool { return m < Hang || m == Discard }

// delayTime is how long Delay holds each chunk.
const delayTime = 150 * time.Millisecond

const (
	// hangTimeout is the TCP_USER_TIMEOUT of hosts' connections. The proxy applies it, because
	// the loopback interface acknowledges all bytes that are sent.
	hangTimeout = 3 * time.Second
	// backlog is the usual length of the queue of connections to accept.
	backlog = 128
	// The queue is regarded as full once fullAttempts in a row to connect have timed out after
	// fillTimeout: on a busy machine a single one may time out before its packet reaches the queue.
	fillTimeout  = 50 * time.Millisecond
	fullAttempts = 3
	// maxFillers bounds the connections that fill the queue; two do usually.
	maxFillers = 16
	// acceptRetryPause is the pause after a failure to accept a connection.
	acceptRetryPause = 10 * time.Millisecond
)

// Proxy is a loopback proxy to one address. It is safe for concurrent use.
type Proxy struct {
	listener *net.TCPListener
	target   string
	// repeats is set if responses with a length are forwarded twice, repeatsMisdirected if those with status 421
	// arrive again where the next response on their connection is due.
	repeats, repeatsMisdirected atomic.Bool

	mu   sync.Mutex
	mode Mode
	// conns holds the open connections; the value is true for those from clients.
	conns map[net.Conn]bool
	// changed is closed when the mode changes.
	changed chan struct{}
	// lostHangs counts the hangs that lasted for hangTimeout.
	lostHangs int
	// fillers are the connections that fill the queue of the listener during a hang.
	fillers []net.Conn
	// detached holds the connections to the target that discard all bytes; see Detach.
	detached map[net.Conn]bool
}

// NewProxy starts a proxy to a target on any free port.
func NewProxy(target string) (*Proxy, error) { return NewProxyAt(anyPortAddress, target) }

// NewProxyAt starts a proxy to a target that listens on the given address. Disconnect and Refuse
// require an explicit port: the kernel releases one that it has chosen itself.
func NewProxyAt(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener.(*net.TCPListener), target: target, conns: map[net.Conn]bool{}, detached: map[net.Conn]bool{}, changed: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	// The error is ignored: a closed listener accepts nothing.
	_ = p.SetMode(Reset)
}

// SetMode changes the mode of the proxy. It returns an error if the listener cannot follow, which
// happens in modes after Reset only.
func (p *Proxy) SetMode(mode Mode) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	if !p.mode.accepts() {
		err = p.startListening()
	}
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == Reset || mode == Disconnect {
		for c := range p.conns {
			reset(c)
		}
	}
	switch mode {
	case Hang:
		time.AfterFunc(hangTimeout, p.loseConns(p.changed))
		return errors.Join(err, p.stopAnswering())
	case Disconnect, Refuse:
		return errors.Join(err, p.stopListening())
	default:
		return err
	}
}

// startListening ends what Hang, Disconnect or Refuse did to the listener. The caller holds p.mu.
func (p *Proxy) startListening() error {
	for _, c := range p.fillers {
		reset(c)
	}
	p.fillers = nil
	return errors.Join(p.listen(backlog), p.listener.SetDeadline(time.Time{}))
}

// stopAnswering fills the queue of the listener, so that the kernel drops further attempts to open a
// connection. The caller holds p.mu.
func (p *Proxy) stopAnswering() error {
	if err := errors.Join(p.listener.SetDeadline(time.Unix(1, 0)), p.listen(0)); err != nil {
		return err
	}
	for failed := 0; len(p.fillers) < maxFillers; {
		c, err := net.DialTimeout("tcp", p.Address(), fillTimeout)
		if err == nil {
			p.fillers = append(p.fillers, c)
			failed = 0
			continue
		}
		if failed++; failed == fullAttempts {
			return nil
		}
	}
	return fmt.Errorf("soak: %s accepts connections with a full queue", p.Address())
}

// stopListening makes the kernel refuse connections. The socket keeps its address: without
// SO_REUSEADDR nobody else can bind it. The caller holds p.mu.
func (p *Proxy) stopListening() error {
	return p.control(func(fd int) error {
		return errors.Join(syscall.Shutdown(fd, syscall.SHUT_RD), syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0))
	})
}

// listen makes the listener accept connections with a queue of the given length. It needs SO_REUSEADDR
// while the kernel still keeps closed connections of the address.
func (p *Proxy) listen(queue int) error {
	return p.control(func(fd int) error {
		return errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1), syscall.Listen(fd, queue))
	})
}

// control calls f with the listener's socket.
func (p *Proxy) control(f func(fd int) error) error {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) { callErr = f(int(fd)) })
	return errors.Join(err, callErr)
}

// loseConns returns a function that resets the clients' connections if the mode has not changed since.
func (p *Proxy) loseConns(changed chan struct{}) func() {
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.changed != changed {
			return
		}
		p.lostHangs++
		for c, isClient := range p.conns {
			if isClient {
				reset(c)
			}
		}
	}
}

// Detach separates the ends of all open connections, so that the target notices nothing: its side stays open
// and what it sends is discarded. The client's side is reset, or silent if resets is false. New connections pass.
func (p *Proxy) Detach(resets bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, isClient := range p.conns {
		p.detached[c] = true
		if isClient && resets {
			reset(c)
		}
	}
}

func (p *Proxy) isDetached(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detached[c]
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
		mode, changed := p.currentMode()
		if !mode.accepts() {
			<-changed
			continue
		}
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The mode has usually changed meanwhile.
			time.Sleep(acceptRetryPause)
			continue
		}
		if mode, _ := p.currentMode(); mode == Reset || mode == Disconnect {
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
	lostHangs := p.track(client, upstream)
	var misdirected lastResponse
	go p.copyDirection(upstream, client, false, lostHangs, &misdirected)
	p.copyDirection(client, upstream, true, lostHangs, &misdirected)
}

// track adds the connections of a client and returns p.lostHangs.
func (p *Proxy) track(client, upstream net.Conn) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[client], p.conns[upstream] = true, false
	return p.lostHangs
}

// isLost reports whether a hang has lasted for hangTimeout since p.lostHangs had the given value.
func (p *Proxy) isLost(lostHangs int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostHangs != lostHangs
}

func (p *Proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		delete(p.detached, c)
		_ = c.Close()
	}
}

// lastResponse is the last response of a kind on a connection. It is safe for concurrent use.
type lastResponse struct {
	mu   sync.Mutex
	text []byte
}

func (r *lastResponse) set(text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text = bytes.Clone(text)
}

// take returns the response once.
func (r *lastResponse) take() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := r.text
	r.text = nil
	return text
}

// copyDirection copies one direction of a connection; responses is true for the one from the target,
// lostHangs is p.lostHangs when the connection was opened, misdirected is shared by both directions.
func (p *Proxy) copyDirection(to, from net.Conn, responses bool, lostHangs int, misdirected *lastResponse) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if p.isDetached(from) {
			if err == nil {
				continue
			}
			p.closeConns(from)
			return
		}
		if n > 0 {
			if isLost := p.applyMode(responses); isLost || p.isLost(lostHangs) {
				reset(to)
				reset(from)
				break
			}
			if !responses && p.repeatsMisdirected.Load() {
				// An error shows at the next read.
				_, _ = from.Write(misdirected.take())
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				break
			}
			if responses && bytes.HasPrefix(buffer[:n], []byte("HTTP/1.1 421 ")) {
				misdirected.set(buffer[:n])
			}
			if responses && p.repeats.Load() && isWholeResponse(buffer[:n]) {
				time.Sleep(repeatDelay)
				// The first write shows whether the connection is open.
				_, _ = to.Write(buffer[:n])
			}
		}
		if err != nil {
			p.awaitHangEnd()
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

// isWholeResponse reports whether a chunk is a complete response with a length. What follows another one is a part of it.
func isWholeResponse(chunk []byte) bool {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(chunk)), nil)
	if err != nil || response.ContentLength < 0 {
		return false
	}
	read, err := io.Copy(io.Discard, response.Body)
	return err == nil && read == response.ContentLength
}

// applyMode delays a chunk as the mode requires before it is forwarded. isLost is set if it is discarded.
func (p *Proxy) applyMode(responses bool) (isLost bool) {
	for {
		mode, changed := p.currentMode()
		switch {
		case mode == Delay:
			time.Sleep(delayTime)
			return isLost
		case mode == Discard:
			<-changed
			isLost = true
		case mode == Silence, mode == Hang, mode == OneWay && responses:
			<-changed
		default:
			return isLost
		}
	}
}

// awaitHangEnd waits while the mode is Hang.
func (p *Proxy) awaitHangEnd() {
	for mode, changed := p.currentMode(); mode == Hang; mode, changed = p.currentMode() {
		<-changed
	}
}
