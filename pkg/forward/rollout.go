package forward

import (
	"context"
	"errors"

	"ironhollow/pkg/origin"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
)

// chooseRolloutSide decides which versions of the service's endpoints the request goes to.
func (c *call) chooseRolloutSide() {
	c.kind = rollout.KindOf(c.route.Name)
	c.side = c.f.rollouts.SubsetFor(c.service.Name, c.kind, c.meta.ID, c.f.clock())
	if c.origin != nil {
		c.side = c.f.rollouts.SubsetOf(c.origin.Service, c.origin.Release)
	}
}

// rule returns the rule that selects the endpoints that may take the request.
func (c *call) rule() rollout.Rule {
	if c.origin == nil {
		return c.f.rollouts.Rule(c.service.Name, c.side)
	}
	rule, _ := c.f.rollouts.StreamRule(c.origin.Service, c.origin.Release, c.f.clock())
	return rule
}

// mayContinueAtOrigin reports whether a roll-out lets the release at which the stream began continue it.
func (c *call) mayContinueAtOrigin() bool {
	_, ok := c.f.rollouts.StreamRule(c.origin.Service, c.origin.Release, c.f.clock())
	return ok
}

// setOrigin records where the stream that is relayed began. Its further attempts, and its moves, stay
// there.
func (c *call) setOrigin(source origin.Source) {
	c.origin = &source
	c.side = c.f.rollouts.SubsetOf(source.Service, source.Release)
}

// beginRolloutSend records an attempt for the comparison of versions in a roll-out.
func (c *call) beginRolloutSend(choice route.Choice) *rollout.Attempt {
	expected := choice.Wait
	if c.route.Kind != routetable.Stream {
		// Plain answers have no estimated duration: versions are compared by the measured one.
		expected = 0
	}
	return c.f.rollouts.StartAttempt(c.service.Name, &choice.Endpoint, c.kind, expected, c.f.clock())
}

// finishAttempt reports the end of an attempt to the router and to the roll-out.
func (c *call) finishAttempt(choice route.Choice, rolloutSend *rollout.Attempt, r route.Result) {
	now := c.f.clock()
	r.Abandoned = r.Failed || c.incoming.Context().Err() != nil
	r.Canary = c.side == rollout.Target
	c.f.router.Done(choice, r, now)
	c.f.rollouts.FinishAttempt(rolloutSend, now)
}

// recordRolloutOutcome records what the outcome of an attempt, or a stream's first event,
// shows about the endpoint's version. Attempts that did not run or that the caller cancelled
// show nothing. A request that fails at the version under test continues at the others.
func (c *call) recordRolloutOutcome(ctx context.Context, rolloutSend *rollout.Attempt, r result) {
	failed := false
	switch r := r.(type) {
	case notRun:
		return
	case unclear:
		if c.incoming.Context().Err() != nil || errors.Is(ctx.Err(), context.Canceled) {
			return
		}
		failed = true
	case answered:
		failed = r.status >= minFailureStatus
	}
	now := c.f.clock()
	if _, isUnclear := r.(unclear); isUnclear {
		c.f.links.Settle(func() { c.f.rollouts.RecordAnswer(rolloutSend, true, now) })
	} else {
		c.f.rollouts.RecordAnswer(rolloutSend, failed, now)
	}
	if failed && c.side == rollout.Target && c.origin == nil {
		c.side, _ = c.f.rollouts.Fallback(c.service.Name, c.side, c.f.clock())
	}
}

// minFailureStatus is the lowest status that counts as the endpoint's failure.
const minFailureStatus = 500

// minPaceTokens is the fewest tokens of an answer for its pace to be measured.
const minPaceTokens = 8

// recordRolloutStream records how a stream continued after its first event. A stream whose end the
// endpoint did not mark shows nothing unless it broke off.
func (c *call) recordRolloutStream(current streaming, choice route.Choice, observed route.Result) {
	if c.incoming.Context().Err() != nil || !current.exchange.IsDelimited() && !observed.Failed {
		return
	}
	paceRatio := 0.0
	gap := c.f.router.TokenGap(choice.Endpoint.ID)
	if observed.Tokens >= minPaceTokens && gap > 0 {
		paceRatio = observed.Decode.Seconds() / (float64(observed.Tokens) * gap.Seconds())
	}
	now := c.f.clock()
	if observed.Failed {
		c.f.links.Settle(func() { c.f.rollouts.RecordStream(current.rolloutSend, 0, true, now) })
		return
	}
	c.f.rollouts.RecordStream(current.rolloutSend, paceRatio, false, now)
}
