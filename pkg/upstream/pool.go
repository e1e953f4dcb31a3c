// Package upstream sends requests to endpoints over HTTP/1.1 connections of
// its own. It differs from the standard transport in what it promises: a
// request leaves this process once at most, and every result says whether the
// endpoint can have seen it.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ironhollow/pkg/steady"
)

// Outcome is how a send ended: NotSent, Unclear or Answered.
type Outcome interface{ outcome() }

// NotSent says that no byte of the request has left this process.
type NotSent struct{ Err error }

// MaybeSent says that the endpoint may have seen the request, or part of it.
type MaybeSent struct{ Err error }

// Answered carries the head of an answer. Its Exchange must be closed.
type Answered struct {
	Exchange *Exchange
}

func (NotSent) outcome()   {}
func (MaybeSent) outcome() {}
func (Answered) outcome()  {}

// ErrConnectionLimit says that all connections allowed to an endpoint are in use.
var ErrConnectionLimit = errors.New("upstream: all connections to the endpoint are in use")

// Request is what is sent.
type Request struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	// Header holds no header of one connection only, and no Content-Length.
	Header http.Header
	Body   []byte
	// HasBody says that a length is sent although Body is empty.
	HasBody bool
	// MaxIdle bounds how long a kept connection may have rested, 0 for no bound:
	// a request that can't be sent twice must not meet one that just closes.
	MaxIdle time.Duration
}

// Parameters of connections.
const (
	// dialTime bounds the opening of a connection: endpoints are under 10 ms
	// away, so that this is lost packets or a dead host.
	dialTime = time.Second
	// defaultIdle is how long a connection is kept whose endpoint names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is kept from the time that an endpoint names, in whole seconds.
	idleMargin = 500 * time.Millisecond
	// bufferBytes is the read and write buffer of a connection: a head fits.
	bufferBytes = 4 << 10
	// mostInformational bounds the 1xx answers before the actual one.
	mostInformational = 5
)

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	hosts map[string]*host
	dials int64
}

// host is the connections to one address.
type host struct {
	// idle is used from its end, so that few connections carry the traffic.
	idle []*conn
	open int
}

// conn is one connection; one exchange uses it at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince and idleTime say until when the endpoint keeps it.
	idleSince time.Time
	idleTime  time.Duration
}

// New returns a pool. userTimeout is how long sent bytes may stay
// unacknowledged before a connection counts as dead.
func New(userTimeout time.Duration) *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout:         dialTime,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
			Control:         ControlUserTimeout(userTimeout),
		},
		hosts: map[string]*host{},
	}
}

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT.
const tcpUserTimeout = 18

// ControlUserTimeout returns a socket control that bounds how long sent bytes
// may stay unacknowledged; it is inherited by connections of a listener.
func ControlUserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		return errors.Join(err, set)
	}
}

// Dials returns how many connections were opened.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// HasIdle reports whether a request may use a kept connection to an address; maxIdle is
// as in Request.
func (p *Pool) HasIdle(address string, maxIdle time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok || len(h.idle) == 0 {
		return false
	}
	c := h.idle[len(h.idle)-1]
	rested := steady.Since(c.idleSince)
	return rested < c.idleTime && (maxIdle <= 0 || rested < maxIdle)
}

// Send sends a request once. limit is the most connections to the address, 0
// for no bound. When ctx ends the connection is closed, which tells the
// endpoint to stop.
func (p *Pool) Send(ctx context.Context, address string, limit int, request Request) Outcome {
	c, err := p.connection(ctx, address, limit, request.MaxIdle)
	if err != nil {
		return NotSent{err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	e := &Exchange{pool: p, conn: c, stop: stop}
	written, err := c.Write(request.encode())
	if err != nil {
		// The endpoint may have answered before it had read all.
		if written > 0 && ctx.Err() == nil {
			_ = c.SetReadDeadline(time.Now().Add(earlyAnswer))
			if e.readHead(request.Method) == nil {
				e.broken = true
				return Answered{e}
			}
		}
		e.broken = true
		e.Close()
		if written == 0 {
			return NotSent{err}
		}
		return MaybeSent{err}
	}
	if err := e.readHead(request.Method); err != nil {
		e.broken = true
		e.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return MaybeSent{err}
	}
	return Answered{e}
}

// earlyAnswer is how long an answer is waited for after the endpoint has closed
// its reading side.
const earlyAnswer = 50 * time.Millisecond

func (r Request) encode() []byte {
	var b strings.Builder
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b)
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return []byte(b.String())
}

// connection returns a kept connection or opens one.
func (p *Pool) connection(ctx context.Context, address string, limit int, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.takeIdle(address, maxIdle)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		p.drop(c)
	}
	if !p.reserve(address, limit) {
		return nil, ErrConnectionLimit
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	return newConn(raw, address), nil
}

func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	if limit > 0 && h.open >= limit {
		return false
	}
	h.open++
	p.dials++
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.release(c.address)
}

func (p *Pool) takeIdle(address string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	rested := steady.Since(c.idleSince)
	if maxIdle > 0 && rested > maxIdle && rested <= c.idleTime {
		return nil
	}
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.idleSince = steady.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[c.address]; h != nil {
		h.idle = append(h.idle, c)
	}
}

// Sweep closes connections that have been idle for too long, and those to
// addresses that keep reports as no longer in use. keep is called without the pool's lock:
// it may wait for a caller of HasIdle.
func (p *Pool) Sweep(keep func(address string) bool) {
	unused := map[string]bool{}
	for _, address := range p.idleAddresses() {
		unused[address] = !keep(address)
	}
	p.mu.Lock()
	var old []*conn
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if steady.Since(c.idleSince) <= c.idleTime && !unused[address] {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}

// idleAddresses returns the addresses that have idle connections.
func (p *Pool) idleAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for address, h := range p.hosts {
		if len(h.idle) > 0 {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// ProbeResult is what a look at an address shows.
type ProbeResult int

// What a look may show.
const (
	// Indeterminate is where nothing was found out.
	Indeterminate ProbeResult = iota
	// Accepting is where something takes connections.
	Accepting
	// Refusing is where nothing does, and the machine says so.
	Refusing
)

// Probe finds out whether anything takes connections at an address: by a kept connection
// that is still open, or by a new one, which is kept. limit is as in Send.
func (p *Pool) Probe(ctx context.Context, address string, limit int) ProbeResult {
	if p.sweepDead(address) {
		return Accepting
	}
	if !p.reserve(address, limit) {
		return Indeterminate
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return Refusing
		}
		return Indeterminate
	}
	p.put(newConn(raw, address))
	return Accepting
}

// sweepDead closes kept connections to an address that the endpoint has closed, which
// would count as in use, and reports whether any is still open.
func (p *Pool) sweepDead(address string) (anyOpen bool) {
	p.mu.Lock()
	var dead []*conn
	if h := p.hosts[address]; h != nil {
		open := make([]*conn, 0, len(h.idle))
		for _, c := range h.idle {
			if c.quiet() {
				open = append(open, c)
			} else {
				dead = append(dead, c)
			}
		}
		h.idle = open
		anyOpen = len(open) > 0
	}
	p.mu.Unlock()
	for _, c := range dead {
		p.drop(c)
	}
	return anyOpen
}

func newConn(raw net.Conn, address string) *conn {
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, bufferBytes), idleTime: defaultIdle}
}

// quiet reports whether a kept connection is still open, in time, and has
// nothing to be read: bytes that come unasked belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 || steady.Since(c.idleSince) > c.idleTime {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		quiet = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
