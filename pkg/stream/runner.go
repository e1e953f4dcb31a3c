// Package stream runs model requests. If an endpoint fails while it streams an answer, the
// tokens received so far are kept and the next attempt continues after them, so that the
// caller receives one complete answer.
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
	// Service is the service whose previous answers are used to estimate the length of this
	// one.
	Service string
	// PrefixHashes is route.HashPrefixes of the messages; PromptTokens is an estimate.
	PrefixHashes []uint64
	PromptTokens int
	// Received holds the tokens of the answer that exist already, received by the caller from
	// another entry or read from a checkpoint. The answer continues after them.
	Received []string
	// LastEndpointID is the endpoint where the stream may still be running, if the caller
	// reconnects after the loss of its entry; empty otherwise.
	LastEndpointID string
	// RiskWeight is the weight of lost work; see route.Query.
	RiskWeight float64
	// EndpointTimeout is how long the request waits for an endpoint before it fails, as long as
	// it has no token of the answer. After that it waits until its deadline.
	EndpointTimeout time.Duration
	// Strategy selects how endpoints are chosen.
	Strategy route.Strategy
	// MayWait marks work that leaves room for callers who wait for their answer.
	MayWait bool
	// Requeue is called before each attempt after the first, if it is not nil. It releases
	// the slot of work that can wait and queues the work for another one.
	Requeue func(context.Context) error
}

// Sink receives the tokens of the answer in order, each exactly once. An error from Token or
// Flush means that the caller has disconnected, and ends the request.
type Sink interface {
	Token(token Token) error
	// Flush is called when no further token is available yet.
	Flush() error
}

// Token is a token of the answer, with the data needed to resume after it.
type Token struct {
	// Offset is the number of the answer's tokens before this one.
	Offset int
	Text   string
	// EndpointID is the endpoint that runs the stream.
	EndpointID string
}

// Result describes a complete answer.
type Result struct {
	FinishReason string
	Usage        engine.Usage
	// Attempts is the number of attempts.
	Attempts int
	// Version is the version of the model that generated the answer.
	Version string
	// AttemptRecords holds the attempts in order, also if the request failed.
	AttemptRecords []AttemptRecord
}

// AttemptRecord describes one attempt, for explanations.
type AttemptRecord struct {
	EndpointID string
	// Expected and Wait are the estimates at the time of the choice; see route.Choice.
	Expected, Wait time.Duration
	CachedTokens   int
	// Tokens is the length of the answer when the attempt ended.
	Tokens int
	// Outcome is the name of the attempt's outcome, such as "finished".
	Outcome string
}

// Runner runs model requests. It is safe for concurrent use.
type Runner struct {
	router   *route.Router
	engines  engine.API
	budget   *retry.Budget
	hazard   *hazard.Estimator
	counters *Counters
	watch    *quarantine.Watch
	notices  *notice.Tracker
	tracer   trace.Tracer
	active   *activeStreams
	lengths  sync.Map // from service name to *lengthEstimate
	onReport atomic.Pointer[func(endpoint.Info, engine.Report)]
}

// New returns a runner.
func New(router *route.Router, engines engine.API, budget *retry.Budget, estimator *hazard.Estimator, counters *Counters, watch *quarantine.Watch, notices *notice.Tracker, tracer trace.Tracer) *Runner {
	return &Runner{router: router, engines: engines, budget: budget, hazard: estimator, counters: counters, watch: watch, notices: notices, tracer: tracer, active: newActiveStreams()}
}

// OnReport sets the function that is called with the load reports that come with answers.
func (r *Runner) OnReport(handle func(endpoint.Info, engine.Report)) { r.onReport.Store(&handle) }

// forwardReport calls the handler with the load report that came with a stream.
func (r *Runner) forwardReport(info endpoint.Info, stream engine.Stream) {
	handle := r.onReport.Load()
	if handle == nil {
		return
	}
	if report, ok := stream.Report(); ok {
		(*handle)(info, report)
	}
}

// Bounds of one request.
const (
	// destinationTimeout is how long work that can wait waits for a slot at the endpoint that
	// its KV cache was moved to. After that it runs elsewhere and its cache is computed again.
	destinationTimeout = time.Minute
	// maxAttempts is the maximum number of attempts of a request, for streams that are all
	// interrupted although the engines are alive.
	maxAttempts = 12
	// stallTimeout is how long a stream may send no token before it counts as broken.
	stallTimeout = 5 * time.Second
	// firstTokenTimeout is the same for the first token of an attempt, in addition to the
	// estimated wait.
	firstTokenTimeout = 10 * time.Second
)

// outcome is how one attempt ended.
type outcome interface{ outcome() }

// finished means that the answer is complete.
type finished struct{ frame engine.Frame }

// broken means that the endpoint failed. The tokens received so far remain valid.
type broken struct{ err error }

// refused means that the endpoint rejected the attempt without running it.
type refused struct{ err error }

// rejected means that no endpoint can ever serve the request.
type rejected struct{ err error }

// moved means that the attempt was cancelled to continue elsewhere, either because its
// endpoint is leaving or because it was preempted. If to is not nil, the KV cache was moved
// there.
type moved struct{ to *endpoint.Info }

// callerDisconnected means that nobody reads the answer any more.
type callerDisconnected struct{ err error }

// timedOut means that the deadline has passed, or that no endpoint was found within the
// EndpointTimeout.
type timedOut struct{}

func (finished) outcome()           {}
func (broken) outcome()             {}
func (refused) outcome()            {}
func (rejected) outcome()           {}
func (moved) outcome()              {}
func (callerDisconnected) outcome() {}
func (timedOut) outcome()           {}

// errMoved is the cause of an attempt's cancellation by the reclaim plan or by Preempt.
type errMoved struct{ to *endpoint.Info }

func (errMoved) Error() string { return "moved off a leaving endpoint" }

// errStalled is the cause of an attempt's cancellation after a stall time-out.
var errStalled = errors.New("stream: endpoint went silent")

// progress is the state of a request across its attempts.
type progress struct {
	request  Request
	identity quarantine.Request
	sink     Sink
	// tokens holds the answer so far: the tokens in Request.Received and those sent to the
	// sink.
	tokens   []string
	target   route.Target
	attempts int
	// triesSinceToken is the number of attempts since the last one that yielded a token.
	triesSinceToken int
	avoid           []endpoint.Ref
	// movedTo is the endpoint that the KV cache was moved to.
	movedTo *endpoint.Info
	// movedToDeadline is when the wait for a slot there ends.
	movedToDeadline time.Time
	// cacheMoved is set if the attempt starts at the endpoint that its KV cache was moved to.
	cacheMoved bool
	version    string
	lastErr    error
	records    []AttemptRecord
}

// Run runs a request until it is complete or has failed. An error has a result code unless
// the caller disconnected.
func (r *Runner) Run(ctx context.Context, request Request, sink Sink) (Result, error) {
	p := &progress{
		request: request, identity: identify(request), sink: sink, tokens: append([]string(nil), request.Received...),
		target: route.Target{Model: request.Prompt.Model, Version: request.Prompt.Version, Adapter: request.Prompt.Adapter},
	}
	result, err := r.run(ctx, p)
	result.AttemptRecords = p.records
	return result, err
}

func (r *Runner) run(ctx context.Context, p *progress) (Result, error) {
	request := p.request
	r.budget.RecordFirstSend(time.Now())
	ctx, cancel := context.WithDeadline(ctx, request.Prompt.Deadline)
	defer cancel()
	var end outcome
	if request.LastEndpointID != "" {
		end = r.reattach(ctx, p)
	}
	for ; ; end = nil {
		if end == nil {
			if err := r.checkQuarantine(p); err != nil {
				return Result{}, err
			}
			end = r.attempt(ctx, p)
		}
		switch end := end.(type) {
		case finished:
			return r.complete(p, end.frame), nil
		case rejected:
			return Result{}, code.New(code.BadBody, end.err.Error())
		case callerDisconnected:
			return Result{}, end.err
		case timedOut:
			return Result{}, timeoutError(p)
		case moved:
			p.movedTo = end.to
			p.movedToDeadline = time.Now().Add(destinationTimeout)
			p.avoid = p.avoid[:0]
		case refused:
			p.lastErr = end.err
		case broken:
			p.lastErr = end.err
			r.counters.Broken.Inc()
		}
		if err := r.waitToRetry(ctx, p, end); err != nil {
			return Result{}, err
		}
		if err := requeue(ctx, p); err != nil {
			return Result{}, err
		}
	}
}

// requeue calls Request.Requeue if it is set.
func requeue(ctx context.Context, p *progress) error {
	if p.request.Requeue == nil {
		return nil
	}
	if err := p.request.Requeue(ctx); err != nil {
		return waitError(ctx, p)
	}
	return nil
}

// timeoutError returns the error of a request that timed out.
func timeoutError(p *progress) error {
	if p.attempts == 0 {
		return code.New(code.NoEndpoint, "no endpoint took the request before its deadline")
	}
	return code.New(code.DeadlinePassed, fmt.Sprintf("deadline passed after %d tokens", len(p.tokens)))
}

// waitToRetry waits until another attempt may start. It returns an error if there must be
// none.
func (r *Runner) waitToRetry(ctx context.Context, p *progress, end outcome) error {
	if _, isMove := end.(moved); isMove {
		return nil
	}
	p.triesSinceToken++
	if p.attempts >= maxAttempts {
		return code.New(code.StreamLost, fmt.Sprintf("gave up after %d attempts: %v", p.attempts, p.lastErr))
	}
	for {
		if !pause.For(ctx, retry.Delay(p.triesSinceToken, entropy.Rand)) {
			return waitError(ctx, p)
		}
		// A retry of an attempt that was rejected without running also uses the budget:
		// the attempt cost its endpoint nothing, but many of them are still a retry storm.
		if r.budget.Take(time.Now()) {
			return nil
		}
		r.counters.BudgetEmpty.Inc()
	}
}

// waitError returns the error of a request whose context ended while it waited.
func waitError(ctx context.Context, p *progress) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return timeoutError(p)
	}
	return ctx.Err()
}

// movedOutcome returns the outcome for an errMoved.
func movedOutcome(cause error) outcome {
	var to errMoved
	errors.As(cause, &to)
	return moved(to)
}

// reattach continues a stream that an endpoint may still be running. It returns nil if there is no
// such stream; the request then needs a new attempt.
func (r *Runner) reattach(ctx context.Context, p *progress) outcome {
	info, ok := r.router.Lookup(p.request.LastEndpointID)
	if !ok {
		return nil
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	stream, err := r.engines.Attach(attemptCtx, info.Address, p.request.Prompt.RequestID, len(p.tokens))
	if err != nil {
		return r.failedAttach(attemptCtx, p, info, err)
	}
	defer stream.Close()
	p.target = route.TargetOf(info)
	p.version = p.target.Version
	current := r.newActiveAttempt(p, info, cancel)
	r.active.add(current)
	defer r.active.remove(current)
	r.counters.Reattached.Inc()
	p.attempts++
	reader := frameReader{runner: r, progress: p, activeAttempt: current, stallTimer: stallTimer, started: time.Now(), attempt: anyAttempt}
	end := reader.readAll(attemptCtx, stream)
	if isFailure(end) {
		p.avoid = append(p.avoid, info.Ref())
	}
	r.endRun(p, info, end)
	r.recordOutcome(p, info, end, reader.tokenCount > 0)
	p.records = append(p.records, AttemptRecord{EndpointID: info.ID, Tokens: len(p.tokens), Outcome: outcomeName(end)})
	return end
}

// failedAttach returns the outcome of a call to Attach that failed: nil if the endpoint answered or
// refused the connection, so that it does not run the stream. An endpoint that has not answered in time
// may run it, and is avoided, since a new attempt there would probably wait as long.
func (r *Runner) failedAttach(ctx context.Context, p *progress, info endpoint.Info, err error) outcome {
	if ctx.Err() == nil {
		return nil
	}
	p.attempts++
	end := r.classifyError(ctx, err)
	if isFailure(end) {
		p.avoid = append(p.avoid, info.Ref())
	}
	return end
}

// anyAttempt makes a frameReader use the attempt number of the first frame. This process does
// not know the attempt number of a stream that another entry started.
const anyAttempt = 0

// complete records a complete answer and returns its result.
func (r *Runner) complete(p *progress, last engine.Frame) Result {
	r.recordLength(p.request.Service, len(p.tokens))
	r.watch.AnswerCompleted(p.identity, time.Now())
	usage := last.Usage
	usage.CompletionTokens = len(p.tokens)
	return Result{FinishReason: last.FinishReason, Usage: usage, Attempts: p.attempts, Version: p.version}
}
