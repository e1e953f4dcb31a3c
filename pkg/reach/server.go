package reach

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// Path is the URL path at which hosts answer whether they reach endpoints.
const Path = "/reach"

// Parameters of the answers to other hosts.
const (
	// recentAnswer is how recently an endpoint must have answered this host for it to reach endpoints
	// without a connection of its own. It is short: endpoints may all have stopped just now.
	recentAnswer = 100 * time.Millisecond
	// probeTimeout bounds the connection to an endpoint that is opened for another host. That host
	// waits for checkTimeout.
	probeTimeout = 250 * time.Millisecond
	// probeRetention is the time from the start of such a connection in which its result is used for
	// further questions: many hosts may be cut at once.
	probeRetention = 150 * time.Millisecond
)

// ServeHTTP answers with 204 if this host reaches endpoints, else with 503.
func (m *Monitor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.inTouch(r.Context()) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// inTouch reports whether this host reaches endpoints now.
func (m *Monitor) inTouch(ctx context.Context) bool {
	if m.IsCut() {
		return false
	}
	if since, ok := m.detector.SinceAnswer(m.now()); ok && since < recentAnswer {
		return true
	}
	p := m.currentProbe(context.WithoutCancel(ctx))
	select {
	case <-p.done:
		return p.answered
	case <-ctx.Done():
		return false
	}
}

// probe is a connection to endpoints on behalf of the other hosts that ask at about the same time.
type probe struct {
	startedAt time.Time
	// answered is set before done is closed if an endpoint answered.
	answered bool
	done     chan struct{}
}

// currentProbe returns the latest probe, or starts one if that is too old.
func (m *Monitor) currentProbe(ctx context.Context) *probe {
	now := m.now()
	m.probeMu.Lock()
	defer m.probeMu.Unlock()
	if m.probe == nil || now.Sub(m.probe.startedAt) >= probeRetention {
		m.probe = &probe{startedAt: now, done: make(chan struct{})}
		go m.runProbe(ctx, m.probe)
	}
	return m.probe
}

func (m *Monitor) runProbe(ctx context.Context, p *probe) {
	defer close(p.done)
	targets := pick(m.fleet.Endpoints())
	contacts := results(ctx, targets, probeTimeout, m.network.Connect)
	for range targets {
		if <-contacts == Answers {
			p.answered = true
			return
		}
	}
}

// Sockets is the Network of a host.
type Sockets struct {
	dialer net.Dialer
	client *http.Client
	// probe is the path of the request that is sent to endpoints.
	probe string
}

// NewSockets returns a Network. The client must use a new connection for each call. probe is the path of a
// GET request that endpoints answer without running anything.
func NewSockets(client *http.Client, probe string) *Sockets {
	return &Sockets{client: client, probe: probe}
}

// Connect implements Network.
func (s *Sockets) Connect(ctx context.Context, address string) Contact {
	c, err := s.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return NoContact
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer func() {
		stop()
		_ = c.Close()
	}()
	if _, err := io.WriteString(c, "GET "+s.probe+" HTTP/1.1\r\nHost: "+address+"\r\nConnection: close\r\n\r\n"); err != nil {
		return Accepts
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		return Accepts
	}
	return Answers
}

// Ask implements Network.
func (s *Sockets) Ask(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}
