package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ironhollow/pkg/admission"
	"ironhollow/pkg/code"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
)

// Choice of endpoints in large fleets: from largeFleetHosts entry hosts on, a choice considers
// only a random sample of endpoints, as the loads received from other hosts are then older
// than the time between two of their choices.
const (
	largeFleetHosts  = 24
	largeFleetSample = 3
)

// query returns the router's query for the request.
func (c *call) query() route.Query {
	q := route.Query{
		Target:       route.Target{Service: c.service.Name},
		PromptTokens: c.meta.PromptTokens,
		AnswerTokens: max(c.meta.ExpectedTokens, 1),
		Avoid:        c.avoid,
		Rule:         c.rule(),
		Connected:    c.hasIdleConnection,
	}
	if c.origin != nil {
		q.Confirms = c.f.confirms
	}
	if c.f.fleet.Advertised() >= largeFleetHosts {
		q.SampleSize = largeFleetSample
	}
	tokens := 0
	for _, part := range c.meta.Prefix {
		tokens += part.Tokens
		q.PrefixHashes = append(q.PrefixHashes, part.Hash)
		q.PrefixTokens = append(q.PrefixTokens, tokens)
	}
	q.SharedPrefixes = max(len(q.PrefixHashes)-1, 0)
	return q
}

// hasIdleConnection reports whether the request can use an idle connection to an endpoint.
func (c *call) hasIdleConnection(address string) bool {
	return c.f.pool.HasIdle(address, c.maxIdle())
}

// maxIdle is how long a connection for the request may have been idle, 0 for any time.
func (c *call) maxIdle() time.Duration {
	if c.mayRepeat() {
		return 0
	}
	return nonRepeatableMaxIdle
}

// run sends the request until it is answered or abandoned.
func (c *call) run(ctx context.Context) error {
	c.chooseRolloutSide()
	var last result = notRun{err: errors.New("no endpoint takes work")}
	for {
		var choice route.Choice
		sentAt := c.f.clock()
		if c.takesDetour() {
			last = c.attemptDetour(ctx, false, "")
		} else {
			if c.detour != nil && c.f.links.IsCut() && !c.delivered {
				return c.reject(code.New(code.CutOff, "this host has lost its links to endpoints"), retryAfterOtherHost)
			}
			c.countFirstSend()
			var ok bool
			choice, ok = c.chooseEndpoint(ctx)
			if c.retryAfter > 0 {
				return c.reject(code.New(code.Overloaded, "first token would be too late"), c.retryAfter)
			}
			if !ok {
				c.hasNoEndpoint = true
				if c.takesDetour() {
					continue
				}
				return c.giveUp(ctx, last)
			}
			sentAt = c.f.clock()
			last = c.attempt(ctx, choice)
		}
		if s, isStream := last.(streaming); isStream {
			return c.relayStream(ctx, choice, s, c.f.clock().Sub(sentAt))
		}
		if a, isAnswer := last.(answered); isAnswer && (a.status < http.StatusInternalServerError || !c.mayRetry(ctx, last)) {
			return c.relayResponse(a)
		}
		if !c.mayRetry(ctx, last) {
			return c.giveUp(ctx, last)
		}
		n, isNotRun := last.(notRun)
		if isNotRun && n.rejectedByAny && !c.mayRepeat() {
			c.logResend(choice, n)
		}
		if isNotRun && !n.rejectedByAny {
			// No endpoint received the request, so the next attempt counts as the first.
			continue
		}
		if !c.f.budget.Take(c.service.Name, c.f.fleet.Sharing(), c.f.clock()) {
			c.logEntry.addNote("budget-empty")
			return c.giveUp(ctx, last)
		}
		if a, isAnswer := last.(answered); isAnswer && a.unread != nil {
			a.unread.Close()
			c.endAnswer(a, true)
		}
	}
}

// countFirstSend counts the request for the retry budget of its service, once on all hosts.
func (c *call) countFirstSend() {
	if c.isBudgeted || c.detour != nil && c.detour.isBudgeted {
		return
	}
	c.isBudgeted = true
	c.f.budget.RecordFirstSend(c.service.Name, c.f.clock())
}

// chooseNow picks the next endpoint, of another version if no endpoint of the intended version
// accepts the request. A request that continues a stream goes to no other version.
func (c *call) chooseNow() (route.Choice, bool) {
	c.isUnconfirmed = false
	if c.origin != nil && !c.mayContinueAtOrigin() {
		return route.Choice{}, false
	}
	choice, ok := c.chooseFromVersions()
	if ok || c.origin != nil {
		return choice, ok
	}
	fallback, allowed := c.f.rollouts.Fallback(c.service.Name, c.side, c.f.clock())
	if !allowed || c.retryAfter > 0 && c.side != rollout.Target {
		return choice, false
	}
	c.side = fallback
	c.retryAfter = 0
	return c.chooseFromVersions()
}

// chooseFromVersions picks an endpoint of the versions that the request goes to.
func (c *call) chooseFromVersions() (route.Choice, bool) {
	q := c.query()
	q.Accepts = c.acceptChoice
	q.Continues = c.isDemandCounted
	if c.origin != nil {
		q.Confirms = c.confirmsChoice
	}
	return c.f.router.Choose(q, route.Expected, c.f.clock())
}

// acceptChoice reports whether a choice is used. It is not if a stream's first event would
// be too late because of the queue at the best endpoint; retryAfter is then set. A stream that the
// caller takes up has begun, so that its objective is no measure. The router may call
// it a second time with a leaving endpoint. If that is too late as well, retryAfter remains that of
// the best endpoint that does not leave.
func (c *call) acceptChoice(choice route.Choice) bool {
	if c.route.Kind != routetable.Stream || c.deliveredAttempts() > 0 || c.origin != nil {
		return true
	}
	stream := admission.Stream{Objective: c.route.LatencyObjective, Priority: c.priority}
	retryAfter, late := stream.ShouldReject(admission.EstimateOf(choice))
	if !late || c.retryAfter == 0 {
		c.retryAfter = retryAfter
	}
	return !late
}

// attempt makes one attempt and reports its outcome to the router. For a stream,
// relayStream does so at the stream's end, for a long body endAnswer.
func (c *call) attempt(ctx context.Context, choice route.Choice) result {
	sentAt := c.f.clock()
	rolloutSend := c.beginRolloutSend(choice)
	lastEventID := ""
	if c.detour != nil {
		lastEventID = c.detour.lastEventID
	}
	r := c.sendAgain(ctx, choice, lastEventID)
	c.recordAttempt(choice, r, c.f.clock().Sub(sentAt))
	c.recordOutcome(ctx, choice, r)
	c.recordRolloutOutcome(ctx, rolloutSend, r)
	switch r := r.(type) {
	case streaming:
		c.markRunStarted()
		c.f.router.PrefillDone(choice)
		r.rolloutSend = rolloutSend
		return r
	case answered:
		c.markRunStarted()
		if r.unread != nil {
			c.f.router.PrefillDone(choice)
			c.avoid = append(c.avoid, refOf(choice))
			r.isOpen, r.rolloutSend = true, rolloutSend
			return r
		}
	case unclear:
		c.delivered = true
	case notRun:
		c.delivered = c.delivered || r.rejectedByTarget
	}
	c.finishAttempt(choice, rolloutSend, routerResult(r))
	c.avoidAfter(choice, r)
	return r
}

// endAnswer reports the end of an attempt whose body was not read at once. A body that is still being sent
// at the request's deadline counts as a failure.
func (c *call) endAnswer(a answered, failed bool) {
	if a.isOpen {
		failed = failed || a.status >= http.StatusInternalServerError
		c.finishAttempt(a.choice, a.rolloutSend, route.Result{PrefillDone: true, Failed: failed})
	}
}

func (c *call) markRunStarted() {
	c.delivered = true
	if c.detour != nil && c.detour.isResume {
		return
	}
	c.f.runCounter.RunStarted(c.teamName())
}

// mayRepeat reports whether the request may run more than once. The route of the host that forwards it may be another
// one, of an older configuration: both must allow it.
func (c *call) mayRepeat() bool {
	return c.route.MayRepeat() && (c.detour == nil || c.detour.mayRepeat)
}

// mayRetry reports whether the request may be sent to another endpoint after a result:
// only within the route's attempts, and only if it may run again or provably did not run.
func (c *call) mayRetry(ctx context.Context, last result) bool {
	if ctx.Err() != nil {
		return false
	}
	if _, isFinal := last.(refusedByHost); isFinal {
		return false
	}
	if c.isQuarantined() {
		return false
	}
	if _, isUnclear := last.(unclear); isUnclear && !c.mayRetryInterrupted() {
		return false
	}
	n, isNotRun := last.(notRun)
	if isNotRun && !n.rejectedByTarget {
		// The chosen endpoint did not get the request; the list of endpoints to avoid bounds
		// these retries.
		return true
	}
	c.attempts = c.deliveredAttempts()
	return c.attempts < c.route.MaxAttempts && (isNotRun || c.mayRepeat())
}
