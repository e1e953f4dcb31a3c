package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/pause"
)

// Notices of 40 endpoints that leave at once must cause one run, well before the next periodic one.
func TestManySignalsWakeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval, settle = 750 * time.Millisecond, 50 * time.Millisecond
		signal := pause.NewSignal()
		started := time.Now()
		for i := range 40 {
			time.AfterFunc(time.Duration(100+i)*time.Millisecond, signal.Set)
		}
		if got := pause.ForOrSignal(context.Background(), interval, signal, settle); !got || time.Since(started) != 150*time.Millisecond {
			t.Errorf("first wait: got %v after %v, want a signal after 150 ms", got, time.Since(started))
		}
		started = time.Now()
		if got := pause.ForOrSignal(context.Background(), interval, signal, settle); got || time.Since(started) != interval {
			t.Errorf("second wait: got %v after %v, want no signal after %v", got, time.Since(started), interval)
		}
	})
}

// Endpoints that leave one after another, each before the next periodic run, must not keep the duties
// that only periodic runs perform from being performed.
func TestSignalsDoNotDelayPeriodicCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const period, settle = 750 * time.Millisecond, 50 * time.Millisecond
		ctx, stop := context.WithTimeout(t.Context(), 7600*time.Millisecond)
		defer stop()
		signal := pause.NewSignal()
		go pause.Every(ctx, 300*time.Millisecond, func(context.Context) { signal.Set() })
		periodic, early := 0, 0
		pause.EveryOrSignal(ctx, period, signal, settle, func(_ context.Context, isEarly bool) {
			if isEarly {
				early++
			} else {
				periodic++
			}
		})
		if periodic < 9 || early < 10 {
			t.Errorf("within ten periods: got %d periodic calls and %d early ones, want at least 9 and 10", periodic, early)
		}
	})
}
