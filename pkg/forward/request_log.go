package forward

import (
	"errors"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/route"
	"ironhollow/pkg/upstream"
)

// requestLog is the content of a request's log line.
type requestLog struct {
	attempts []attemptRecord
	status   int
	bytes    int
	notes    []string
	// takeUp is set if the caller takes a stream up.
	takeUp *takeUp
	// quarantine is why the request was rejected as quarantined, nil if it was not.
	quarantine *quarantine.Verdict
	// limitCost is the request's cost against its team's limit.
	limitCost float64
}

// attemptRecord is one attempt.
type attemptRecord struct {
	endpoint string
	// release is the version of the endpoint's software.
	release string
	// rowVersion is the version of the endpoint's row at the time of the choice.
	rowVersion int64
	// expected is the estimated total time, queued the part behind other requests.
	expected, queued time.Duration
	cached           int
	duration         time.Duration
	outcome          string
	// framing is how the end of the response is marked, empty if there is none.
	framing string
	// notice is what the response reported about its endpoint.
	notice     endpoint.Notice
	mayHaveRun bool
	delivered  bool
	// endpoints is how many endpoints have received the request in an attempt through another host, 0
	// if unknown.
	endpoints int
	// connection is the connection that the response came over, and connectionRequests how many requests were
	// sent over it until then; 0 without a response.
	connection         upstream.ConnectionID
	connectionRequests int
	// isEarly is set if the endpoint had responded without reading the whole request, and had ended the connection.
	isEarly bool
	// startedAfter is the time from the beginning of the request.
	startedAfter time.Duration
	// runEnd is how the run ended if its connection did not show that, runEndTook how long the answer to
	// that took.
	runEnd     string
	runEndTook time.Duration
	// continues is set if the attempt continued a run that was stopped, which is not a further run.
	continues bool
}

// recordEnd records how the run of the latest attempt has ended.
func (t *requestLog) recordEnd(state migrate.RunState, took time.Duration) {
	if n := len(t.attempts); n > 0 {
		t.attempts[n-1].runEnd, t.attempts[n-1].runEndTook = state.String(), took
	}
}

func (t *requestLog) addNote(text string) { t.notes = append(t.notes, text) }

func (c *call) recordAttempt(choice route.Choice, r result, duration time.Duration) {
	a := attemptRecord{endpoint: choice.Endpoint.ID, release: choice.Endpoint.Release, rowVersion: choice.Endpoint.Counter, expected: choice.Expected, queued: choice.Queued, cached: choice.CachedTokens, duration: duration, delivered: true, notice: c.notice, startedAfter: c.sentAt.Sub(c.started), continues: c.continues}
	a.connection, a.connectionRequests, a.isEarly = c.connection, c.connectionRequests, c.isEarly
	switch r := r.(type) {
	case notRun:
		a.outcome = "not run: " + r.err.Error()
		a.delivered = r.rejectedByTarget
	case unclear:
		a.outcome = "unclear: " + r.err.Error()
		a.mayHaveRun = true
		c.openRunAt(choice)
		if c.open != nil && c.detour == nil {
			// Another host may send a forwarded request to the same endpoint again, and that run must not be ended.
			c.open.isUnanswered = true
		}
	case answered:
		a.outcome = strconv.Itoa(r.status)
		a.framing = r.framing.String()
		a.mayHaveRun = true
	case streaming:
		c.openRunAt(choice)
		a.outcome = "stream"
		a.framing = r.exchange.Framing().String()
		a.mayHaveRun = true
	}
	c.logEntry.attempts = append(c.logEntry.attempts, a)
	c.f.metrics.attempts.WithLabelValues(c.service.Name, outcomeLabel(r)).Inc()
	if choice.Endpoint.State == endpoint.Leaving {
		c.f.metrics.leaving.WithLabelValues(c.service.Name).Inc()
	}
	c.countNotice()
}

// countNotice counts what the latest response reported about its endpoint.
func (c *call) countNotice() {
	if c.notice.Moved {
		c.f.metrics.notices.WithLabelValues(c.service.Name, "moved").Inc()
	}
	if c.notice.Leaving {
		c.f.metrics.notices.WithLabelValues(c.service.Name, "leaving").Inc()
	}
	if c.notice.Limit > 0 {
		c.f.metrics.notices.WithLabelValues(c.service.Name, "limit").Inc()
	}
	if c.notice.BadLimit {
		c.f.metrics.notices.WithLabelValues(c.service.Name, "unreadable-limit").Inc()
	}
	if c.notice.MaxRejections > 0 {
		c.f.metrics.notices.WithLabelValues(c.service.Name, "fragile").Inc()
	}
	if c.notice.BadMaxRejections {
		c.f.metrics.notices.WithLabelValues(c.service.Name, "unreadable-fragile").Inc()
	}
	if c.notice.Backoff > 0 {
		c.f.metrics.notices.WithLabelValues(c.service.Name, "backoff").Inc()
	}
}

func outcomeLabel(r result) string {
	switch r.(type) {
	case notRun:
		return "not-run"
	case unclear:
		return "unclear"
	case streaming:
		return "stream"
	case refusedByHost:
		return "refused"
	default:
		return "answered"
	}
}

// deliveredAttempts returns how many attempts the chosen endpoint received.
func (c *call) deliveredAttempts() int {
	n := 0
	if c.detour != nil {
		n = c.detour.attempts
	}
	for _, a := range c.logEntry.attempts {
		if a.delivered && !a.continues {
			n += max(a.endpoints-n, 1)
		}
	}
	return n
}

// usedConnections returns the connections that responses to earlier attempts came over.
func (c *call) usedConnections() []upstream.ConnectionID {
	var used []upstream.ConnectionID
	for _, a := range c.logEntry.attempts {
		if a.connectionRequests > 0 {
			used = append(used, a.connection)
		}
	}
	return used
}

// lastEndpoint returns the ID of the endpoint of the latest attempt.
func (c *call) lastEndpoint() string {
	if n := len(c.logEntry.attempts); n > 0 {
		return c.logEntry.attempts[n-1].endpoint
	}
	return ""
}

// mayHaveRun reports whether an attempt may have run.
func (c *call) mayHaveRun() bool {
	for _, a := range c.logEntry.attempts {
		if a.mayHaveRun {
			return true
		}
	}
	return false
}

// finish writes the request's log line and updates the metrics.
func (c *call) finish(err error) {
	outcome := "served"
	switch {
	case errors.Is(err, errCallerDisconnected):
		outcome = "caller-left"
	case errors.Is(err, errTruncated):
		outcome = "cut"
	case err != nil:
		outcome = code.Of(err).Name()
	}
	duration := c.f.clock().Sub(c.started)
	c.f.metrics.requests.WithLabelValues(c.routeKind(), outcome).Inc()
	c.f.metrics.seconds.WithLabelValues(c.routeKind()).Observe(duration.Seconds())
	c.countTakeUp(err)
	write, dropped := c.f.logLimit.allow(err != nil, c.f.clock())
	if !write {
		c.f.metrics.dropped.Inc()
		return
	}
	if dropped > 0 {
		c.f.log.Warn().Int("lines", dropped).Msg("request log lines dropped: rate limit exceeded")
	}
	line := c.f.log.Info().Str("request", c.meta.ID).Str("outcome", outcome).Dur("took", duration)
	if c.route != nil {
		line = line.Str("route", c.route.Name).Str("service", c.service.Name).Int64("config", c.table.Version()).Str("team", c.teamName()).
			Stringer("fingerprint", c.identity.Fingerprint()).Str("parts", c.identity.PartNames())
	}
	if v := c.logEntry.quarantine; v != nil {
		line = line.Str("quarantine-part", v.Part).Stringer("quarantine-fingerprint", v.Case.Fingerprint).
			Str("quarantine-endpoints", v.Case.EndpointList()).Time("quarantine-since", v.Case.Crashes[0].At).Int("quarantine-trials", v.Case.Trials)
	}
	if c.isTrial {
		line = line.Bool("quarantine-trial", true)
	}
	if c.meta.LastEventID != "" || c.meta.Resumes != "" {
		line = line.Str("resumes", c.meta.Resumes).Str("after-event", c.meta.LastEventID)
	}
	if c.logEntry.takeUp != nil {
		line = c.logEntry.takeUp.log(line)
	}
	for i, a := range c.logEntry.attempts {
		prefix := "hop" + strconv.Itoa(i+1)
		line = line.Str(prefix, a.endpoint).Str(prefix+"-end", a.outcome).Dur(prefix+"-took", a.duration).
			Dur(prefix+"-at", a.startedAfter).Dur(prefix+"-expected", a.expected).Dur(prefix+"-queued", a.queued).Int(prefix+"-cached", a.cached).Int64(prefix+"-row", a.rowVersion)
		if a.release != "" {
			line = line.Str(prefix+"-release", a.release)
		}
		if a.framing != "" {
			line = line.Str(prefix+"-framing", a.framing)
		}
		if a.connectionRequests > 0 {
			line = line.Int64(prefix+"-connection", int64(a.connection)).Int(prefix+"-connection-requests", a.connectionRequests)
		}
		if a.isEarly {
			line = line.Bool(prefix+"-early", true)
		}
		if a.runEnd != "" {
			line = line.Str(prefix+"-run", a.runEnd).Dur(prefix+"-run-took", a.runEndTook)
		}
		if text := a.notice.String(); text != "" {
			line = line.Str(prefix+"-said", text)
		}
	}
	if err != nil {
		line = line.Str("why", err.Error())
	}
	line.Int("status", c.logEntry.status).Float64("cost", c.logEntry.limitCost).Int("bytes", c.logEntry.bytes).Strs("notes", c.logEntry.notes).Msg("request")
}

// logResend records that a request which may run once may be sent again. Its own line is lost if this process ends first.
func (c *call) logResend(choice route.Choice, rejected notRun) {
	write, dropped := c.f.logLimit.allow(true, c.f.clock())
	if !write {
		c.f.metrics.dropped.Inc()
		return
	}
	c.f.log.Warn().Str("request", c.meta.ID).Str("service", c.service.Name).Str("endpoint", choice.Endpoint.ID).Str("address", choice.Endpoint.Address).
		Int64("connection", int64(c.connection)).Int("connection-requests", c.connectionRequests).Int("dropped", dropped).
		Err(rejected.err).Msg("endpoint rejected a non-repeatable request, which may be sent to another one")
}

func (c *call) routeKind() string {
	if c.route == nil {
		return "none"
	}
	return c.route.Kind.String()
}

// Metrics holds the metrics of requests.
type Metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	dropped  prometheus.Counter
	reserved prometheus.Counter
	notices  *prometheus.CounterVec
	leaving  *prometheus.CounterVec
	// unmarkedEnds counts responses whose end their endpoint did not mark.
	unmarkedEnds *prometheus.CounterVec
	// takeUps counts the streams that callers take up.
	takeUps *prometheus.CounterVec
	// endedRuns counts the runs that were ended since their connections had not shown their ends.
	endedRuns *prometheus.CounterVec
	// panics counts the requests that a panic has ended.
	panics prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ironhollow_requests_total", Help: "Requests by kind of route and outcome.",
		}, []string{"kind", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ironhollow_attempts_total", Help: "Sends to endpoints by service and outcome.",
		}, []string{"service", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "ironhollow_request_seconds", Help: "Time from a request's head to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"kind"}),
	}
	m.dropped = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "ironhollow_log_lines_dropped_total", Help: "Lines of requests that were not written for the budget of lines.",
	})
	m.reserved = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "ironhollow_reserved_headers_total", Help: "Headers that callers sent though they are the system's to set; they were removed.",
	})
	m.leaving = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ironhollow_leaving_endpoint_sends_total", Help: "Sends to endpoints that leave, while no other endpoint had room, by service.",
	}, []string{"service"})
	m.notices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ironhollow_endpoint_notices_total", Help: "Answers that say that an endpoint leaves, asks for backoff, limits requests or is not at its address, by service.",
	}, []string{"service", "notice"})
	m.unmarkedEnds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ironhollow_unmarked_ends_total", Help: "Responses without length or chunks, whose end does not show that they are complete, by service.",
	}, []string{"service"})
	m.takeUps = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ironhollow_take_ups_total", Help: "Streams that callers take up after they broke off, by how that ended.",
	}, []string{"outcome"})
	m.endedRuns = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ironhollow_ended_runs_total", Help: "Runs that an endpoint was asked to end after their connections broke off, by service and what became of them.",
	}, []string{"service", "state"})
	m.panics = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "ironhollow_panics_total", Help: "Requests that ended by a fault of this program.",
	})
	registry.MustRegister(m.panics, m.endedRuns, m.takeUps, m.requests, m.attempts, m.seconds, m.dropped, m.reserved, m.notices, m.leaving, m.unmarkedEnds)
	return m
}
