// Package pause waits in a way that a context can cut short.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits and reports whether ctx is still live.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// spread is how far the pauses of Every are drawn around their period, so that
// many processes do not act together.
const spread = 0.2

// Every calls do at a period, give or take a tenth, until ctx ends.
func Every(ctx context.Context, period time.Duration, do func(context.Context)) {
	for {
		factor := 1 - spread/2 + spread*rand.Float64()
		if !For(ctx, time.Duration(factor*float64(period))) {
			return
		}
		do(ctx)
	}
}
