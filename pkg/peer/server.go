package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/httpx"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/metrics"
)

// Parameters of the links.
const (
	// Path is the URL path on which peers connect.
	Path = "/peer"
	// sendQueueLength is the maximum number of messages queued on a link. A link whose queue
	// is full is closed, and digests repair what was lost.
	sendQueueLength = 256
	writeTimeout    = 5 * time.Second
	dialTimeout     = 3 * time.Second
	// dialInterval is the time between checks for missing links.
	dialInterval = time.Second
	// dialFailuresToSuspect is how many consecutive failed dials raise a suspicion of a node.
	dialFailuresToSuspect = 3
	// minKeptLinks is the number of links to entries up to which a node closes none, even if
	// neither side needs them any more.
	minKeptLinks = 4
)

// Handler handles messages that are not the mesh's own.
type Handler func(reply Sender, message Message)

// Sender sends a message on the link on which another was received.
type Sender func(Message)

// Server opens and accepts the links of a mesh, and sends and receives its messages.
type Server struct {
	mesh     *Mesh
	role     Role
	client   *http.Client
	scheme   string
	counters *Counters

	handlerMu sync.RWMutex
	handler   Handler

	mu           sync.Mutex
	conns        map[LinkID]*conn
	nextID       atomic.Int64
	dialing      map[string]bool
	dialFailures map[string]int
	ctx          context.Context
}

// conn is the connection of a link.
type conn struct {
	link   LinkID
	socket *websocket.Conn
	queue  chan Message
	cancel context.CancelFunc
}

// Counters are the metrics of messages and bytes on links.
type Counters struct {
	sentMessages, receivedMessages prometheus.Counter
	sentBytes, receivedBytes       prometheus.Counter
	overflows                      prometheus.Counter
}

// NewCounters creates and registers the metrics.
func NewCounters(registry prometheus.Registerer) *Counters {
	group := metrics.New(registry, "peer")
	return &Counters{
		sentMessages:     group.Counter("sent_messages_total", "Messages sent to peers."),
		receivedMessages: group.Counter("received_messages_total", "Messages received from peers."),
		sentBytes:        group.Counter("sent_bytes_total", "Bytes of CBOR sent to peers."),
		receivedBytes:    group.Counter("received_bytes_total", "Bytes of CBOR received from peers."),
		overflows:        group.Counter("overflows_total", "Links closed because their queue was full."),
	}
}

// NewServer returns a server for a mesh; clientTLS is nil for links without TLS.
func NewServer(ctx context.Context, mesh *Mesh, role Role, clientTLS *tls.Config, counters *Counters) *Server {
	scheme := "ws"
	if clientTLS != nil {
		scheme = "wss"
	}
	return &Server{
		mesh: mesh, role: role, scheme: scheme, counters: counters, ctx: ctx,
		client: &http.Client{Transport: &http.Transport{
			TLSClientConfig: clientTLS, Proxy: nil, MaxResponseHeaderBytes: httpx.MaxHeadBytes,
			DialContext: httpx.DialReportingResets((&net.Dialer{}).DialContext),
		}},
		conns: map[LinkID]*conn{}, dialing: map[string]bool{}, dialFailures: map[string]int{},
		handler: func(Sender, Message) {},
	}
}

// SetHandler sets the handler of messages that are not the mesh's own.
func (s *Server) SetHandler(h Handler) {
	s.handlerMu.Lock()
	defer s.handlerMu.Unlock()
	s.handler = h
}

// ServeHTTP accepts a link from a peer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	s.runLink(s.ctx, socket)
}

// runLink exchanges hellos and serves the link until it is closed. It returns false if the other
// side did not answer with a hello.
func (s *Server) runLink(ctx context.Context, socket *websocket.Conn) bool {
	defer func() { _ = socket.CloseNow() }()
	socket.SetReadLimit(MaxMessageBytes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hello, ok := s.exchangeHello(ctx, socket)
	if !ok {
		return false
	}
	c := &conn{link: LinkID(s.nextID.Add(1)), socket: socket, queue: make(chan Message, sendQueueLength), cancel: cancel}
	s.mu.Lock()
	s.conns[c.link] = c
	delete(s.dialFailures, hello.Node.ID)
	s.mu.Unlock()
	go s.writeLoop(ctx, c)
	s.Send(s.mesh.LinkUp(c.link, hello, time.Now()))
	s.readLoop(ctx, c)
	s.mu.Lock()
	delete(s.conns, c.link)
	s.mu.Unlock()
	s.Send(s.mesh.LinkDown(c.link))
	return true
}

// exchangeHello sends a hello and returns that of the other side, or false if the first message
// received is not a hello.
func (s *Server) exchangeHello(ctx context.Context, socket *websocket.Conn) (Hello, bool) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if s.write(ctx, socket, Hello{Node: s.mesh.Self(), Role: s.role}) != nil {
		return Hello{}, false
	}
	first, err := s.read(ctx, socket)
	hello, ok := first.(Hello)
	return hello, ok && err == nil
}

func (s *Server) readLoop(ctx context.Context, c *conn) {
	for {
		message, err := s.read(ctx, c.socket)
		if err != nil {
			return
		}
		switch message.(type) {
		case Accept, Accepted:
			s.handlerMu.RLock()
			handler := s.handler
			s.handlerMu.RUnlock()
			s.mesh.MarkUsed(c.link, time.Now())
			handler(func(m Message) { s.Send([]Outgoing{{c.link, m}}) }, message)
		default:
			s.Send(s.mesh.Receive(c.link, message, time.Now()))
		}
	}
}

func (s *Server) writeLoop(ctx context.Context, c *conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-c.queue:
			if s.write(ctx, c.socket, message) != nil {
				c.cancel()
				return
			}
		}
	}
}

func (s *Server) read(ctx context.Context, socket *websocket.Conn) (Message, error) {
	_, data, err := socket.Read(ctx)
	if err != nil {
		return nil, err
	}
	s.counters.receivedMessages.Inc()
	s.counters.receivedBytes.Add(float64(len(data)))
	return Decode(data)
}

func (s *Server) write(ctx context.Context, socket *websocket.Conn, message Message) error {
	data, err := Encode(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	s.counters.sentMessages.Inc()
	s.counters.sentBytes.Add(float64(len(data)))
	return socket.Write(ctx, websocket.MessageBinary, data)
}

// Send queues messages on their links.
func (s *Server) Send(out []Outgoing) {
	for _, o := range out {
		s.mu.Lock()
		c, ok := s.conns[o.Link]
		s.mu.Unlock()
		if !ok {
			continue
		}
		select {
		case c.queue <- o.Message:
		default:
			s.counters.overflows.Inc()
			c.cancel()
		}
	}
}

// SendTo sends a message to a node; it returns false if there is no link to the node.
func (s *Server) SendTo(node string, message Message) bool {
	for link, n := range s.mesh.Links() {
		if n.ID == node {
			s.mesh.MarkUsed(link, time.Now())
			s.Send([]Outgoing{{link, message}})
			return true
		}
	}
	return false
}

// EnsureLink starts to dial a node that the mesh does not need a link to.
func (s *Server) EnsureLink(node membership.Node) { s.dialNode(node) }

// Run ticks the mesh and maintains its links until the context ends.
func (s *Server) Run() {
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	dial := time.NewTicker(dialInterval)
	defer dial.Stop()
	for round := 0; ; {
		select {
		case <-s.ctx.Done():
			return
		case now := <-heartbeat.C:
			s.Send(s.mesh.Tick(now))
		case <-dial.C:
			round++
			for _, node := range s.mesh.NodesToDial(round) {
				s.dialNode(node)
			}
			if round%surplusCheckRounds == 0 {
				s.closeSurplusLinks()
			}
		}
	}
}

// surplusCheckRounds is the number of checks for missing links per check for surplus ones, which
// costs more and is less urgent.
const surplusCheckRounds = 10

func (s *Server) closeSurplusLinks() {
	for _, link := range s.mesh.SurplusLinks(minKeptLinks, time.Now()) {
		s.closeLink(link)
	}
}

func (s *Server) closeLink(link LinkID) {
	s.mu.Lock()
	c, ok := s.conns[link]
	s.mu.Unlock()
	if ok {
		c.cancel()
	}
}

// LinkCount returns the number of open links.
func (s *Server) LinkCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// dialNode connects to a node in the background, unless a dial to it is in progress. Too many
// failed dials in a row raise a suspicion of the node.
func (s *Server) dialNode(node membership.Node) {
	go func() {
		if s.DialAddress(s.ctx, node.PeerAddress) {
			return
		}
		s.mu.Lock()
		s.dialFailures[node.ID]++
		count := s.dialFailures[node.ID]
		s.mu.Unlock()
		if count >= dialFailuresToSuspect && node.Status == membership.Alive {
			s.Send(s.mesh.MarkUnreachable(node.ID, time.Now()))
		}
	}()
}

// DialAddress connects to a peer address and returns when the link is closed or ctx ends. It
// returns false if the dial or the exchange of hellos fails, and true at once if this process is
// already dialling the address or has a link that it opened to it.
func (s *Server) DialAddress(ctx context.Context, address string) bool {
	s.mu.Lock()
	if s.dialing[address] {
		s.mu.Unlock()
		return true
	}
	s.dialing[address] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.dialing, address)
		s.mu.Unlock()
	}()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, response, err := websocket.Dial(dialCtx, s.scheme+"://"+address+Path, &websocket.DialOptions{HTTPClient: s.client})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return false
	}
	return s.runLink(ctx, socket)
}
