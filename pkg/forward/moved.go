package forward

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/route"
	"ironhollow/pkg/upstream"
)

// relayedStream is a stream at one endpoint, as the mover sees it.
type relayedStream struct {
	id        string
	ref       endpoint.Ref
	address   string
	limit     int
	resumable bool
	// promptTokens, expectedTokens and longestTokens are from the request, tokensPerEvent from the
	// service.
	promptTokens, expectedTokens, longestTokens, tokensPerEvent int
	// skippedEvents is the number of events that the caller had before.
	skippedEvents int
	startedAt     time.Time
	handover      *migrate.Handover
	// isQuarantined reports whether the request is quarantined, so that it must reach no other endpoint.
	isQuarantined func() bool
	// events is the number of events relayed from this endpoint.
	events atomic.Int64
	// unnumbered is set once an event had no id, after which the stream cannot continue elsewhere.
	unnumbered atomic.Bool
	// attempts counts the targets tried, refusals those without room; until pausedUntil no further one
	// is tried. They are used by the mover only.
	attempts, refusals int
	pausedUntil        time.Time

	mu sync.Mutex
	// exchange is nil once the relay reads it no more.
	exchange *upstream.Exchange
	target   route.Choice
	// targetTaken is set once the relay completes the choice of the target.
	targetTaken bool
	// query describes the stream's request for the choice of a target.
	query route.Query
}

// trackStream registers the stream from an endpoint with the mover, if its service offers moves. It
// returns nil for a stream that has no length and is not chunked, as the end of such a stream cannot be
// distinguished from a stop.
func (c *call) trackStream(choice route.Choice, e *upstream.Exchange, relayedBefore int) *relayedStream {
	if c.f.mover == nil || choice.Endpoint.ID == noChoice.Endpoint.ID || c.service.Moves == nil || !e.IsDelimited() || c.returns > maxReturns {
		return nil
	}
	query := c.query()
	query.PromptTokens, query.PrefixHashes, query.PrefixTokens, query.SharedPrefixes = 0, nil, nil, 0
	query.Avoid = append([]endpoint.Ref(nil), query.Avoid...)
	s := &relayedStream{
		id: c.meta.ID, ref: choice.Endpoint.Ref(), address: choice.Endpoint.Address, limit: c.connectionLimit(), resumable: c.mayResume(),
		promptTokens: c.meta.PromptTokens, expectedTokens: c.expectedTokens(), longestTokens: c.meta.MaxTokens, tokensPerEvent: max(c.service.TokensPerEvent, 1),
		skippedEvents: relayedBefore, startedAt: c.f.clock(), handover: migrate.NewHandover(), isQuarantined: c.isQuarantined, exchange: e, query: query,
	}
	c.f.mover.track(s)
	return s
}

// mayResume reports whether the stream may be resumed at another endpoint if it breaks off.
func (c *call) mayResume() bool {
	return c.mayRepeat() && c.deliveredAttempts() < c.route.MaxAttempts
}

// expectedTokens returns the caller's estimate of the answer's length. If the caller states only a
// limit, which indicates little, it returns the mean of the route's answers; 0 if that is not known.
func (c *call) expectedTokens() int {
	if c.meta.ExpectedTokens != c.meta.MaxTokens {
		return c.meta.ExpectedTokens
	}
	return c.f.mover.lengths.Mean(c.route.Name)
}

// relayedEvents records events that are forwarded.
func (s *relayedStream) relayedEvents(events []byte, count int) {
	if s == nil {
		return
	}
	s.events.Add(int64(count))
	if countIDs(events) < count {
		s.unnumbered.Store(true)
	}
}

// countIDs returns the number of lines with an event id.
func countIDs(events []byte) int {
	n := bytes.Count(events, []byte("\nid:"))
	if bytes.HasPrefix(events, []byte("id:")) {
		n++
	}
	return n
}

// isMovable reports whether the stream has begun and may continue elsewhere after its last event.
func (s *relayedStream) isMovable(now time.Time) bool {
	return s.events.Load() > 0 && !s.unnumbered.Load() && s.attempts < maxMoveAttempts && !now.Before(s.pausedUntil)
}

func (s *relayedStream) source() migrate.Source {
	return migrate.Source{Address: s.address, ConnectionLimit: s.limit}
}

// describe returns what the plan needs to know of the stream. tokenGap is the mean of the service.
func (s *relayedStream) describe(now time.Time, tokenGap time.Duration) migrate.Stream {
	tokenGap = migrate.TokenGap(now.Sub(s.startedAt), int(s.events.Load())-1, s.tokensPerEvent, tokenGap)
	made, remaining := s.answerTokens()
	return migrate.Stream{ID: s.id, Tokens: s.promptTokens + made, Resumable: s.resumable, Remaining: time.Duration(remaining) * tokenGap}
}

// answerTokens returns how many tokens of the answer were made, and an estimate of those that remain.
func (s *relayedStream) answerTokens() (made, remaining int) {
	made = (s.skippedEvents + int(s.events.Load())) * s.tokensPerEvent
	return made, migrate.RemainingTokens(made, s.expectedTokens, s.longestTokens)
}

func (s *relayedStream) targetQuery() route.Query {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := s.query
	_, query.AnswerTokens = s.answerTokens()
	return query
}

func (s *relayedStream) avoid(ref endpoint.Ref) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.query.Avoid = append(s.query.Avoid, ref)
}

func (s *relayedStream) setTarget(target route.Choice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target = target
}

func (s *relayedStream) targetAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target.Endpoint.Address
}

// abort ends the reading of the stream.
func (s *relayedStream) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exchange != nil {
		s.exchange.Abort()
	}
}

// detach is called once the relay reads the stream no more.
func (s *relayedStream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchange = nil
}

// takeTarget returns the choice of the target, which the caller has to complete from then on.
func (s *relayedStream) takeTarget() route.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetTaken = true
	return s.target
}

func (s *relayedStream) isTargetTaken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetTaken
}

// endTracking is called when a stream has ended or broken off, before its exchange is closed. It
// returns where the run continues, and waits for that while the run is being stopped. err is the
// error with which the reading ended.
func (c *call) endTracking(ctx context.Context, s *relayedStream, err error) migrate.Continuation {
	if s == nil {
		return migrate.Continuation{}
	}
	s.detach()
	c.f.mover.untrack(s)
	if err == nil {
		made, _ := s.answerTokens()
		c.f.mover.lengths.Record(c.route.Name, made)
	}
	return s.handover.End(ctx)
}

// continuedStream is a stream that continues at a chosen endpoint.
type continuedStream struct {
	streaming
	choice route.Choice
}

// errNotContinued means that a run was stopped to be moved and no endpoint continues it.
var errNotContinued = errors.New("the run was stopped to be moved and could not continue")

// continueStream continues a stream whose run was stopped. err is the error with which the reading
// ended. A run that was stopped is not complete even if its stream ended without an error.
func (c *call) continueStream(ctx context.Context, s *stream, source route.Choice, at migrate.Continuation, err error) (next continuedStream, ok bool) {
	if s.relayed == nil {
		return next, false
	}
	isLeft := false
	defer func() { s.relayed.handover.Finish(ok || isLeft) }()
	if at.Place == migrate.Uncertain && err != nil && c.mayResume() && c.open != nil {
		// The copy is freed after the run has ended: a call to end it may make a copy with the same handle.
		c.open.handle, isLeft = at.Handle, true
	}
	if at.Place == migrate.Nowhere || at.Place == migrate.Uncertain && (err == nil || c.mayResume()) {
		return next, false
	}
	if at.Place == migrate.Uncertain && !c.hasStopped(ctx, s, &at) {
		return next, false
	}
	if at.Handle == "" || errors.Is(err, errCallerDisconnected) || ctx.Err() != nil {
		return next, false
	}
	if next, ok = c.continueRun(ctx, s.relayed, source, at, s.lastEventID); ok {
		c.logEntry.addNote("moved to " + next.choice.Endpoint.ID)
	}
	place := "nowhere"
	switch {
	case ok && next.choice.Endpoint.Ref() == source.Endpoint.Ref():
		place = "source"
	case ok:
		place = "target"
	}
	c.f.mover.metrics.continued.WithLabelValues(c.service.Name, place).Inc()
	return next, ok
}

// hasStopped finds out whether a run has stopped if the answer to the call that stops it was lost, and stops it if it
// has not. Its memory at the source must not be used while it runs.
func (c *call) hasStopped(ctx context.Context, s *stream, at *migrate.Continuation) bool {
	if c.open == nil || ctx.Err() != nil {
		return false
	}
	startedAt := c.f.clock()
	ended := c.f.endRun(ctx, c.open, s.relayed.targetAddress())
	c.logEntry.recordEnd(ended.state, c.f.clock().Sub(startedAt))
	if ended.handle != "" {
		at.Handle = ended.handle
	}
	return ended.state == migrate.HasEnded || ended.handle != ""
}

// Limits of the requests that continue a run.
const (
	// maxReturns is how often a run may return to its leaving source and be moved again: each return
	// interrupts the stream.
	maxReturns = 1
	// continueTimeout is how long an endpoint may take to continue a run, which it admits before other
	// requests; a step of a full batch takes up to 100 ms.
	continueTimeout = 2 * time.Second
	// maxReturnAge is how long after its notice a leaving endpoint may be asked to continue a run that
	// it has stopped. Endpoints accept requests for at least 2 s after the notice.
	maxReturnAge = 1500 * time.Millisecond
)

// continueRun continues a stopped run at its target or, if the target did not run it, at its source.
// ok is false if neither does; the run has then ended.
func (c *call) continueRun(ctx context.Context, s *relayedStream, source route.Choice, at migrate.Continuation, lastEventID string) (next continuedStream, ok bool) {
	if at.Place == migrate.AtTarget {
		target := s.takeTarget()
		r := c.continueAt(ctx, target, source, at.Handle, lastEventID)
		if next, isStream := r.(streaming); isStream {
			c.f.router.PrefillDone(target)
			return continuedStream{next, target}, true
		}
		c.f.router.Done(target, routerResult(r), c.f.clock())
		c.avoid = append(c.avoid, refOf(target))
		if _, isNotRun := r.(notRun); !isNotRun {
			return next, false
		}
	}
	if at.Place == migrate.AtSource {
		s.mu.Lock()
		c.avoid = append(c.avoid, refOf(s.target))
		s.mu.Unlock()
	}
	if !c.f.mover.mayReturn(source.Endpoint.Ref()) {
		return next, false
	}
	r := c.continueAt(ctx, source, source, at.Handle, lastEventID)
	c.returns++
	again, isStream := r.(streaming)
	return continuedStream{again, source}, isStream
}

// continueAt asks an endpoint to continue a run from a copy of its memory.
func (c *call) continueAt(ctx context.Context, choice, source route.Choice, handle, lastEventID string) result {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(continueTimeout, cancel)
	sentAt := c.f.clock()
	rolloutSend := c.beginRolloutSend(choice)
	r := c.sendFrom(ctx, choice, copyOf{source.Endpoint.Address, handle}, lastEventID)
	c.recordAttempt(choice, r, c.f.clock().Sub(sentAt))
	c.recordOutcome(ctx, choice, r)
	inTime := timer.Stop()
	switch a := r.(type) {
	case streaming:
		if inTime {
			c.recordRolloutOutcome(ctx, rolloutSend, r)
			a.rolloutSend = rolloutSend
			return a
		}
		a.exchange.Close()
		r = unclear{context.DeadlineExceeded}
	case answered:
		if a.unread != nil {
			a.unread.Close()
		}
	}
	cancel()
	c.f.rollouts.FinishAttempt(rolloutSend, c.f.clock())
	return r
}
