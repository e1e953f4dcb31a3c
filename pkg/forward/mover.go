package forward

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
)

// Mover moves the streams that this host relays away from endpoints that leave. It is safe for
// concurrent use.
type Mover struct {
	calls   migrate.Calls
	router  *route.Router
	tables  RouteTableSource
	clock   Clock
	metrics *moverMetrics
	log     *log.Logger

	mu sync.Mutex
	// streams holds the streams that are being relayed from each endpoint, by request id.
	streams map[endpoint.Ref]map[string]*relayedStream
	// leaving holds the endpoints that are being emptied, and since when.
	leaving map[endpoint.Ref]time.Time
}

// Timing of the mover.
const (
	// planInterval is the time between two plans while no stream is to be moved: the estimate that a
	// stream ends in time changes with its pace.
	planInterval = 50 * time.Millisecond
	// reportInterval is how long an endpoint's report of its runs is used, and reportTimeout how long
	// to wait for it.
	reportInterval = 300 * time.Millisecond
	reportTimeout  = 250 * time.Millisecond
	// reportRetry is the time until a report is asked for again after a failure.
	reportRetry = time.Second
	// idleInterval is the time between two looks at an endpoint from which no stream is relayed. Most
	// hosts have none from most endpoints when a data centre is reclaimed.
	idleInterval = 200 * time.Millisecond
	// maxNotice bounds the time for which an endpoint is emptied.
	maxNotice = 30 * time.Second
	// abortDelay is how long the source may take to close the stream of a run that it has stopped.
	abortDelay = 100 * time.Millisecond
	// maxMoveAttempts is the number of targets tried for a stream.
	maxMoveAttempts = 3
)

// NewMover returns a mover that learns from a directory which endpoints leave.
func NewMover(calls migrate.Calls, directory *endpoint.Directory, router *route.Router, tables RouteTableSource, clock Clock, registry prometheus.Registerer, logger *log.Logger) *Mover {
	m := &Mover{
		calls: calls, router: router, tables: tables, clock: clock, metrics: newMoverMetrics(registry), log: logger,
		streams: map[endpoint.Ref]map[string]*relayedStream{}, leaving: map[endpoint.Ref]time.Time{},
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
	m.mu.Lock()
	defer m.mu.Unlock()
	streams := map[string]*relayedStream{}
	for id, s := range m.streams[ref] {
		if s.isMovable() {
			streams[id] = s
		}
	}
	return streams
}

// endpointLeaves empties an endpoint until it stops, if its service offers moves.
func (m *Mover) endpointLeaves(info endpoint.Info) {
	offered := m.offered(info.Service)
	if offered == nil || !m.begin(info.Ref()) {
		return
	}
	defer m.finish(info.Ref())
	e := &evacuation{Mover: m, info: info, offered: *offered, startedAt: m.clock()}
	e.run()
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

func (m *Mover) begin(ref endpoint.Ref) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, begun := m.leaving[ref]; begun {
		return false
	}
	m.leaving[ref] = m.clock()
	return true
}

func (m *Mover) finish(ref endpoint.Ref) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.leaving, ref)
}

// evacuation empties one endpoint. Its moves run one after another, as they share the endpoint's link.
type evacuation struct {
	*Mover
	info      endpoint.Info
	offered   routetable.Moves
	startedAt time.Time
	// runs are the runs that the endpoint last reported; stopsAt is when it then said that it stops,
	// zero if it did not.
	runs    []migrate.Run
	stopsAt time.Time
	// nextReport is when the endpoint may be asked for its report again.
	nextReport time.Time
	counts     [migrate.Lost + 1]int
}

// run moves streams until the endpoint stops.
func (e *evacuation) run() {
	for e.refresh() {
		own := e.movable(e.info.Ref())
		if len(own) == 0 {
			time.Sleep(idleInterval)
			continue
		}
		s, ok := e.next(own)
		if !ok {
			time.Sleep(planInterval)
			continue
		}
		result := e.move(s)
		if result == migrate.Kept {
			// The estimates have changed since the plan.
			time.Sleep(planInterval)
		}
		e.counts[result]++
		e.metrics.moves.WithLabelValues(e.info.Service, result.String()).Inc()
	}
	if moved := e.counts[migrate.Stopped] + e.counts[migrate.Returned] + e.counts[migrate.Lost]; moved > 0 || e.counts[migrate.Refused]+e.counts[migrate.Failed] > 0 {
		e.log.Info().Str("endpoint", e.info.ID).Str("service", e.info.Service).Int("moved", e.counts[migrate.Stopped]).Int("returned", e.counts[migrate.Returned]).
			Int("lost", e.counts[migrate.Lost]).Int("refused", e.counts[migrate.Refused]).Int("failed", e.counts[migrate.Failed]).Msg("moved streams from leaving endpoint")
	}
}

// refresh reads what is known of the endpoint and reports whether it is still there.
func (e *evacuation) refresh() bool {
	info, ok := e.router.Lookup(e.info.ID)
	if !ok || info.Ref() != e.info.Ref() || info.State != endpoint.Leaving {
		return false
	}
	e.info = info
	now := e.clock()
	return e.left() > 0 && now.Sub(e.startedAt) < maxNotice
}

// left returns the time until the endpoint stops, by its row or its report, whichever is sooner: the
// time in a row is as of when it was written.
func (e *evacuation) left() time.Duration {
	stopsAt := e.info.LeaveBy
	if stopsAt.IsZero() || !e.stopsAt.IsZero() && e.stopsAt.Before(stopsAt) {
		stopsAt = e.stopsAt
	}
	if stopsAt.IsZero() {
		stopsAt = e.startedAt.Add(migrate.DefaultNotice)
	}
	return stopsAt.Sub(e.clock())
}

func (e *evacuation) conditions() migrate.Conditions {
	return migrate.Conditions{
		Left:            e.left(),
		Link:            migrate.Link{BytesPerToken: e.offered.BytesPerToken, BytesPerSecond: e.offered.BytesPerSecond},
		PrefillPerToken: e.timings().PrefillPerToken,
	}
}

// next returns the stream to be moved next.
func (e *evacuation) next(own map[string]*relayedStream) (*relayedStream, bool) {
	// The report says when the endpoint stops, if its row does not, and which runs share the link.
	if e.info.LeaveBy.IsZero() || len(e.plan(own, nil)) > 0 {
		e.fetchReport(own)
	}
	candidates := e.plan(own, e.others(own))
	if len(candidates) == 0 {
		return nil, false
	}
	return own[candidates[0].ID], true
}

func (e *evacuation) plan(own map[string]*relayedStream, others []migrate.Run) []migrate.Stream {
	now, timings := e.clock(), e.timings()
	streams := make([]migrate.Stream, 0, len(own))
	for _, s := range own {
		streams = append(streams, s.describe(now, timings.TokenGap))
	}
	return migrate.Plan(streams, others, e.conditions())
}

// fetchReport asks the endpoint for its runs, at most every reportInterval.
func (e *evacuation) fetchReport(own map[string]*relayedStream) {
	now := e.clock()
	if now.Before(e.nextReport) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var source migrate.Source
	for _, s := range own {
		source = s.source()
		break
	}
	report, err := e.calls.Report(ctx, source)
	if err != nil {
		// The plan goes on with this host's streams alone.
		e.metrics.failedReports.Inc()
		e.runs, e.nextReport = nil, now.Add(reportRetry)
		return
	}
	e.runs, e.nextReport = report.Runs, now.Add(reportInterval)
	if report.HasLeft {
		e.stopsAt = now.Add(report.Left)
	}
}

// others returns the reported runs that other hosts relay.
func (e *evacuation) others(own map[string]*relayedStream) []migrate.Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	mine := e.streams[e.info.Ref()]
	var others []migrate.Run
	for _, run := range e.runs {
		if mine[run.ID] == nil && own[run.ID] == nil {
			others = append(others, run)
		}
	}
	return others
}

// move moves one stream to the endpoint with most room.
func (e *evacuation) move(s *relayedStream) migrate.Result {
	s.attempts++
	target, ok := e.chooseTarget(s)
	if !ok {
		return migrate.Refused
	}
	crosses := target.Endpoint.DataCenter != e.info.DataCenter
	described := s.describe(e.clock(), e.timings().TokenGap)
	if c := e.conditions(); !c.IsWorthMoving(described, crosses) || !c.FitsInTime(c.Link.CopyTime(described.Tokens, crosses)) {
		e.router.Done(target, route.Result{Refused: true}, e.clock())
		return migrate.Kept
	}
	s.setTarget(target)
	result := migrate.Move{
		Calls: e.calls, Handover: s.handover, Source: s.source(), RunID: s.id, Target: target.Endpoint.Address,
		Left: e.left, Clock: e.clock, FreeFailed: e.freeFailed,
		MayStop: func(took time.Duration) bool {
			c := e.conditions()
			// The last part waits on the link behind the same moves as the first did.
			return e.refresh() && !migrate.FinishesInTime(s.describe(e.clock(), e.timings().TokenGap).Remaining, c.Left) && c.FitsInTime(took)
		},
	}.Run(context.Background())
	e.afterMove(s, target, result)
	return result
}

// afterMove completes the choice of the target unless the relay takes it over, and makes the relay
// notice a stop.
func (e *evacuation) afterMove(s *relayedStream, target route.Choice, result migrate.Result) {
	switch result {
	case migrate.Stopped, migrate.Returned:
		s.attempts = maxMoveAttempts
		time.AfterFunc(abortDelay, s.abort)
	case migrate.Ended, migrate.Lost:
		s.attempts = maxMoveAttempts
	case migrate.Refused:
		s.avoid(target.Endpoint.Ref())
	}
	if result != migrate.Stopped {
		e.router.Done(target, route.Result{Refused: true}, e.clock())
		return
	}
	go func() {
		s.handover.WasUsed()
		if !s.isTargetTaken() {
			e.router.Done(target, route.Result{Refused: true}, e.clock())
		}
	}()
}

func (m *Mover) freeFailed(err error) {
	m.metrics.failedFrees.Inc()
	m.log.Warn().Err(err).Msg("a copy that is not needed could not be freed and lapses")
}

// chooseTarget chooses an endpoint of the same release, which has the same model, as the run's memory
// is of no use to another.
func (e *evacuation) chooseTarget(s *relayedStream) (route.Choice, bool) {
	query := s.targetQuery()
	for range maxMoveAttempts {
		rejected := endpoint.Ref{}
		query.Accepts = func(c route.Choice) bool {
			if c.Endpoint.Release == e.info.Release && c.Endpoint.Ref() != e.info.Ref() {
				return true
			}
			rejected = c.Endpoint.Ref()
			return false
		}
		if choice, ok := e.router.Choose(query, route.Expected, e.clock()); ok {
			return choice, true
		}
		if rejected.ID == "" {
			break
		}
		query.Avoid = append(query.Avoid, rejected)
	}
	return route.Choice{}, false
}

func (e *evacuation) timings() timings {
	t := e.router.Timings(route.TargetOf(e.info))
	return timings{t.PrefillPerToken, t.TokenGap}
}

// timings are the parts of the engines' speed that the plan uses.
type timings struct{ PrefillPerToken, TokenGap time.Duration }

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
			Name: "ironhollow_move_frees_failed_total", Help: "Copies that could not be freed and lapse.",
		}),
	}
	registry.MustRegister(m.moves, m.continued, m.failedReports, m.failedFrees)
	return m
}
