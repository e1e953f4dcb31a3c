// Package upstream sends requests to endpoints over its own pool of HTTP/1.1 connections. It
// gives guarantees that http.Transport does not: a request is sent at most once, and each
// outcome shows whether the endpoint may have received it.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ironhollow/pkg/boottime"
	"ironhollow/pkg/httpx"
)

// Outcome is the outcome of a send: NotSent, MaybeSent or Answered.
type Outcome interface{ outcome() }

// NotSent means that no byte of the request was sent.
type NotSent struct{ Err error }

// MaybeSent means that the endpoint may have received the request or a part of it.
type MaybeSent struct{ Err error }

// Answered means that the status and headers of a response were received. Its Exchange must be
// closed.
type Answered struct {
	Exchange *Exchange
}

func (NotSent) outcome()   {}
func (MaybeSent) outcome() {}
func (Answered) outcome()  {}

// ErrDeclined is returned if the request does not use its connection (Request.Accepts).
var ErrDeclined = errors.New("upstream: the request does not use the connection")

// ErrConnectionLimit is returned if all connections that are allowed to an endpoint are in use.
var ErrConnectionLimit = errors.New("upstream: all connections to the endpoint are in use")

// Parameters of connections.
const (
	// dialTimeout limits the opening of a connection. Endpoints are less than 10 ms away, so
	// that a time-out means lost packets or a dead host.
	dialTimeout = time.Second
	// defaultIdleTimeout is how long a connection may be idle if the endpoint sends no
	// Keep-Alive time-out.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the Keep-Alive time-out of an endpoint, which is in whole
	// seconds.
	idleMargin = 500 * time.Millisecond
	// bufferBytes is the size of the read buffer of a connection; response headers fit in it.
	bufferBytes = 4 << 10
	// maxInformational is the maximum number of 1xx responses before the final one.
	maxInformational = 5
)

// Observer receives what the pool's requests show about the network. Its methods are called on the
// goroutines of requests and must not block.
type Observer interface {
	// Started reports that a request to an address begins, which may open a connection. The result is
	// passed to Ended.
	Started(address string) int64
	// Ended reports that the wait for the head of a response has ended, in whatever way.
	Ended(wait int64)
	// Received reports that bytes from an endpoint have arrived.
	Received()
	// Failed reports that a connection could not be opened or broke. Requests that their callers
	// cancelled, or whose time was over, are not reported.
	Failed(address string)
}

// noObserver is the observer of a pool that has none.
type noObserver struct{}

func (noObserver) Started(string) int64 { return 0 }
func (noObserver) Ended(int64)          {}
func (noObserver) Received()            {}
func (noObserver) Failed(string)        {}

// Pool is a pool of connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dialer   net.Dialer
	observer Observer

	mu        sync.Mutex
	byAddress map[string]*addressConns
	dials     int64
	// lostAt is when a connection to an address was last lost.
	lostAt map[string]time.Time

	lastID atomic.Int64
}

// addressConns holds the connections to one address.
type addressConns struct {
	// idle is used from its end, so that the traffic uses few connections.
	idle []*conn
	// open is the number of connections, in use or idle.
	open int
}

// ConnectionID identifies a connection of a pool. IDs are not used again.
type ConnectionID int64

// conn is a connection. At most one Exchange uses it at a time.
type conn struct {
	net.Conn
	id      ConnectionID
	address string
	// requests is the number of requests that were sent over the connection.
	requests int
	reader   *bufio.Reader
	// raw is what reader reads from.
	raw *limitedReader
	// The endpoint may close the connection idleTimeout after idleSince.
	idleSince   time.Time
	idleTimeout time.Duration
}

// New returns a pool. userTimeout is how long sent bytes may be unacknowledged before the
// connection is closed.
func New(userTimeout time.Duration) *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: KeepAlive(),
			Control:         ControlUserTimeout(userTimeout),
		},
		observer:  noObserver{},
		byAddress: map[string]*addressConns{},
		lostAt:    map[string]time.Time{},
	}
}

// Observe sets the observer. It must be called before the first request.
func (p *Pool) Observe(o Observer) { p.observer = o }

// tcpUserTimeout is TCP_USER_TIMEOUT on Linux.
const tcpUserTimeout = 18

// ControlUserTimeout returns a socket control function that limits how long sent bytes may be
// unacknowledged. The connections of a listener inherit the limit.
func ControlUserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		return errors.Join(err, setErr)
	}
}

// Dials returns how many connections the pool has tried to open.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// InUse returns the number of connections to an address that requests use.
func (p *Pool) InUse(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns, ok := p.byAddress[address]
	if !ok {
		return 0
	}
	return conns.open - len(conns.idle)
}

// HasIdle reports whether there is an idle connection to an address that a request may use;
// maxIdle is as in Request.
func (p *Pool) HasIdle(address string, maxIdle time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns, ok := p.byAddress[address]
	if !ok || len(conns.idle) == 0 {
		return false
	}
	c := conns.idle[len(conns.idle)-1]
	idle := boottime.Since(c.idleSince)
	return idle < c.idleTimeout && (maxIdle <= 0 || idle < maxIdle)
}

// Send sends a request at most once. limit is the maximum number of connections to the address;
// 0 for no limit. When ctx ends the connection is closed, by which the endpoint notices that it
// may stop.
func (p *Pool) Send(ctx context.Context, address string, limit int, request Request) Outcome {
	wait := p.observer.Started(address)
	defer p.observer.Ended(wait)
	dialContext := ctx
	if request.DialContext != nil {
		dialContext = request.DialContext
	}
	c, err := p.acquire(dialContext, address, limit, request)
	if err != nil {
		return NotSent{err}
	}
	if err := ctx.Err(); err != nil {
		p.put(c)
		return NotSent{err}
	}
	if request.Accepts != nil && !request.Accepts() {
		p.put(c)
		return NotSent{ErrDeclined}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	e := &Exchange{pool: p, conn: c, ctx: ctx, stopCancel: stop}
	c.requests++
	if request.OnConnected != nil {
		request.OnConnected()
	}
	written, err := request.write(c)
	if err != nil {
		// The endpoint may have responded before it read the complete request.
		if written > 0 && ctx.Err() == nil {
			_ = c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
			if e.readHead(request.Method) == nil {
				e.isEarly = true
				e.DisableReuse()
				return Answered{e}
			}
		}
		p.noteFailure(ctx, address, err)
		e.DisableReuse()
		e.Close()
		if written == 0 {
			return NotSent{err}
		}
		return MaybeSent{err}
	}
	if err := e.readHead(request.Method); err != nil {
		p.noteFailure(ctx, address, err)
		e.DisableReuse()
		e.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return MaybeSent{err}
	}
	return Answered{e}
}

// noteFailure reports an error of a connection to the observer, unless the request was cancelled or its
// time is over.
func (p *Pool) noteFailure(ctx context.Context, address string, err error) {
	deadline, limited := ctx.Deadline()
	if ctx.Err() != nil || limited && !time.Now().Before(deadline) || errors.Is(err, net.ErrClosed) {
		return
	}
	p.RecordLoss(address)
	p.observer.Failed(address)
}

// RecordLoss records that a connection to an address has broken, could not be opened, or was closed by the endpoint
// before its idle time-out.
func (p *Pool) RecordLoss(address string) {
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostAt[address] = now
}

// LostAt returns when a connection to an address was last found to be lost, zero if none was: another process may
// have the address since.
func (p *Pool) LostAt(address string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostAt[address]
}

// earlyResponseTimeout is how long to wait for a response if the endpoint accepts no more bytes of
// the request.
const earlyResponseTimeout = 50 * time.Millisecond

// acquire returns an idle connection, or opens one if there is none.
func (p *Pool) acquire(ctx context.Context, address string, limit int, request Request) (*conn, error) {
	for {
		c := p.takeIdle(address, request)
		if c == nil {
			break
		}
		if c.isUsable() {
			return c, nil
		}
		if !c.isExpired() {
			p.RecordLoss(address)
		}
		p.drop(c)
	}
	if !p.reserve(address, limit) && !(p.dropIdle(address, request.Avoid) && p.reserve(address, limit)) {
		return nil, ErrConnectionLimit
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		p.noteFailure(ctx, address, err)
		return nil, err
	}
	return p.newConn(raw, address), nil
}

// reserve counts a new connection to the address. It returns false if the limit is reached.
func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byAddress[address]
	if conns == nil {
		conns = &addressConns{}
		p.byAddress[address] = conns
	}
	if limit > 0 && conns.open >= limit {
		return false
	}
	conns.open++
	p.dials++
	return true
}

// release removes a connection from the count of open ones, and the address if it was the last.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byAddress[address]
	conns.open--
	if conns.open == 0 && len(conns.idle) == 0 {
		delete(p.byAddress, address)
	}
}

// drop closes a connection that is not among the idle ones.
func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.release(c.address)
}

// takeIdle returns the connection that has been idle for the shortest time and that the request may use, or
// nil if there is none. One that exceeds its idleTimeout is returned all the same, so that acquire drops it.
func (p *Pool) takeIdle(address string, request Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byAddress[address]
	if conns == nil {
		return nil
	}
	for i, c := range slices.Backward(conns.idle) {
		if slices.Contains(request.Avoid, c.id) {
			continue
		}
		idle := boottime.Since(c.idleSince)
		if request.MaxIdle > 0 && idle > request.MaxIdle && idle <= c.idleTimeout {
			return nil
		}
		conns.idle = slices.Delete(conns.idle, i, i+1)
		return c
	}
	return nil
}

// dropIdle closes an idle connection out of ids. It returns false if there is none.
func (p *Pool) dropIdle(address string, ids []ConnectionID) bool {
	p.mu.Lock()
	conns := p.byAddress[address]
	if conns == nil {
		p.mu.Unlock()
		return false
	}
	i := slices.IndexFunc(conns.idle, func(c *conn) bool { return slices.Contains(ids, c.id) })
	if i < 0 {
		p.mu.Unlock()
		return false
	}
	c := conns.idle[i]
	conns.idle = slices.Delete(conns.idle, i, i+1)
	p.mu.Unlock()
	p.drop(c)
	return true
}

// put adds a connection to the idle ones.
func (p *Pool) put(c *conn) {
	c.idleSince = boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := p.byAddress[c.address]; conns != nil {
		conns.idle = append(conns.idle, c)
	}
}

// Sweep closes idle connections that exceed their idleTimeout, and those to addresses for which
// keep returns false. keep is called without the pool's lock, as it may wait for a lock that a
// caller of HasIdle holds.
func (p *Pool) Sweep(keep func(address string) bool) {
	unused := map[string]bool{}
	for _, address := range p.addresses() {
		unused[address] = !keep(address)
	}
	p.mu.Lock()
	maps.DeleteFunc(p.lostAt, func(address string, _ time.Time) bool { return unused[address] })
	var expired []*conn
	for address, conns := range p.byAddress {
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if boottime.Since(c.idleSince) <= c.idleTimeout && !unused[address] {
				kept = append(kept, c)
				continue
			}
			expired = append(expired, c)
		}
		clear(conns.idle[len(kept):])
		conns.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.drop(c)
	}
}

// addresses returns the addresses that have idle connections or have lost one.
func (p *Pool) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := slices.Collect(maps.Keys(p.lostAt))
	for address, conns := range p.byAddress {
		if len(conns.idle) > 0 {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// ProbeResult is the result of a probe of an address.
type ProbeResult int

// Results of a probe.
const (
	// Indeterminate means that the probe showed nothing.
	Indeterminate ProbeResult = iota
	// Accepting means that a process accepts connections.
	Accepting
	// Refusing means that the connection was refused: no process listens.
	Refusing
)

// Probe finds out whether a process accepts connections at an address. An idle connection that
// is still open shows that; otherwise a new one is opened, which is then kept as idle. limit is
// as in Send.
func (p *Pool) Probe(ctx context.Context, address string, limit int) ProbeResult {
	if p.dropClosed(address) {
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
	p.put(p.newConn(raw, address))
	return Accepting
}

// dropClosed drops the idle connections to an address that the endpoint has closed, as they
// would count towards the limit. It reports whether any idle connection is still open.
func (p *Pool) dropClosed(address string) (anyOpen bool) {
	p.mu.Lock()
	var closed []*conn
	if conns := p.byAddress[address]; conns != nil {
		open := make([]*conn, 0, len(conns.idle))
		for _, c := range conns.idle {
			if c.isUsable() {
				open = append(open, c)
			} else {
				closed = append(closed, c)
			}
		}
		conns.idle = open
		anyOpen = len(open) > 0
	}
	p.mu.Unlock()
	for _, c := range closed {
		if !c.isExpired() {
			p.RecordLoss(address)
		}
		p.drop(c)
	}
	return anyOpen
}

func (p *Pool) newConn(raw net.Conn, address string) *conn {
	raw = httpx.ReportResets(raw)
	limited := &limitedReader{conn: raw, observer: p.observer, left: unlimited}
	return &conn{Conn: raw, id: ConnectionID(p.lastID.Add(1)), address: address, reader: bufio.NewReaderSize(limited, bufferBytes), raw: limited, idleTimeout: defaultIdleTimeout}
}

// isExpired reports whether an idle connection has exceeded its idleTimeout, after which the endpoint may close it.
func (c *conn) isExpired() bool { return boottime.Since(c.idleSince) > c.idleTimeout }

// isUsable reports whether an idle connection is still open, has not exceeded its idleTimeout
// and has no bytes to be read. Unsolicited bytes do not belong to any request.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 || c.isExpired() {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		open = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
