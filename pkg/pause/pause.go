// Package pause implements waits that a context can interrupt.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d or until ctx is done, and reports whether d has passed.
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

// jitter is the range of the random variation of the period of Every, as a share of the period. It
// keeps many processes from acting at the same time.
const jitter = 0.2

// Every calls do after each period, varied by up to a tenth either way, until ctx is done.
func Every(ctx context.Context, period time.Duration, do func(context.Context)) {
	for {
		factor := 1 - jitter/2 + jitter*rand.Float64()
		if !For(ctx, time.Duration(factor*float64(period))) {
			return
		}
		do(ctx)
	}
}
