package stream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/entropy"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/route"
)

func (r *Runner) query(p *progress) route.Query {
	return route.Query{
		Target:          p.target,
		PrefixHashes:    p.request.PrefixHashes,
		PromptTokens:    p.request.PromptTokens,
		AnswerTokens:    max(r.expectedLength(p)-len(p.tokens), 1),
		GeneratedTokens: len(p.tokens),
		RiskWeight:      p.request.RiskWeight,
		Avoid:           p.avoid,
		MayWait:         p.request.MayWait,
	}
}

// waitForEndpoint chooses an endpoint. If there is none, it waits for one until the request's
// EndpointTimeout.
func (r *Runner) waitForEndpoint(ctx context.Context, p *progress) (route.Choice, outcome) {
	start := time.Now()
	for try := 1; ; try++ {
		now := time.Now()
		if c, ok := r.choose(p, now); ok {
			return c, nil
		}
		p.avoid = p.avoid[:0]
		// A partial answer is worth waiting for until the deadline.
		if len(p.tokens) == 0 && now.Sub(start) > p.request.EndpointTimeout {
			return route.Choice{}, timedOut{}
		}
		if !pause.For(ctx, retry.Delay(try, entropy.Rand)) {
			return route.Choice{}, r.classifyError(ctx, ctx.Err())
		}
	}
}

// choose chooses an endpoint without waiting.
func (r *Runner) choose(p *progress, now time.Time) (route.Choice, bool) {
	if p.movedTo != nil {
		c, ok, retryLater := r.router.ChooseAt(r.query(p), p.movedTo.Ref(), now)
		if retryLater && now.Before(p.movedToDeadline) {
			return route.Choice{}, false
		}
		p.movedTo = nil
		p.cacheMoved = ok
		if ok {
			return c, true
		}
	}
	c, ok := r.router.Choose(r.query(p), p.request.Strategy, now)
	if ok || len(p.tokens) > 0 {
		// An answer that one version has begun is not continued by another version.
		return c, ok
	}
	other, ok := r.router.OtherVersion(p.target)
	if !ok {
		return c, false
	}
	q := r.query(p)
	q.Target = other
	c, ok = r.router.Choose(q, p.request.Strategy, now)
	return c, ok
}

// attempt runs one attempt at one endpoint.
func (r *Runner) attempt(ctx context.Context, p *progress) outcome {
	choice, end := r.waitForEndpoint(ctx, p)
	if end != nil {
		return end
	}
	p.attempts++
	p.target = route.TargetOf(choice.Endpoint)
	p.version = p.target.Version
	r.countAttempt(p, choice)
	attemptCtx, span := r.tracer.Start(ctx, "entry.attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	attemptCtx, cancel := context.WithCancelCause(attemptCtx)
	defer cancel(nil)
	current := r.newActiveAttempt(p, choice.Endpoint, cancel)
	r.active.add(current)
	defer r.active.remove(current)
	if info, ok := r.router.Lookup(choice.Endpoint.ID); !ok || !info.AcceptsWork() {
		// The endpoint became leaving after it was chosen and before the attempt was added to
		// the active streams, so MigrateStreams may not have seen the attempt.
		r.router.Done(choice, route.Result{}, time.Now())
		return refused{errLeaving}
	}
	result, end := r.generate(attemptCtx, cancel, p, current, choice)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("endpoint", choice.Endpoint.ID), attribute.String("ending", outcomeName(end)), attribute.Int("attempt", p.attempts))
	}
	result.Failed = isFailure(end)
	if result.Failed {
		p.avoid = append(p.avoid, choice.Endpoint.Ref())
	}
	r.router.Done(choice, result, time.Now())
	r.endRun(p, choice.Endpoint, end)
	r.recordOutcome(p, choice.Endpoint, end, result.Tokens > 0)
	p.records = append(p.records, AttemptRecord{choice.Endpoint.ID, choice.Expected, choice.Wait, choice.CachedTokens, len(p.tokens), outcomeName(end)})
	return end
}

// Timing of the end of a run whose connection broke off.
const (
	// endRunWait is how long the next attempt waits for it, endRunTimeout bounds the call.
	endRunWait    = 300 * time.Millisecond
	endRunTimeout = time.Second
)

// endRun ends the run of an attempt that broke off before another one begins: engines keep streams without a
// reader, so that they can be attached to.
func (r *Runner) endRun(p *progress, info endpoint.Info, end outcome) {
	interrupted, isBroken := end.(broken)
	if !isBroken || errors.Is(interrupted.err, syscall.ECONNREFUSED) {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), endRunTimeout)
		defer cancel()
		if err := r.engines.Cancel(ctx, info.Address, p.request.Prompt.RequestID); err != nil {
			r.counters.MayContinue.Inc()
		}
	}()
	select {
	case <-ended:
	case <-time.After(endRunWait):
	}
}

// outcomeName returns the name of an outcome for traces and explanations.
func outcomeName(end outcome) string {
	switch end.(type) {
	case finished:
		return "finished"
	case broken:
		return "broken"
	case refused:
		return "refused"
	case rejected:
		return "rejected"
	case moved:
		return "moved"
	case callerDisconnected:
		return "caller gone"
	case timedOut:
		return "overdue"
	}
	return "unknown"
}

// errLeaving is returned if the chosen endpoint is now leaving.
var errLeaving = errors.New("stream: endpoint is leaving")

// isFailure reports whether an outcome counts as a failure of the endpoint.
func isFailure(end outcome) bool {
	switch end.(type) {
	case broken, refused:
		return true
	}
	return false
}

// countAttempt counts an attempt. For one after the first it also counts the tokens that have
// to be computed again: the prompt without the part that is estimated to be cached, and the
// answer so far. There are none if the KV cache was moved to the endpoint.
func (r *Runner) countAttempt(p *progress, c route.Choice) {
	r.counters.Attempts.Inc()
	if p.attempts == 1 {
		return
	}
	r.counters.Resumed.Inc()
	if !p.cacheMoved {
		r.counters.Recomputed.Add(float64(p.request.PromptTokens - c.CachedTokens + len(p.tokens)))
	}
	p.cacheMoved = false
}

func (r *Runner) newActiveAttempt(p *progress, info endpoint.Info, cancel context.CancelCauseFunc) *activeAttempt {
	return &activeAttempt{
		requestID: p.request.Prompt.RequestID, endpoint: info, cancel: cancel, prefixHashes: p.request.PrefixHashes,
		promptTokens: p.request.PromptTokens, tokens: len(p.tokens),
		expectedTokens: r.maxExpectedLength(p), tokenGap: r.router.TokenGap(info.ID), mayWait: p.request.MayWait,
	}
}

// generate starts the attempt at the engine and forwards its tokens until the stream ends.
func (r *Runner) generate(ctx context.Context, cancel context.CancelCauseFunc, p *progress, current *activeAttempt, c route.Choice) (route.Result, outcome) {
	startedAt := time.Now()
	stallTimer := time.AfterFunc(firstTokenTimeout+c.Wait, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	prompt := p.request.Prompt
	prompt.Version = p.version
	stream, err := r.engines.Generate(ctx, c.Endpoint.Address, engine.Attempt{Prompt: prompt, Number: p.attempts, Continue: p.tokens})
	if err != nil {
		r.applyRefusal(c.Endpoint, err, startedAt)
		return route.Result{}, r.classifyError(ctx, err)
	}
	defer stream.Close()
	r.notices.ApplyResponse(c.Endpoint, stream.Notice(), startedAt, time.Now())
	r.forwardReport(c.Endpoint, stream)
	reader := frameReader{runner: r, progress: p, activeAttempt: current, stallTimer: stallTimer, started: startedAt, attempt: p.attempts}
	end := reader.readAll(ctx, stream)
	return reader.result(end), end
}

// applyRefusal applies the notice of an engine that rejected an attempt, if err is a Refusal;
// sent is when the attempt was sent.
func (r *Runner) applyRefusal(info endpoint.Info, err error, sent time.Time) {
	var refusal *engine.Refusal
	if errors.As(err, &refusal) {
		r.notices.ApplyResponse(info, refusal.Notice, sent, time.Now())
	}
}

// classifyError returns the outcome of an attempt that ended with an error.
func (r *Runner) classifyError(ctx context.Context, err error) outcome {
	switch {
	case errors.Is(err, engine.ErrBadRequest):
		return rejected{err}
	case errors.Is(err, engine.ErrRefused):
		return refused{err}
	}
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return broken{err}
	case errors.As(cause, &errMoved{}):
		return movedOutcome(cause)
	case errors.Is(cause, errStalled):
		return broken{cause}
	case errors.Is(cause, context.DeadlineExceeded):
		return timedOut{}
	}
	return callerDisconnected{cause}
}
