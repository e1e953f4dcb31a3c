package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/upstream"
)

// RouteTableSource gives the configuration in force.
type RouteTableSource interface {
	// Current returns nil while no configuration is known. fresh is false while
	// a newer one may be in force of which this process has not heard.
	Current() (table *routetable.Table, fresh bool)
}

// RunCounter counts requests that began to run, for usage.
type RunCounter interface{ RunStarted(team string) }

// Fleet is what is known of the entry hosts.
type Fleet interface {
	// Advertised is how many hosts callers are told.
	Advertised() int
	// Share is the part of a bound on all hosts together that this one may use.
	Share() float64
	// Sharing is how many hosts may serve, those that are not heard too.
	Sharing() int
}

// Clock tells the time that decisions are taken with.
type Clock func() time.Time

// Forwarder is the handler of callers' requests. It is safe for concurrent use.
type Forwarder struct {
	protocol Protocol
	tables   RouteTableSource
	router   *route.Router
	limits   *limit.CostLimiter
	budget   *retry.WindowBudget
	pool     *upstream.Pool
	runs     RunCounter
	fleet    Fleet
	rollouts *rollout.Splitter
	crashes  *quarantine.Watch
	notices  *notice.Tracker
	clock    Clock
	metrics  *Metrics
	log      *log.Logger
	lines    *lineBudget
	phase    func() Phase
}

// Phase is how far the process is on its way to its end.
type Phase int

// The phases.
const (
	// Serving is all the time before a stop.
	Serving Phase = iota
	// Draining asks callers to leave their connections, and serves.
	Draining
	// Stopping turns streams away: they would not be whole before the end.
	Stopping
	// Starting is until the process knows all that it needs to serve.
	Starting
)

// New returns a forwarder.
func New(protocol Protocol, tables RouteTableSource, router *route.Router, limits *limit.CostLimiter, budget *retry.WindowBudget, pool *upstream.Pool,
	runs RunCounter, fleet Fleet, rollouts *rollout.Splitter, watch *quarantine.Watch, notices *notice.Tracker, phase func() Phase, clock Clock, metrics *Metrics, logger *log.Logger,
) *Forwarder {
	return &Forwarder{
		protocol: protocol, tables: tables, router: router, limits: limits, budget: budget, pool: pool,
		runs: runs, fleet: fleet, rollouts: rollouts, crashes: watch, notices: notices, phase: phase, clock: clock, metrics: metrics, log: logger, lines: newLineBudget(clock()),
	}
}

// Times callers are told to come back after.
const (
	// comeBackSoon is where a place or an endpoint is expected within moments.
	comeBackSoon = 300 * time.Millisecond
	// comeBackElsewhere is where another host takes the request at once.
	comeBackElsewhere = 20 * time.Millisecond
	// comeBackConfigured is where this process has no configuration yet.
	comeBackConfigured = 500 * time.Millisecond
	// defaultBody bounds a body where the configuration does not.
	defaultBody = 4 << 20
)

// call is one request of a caller.
type call struct {
	f        *Forwarder
	w        http.ResponseWriter
	in       *http.Request
	meta     RequestMeta
	table    *routetable.Table
	route    *routetable.Route
	team     *routetable.Team
	service  *routetable.Service
	priority int
	started  time.Time
	deadline time.Time
	header   http.Header
	body     []byte
	hasBody  bool
	// fingerprint is set once the body has been read.
	fingerprint quarantine.Fingerprint
	// offered says that an endpoint was sent the request and could run it.
	offered bool
	// sentAt is when it was sent last.
	sentAt time.Time
	// said is what the answer to the latest send says of its endpoint.
	said endpoint.Notice
	// avoid lists endpoints it failed at.
	avoid []endpoint.Ref
	// side is the versions of endpoints that it goes to, kind what its answers show of
	// them.
	side     rollout.Subset
	kind     rollout.Kind
	attempts int
	// comeBack is when the caller is told to return, above 0 once it is refused for
	// what is queued.
	comeBack time.Duration
	trail    trail
}

// ServeHTTP answers one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{f: f, w: w, in: r, started: f.clock()}
	f.awaitStart(r.Context())
	if phase := f.phase(); phase == Draining || phase == Stopping {
		w.Header().Set("Connection", "close")
	}
	err := c.serve()
	c.finish(err)
	if errors.Is(err, errCut) {
		// The answer can't be completed: the caller must see it break off.
		panic(http.ErrAbortHandler)
	}
}

// Times of a start.
const (
	// startWait is how long a request waits for a process that has just started to know
	// what it needs: 60 ms as a rule, and refused its caller comes back later than that.
	// After a loss of all hosts 166 of 280 requests of the first second were refused so.
	startWait = 400 * time.Millisecond
	startLook = 5 * time.Millisecond
)

// awaitStart waits until the process can serve, for startWait at most.
func (f *Forwarder) awaitStart(ctx context.Context) {
	for waited := time.Duration(0); f.phase() == Starting && waited < startWait; waited += startLook {
		if !pause.For(ctx, startLook) {
			return
		}
	}
}

// errCut says that the answer had begun and can't be completed.
var errCut = errors.New("the answer broke off")

func (c *call) serve() error {
	var err error
	if c.meta, err = c.f.protocol.DecodeRequest(c.in.Header); err != nil {
		return c.refuse(code.New(code.BadHeader, err.Error()), 0)
	}
	c.f.metrics.reserved.Add(float64(c.meta.ReservedHeaders))
	if err = c.findRoute(); err != nil {
		return c.refuse(err, comeBackConfigured)
	}
	if err = c.authorize(); err != nil {
		return c.refuse(err, comeBackSoon)
	}
	if c.route.Kind == routetable.Stream && c.f.phase() == Stopping {
		return c.refuse(code.New(code.Stopping, "this host stops before the stream would end"), comeBackElsewhere)
	}
	c.deadline = time.Now().Add(c.route.Timeout)
	if c.meta.HasTimeout {
		c.deadline = time.Now().Add(min(c.route.Timeout, c.meta.Timeout))
	}
	if err = c.readBody(); err != nil {
		return c.refuse(err, 0)
	}
	c.fingerprint = quarantine.FingerprintOf(c.in.Method, c.in.RequestURI, c.teamName(), c.body)
	if left, held := c.held(); held {
		return c.refuse(errQuarantined, left)
	}
	if wait, ok := c.admit(); !ok {
		return c.refuse(code.New(code.OverRate, "the team is over its rate"), wait)
	}
	ctx, cancel := context.WithDeadline(c.in.Context(), c.deadline)
	defer cancel()
	return c.run(ctx)
}
