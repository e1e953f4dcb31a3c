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
