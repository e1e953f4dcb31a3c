package forward

import (
	"context"
	"errors"

	"ironhollow/pkg/rollout"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
)

// pickSide decides which versions of the service's endpoints the request goes to.
func (c *call) pickSide() {
	c.kind = rollout.KindOf(c.route.Name)
	c.side = c.f.rollouts.SubsetFor(c.service.Name, c.kind, c.meta.ID, c.f.clock())
}

// track notes a send for what it shows of its endpoint's version.
func (c *call) track(choice route.Choice) *rollout.Attempt {
	expected := choice.Wait
	if c.route.Kind != routetable.Stream {
		// How long a plain answer takes is not reckoned: versions are compared by its time.
		expected = 0
	}
	return c.f.rollouts.StartAttempt(c.service.Name, &choice.Endpoint, c.kind, expected, c.f.clock())
}

// done ends a choice.
func (c *call) done(choice route.Choice, tracked *rollout.Attempt, r route.Result) {
	now := c.f.clock()
	r.Canary = c.side == rollout.Target
	c.f.router.Done(choice, r, now)
	c.f.rollouts.FinishAttempt(tracked, now)
}

// showAnswer tells what the end of a send, or a stream's first event, shows of the
// endpoint's version. What was turned away was not answered, and what the caller gave
// up shows nothing. A request that fails at a version that is tried goes on at the
// others.
func (c *call) showAnswer(ctx context.Context, tracked *rollout.Attempt, r result) {
	failed := false
	switch r := r.(type) {
	case notRun:
		return
	case unclear:
		if c.in.Context().Err() != nil || errors.Is(ctx.Err(), context.Canceled) {
			return
		}
		failed = true
	case answered:
		failed = r.status >= failedStatus
	}
	c.f.rollouts.RecordAnswer(tracked, failed, c.f.clock())
	if failed && c.side == rollout.Target {
		c.side, _ = c.f.rollouts.Fallback(c.service.Name, c.side, c.f.clock())
	}
}

// failedStatus is the status from which on an answer is the endpoint's failure.
const failedStatus = 500

// leastMade is how many tokens an answer has at least whose pace is measured.
const leastMade = 8

// showStream tells how a stream went on after its first event.
func (c *call) showStream(tracked *rollout.Attempt, choice route.Choice, shown route.Result) {
	if c.in.Context().Err() != nil {
		return
	}
	times := 0.0
	gap := c.f.router.TokenGap(choice.Endpoint.ID)
	if shown.Tokens >= leastMade && gap > 0 {
		times = shown.Decode.Seconds() / (float64(shown.Tokens) * gap.Seconds())
	}
	c.f.rollouts.RecordStream(tracked, times, shown.Failed, c.f.clock())
}
