package stream

import (
	"context"
	"errors"
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

// choose finds an endpoint, waiting for one within the request's patience.
func (r *Runner) choose(ctx context.Context, p *progress) (route.Choice, ending) {
	since := time.Now()
	for try := 1; ; try++ {
		now := time.Now()
		if c, ok := r.chooseNow(p, now); ok {
			return c, nil
		}
		p.avoid = p.avoid[:0]
		// An answer begun is waited for until its deadline.
		if len(p.tokens) == 0 && now.Sub(since) > p.request.EndpointTimeout {
			return route.Choice{}, overdue{}
		}
		if !pause.For(ctx, retry.Delay(try, entropy.Rand)) {
			return route.Choice{}, r.endingOf(ctx, ctx.Err())
		}
	}
}

func (r *Runner) chooseNow(p *progress, now time.Time) (route.Choice, bool) {
	if p.next != nil {
		c, ok, later := r.router.ChooseAt(r.query(p), p.next.Ref(), now)
		if later && now.Before(p.nextUntil) {
			return route.Choice{}, false
		}
		p.next = nil
		p.carried = ok
		if ok {
			return c, true
		}
	}
	c, ok := r.router.Choose(r.query(p), p.request.Strategy, now)
	if ok || len(p.tokens) > 0 {
		// An answer begun in one version is not continued in another.
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
func (r *Runner) attempt(ctx context.Context, p *progress) ending {
	choice, end := r.choose(ctx, p)
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
	held := r.newRun(p, choice, cancel)
	r.active.add(held)
	defer r.active.remove(held)
	if info, ok := r.router.Lookup(choice.Endpoint.ID); !ok || !info.AcceptsWork() {
		// It left between the choice and our entry in the list of its streams.
		r.router.Done(choice, route.Result{}, time.Now())
		return refused{errLeft}
	}
	result, end := r.read(attemptCtx, cancel, p, held, choice)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("endpoint", choice.Endpoint.ID), attribute.String("ending", nameOf(end)), attribute.Int("attempt", p.attempts))
	}
	result.Failed = isFailure(end)
	if result.Failed {
		p.avoid = append(p.avoid, choice.Endpoint.Ref())
	}
	r.router.Done(choice, result, time.Now())
	r.noteEnd(p, choice.Endpoint, end)
	p.hops = append(p.hops, AttemptRecord{choice.Endpoint.ID, choice.Expected, choice.Wait, choice.CachedTokens, len(p.tokens), nameOf(end)})
	return end
}

// nameOf names an ending for explanations.
func nameOf(end ending) string {
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
	case callerGone:
		return "caller gone"
	case overdue:
		return "overdue"
	}
	return "unknown"
}

// errLeft says that the endpoint chosen is leaving by now.
var errLeft = errors.New("stream: endpoint is leaving")

// isFailure reports whether an ending is the endpoint's fault.
func isFailure(end ending) bool {
	switch end.(type) {
	case broken, refused:
		return true
	}
	return false
}

// countAttempt counts, for an attempt after the first, the tokens that will be
// computed again: all that were had and the prompt, but for what is reckoned
// cached or was moved there.
func (r *Runner) countAttempt(p *progress, c route.Choice) {
	r.counters.Attempts.Inc()
	if p.attempts == 1 {
		return
	}
	r.counters.Resumed.Inc()
	if !p.carried {
		r.counters.Recomputed.Add(float64(p.request.PromptTokens - c.CachedTokens + len(p.tokens)))
	}
	p.carried = false
}

func (r *Runner) newRun(p *progress, c route.Choice, cancel context.CancelCauseFunc) *run {
	return &run{
		request: p.request.Prompt.RequestID, endpoint: c.Endpoint, cancel: cancel,
		prompt: p.request.PromptTokens, tokens: len(p.tokens),
		expected: r.longLength(p), gap: r.router.TokenGap(c.Endpoint.ID), mayWait: p.request.MayWait,
	}
}

// read opens the engine's stream and passes its tokens on until it ends.
func (r *Runner) read(ctx context.Context, cancel context.CancelCauseFunc, p *progress, held *run, c route.Choice) (route.Result, ending) {
	started := time.Now()
	stall := time.AfterFunc(firstStall+c.Wait, func() { cancel(errStalled) })
	defer stall.Stop()
	prompt := p.request.Prompt
	prompt.Version = p.version
	stream, err := r.engines.Generate(ctx, c.Endpoint.Address, engine.Attempt{Prompt: prompt, Number: p.attempts, Continue: p.tokens})
	if err != nil {
		r.hear(c.Endpoint, err, started)
		return route.Result{}, r.endingOf(ctx, err)
	}
	defer stream.Close()
	r.notices.ApplyAnswer(c.Endpoint, stream.Notice(), started, time.Now())
	r.passReport(c.Endpoint, stream)
	reader := frameReader{runner: r, progress: p, run: held, stall: stall, started: started, attempt: p.attempts}
	end := reader.readAll(ctx, stream)
	return reader.result(end), end
}

// hear takes in what an engine that turned an attempt away says of itself; sent is when the
// attempt was.
func (r *Runner) hear(from endpoint.Info, err error, sent time.Time) {
	var refusal *engine.Refusal
	if errors.As(err, &refusal) {
		r.notices.ApplyAnswer(from, refusal.Notice, sent, time.Now())
	}
}

// endingOf classifies an error of an attempt.
func (r *Runner) endingOf(ctx context.Context, err error) ending {
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
		return movedOf(cause)
	case errors.Is(cause, errStalled):
		return broken{cause}
	case errors.Is(cause, context.DeadlineExceeded):
		return overdue{}
	}
	return callerGone{cause}
}
