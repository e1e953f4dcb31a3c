package forward

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/bodies"
	"ironhollow/pkg/buffers"
	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/origin"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/upstream"
)

// RouteTableSource provides the route table of the configuration in force.
type RouteTableSource interface {
	// Current returns nil while no configuration is known. fresh is false while a newer
	// one may be in force that this process has not received.
	Current() (table *routetable.Table, fresh bool)
}

// RunCounter counts requests that started to run, for usage.
type RunCounter interface{ RunStarted(team string) }

// Fleet is what is known of the entry hosts.
type Fleet interface {
	// Advertised is how many hosts are advertised to callers.
	Advertised() int
	// Share is the share of a fleet-wide limit that this host may use.
	Share() float64
	// Sharing is how many hosts may be serving, including silent ones.
	Sharing() int
}

// Clock returns the time that decisions are based on.
type Clock func() time.Time

// Forwarder is the handler of callers' requests. It is safe for concurrent use.
type Forwarder struct {
	protocol   Protocol
	tables     RouteTableSource
	router     *route.Router
	limits     *limit.CostLimiter
	budget     *retry.WindowBudget
	pool       *upstream.Pool
	runCounter RunCounter
	fleet      Fleet
	rollouts   *rollout.Splitter
	crashes    *quarantine.Watch
	notices    *notice.Tracker
	clock      Clock
	metrics    *Metrics
	log        *log.Logger
	logLimit   *logLimiter
	lifecycle  Lifecycle
	// mover is nil if streams are never moved.
	mover *Mover
	// detours is nil if requests are never forwarded to other hosts.
	detours *Detours
	links   Links
	origins *origin.Directory
	// originLog is nil if origins are kept in the memory of hosts only.
	originLog OriginLog
	// takeables are the streams that this host relays.
	takeables *takeables
	// slotQueues holds the requests that wait for slots of fragile endpoints.
	slotQueues *slotQueues
	progress   *progress
	// readRowsSoon lets the rows of endpoints be read soon.
	readRowsSoon func()
	// eventBuffers bounds the incomplete events of all streams, beyond a first buffer of each.
	eventBuffers *buffers.Budget
	// bodies holds the bodies of requests.
	bodies *bodies.Store
}

// MoveStreams makes a mover move the streams that the forwarder relays. It must be called before the
// first request.
func (f *Forwarder) MoveStreams(mover *Mover) { f.mover = mover }

// Lifecycle is the state of the process between its start and its end. It is safe for concurrent use.
type Lifecycle interface {
	Phase() Phase
	// TimeLeft is how long requests can still run before the process ends. It is known during a shutdown only.
	TimeLeft() (left time.Duration, known bool)
}

// Phase is the lifecycle phase of the process.
type Phase int

// The phases.
const (
	// Serving lasts until shutdown begins.
	Serving Phase = iota
	// Draining serves requests and asks callers to close their connections.
	Draining
	// Stopping rejects streams, and other requests whose time limit is after the end of the process.
	Stopping
	// Starting lasts until the process has all that it needs to serve.
	Starting
)

// New returns a forwarder.
func New(protocol Protocol, tables RouteTableSource, router *route.Router, limits *limit.CostLimiter, budget *retry.WindowBudget, pool *upstream.Pool,
	runs RunCounter, fleet Fleet, rollouts *rollout.Splitter, watch *quarantine.Watch, notices *notice.Tracker, lifecycle Lifecycle, clock Clock, metrics *Metrics, logger *log.Logger,
) *Forwarder {
	queues := newSlotQueues()
	router.OnRelease(queues.wakeNext)
	f := &Forwarder{
		slotQueues: queues, takeables: newTakeables(), progress: newProgress(),
		protocol: protocol, tables: tables, router: router, limits: limits, budget: budget, pool: pool,
		runCounter: runs, fleet: fleet, rollouts: rollouts, crashes: watch, notices: notices, lifecycle: lifecycle, clock: clock, metrics: metrics, log: logger, logLimit: newLogLimiter(clock()), links: soundLinks{},
		readRowsSoon: func() {},
		origins:      origin.New("", func() []origin.Peer { return nil }, nil, clock),
	}
	f.LimitMemory(0)
	return f
}

// Retry-After values and the default body limit.
const (
	// retryAfterShort is for capacity that is expected to be free within moments.
	retryAfterShort = 300 * time.Millisecond
	// retryAfterOtherHost is for requests that another host accepts at once.
	retryAfterOtherHost = 20 * time.Millisecond
	// retryAfterNoConfig is for a process that has no configuration yet.
	retryAfterNoConfig = 500 * time.Millisecond
	// defaultMaxBodyBytes limits a body where the configuration does not.
	defaultMaxBodyBytes = 4 << 20
)

// call is one request of a caller.
type call struct {
	f        *Forwarder
	w        http.ResponseWriter
	incoming *http.Request
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
	// identity is set once the body has been read. isTrial is set if the request is quarantined and
	// runs nevertheless, to find out whether it still crashes endpoints.
	identity quarantine.Request
	isTrial  bool
	// hasBegun is set once the current endpoint has sent the beginning of the answer.
	hasBegun bool
	// delivered is set once an endpoint has received the request and could run it.
	delivered bool
	// sentAt is the time of the latest attempt, continues is set if it continues from a copy of a run's memory.
	sentAt    time.Time
	continues bool
	// connection is the connection that the response to the latest attempt came over, and connectionRequests how many
	// requests were sent over it; 0 without a response.
	connection         upstream.ConnectionID
	connectionRequests int
	// isEarly is set if the endpoint has responded to the latest attempt without reading the whole request, and has ended
	// the connection.
	isEarly bool
	// notice is what the response to the latest attempt reports about its endpoint.
	notice endpoint.Notice
	// avoid lists the endpoints that the request failed at.
	avoid []endpoint.Ref
	// side selects the endpoint versions that the request goes to; kind is the kind of
	// evidence that its answers give about them.
	side     rollout.Subset
	kind     rollout.Kind
	attempts int
	// origin is where the stream that the request continues began, nil if it continues none.
	origin *origin.Source
	// unsettled is the presumed origin of a stream whose release is not certain yet, nil if there is none.
	// isUnconfirmed is set if the latest choice left out an endpoint for that reason alone.
	unsettled     *unsettledOrigin
	isUnconfirmed bool
	// returns is how often a stopped run was to continue at its leaving source.
	returns int
	// retryAfter is the caller's Retry-After, above 0 once the request is rejected for the
	// length of the queue.
	retryAfter time.Duration
	// detour is set if another host forwards the request, detourError if this host does not take it.
	detour      *detour
	detourError error
	// usedHosts are the hosts that the request was forwarded to, detourHosts those that did not take it.
	usedHosts, detourHosts []string
	// unreachable counts the endpoints to which no connection could be opened. hasNoEndpoint is set
	// once there is no other endpoint.
	unreachable   int
	hasNoEndpoint bool
	// atEnd are called after the response has ended.
	atEnd []func()
	// isBudgeted is set once the request has been counted for the retry budget.
	isBudgeted bool
	// slotRetryAfter is the time until a slot of a fragile endpoint is expected, above 0 once the
	// request has found none in time.
	slotRetryAfter time.Duration
	// isDemandCounted is set while the request waits for a slot, once a choice has counted its work.
	isDemandCounted bool
	// open is the run of the latest attempt, nil if it is known to have ended. unended are runs of earlier attempts that
	// were not shown to have ended.
	open    *openRun
	unended []*openRun
	// takeable is set if the caller may resume the stream with another request, cancel ends the request's context.
	takeable *takeable
	cancel   context.CancelFunc
	// endsByClose is set if the response ends with the caller's connection, hasHead once its head was written.
	endsByClose, hasHead bool
	// hasReadBody is set once the body was read.
	hasReadBody bool
	logEntry    requestLog
}

// ServeHTTP answers one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.answer(&call{f: f, w: w, incoming: r, started: f.clock()})
}

// answer answers a request of a caller or of another host.
func (f *Forwarder) answer(c *call) {
	w := c.w
	f.awaitReady(c.incoming.Context())
	if phase := f.lifecycle.Phase(); phase == Draining || phase == Stopping {
		w.Header().Set("Connection", "close")
	}
	defer f.progress.remove(c)
	err := c.serveSafely()
	c.endTakeable(err)
	c.forgetOrigin(err)
	c.endUnsettled(err)
	c.freeOpenCopy()
	for _, end := range c.atEnd {
		end()
	}
	c.finish(err)
	if errors.Is(err, errTruncated) {
		// The response can't be completed: abort the connection so that the caller notices.
		panic(http.ErrAbortHandler)
	}
	if c.endsByClose {
		c.endByClose()
	}
}

// serveSafely answers the request. After a panic the caller gets an error, or a response that breaks off if it has begun,
// and the end of the request is recorded like any other.
func (c *call) serveSafely() (err error) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		c.f.metrics.panics.Inc()
		c.f.log.Error().Str("request", c.meta.ID).Any("panic", recovered).Bytes("stack", debug.Stack()).Msg("panic while serving a request")
		if c.hasHead {
			err = errTruncated
			return
		}
		// What an endpoint's response has set does not belong to this one.
		clear(c.w.Header())
		if c.endsByClose {
			c.endsByClose = false
			c.setResetOnClose(false)
		}
		err = c.reject(code.New(code.Internal, "fault in this host"), 0)
	}()
	return c.serve()
}

// Timing of the wait for startup.
const (
	// startupWait is how long a request waits for a process that has just started, which
	// usually takes 60 ms: a rejected caller comes back later than that. Without the wait,
	// 166 of 280 requests in the first second after a loss of all hosts were rejected.
	startupWait = 400 * time.Millisecond
	startupPoll = 5 * time.Millisecond
)

// awaitReady waits until the process can serve, for startupWait at most.
func (f *Forwarder) awaitReady(ctx context.Context) {
	for waited := time.Duration(0); f.lifecycle.Phase() == Starting && waited < startupWait; waited += startupPoll {
		if !pause.For(ctx, startupPoll) {
			return
		}
	}
}

// errTruncated means that the response had started and can't be completed.
var errTruncated = errors.New("the answer broke off")

func (c *call) serve() error {
	var err error
	if c.meta, err = c.f.protocol.DecodeRequest(c.incoming.Header); err != nil {
		return c.reject(code.New(code.BadHeader, err.Error()), 0)
	}
	c.f.metrics.reserved.Add(float64(c.meta.ReservedHeaders))
	if c.detourError != nil {
		return c.reject(c.detourError, retryAfterOtherHost)
	}
	if err = c.findRoute(); err != nil {
		return c.reject(err, retryAfterNoConfig)
	}
	if err = c.authorize(); err != nil {
		return c.reject(err, retryAfterShort)
	}
	c.deadline = time.Now().Add(c.route.Timeout)
	if c.meta.HasTimeout {
		c.deadline = time.Now().Add(min(c.route.Timeout, c.meta.Timeout))
	}
	if c.detour != nil {
		c.deadline = time.Now().Add(min(c.route.Timeout, c.detour.remaining))
		c.adoptDetour()
	}
	if c.f.lifecycle.Phase() == Stopping && c.mayOutlastProcess() {
		return c.reject(code.New(code.Stopping, "host is stopping and would cut the request off"), retryAfterOtherHost)
	}
	ctx, cancel := context.WithDeadline(c.incoming.Context(), c.deadline)
	defer cancel()
	c.cancel = cancel
	if err = c.readBody(ctx); err != nil {
		retryAfter := time.Duration(0)
		if code.Of(err) == code.NoMemory {
			retryAfter = retryAfterShort
		}
		return c.reject(err, retryAfter)
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	if !c.f.progress.add(c, end) {
		return c.reject(code.New(code.Stopping, "the process of this host ends"), retryAfterOtherHost)
	}
	if remaining, err := c.checkQuarantine(); err != nil {
		return c.reject(err, remaining)
	}
	if c.f.links.NoneReachable() {
		return c.reject(code.New(code.NoEndpoint, "no endpoint can be reached from any host"), retryAfterShort)
	}
	service := c.service
	if err = c.findOrigin(ctx); err != nil {
		return c.reject(err, retryAfterShort)
	}
	if c.service != service {
		if remaining, err := c.checkQuarantine(); err != nil {
			return c.reject(err, remaining)
		}
	}
	if c.detour == nil {
		if wait, ok := c.checkRateLimit(); !ok {
			return c.reject(code.New(code.OverRate, "the team is over its rate"), wait)
		}
	}
	if c.meta.Resumes != "" && c.origin != nil {
		c.trackTakeable()
	}
	return c.run(ctx)
}
