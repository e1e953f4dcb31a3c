package pause

import (
	"context"
	"time"
)

// Signal wakes a waiter. Signals that come before it waits, or while it wakes up, count as one. It is
// safe for concurrent use.
type Signal chan struct{}

// NewSignal returns a Signal that is not set.
func NewSignal() Signal { return make(Signal, 1) }

// Set sets the signal.
func (s Signal) Set() {
	select {
	case s <- struct{}{}:
	default:
		// It is set already.
	}
}

// ForOrSignal waits for d, or until settle after the signal is set, or until ctx is done. It reports
// whether the signal was set. Signals within settle are part of the first one.
func ForOrSignal(ctx context.Context, d time.Duration, signal Signal, settle time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-signal:
	}
	For(ctx, settle)
	select {
	case <-signal:
	default:
	}
	return true
}

// EveryOrSignal calls do period after each call that was not caused by a signal alone, and settle after
// the signal is set, until ctx is done. early is set for calls that come before the period has passed:
// signals in quick succession do not delay the others.
func EveryOrSignal(ctx context.Context, period time.Duration, signal Signal, settle time.Duration, do func(ctx context.Context, early bool)) {
	due := time.Now().Add(period)
	for ctx.Err() == nil {
		signalled := ForOrSignal(ctx, time.Until(due), signal, settle)
		if ctx.Err() != nil {
			return
		}
		early := signalled && time.Now().Before(due)
		do(ctx, early)
		if !early {
			due = time.Now().Add(period)
		}
	}
}
