// Package callerapi is the HTTP edge towards callers: model calls in the usual
// form, jobs, plain services, and the question which entry hosts to use.
package callerapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

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

// Limits bound what one caller may take up.
type Limits struct {
	BodyBytes   int64
	AnswerBytes int64
	// Requests is how many are served at once.
	Requests     int64
	WriteTimeout time.Duration
}

// Deps are what the edge needs.
type Deps struct {
	Node    string
	Owner   string
	Limits  Limits
	Config  *config.Holder
	Nodes   *membership.Table
	Router  *route.Router
	Runner  *stream.Runner
	Rates   *limit.RateLimiter
	Gates   *limit.ConcurrencyLimiters
	Jobs    *job.Store
	Worker  *job.Worker
	JobStat *job.Counters
	Claims  *claim.Claims
	Plain   plainservice.API
	Notices *notice.Tracker
	Budget  *retry.Budget
	History *explain.History
	Tracer  trace.Tracer
	Metrics *Counters
}

// API serves callers.
type API struct {
	Deps
	handler  http.Handler
	inFlight atomic.Int64
	// begun counts requests ever begun; a drain waits for inFlight to be 0.
	begun atomic.Int64
}

// New returns the edge.
func New(deps Deps) *API {
	a := &API{Deps: deps}
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
	chain := negroni.New(negroni.HandlerFunc(a.recover), negroni.HandlerFunc(a.count))
	chain.UseHandler(mux)
	a.handler = chain
	return a
}

// ServeHTTP serves one request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.handler.ServeHTTP(w, r) }

// InFlight returns how many requests are being served.
func (a *API) InFlight() int64 { return a.inFlight.Load() }

// recover turns a panic into a numbered error, if no answer has begun.
func (a *API) recover(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		caught := recover()
		if caught == nil {
			return
		}
		if caught == http.ErrAbortHandler {
			panic(caught)
		}
		a.Metrics.Panics.Inc()
		writeError(w, code.New(code.Internal, "fault in ironhollow"))
	}()
	next(w, r)
}

// count keeps the number of requests in flight, bounds it, and tells callers
// of a host that is leaving which others to use.
func (a *API) count(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	held := a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	a.begun.Add(1)
	if self, ok := a.Nodes.Get(a.Node); ok && self.Leaving {
		a.setEntries(w)
	}
	if held > a.Limits.Requests {
		a.setEntries(w)
		writeRetry(w, code.New(code.Overloaded, "this entry host serves as many requests as it may"), time.Second)
		return
	}
	next(w, r)
}

// headerEntries names the entry hosts a moved caller is to use.
const headerEntries = "Ironhollow-Entries"

func (a *API) setEntries(w http.ResponseWriter) {
	var addresses []string
	for _, n := range a.chooseEntries("") {
		addresses = append(addresses, n.CallerAddress)
	}
	w.Header().Set(headerEntries, strings.Join(addresses, ", "))
}

// startSpan begins the span of a request, below the caller's own if it sent one.
func (a *API) startSpan(r *http.Request, name string) (context.Context, trace.Span) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return a.Tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}

// handlerFunc serves a team's request under the configuration in force when it
// began.
type handlerFunc func(w http.ResponseWriter, r *http.Request, c *fleet.Config, team fleet.Team)

func (a *API) authenticated(next handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := a.Config.Current()
		if c.Revision() == 0 {
			writeRetry(w, code.New(code.NotReady, "no configuration yet"), time.Second)
			return
		}
		bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		team, known := c.TeamByKey(bearer)
		if !ok || !known {
			writeError(w, code.New(code.UnknownKey, "Authorization: Bearer KEY: no team has this key"))
			return
		}
		a.Metrics.Requests.WithLabelValues(team.Name()).Inc()
		next(w, r, c, team)
	}
}

// service finds a service of a kind that the team may call. Services a team may
// not call are unknown to it.
func service(c *fleet.Config, team fleet.Team, name string, kind fleet.Kind) (fleet.Service, error) {
	s, ok := c.Service(name)
	if !ok || !team.MayCall(name) {
		return fleet.Service{}, code.New(code.UnknownService, "no service "+strconv.Quote(name))
	}
	if s.Kind() != kind {
		return fleet.Service{}, code.New(code.WrongKind, "service "+name+" is of kind "+string(s.Kind()))
	}
	return s, nil
}

// admit holds the team to its rate.
func (a *API) admit(team fleet.Team) error {
	entries := max(len(a.Nodes.ServingNodes()), 1)
	ok, after := a.Rates.Allow(limit.TeamLimit{Name: team.Name(), Rate: team.Rate(), Burst: team.Burst()}, entries, time.Now())
	if ok {
		return nil
	}
	a.Metrics.OverRate.WithLabelValues(team.Name()).Inc()
	return retryError{code.New(code.OverRate, "team "+team.Name()+" is over its rate"), after}
}

// retryError is an error with the time to come back after.
type retryError struct {
	error
	after time.Duration
}

// Unwrap returns the error itself.
func (e retryError) Unwrap() error { return e.error }

// enter waits for a place at the target's gate.
func (a *API) enter(ctx context.Context, s fleet.Service, team fleet.Team, deadline time.Time) (limit.Permit, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ticket, err := a.Gates.For(targetOf(s)).Acquire(ctx, limit.PermitRequest{
		Team: team.Name(), Weight: team.Weight(), Priority: s.Priority(), Deadline: deadline, MayWait: s.MayWait(),
	}, time.Now())
	var late limit.DeadlineError
	switch {
	case errors.As(err, &late):
		a.Metrics.Overloaded.WithLabelValues(s.Name()).Inc()
		return ticket, retryError{code.New(code.Overloaded, "the deadline can't be met at present"), late.RetryAfter}
	case errors.Is(err, context.DeadlineExceeded):
		return ticket, code.New(code.Overloaded, "the deadline passed while waiting for a place")
	}
	return ticket, err
}

func targetOf(s fleet.Service) route.Target {
	if s.Kind() == fleet.Plain {
		return route.Target{Service: s.Name()}
	}
	return route.Target{Model: s.Model(), Version: s.Version(), Adapter: s.Adapter()}
}

// strategyOf maps the policy in force.
func strategyOf(c *fleet.Config) route.Strategy {
	if c.Policy().NaiveRoute() {
		return route.RoundRobin
	}
	return route.Expected
}

// newID returns a request's id.
func newID() string {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw) // It never fails.
	return hex.EncodeToString(raw)
}

// errorBody is an error in the usual form, with ironhollow's number and outcome.
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

func bodyOf(err error) errorBody {
	c := code.Of(err)
	return errorBody{errorDetail{err.Error(), "ironhollow_error", c.Name(), c.Number(), string(c.Outcome())}}
}

// Headers that say how a request ended.
const (
	headerOutcome = "Ironhollow-Outcome"
	headerCode    = "Ironhollow-Code"
	headerRequest = "Ironhollow-Request"
)

func writeError(w http.ResponseWriter, err error) {
	var again retryError
	if errors.As(err, &again) {
		writeRetry(w, again.error, again.after)
		return
	}
	c := code.Of(err)
	w.Header().Set(headerOutcome, string(c.Outcome()))
	w.Header().Set(headerCode, strconv.Itoa(c.Number()))
	if retryable(c) && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", "1")
	}
	httpx.WriteJSON(w, c.Status(), bodyOf(err))
}

// retryable reports whether the caller is told when to come back.
func retryable(c code.Code) bool {
	return c.Status() == http.StatusServiceUnavailable || c.Status() == http.StatusTooManyRequests || c == code.CallInProgress
}

// writeRetry answers with the time to come back after, rounded up to seconds.
func writeRetry(w http.ResponseWriter, err error, after time.Duration) {
	seconds := int((after + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	writeError(w, err)
}

// entriesBody answers which entry hosts to use.
type entriesBody struct {
	Entries []entryBody `json:"entries"`
	// KeepSeconds is how long to keep the answer.
	KeepSeconds int `json:"keep_seconds"`
}

type entryBody struct {
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
}

func (a *API) serveEntries(w http.ResponseWriter, r *http.Request, c *fleet.Config, _ fleet.Team) {
	body := entriesBody{Entries: []entryBody{}, KeepSeconds: int(c.Policy().EntriesKept().Seconds())}
	for _, n := range a.chooseEntries(r.URL.Query().Get("data_center")) {
		body.Entries = append(body.Entries, entryBody{n.CallerAddress, n.DataCenter})
	}
	httpx.WriteJSON(w, http.StatusOK, body)
}

// modelsBody lists services in the usual form.
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
