package peer

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/membership"
	"ironhollow/pkg/metrics"
)

// Parameters of the links.
const (
	// Path is where peers connect.
	Path = "/peer"
	// queueLength bounds the messages that wait on one link; a link that lets
	// them pile up is closed, and digests mend what it missed.
	queueLength = 256
	writeTime   = 5 * time.Second
	dialTime    = 3 * time.Second
	// dialEvery is the time between looks at which links are missing.
	dialEvery = time.Second
	// failedDials in a row make a neighbour suspect.
	failedDials = 3
	// spareLinks is how many links a node keeps before it closes those that
	// neither side asks for any more.
	spareLinks = 4
)

// Handler takes messages that are not the mesh's own.
type Handler func(from Sender, message Message)

// Sender sends a message on the link another came from.
type Sender func(Message)

// Server does the mesh's I/O.
type Server struct {
	mesh     *Mesh
	role     Role
	client   *http.Client
	scheme   string
	counters *Counters

	handlerMu sync.RWMutex
	handler   Handler

	mu      sync.Mutex
	conns   map[LinkID]*conn
	nextID  atomic.Int64
	dialing map[string]bool
	failed  map[string]int
	ctx     context.Context
}

// conn is one link's connection.
type conn struct {
	link   LinkID
	socket *websocket.Conn
	queue  chan Message
	cancel context.CancelFunc
}

// Counters count messages and bytes on links.
type Counters struct {
	sentMessages, receivedMessages prometheus.Counter
	sentBytes, receivedBytes       prometheus.Counter
	overflows                      prometheus.Counter
}

// NewCounters registers the counters.
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

// NewServer returns the I/O of a mesh; clientTLS is nil for links without TLS.
func NewServer(ctx context.Context, mesh *Mesh, role Role, clientTLS *tls.Config, counters *Counters) *Server {
	scheme := "ws"
	if clientTLS != nil {
		scheme = "wss"
	}
	return &Server{
		mesh: mesh, role: role, scheme: scheme, counters: counters, ctx: ctx,
		client: &http.Client{Transport: &http.Transport{TLSClientConfig: clientTLS, Proxy: nil}},
		conns:  map[LinkID]*conn{}, dialing: map[string]bool{}, failed: map[string]int{},
		handler: func(Sender, Message) {},
	}
}

// SetHandler sets who takes messages that are not the mesh's own.
func (s *Server) SetHandler(h Handler) {
	s.handlerMu.Lock()
	defer s.handlerMu.Unlock()
	s.handler = h
}

// ServeHTTP takes in a link.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	s.serve(s.ctx, socket)
}

// serve says hello, waits for the other side's, and runs the link to its end.
func (s *Server) serve(ctx context.Context, socket *websocket.Conn) {
	defer func() { _ = socket.CloseNow() }()
	socket.SetReadLimit(MaxMessageBytes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hello, ok := s.greet(ctx, socket)
	if !ok {
		return
	}
	c := &conn{link: LinkID(s.nextID.Add(1)), socket: socket, queue: make(chan Message, queueLength), cancel: cancel}
	s.mu.Lock()
	s.conns[c.link] = c
	delete(s.failed, hello.Node.ID)
	s.mu.Unlock()
	go s.writeAll(ctx, c)
	s.Send(s.mesh.LinkUp(c.link, hello, time.Now()))
	s.readAll(ctx, c)
	s.mu.Lock()
	delete(s.conns, c.link)
	s.mu.Unlock()
	s.Send(s.mesh.LinkDown(c.link))
}

// greet exchanges hellos; whoever connects and says none is let go.
func (s *Server) greet(ctx context.Context, socket *websocket.Conn) (Hello, bool) {
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	if s.write(ctx, socket, Hello{Node: s.mesh.Self(), Role: s.role}) != nil {
		return Hello{}, false
	}
	first, err := s.read(ctx, socket)
	hello, ok := first.(Hello)
	return hello, ok && err == nil
}

func (s *Server) readAll(ctx context.Context, c *conn) {
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

func (s *Server) writeAll(ctx context.Context, c *conn) {
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
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	s.counters.sentMessages.Inc()
	s.counters.sentBytes.Add(float64(len(data)))
	return socket.Write(ctx, websocket.MessageBinary, data)
}

// Send puts messages on their links' queues.
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

// SendTo sends a message to a node that is linked; false where it is not.
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

// EnsureLink begins to link to a node that the mesh does not ask for by itself.
func (s *Server) EnsureLink(node membership.Node) { s.dialNode(node) }

// Run ticks the mesh and keeps up the links it asks for until the context ends.
func (s *Server) Run() {
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	dial := time.NewTicker(dialEvery)
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
			if round%surplusEvery == 0 {
				s.closeSurplus()
			}
		}
	}
}

// surplusEvery is how many looks at missing links pass between two at surplus
// ones, which costs more and presses less.
const surplusEvery = 10

func (s *Server) closeSurplus() {
	for _, link := range s.mesh.SurplusLinks(spareLinks, time.Now()) {
		s.close(link)
	}
}

func (s *Server) close(link LinkID) {
	s.mu.Lock()
	c, ok := s.conns[link]
	s.mu.Unlock()
	if ok {
		c.cancel()
	}
}

// LinkCount returns how many links are up.
func (s *Server) LinkCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// dialNode connects to a node unless that is under way. A node that is not
// reached again and again becomes suspect.
func (s *Server) dialNode(node membership.Node) {
	go func() {
		if s.DialAddress(s.ctx, node.PeerAddress) {
			return
		}
		s.mu.Lock()
		s.failed[node.ID]++
		count := s.failed[node.ID]
		s.mu.Unlock()
		if count >= failedDials && node.Status == membership.Alive {
			s.Send(s.mesh.MarkUnreachable(node.ID, time.Now()))
		}
	}()
}

// DialAddress connects to a peer address and reports whether the link came up.
// It returns once the link or ctx has ended, or at once if the dial fails or
// another one to the address is under way.
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
	dialCtx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	socket, response, err := websocket.Dial(dialCtx, s.scheme+"://"+address+Path, &websocket.DialOptions{HTTPClient: s.client})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return false
	}
	s.serve(ctx, socket)
	return true
}
