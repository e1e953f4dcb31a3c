package reach

import (
	"context"
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
		return p.accepted
	case <-ctx.Done():
		return false
	}
}

// probe is a connection to endpoints on behalf of the other hosts that ask at about the same time.
type probe struct {
	startedAt time.Time
	// accepted is set before done is closed if an endpoint accepted.
	accepted bool
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
	accepts := results(ctx, targets, probeTimeout, m.network.Connect)
	for range targets {
		if <-accepts {
			p.accepted = true
			return
		}
	}
}

// Sockets is the Network of a host.
type Sockets struct {
	dialer net.Dialer
	client *http.Client
}

// NewSockets returns a Network. The client must use a new connection for each call.
func NewSockets(client *http.Client) *Sockets { return &Sockets{client: client} }

// Connect implements Network.
func (s *Sockets) Connect(ctx context.Context, address string) bool {
	c, err := s.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
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
