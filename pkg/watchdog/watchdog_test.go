package watchdog_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/watchdog"
)

// A host that has a hung loop must stop reporting that it is ready, and must exit if the loop
// does not recover.
func TestStalledLoopEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		registry := prometheus.NewRegistry()
		w := watchdog.New(registry, &log.Logger{Writer: &log.IOWriter{Writer: &lines}})
		healthy, hung := w.Watch("sound"), w.Watch("hangs")
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		var loops sync.WaitGroup
		loops.Go(func() { ended <- w.Run(ctx) })
		const hangTime = 30 * time.Second
		began := time.Now()
		loops.Go(func() {
			for ctx.Err() == nil {
				healthy.Kick()
				if time.Since(began) < hangTime {
					hung.Kick()
				}
				time.Sleep(4 * time.Second)
			}
		})
		time.Sleep(hangTime)
		if err := w.Stalled(); err != nil {
			t.Errorf("while all loops run: got %v, want nil", err)
		}
		time.Sleep(13 * time.Second)
		if err := w.Stalled(); !errors.Is(err, watchdog.ErrStalled) || !strings.Contains(err.Error(), "hangs") {
			t.Errorf("13 s after a loop hung: got %v, want an error that names it", err)
		}
		if err := <-ended; !errors.Is(err, watchdog.ErrStalled) {
			t.Errorf("Run: got %v, want %v", err, watchdog.ErrStalled)
		}
		if took, limit := time.Since(began)-hangTime, 25*time.Second; took > limit {
			t.Errorf("Run returned after %v, want within %v", took, limit)
		}
		if got := strings.Count(lines.String(), "loop is stalled"); got != 1 || !strings.Contains(lines.String(), "goroutine ") {
			t.Errorf("got %d log lines about the stall, want one with stacks:\n%s", got, lines.String())
		}
		cancel()
		loops.Wait()
	})
}

// A process that was suspended or got no processor time must not exit as stalled.
func TestSuspendedProcessIsNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watchdog.New(prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: &bytes.Buffer{}}})
		loop := w.Watch("loop")
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		for range 20 {
			loop.Kick()
			time.Sleep(9 * time.Second)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("a loop that calls Kick every 9 s: got %v, want nil", err)
		}
	})
}
