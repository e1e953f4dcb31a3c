// Package stream runs one model request from its first attempt to its last
// token. Endpoints may vanish under it: the tokens had so far are kept, and the
// next attempt goes on after them, so that the caller sees one whole answer.
package stream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/entropy"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/route"
)

// Request is one request to a model service.
type Request struct {
	Prompt engine.Prompt
	// Service is whose answers' lengths this one's is reckoned from.
	Service string
	// PrefixHashes is route.HashPrefixes of the messages, PromptTokens an estimate.
	PrefixHashes []uint64
	PromptTokens int
	// Received are tokens of the answer had before: by the caller from another
	// entry, or from a checkpoint. The answer goes on after them.
	Received []string
	// LastEndpointID is the id of the endpoint where the stream may still be running, for
	// a caller who comes back after its entry was lost; empty otherwise.
	LastEndpointID string
	// RiskWeight weighs lost work; see route.Query.
	RiskWeight float64
	// EndpointTimeout is how long to wait for an endpoint before giving up.
	EndpointTimeout time.Duration
	// Strategy is how endpoints are chosen.
	Strategy route.Strategy
	// MayWait marks work that leaves room for callers who wait.
	MayWait bool
	// Requeue is called before an attempt after the first, if it is set: work
	// that can wait gives its place up and queues for another one.
	Requeue func(context.Context) error
}

// Sink takes the answer's tokens in order, without gap or repeat. An error
// from Token ends the request: its caller is gone.
type Sink interface {
	Token(token Token) error
	// Flush is called when no further token is there at once.
	Flush() error
}

// Token is one token of the answer, with what is needed to resume after it.
type Token struct {
	// Offset counts the answer's tokens before this one.
	Offset int
	Text   string
	// EndpointID is where the stream runs at present.
	EndpointID string
}

// Result is a whole answer's account.
type Result struct {
	FinishReason string
	Usage        engine.Usage
	// Attempts counts the endpoints tried.
	Attempts int
	// Version is the model's version that gave the answer.
	Version string
	// AttemptRecords are the attempts in order.
	AttemptRecords []AttemptRecord
}

// AttemptRecord is one attempt, for explanations.
type AttemptRecord struct {
	EndpointID string
	// Expected and Wait are what was reckoned with; see route.Choice.
	Expected, Wait time.Duration
	CachedTokens   int
	// Tokens is the answer's length when the attempt ended.
	Tokens  int
	Outcome string
}

// Runner runs requests.
type Runner struct {
	router   *route.Router
	engines  engine.API
	budget   *retry.Budget
	hazard   *hazard.Estimator
	counters *Counters
	watch    *quarantine.Watch
	notices  *notice.Board
	tracer   trace.Tracer
	active   *active
	lengths  sync.Map // of service name to *length
	onReport atomic.Pointer[func(endpoint.Info, engine.Report)]
}

// New returns a runner.
func New(router *route.Router, engines engine.API, budget *retry.Budget, estimator *hazard.Estimator, counters *Counters, watch *quarantine.Watch, notices *notice.Board, tracer trace.Tracer) *Runner {
	return &Runner{router: router, engines: engines, budget: budget, hazard: estimator, counters: counters, watch: watch, notices: notices, tracer: tracer, active: newActive()}
}

// OnReport sets what takes the load reports that come with answers.
func (r *Runner) OnReport(take func(endpoint.Info, engine.Report)) { r.onReport.Store(&take) }

// passReport hands on the report that came with a stream.
func (r *Runner) passReport(info endpoint.Info, stream engine.Stream) {
	take := r.onReport.Load()
	if take == nil {
		return
	}
	if report, ok := stream.Report(); ok {
		(*take)(info, report)
	}
}

// Bounds of one request.
const (
	// parkTime is how long work that can wait does so where its KV cache was
	// moved, before it goes elsewhere and has it computed again.
	parkTime = time.Minute
	// mostAttempts ends a request whose answers all break off, at engines that live.
	mostAttempts = 12
	// stallTime is how long a stream may be silent before it counts as broken.
	stallTime = 5 * time.Second
	// firstStall is the same before the first token of an attempt, on top of
	// the wait that was reckoned with.
	firstStall = 10 * time.Second
)

// ending is how one attempt ended.
type ending interface{ ending() }

// finished: the answer is whole.
type finished struct{ frame engine.Frame }

// broken: the endpoint failed; the tokens had so far stand.
type broken struct{ err error }

// refused: the endpoint turned the attempt away unrun.
type refused struct{ err error }

// rejected: no endpoint can ever serve the request.
type rejected struct{ err error }

// moved: the attempt was taken off a leaving endpoint.
type moved struct{ to *endpoint.Info }

// callerGone: nobody reads the answer any more.
type callerGone struct{ err error }

// overdue: the deadline has passed.
type overdue struct{}

func (finished) ending()   {}
func (broken) ending()     {}
func (refused) ending()    {}
func (rejected) ending()   {}
func (moved) ending()      {}
func (callerGone) ending() {}
func (overdue) ending()    {}

// errMoved is the cause of an attempt's cancellation by the reclaim plan.
type errMoved struct{ to *endpoint.Info }

func (errMoved) Error() string { return "moved off a leaving endpoint" }

// errStalled is the cause of an attempt's cancellation by silence.
var errStalled = errors.New("stream: endpoint went silent")

// progress is a request's state over its attempts.
type progress struct {
	request     Request
	fingerprint quarantine.Fingerprint
	sink        Sink
	// tokens are the answer so far, sent to the sink.
	tokens   []string
	target   route.Target
	attempts int
	// tries counts attempts since the last one that gave a token.
	tries int
	avoid []endpoint.Ref
	// next is where a move has put the KV cache.
	next *endpoint.Info
	// nextUntil is how long to wait for room there.
	nextUntil time.Time
	// carried says that the attempt starts where its KV cache was moved.
	carried  bool
	version  string
	lastFail error
	hops     []AttemptRecord
}

// Run runs a request to its end. Errors carry a result code.
func (r *Runner) Run(ctx context.Context, request Request, sink Sink) (Result, error) {
	p := &progress{
		request: request, fingerprint: fingerprintOf(request.Prompt), sink: sink, tokens: append([]string(nil), request.Received...),
		target: route.Target{Model: request.Prompt.Model, Version: request.Prompt.Version, Adapter: request.Prompt.Adapter},
	}
	result, err := r.run(ctx, p)
	result.AttemptRecords = p.hops
	return result, err
}

func (r *Runner) run(ctx context.Context, p *progress) (Result, error) {
	request := p.request
	r.budget.RecordFirstSend(time.Now())
	ctx, cancel := context.WithDeadline(ctx, request.Prompt.Deadline)
	defer cancel()
	if request.LastEndpointID != "" {
		if result, ok := r.reattach(ctx, p); ok {
			return result, nil
		}
	}
	for {
		if err := r.held(p); err != nil {
			return Result{}, err
		}
		end := r.attempt(ctx, p)
		switch end := end.(type) {
		case finished:
			return r.finish(p, end.frame), nil
		case rejected:
			return Result{}, code.New(code.BadBody, end.err.Error())
		case callerGone:
			return Result{}, end.err
		case overdue:
			return Result{}, overdueError(p)
		case moved:
			p.next = end.to
			p.nextUntil = time.Now().Add(parkTime)
			p.avoid = p.avoid[:0]
		case refused:
			p.lastFail = end.err
		case broken:
			p.lastFail = end.err
			r.counters.Broken.Inc()
		}
		if err := r.pauseBeforeNext(ctx, p, end); err != nil {
			return Result{}, err
		}
		if err := reenter(ctx, p); err != nil {
			return Result{}, err
		}
	}
}

func reenter(ctx context.Context, p *progress) error {
	if p.request.Requeue == nil {
		return nil
	}
	if err := p.request.Requeue(ctx); err != nil {
		return endOfWait(ctx, p)
	}
	return nil
}

func overdueError(p *progress) error {
	if p.attempts == 0 {
		return code.New(code.NoEndpoint, "no endpoint took the request before its deadline")
	}
	return code.New(code.DeadlinePassed, fmt.Sprintf("deadline passed after %d tokens", len(p.tokens)))
}

// pauseBeforeNext decides whether another attempt may follow, and waits.
func (r *Runner) pauseBeforeNext(ctx context.Context, p *progress, end ending) error {
	if _, isMove := end.(moved); isMove {
		return nil
	}
	p.tries++
	if p.attempts >= mostAttempts {
		return code.New(code.StreamLost, fmt.Sprintf("gave up after %d attempts: %v", p.attempts, p.lastFail))
	}
	for {
		if !pause.For(ctx, retry.Delay(p.tries, entropy.Rand)) {
			return endOfWait(ctx, p)
		}
		// An attempt that was turned away unrun cost its endpoint nothing, but
		// it counts all the same: a storm of them is still a storm.
		if r.budget.Take(time.Now()) {
			return nil
		}
		r.counters.BudgetEmpty.Inc()
	}
}

func endOfWait(ctx context.Context, p *progress) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return overdueError(p)
	}
	return ctx.Err()
}

func movedOf(cause error) ending {
	var to errMoved
	errors.As(cause, &to)
	return moved(to)
}

// reattach goes on with a stream that an endpoint may still be running; false
// where it is not, and the request then runs from its start.
func (r *Runner) reattach(ctx context.Context, p *progress) (Result, bool) {
	info, ok := r.router.Lookup(p.request.LastEndpointID)
	if !ok {
		return Result{}, false
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(stallTime, func() { cancel(errStalled) })
	defer stall.Stop()
	stream, err := r.engines.Attach(attemptCtx, info.Address, p.request.Prompt.RequestID, len(p.tokens))
	if err != nil {
		return Result{}, false
	}
	defer stream.Close()
	held := &run{request: p.request.Prompt.RequestID, endpoint: info, cancel: cancel, prompt: p.request.PromptTokens, expected: r.longLength(p), gap: r.router.TokenGap(info.ID)}
	r.active.add(held)
	defer r.active.remove(held)
	r.counters.Reattached.Inc()
	p.attempts++
	p.target = route.TargetOf(info)
	p.version = p.target.Version
	reader := frameReader{runner: r, progress: p, run: held, stall: stall, started: time.Now(), attempt: anyAttempt}
	done, ok := reader.readAll(attemptCtx, stream).(finished)
	if !ok {
		return Result{}, false
	}
	return r.finish(p, done.frame), true
}

// anyAttempt makes a reader hold on to the attempt of the first frame it sees:
// a stream of another entry is at an attempt this process does not know.
const anyAttempt = 0

func (r *Runner) finish(p *progress, last engine.Frame) Result {
	r.learnLength(p.request.Service, len(p.tokens))
	r.watch.RecordSuccess(p.fingerprint, time.Now())
	usage := last.Usage
	usage.CompletionTokens = len(p.tokens)
	return Result{FinishReason: last.FinishReason, Usage: usage, Attempts: p.attempts, Version: p.version}
}
