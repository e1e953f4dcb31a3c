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

// Guards against a host that hangs for good and goes on to say that it is ready.
func TestStalledLoopEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		registry := prometheus.NewRegistry()
		w := watchdog.New(registry, &log.Logger{Writer: &log.IOWriter{Writer: &lines}})
		sound, hangs := w.Watch("sound"), w.Watch("hangs")
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		var loops sync.WaitGroup
		loops.Go(func() { ended <- w.Run(ctx) })
		const hangsAt = 30 * time.Second
		began := time.Now()
		loops.Go(func() {
			for ctx.Err() == nil {
				sound.Kick()
				if time.Since(began) < hangsAt {
					hangs.Kick()
				}
				time.Sleep(4 * time.Second)
			}
		})
		time.Sleep(hangsAt)
		if err := w.Stalled(); err != nil {
			t.Errorf("while all loops come round: got %v, want nil", err)
		}
		time.Sleep(13 * time.Second)
		if err := w.Stalled(); !errors.Is(err, watchdog.ErrStalled) || !strings.Contains(err.Error(), "hangs") {
			t.Errorf("13 s after a loop hung: got %v, want it named", err)
		}
		if err := <-ended; !errors.Is(err, watchdog.ErrStalled) {
			t.Errorf("end: got %v, want %v", err, watchdog.ErrStalled)
		}
		if took, most := time.Since(began)-hangsAt, 25*time.Second; took > most {
			t.Errorf("end after %v, want within %v", took, most)
		}
		if got := strings.Count(lines.String(), "loop is stalled"); got != 1 || !strings.Contains(lines.String(), "goroutine ") {
			t.Errorf("got %d lines on the stall, want one with stacks:\n%s", got, lines.String())
		}
		cancel()
		loops.Wait()
	})
}

// Guards against ending a process that was suspended or got no processor.
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
			t.Errorf("a loop that comes round every 9 s: got %v, want nil", err)
		}
	})
}
