package forward

import (
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/upstream"
)

// Mover moves the streams that this host relays away from endpoints that leave. It is safe for
// concurrent use.
type Mover struct {
	calls     migrate.Calls
	pool      *upstream.Pool
	directory *endpoint.Directory
	router    *route.Router
	tables    RouteTableSource
	clock     Clock
	metrics   *moverMetrics
	log       *log.Logger

	mu sync.Mutex
	// streams holds the streams that are being relayed from each endpoint, by request id.
	streams map[endpoint.Ref]map[string]*relayedStream
	// departures holds the endpoints that leave.
	departures map[endpoint.Ref]*departure
	// lengths estimates answers of unknown length.
	lengths *migrate.Lengths
}

// Timing of the mover.
const (
	// planInterval is the time between two plans while no stream is to be moved: the estimate that a
	// stream ends in time changes with its pace.
	planInterval = 50 * time.Millisecond
	// targetInterval is the time until the next search for a target after one that found none.
	targetInterval = 100 * time.Millisecond
	// reportInterval is how long an endpoint's report of its runs is used, and reportTimeout how long
	// to wait for it.
	reportInterval = 300 * time.Millisecond
	reportTimeout  = 250 * time.Millisecond
	// reportRetry is the time until a report is asked for again after a failure.
	reportRetry = time.Second
	// reachTimeout is how long a connection to a target may take to open before the run is stopped.
	reachTimeout = 150 * time.Millisecond
	// departureTTL is how long a leaving endpoint is remembered; notices are shorter.
	departureTTL = 10 * time.Minute
	// abortDelay is how long the source may take to close the stream of a run that it has stopped.
	abortDelay = 100 * time.Millisecond
	// maxMoveAttempts is the number of targets tried for a stream.
	maxMoveAttempts = 3
)

// NewMover returns a mover that learns from a directory which endpoints leave.
func NewMover(calls migrate.Calls, pool *upstream.Pool, directory *endpoint.Directory, router *route.Router, tables RouteTableSource, clock Clock, registry prometheus.Registerer, logger *log.Logger) *Mover {
	m := &Mover{
		calls: calls, pool: pool, directory: directory, router: router, tables: tables, clock: clock, metrics: newMoverMetrics(registry), log: logger,
		streams: map[endpoint.Ref]map[string]*relayedStream{}, departures: map[endpoint.Ref]*departure{}, lengths: migrate.NewLengths(),
	}
	directory.SubscribeLeaving(m.endpointLeaves)
	return m
}

// track registers a stream while it is relayed.
func (m *Mover) track(s *relayedStream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	streams := m.streams[s.ref]
	if streams == nil {
		streams = map[string]*relayedStream{}
		m.streams[s.ref] = streams
	}
	streams[s.id] = s
	m.startEvacuation(s.ref)
}

func (m *Mover) untrack(s *relayedStream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	streams := m.streams[s.ref]
	if streams[s.id] == s {
		delete(streams, s.id)
	}
	if len(streams) == 0 {
		delete(m.streams, s.ref)
	}
}

// movable returns the streams at an endpoint that can be moved now, by request id.
func (m *Mover) movable(ref endpoint.Ref) map[string]*relayedStream {
	streams := m.movableNow(ref)
	for id, s := range streams {
		if s.isQuarantined() {
			delete(streams, id)
		}
	}
	return streams
}

func (m *Mover) movableNow(ref endpoint.Ref) map[string]*relayedStream {
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	streams := map[string]*relayedStream{}
	for id, s := range m.streams[ref] {
		if s.isMovable(now) {
			streams[id] = s
		}
	}
	return streams
}

// departure is an endpoint that leaves.
type departure struct {
	info    endpoint.Info
	offered routetable.Moves
	since   time.Time
	// isBeingEmptied is set while an evacuation runs. It runs only while streams are relayed from the
	// endpoint.
	isBeingEmptied bool
}

// endpointLeaves records that an endpoint leaves, if its service offers moves, and moves its streams.
func (m *Mover) endpointLeaves(info endpoint.Info) {
	offered := m.offered(info.Service)
	if offered == nil {
		return
	}
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.departures[info.Ref()] == nil {
		m.departures[info.Ref()] = &departure{info: info, offered: *offered, since: now}
	}
	for ref, d := range m.departures {
		if now.Sub(d.since) > departureTTL && !d.isBeingEmptied {
			delete(m.departures, ref)
		}
	}
	m.startEvacuation(info.Ref())
}

// startEvacuation starts to empty a leaving endpoint if streams are relayed from it. mu must be held.
func (m *Mover) startEvacuation(ref endpoint.Ref) {
	d := m.departures[ref]
	if d == nil || d.isBeingEmptied || len(m.streams[ref]) == 0 {
		return
	}
	d.isBeingEmptied = true
	e := &evacuation{Mover: m, info: d.info, offered: d.offered, startedAt: d.since}
	go e.run()
}

// isEmpty reports whether no stream is relayed from an endpoint. If so, it marks the evacuation as
// ended.
func (m *Mover) isEmpty(ref endpoint.Ref) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.streams[ref]) > 0 {
		return false
	}
	m.departures[ref].isBeingEmptied = false
	return true
}

// offered returns what a service states about moves; nil if it offers none.
func (m *Mover) offered(service string) *routetable.Moves {
	table, _ := m.tables.Current()
	if table == nil {
		return nil
	}
	s, ok := table.Service(service)
	if !ok {
		return nil
	}
	return s.Moves
}

// mayReturn reports whether a leaving endpoint still accepts the request that continues a run which it
// has stopped.
func (m *Mover) mayReturn(ref endpoint.Ref) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.departures[ref]
	return d != nil && m.clock().Sub(d.since) < maxReturnAge
}

// moverMetrics holds the metrics of moves.
type moverMetrics struct {
	moves                      *prometheus.CounterVec
	continued                  *prometheus.CounterVec
	failedReports, failedFrees prometheus.Counter
}

func newMoverMetrics(registry prometheus.Registerer) *moverMetrics {
	m := &moverMetrics{
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ironhollow_moves_total", Help: "Attempts to move a stream from a leaving endpoint, by service and result.",
		}, []string{"service", "result"}),
		continued: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ironhollow_moved_streams_total", Help: "Streams whose run was stopped for a move, by service and where they continued.",
		}, []string{"service", "place"}),
		failedReports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ironhollow_move_reports_failed_total", Help: "Reports of leaving endpoints that could not be read.",
		}),
		failedFrees: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ironhollow_move_frees_failed_total", Help: "Copies that could not be freed and expire.",
		}),
	}
	registry.MustRegister(m.moves, m.continued, m.failedReports, m.failedFrees)
	return m
}
