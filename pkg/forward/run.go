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

// Choice where many hosts take callers: from staleFleet of them on, loads heard of
// others are older than the time between two of their choices.
const (
	staleFleet  = 24
	staleSample = 3
)

// query is what the router needs to know.
func (c *call) query() route.Query {
	q := route.Query{
		Target:       route.Target{Service: c.service.Name},
		PromptTokens: c.meta.PromptTokens,
		AnswerTokens: max(c.meta.ExpectedTokens, 1),
		Avoid:        c.avoid,
		Rule:         c.f.rollouts.Rule(c.service.Name, c.side),
		Connected:    c.connected,
	}
	if c.f.fleet.Advertised() >= staleFleet {
		q.SampleSize = staleSample
	}
	covered := 0
	for _, part := range c.meta.Prefix {
		covered += part.Tokens
		q.PrefixHashes = append(q.PrefixHashes, part.Hash)
		q.PrefixTokens = append(q.PrefixTokens, covered)
	}
	q.SharedPrefixes = max(len(q.PrefixHashes)-1, 0)
	return q
}

// connected reports whether the request can use a kept connection to an endpoint.
func (c *call) connected(address string) bool {
	return c.f.pool.HasIdle(address, c.maxIdle())
}

// maxIdle is how long a connection for the request may have rested.
func (c *call) maxIdle() time.Duration {
	if c.route.MayRepeat() {
		return 0
	}
	return onceIdle
}

// run sends the request until it is answered or given up.
func (c *call) run(ctx context.Context) error {
	c.f.budget.RecordFirstSend(c.service.Name, c.f.clock())
	c.pickSide()
	var last result = notRun{err: errors.New("no endpoint takes work")}
	for {
		choice, ok := c.choose(ctx)
		if c.comeBack > 0 {
			return c.refuse(code.New(code.Overloaded, "the first token would come too late"), c.comeBack)
		}
		if !ok {
			return c.giveUp(ctx, last)
		}
		sent := c.f.clock()
		last = c.attempt(ctx, choice)
		if s, isStream := last.(streaming); isStream {
			return c.relayStream(ctx, choice, s, c.f.clock().Sub(sent))
		}
		if a, isAnswer := last.(answered); isAnswer && (a.status < http.StatusInternalServerError || !c.mayResend(ctx, last)) {
			return c.relay(a)
		}
		if !c.mayResend(ctx, last) {
			return c.giveUp(ctx, last)
		}
		if a, isAnswer := last.(answered); isAnswer && a.rest != nil {
			a.rest.Close()
		}
		if n, isNotRun := last.(notRun); isNotRun && !n.arrived {
			// Nothing came to an endpoint, so that the next send is the first.
			continue
		}
		if !c.f.budget.Take(c.service.Name, c.f.fleet.Sharing(), c.f.clock()) {
			c.trail.note("budget-empty")
			if a, isAnswer := last.(answered); isAnswer && a.rest == nil {
				return c.relay(a)
			}
			return c.giveUp(ctx, last)
		}
	}
}

// choose picks the next endpoint, of another version where none takes it of the one
// that was meant.
func (c *call) choose(ctx context.Context) (route.Choice, bool) {
	if ctx.Err() != nil {
		return route.Choice{}, false
	}
	choice, ok := c.chooseOf()
	if ok {
		return choice, true
	}
	instead, may := c.f.rollouts.Fallback(c.service.Name, c.side, c.f.clock())
	if !may || c.comeBack > 0 && c.side != rollout.Target {
		return choice, false
	}
	c.side = instead
	c.comeBack = 0
	return c.chooseOf()
}

// chooseOf picks an endpoint of the versions that are meant.
func (c *call) chooseOf() (route.Choice, bool) {
	q := c.query()
	q.Accepts = c.accepts
	return c.f.router.Choose(q, route.Expected, c.f.clock())
}

// accepts reports whether a choice is used: not where a stream's first event would
// be late for what is queued before it at the best endpoint. Then comeBack is set.
func (c *call) accepts(choice route.Choice) bool {
	if c.route.Kind != routetable.Stream || c.sends() > 0 {
		return true
	}
	stream := admission.Stream{Objective: c.route.Objective, Priority: c.priority}
	comeBack, late := stream.ShouldReject(admission.EstimateOf(choice))
	c.comeBack = comeBack
	return !late
}

// attempt makes one send and tells the router how it ended. A stream's choice
// is ended by the relay.
func (c *call) attempt(ctx context.Context, choice route.Choice) result {
	sent := c.f.clock()
	tracked := c.track(choice)
	r := c.send(ctx, choice, "")
	c.noteAttempt(choice, r, c.f.clock().Sub(sent))
	c.noteRun(ctx, choice, r)
	c.showAnswer(ctx, tracked, r)
	switch r := r.(type) {
	case streaming:
		c.began()
		c.f.router.PrefillDone(choice)
		r.tracked = tracked
		return r
	case answered:
		c.began()
	case unclear:
		c.offered = true
	case notRun:
		c.offered = c.offered || r.reached
	}
	c.done(choice, tracked, ending(r))
	c.avoid = append(c.avoid, refOf(choice))
	return r
}

func (c *call) began() {
	c.offered = true
	c.f.runs.RunStarted(c.teamName())
}

// mayResend reports whether the request may go to another endpoint after a
// result: within the route's attempts, and only what may run again or has
// provably not run.
func (c *call) mayResend(ctx context.Context, last result) bool {
	if ctx.Err() != nil {
		return false
	}
	if _, held := c.held(); held {
		return false
	}
	if _, isUnclear := last.(unclear); isUnclear && c.f.crashes.LastAttempt(c.fingerprint) {
		return false
	}
	n, isNotRun := last.(notRun)
	if isNotRun && !n.reached {
		// Nothing reached an endpoint; this is bounded by the endpoints to avoid.
		return true
	}
	c.attempts = c.sends()
	return c.attempts < c.route.Attempts && (isNotRun || c.route.MayRepeat())
}
