// Package callerapi implements the HTTP API for callers: model calls in the OpenAI format,
// jobs, calls to plain services, and the list of entry hosts to use.
package callerapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/negroni/v3"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"ironhollow/pkg/claim"
	"ironhollow/pkg/code"
	"ironhollow/pkg/config"
	"ironhollow/pkg/explain"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/job"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/plainservice"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/route"
	"ironhollow/pkg/stream"
)

// Limits are the limits on requests.
type Limits struct {
	BodyBytes     int64
	ResponseBytes int64
	// Requests is the maximum number of requests served at once.
	Requests     int64
	WriteTimeout time.Duration
}

// Deps are the dependencies of an API.
type Deps struct {
	Node                string
	Owner               string
	Limits              Limits
	Config              *config.Holder
	Nodes               *membership.Table
	Router              *route.Router
	Runner              *stream.Runner
	RateLimiter         *limit.RateLimiter
	ConcurrencyLimiters *limit.ConcurrencyLimiters
	Jobs                *job.Store
	Worker              *job.Worker
	JobCounters         *job.Counters
	Claims              *claim.Claims
	PlainServices       plainservice.API
	Notices             *notice.Tracker
	RetryBudget         *retry.Budget
	History             *explain.History
	Tracer              trace.Tracer
	APICounters         *Counters
	Log                 *log.Logger
}

// API serves callers.
type API struct {
	Deps
	handler  http.Handler
	inFlight atomic.Int64
	// started counts all requests so far. A drain waits until inFlight is 0.
	started atomic.Int64
	// drain is nil before a drain.
	drain atomic.Pointer[drain]
	// running holds the requests in progress, each as an *InProgress.
	running sync.Map
	// ending is done once the process can no longer continue requests, and end ends it.
	ending context.Context
	end    context.CancelFunc
}

// New returns an API.
func New(deps Deps) *API {
	a := &API{Deps: deps}
	a.ending, a.end = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", a.authenticated(a.serveChat))
	mux.HandleFunc("GET /v1/models", a.authenticated(a.serveModels))
	mux.HandleFunc("POST /v1/jobs", a.authenticated(a.serveJobPost))
	mux.HandleFunc("GET /v1/jobs/{id}", a.authenticated(a.serveJobGet))
	mux.HandleFunc("/v1/services/{service}/{path...}", a.authenticated(a.servePlain))
	mux.HandleFunc("GET /v1/entries", a.authenticated(a.serveEntries))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, code.New(code.UnknownPath, r.Method+" "+r.URL.Path))
	})
	chain := negroni.New(
		negroni.HandlerFunc(a.resetIncomplete), negroni.HandlerFunc(a.recoverPanic), negroni.HandlerFunc(a.limitInFlight),
		negroni.HandlerFunc(a.endWithProcess),
	)
	chain.UseHandler(mux)
	a.handler = chain
	return a
}

// ServeHTTP serves one request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.handler.ServeHTTP(w, r) }

// InFlight returns how many requests are being served.
func (a *API) InFlight() int64 { return a.inFlight.Load() }

// recoverPanic responds to a panic with an error. If a response was started before, it closes the
// connection instead, so that the caller does not take a broken response for a complete one.
func (a *API) recoverPanic(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		if recovered == http.ErrAbortHandler {
			panic(recovered)
		}
		a.APICounters.Panics.Inc()
		a.Log.Error().Str("method", r.Method).Str("path", r.URL.Path).Any("panic", recovered).Bytes("stack", debug.Stack()).Msg("panic while serving a request")
		if started, ok := w.(negroni.ResponseWriter); ok && started.Written() {
			panic(http.ErrAbortHandler)
		}
		writeError(w, code.New(code.Internal, "fault in ironhollow"))
	}()
	next(w, r)
}

// limitInFlight counts the requests in flight and refuses those over the limit. If this host
// is leaving or refuses the request, the response names other entry hosts to use.
func (a *API) limitInFlight(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	inFlight := a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	a.started.Add(1)
	if self, ok := a.Nodes.Get(a.Node); ok && self.Leaving {
		a.setEntriesHeader(w)
	}
	if inFlight > a.Limits.Requests {
		a.setEntriesHeader(w)
		writeErrorRetryAfter(w, code.New(code.Overloaded, "this entry host serves as many requests as it may"), time.Second)
		return
	}
	next(w, r)
}

// headerEntries lists the entry hosts to use instead of this one.
const headerEntries = "Ironhollow-Entries"

func (a *API) setEntriesHeader(w http.ResponseWriter) {
	var addresses []string
	for _, n := range a.chooseEntries("") {
		addresses = append(addresses, n.CallerAddress)
	}
	w.Header().Set(headerEntries, strings.Join(addresses, ", "))
}

// startSpan starts the span of a request, as a child of the caller's span if it sent one.
func (a *API) startSpan(r *http.Request, name string) (context.Context, trace.Span) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return a.Tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}

// teamHandler serves a team's request with the configuration that was current when the
// request started.
type teamHandler func(w http.ResponseWriter, r *http.Request, c *fleet.Config, team fleet.Team)

func (a *API) authenticated(next teamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := a.Config.Current()
		if c.Revision() == 0 {
			writeErrorRetryAfter(w, code.New(code.NotReady, "no configuration yet"), time.Second)
			return
		}
		bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		team, known := c.TeamByKey(bearer)
		if !ok || !known {
			writeError(w, code.New(code.UnknownKey, "Authorization: Bearer KEY: no team has this key"))
			return
		}
		a.APICounters.Requests.WithLabelValues(team.Name()).Inc()
		next(w, r, c, team)
	}
}

// findService returns the service with the given name and kind. A service that the team may
// not call is reported as unknown.
func findService(c *fleet.Config, team fleet.Team, name string, kind fleet.Kind) (fleet.Service, error) {
	s, ok := c.Service(name)
	if !ok || !team.MayCall(name) {
		return fleet.Service{}, code.New(code.UnknownService, "no service "+strconv.Quote(name))
	}
	if s.Kind() != kind {
		return fleet.Service{}, code.New(code.WrongKind, "service "+name+" is of kind "+string(s.Kind()))
	}
	return s, nil
}

// checkRate returns an error if the team is over its rate.
func (a *API) checkRate(team fleet.Team) error {
	entries := max(len(a.Nodes.ServingNodes()), 1)
	ok, after := a.RateLimiter.Allow(limit.TeamLimit{Name: team.Name(), Rate: team.Rate(), Burst: team.Burst()}, entries, time.Now())
	if ok {
		return nil
	}
	a.APICounters.OverRate.WithLabelValues(team.Name()).Inc()
	return retryAfterError{code.New(code.OverRate, "team "+team.Name()+" is over its rate"), after}
}

// retryAfterError is an error with the time after which to retry.
type retryAfterError struct {
	error
	after time.Duration
}

// Unwrap returns the underlying error.
func (e retryAfterError) Unwrap() error { return e.error }

// acquirePermit waits for a permit of the target's concurrency limiter.
func (a *API) acquirePermit(ctx context.Context, s fleet.Service, team fleet.Team, deadline time.Time) (limit.Permit, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	permit, err := a.ConcurrencyLimiters.For(targetOf(s)).Acquire(ctx, limit.PermitRequest{
		Team: team.Name(), Weight: team.Weight(), Priority: s.Priority(), Deadline: deadline, MayWait: s.MayWait(),
	}, time.Now())
	var deadlineErr limit.DeadlineError
	switch {
	case err != nil && endedByProcess(ctx):
		return permit, errNotSent()
	case errors.As(err, &deadlineErr):
		a.APICounters.Overloaded.WithLabelValues(s.Name()).Inc()
		return permit, retryAfterError{code.New(code.Overloaded, "the deadline can't be met at present"), deadlineErr.RetryAfter}
	case errors.Is(err, context.DeadlineExceeded):
		return permit, code.New(code.Overloaded, "the deadline passed while waiting for a place")
	}
	return permit, err
}

func targetOf(s fleet.Service) route.Target {
	if s.Kind() == fleet.Plain {
		return route.Target{Service: s.Name()}
	}
	return route.Target{Model: s.Model(), Version: s.Version(), Adapter: s.Adapter()}
}

// strategyOf returns the routing strategy of the configured policy.
func strategyOf(c *fleet.Config) route.Strategy {
	if c.Policy().NaiveRoute() {
		return route.RoundRobin
	}
	return route.Expected
}

// newID returns a random request ID.
func newID() string {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw) // Read never returns an error.
	return hex.EncodeToString(raw)
}

// errorBody is an error in the OpenAI format, with the number and outcome of its code added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Number  int    `json:"number"`
	Outcome string `json:"outcome"`
}

func errorBodyOf(err error) errorBody {
	c := code.Of(err)
	return errorBody{errorDetail{err.Error(), "ironhollow_error", c.Name(), c.Number(), string(c.Outcome())}}
}

// Headers with the outcome of a request, its code and its ID.
const (
	headerOutcome = "Ironhollow-Outcome"
	headerCode    = "Ironhollow-Code"
	headerRequest = "Ironhollow-Request"
)

func writeError(w http.ResponseWriter, err error) {
	var retryErr retryAfterError
	if errors.As(err, &retryErr) {
		writeErrorRetryAfter(w, retryErr.error, retryErr.after)
		return
	}
	c := code.Of(err)
	w.Header().Set(headerOutcome, string(c.Outcome()))
	w.Header().Set(headerCode, strconv.Itoa(c.Number()))
	if needsRetryAfter(c) && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", "1")
	}
	httpx.WriteJSON(w, c.Status(), errorBodyOf(err))
}

// needsRetryAfter reports whether a response with this code has a Retry-After header.
func needsRetryAfter(c code.Code) bool {
	return c.Status() == http.StatusServiceUnavailable || c.Status() == http.StatusTooManyRequests || c == code.CallInProgress
}

// writeErrorRetryAfter writes an error with a Retry-After header, rounded up to seconds.
func writeErrorRetryAfter(w http.ResponseWriter, err error, after time.Duration) {
	seconds := int((after + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	writeError(w, err)
}

// entriesBody lists the entry hosts to use.
type entriesBody struct {
	Entries []entryBody `json:"entries"`
	// KeepSeconds is how long the caller may cache the list.
	KeepSeconds int `json:"keep_seconds"`
}

type entryBody struct {
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
}

func (a *API) serveEntries(w http.ResponseWriter, r *http.Request, c *fleet.Config, _ fleet.Team) {
	body := entriesBody{Entries: []entryBody{}, KeepSeconds: int(c.Policy().EntryListTTL().Seconds())}
	for _, n := range a.chooseEntries(r.URL.Query().Get("data_center")) {
		body.Entries = append(body.Entries, entryBody{n.CallerAddress, n.DataCenter})
	}
	httpx.WriteJSON(w, http.StatusOK, body)
}

// modelsBody lists the model services in the OpenAI format.
type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (a *API) serveModels(w http.ResponseWriter, _ *http.Request, c *fleet.Config, team fleet.Team) {
	body := modelsBody{Object: "list", Data: []modelBody{}}
	for _, s := range c.Services() {
		if s.Kind() == fleet.Model && team.MayCall(s.Name()) {
			body.Data = append(body.Data, modelBody{ID: s.Name(), Object: "model", OwnedBy: "ironhollow"})
		}
	}
	httpx.WriteJSON(w, http.StatusOK, body)
}
