// Package watchdog finds goroutines that do not come round their loop any more, as after a
// deadlock. It counts its own ticks and not the clock: a process that was suspended or gets
// no processor makes no ticks either.
package watchdog

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/metrics"
)

// Parameters of the watch.
const (
	// tick is the time between two looks. One that is later than lateTick is not counted.
	tick     = time.Second
	lateTick = 3 * tick / 2
	// stalledAfter is after how many ticks without a round a loop is stalled, endAfter after
	// how many the process is to end.
	stalledAfter = 10
	endAfter     = 20
	// mostStacks bounds what is logged of the goroutines' stacks, in bytes.
	mostStacks = 256 << 10
)

// ErrStalled says that a loop did not come round for so long that the process must end.
var ErrStalled = errors.New("watchdog: a loop is stalled")

// Watchdog watches loops. It is safe for concurrent use.
type Watchdog struct {
	log     *log.Logger
	stalls  *prometheus.CounterVec
	mu      sync.Mutex
	loops   []*Loop
	stalled atomic.Pointer[Loop]
}

// Loop is one goroutine that is watched.
type Loop struct {
	name string
	// rounds counts the rounds.
	rounds atomic.Int64
	// seen is rounds at the last look, ticks how many looks found no other since. The
	// goroutine that watches uses them.
	seen  int64
	ticks int
}

// New returns a watchdog without loops.
func New(registry prometheus.Registerer, logger *log.Logger) *Watchdog {
	return &Watchdog{
		log:    logger,
		stalls: metrics.New(registry, "watchdog").CounterVec("stalls_total", "Loops that did not come round for some seconds.", "loop"),
	}
}

// Watch adds a loop, which must come round every few seconds from then on.
func (w *Watchdog) Watch(name string) *Loop {
	l := &Loop{name: name}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loops = append(w.loops, l)
	return l
}

// Kick notes that the loop has come round.
func (l *Loop) Kick() { l.rounds.Add(1) }

// Stalled returns an error that names a stalled loop, nil where there is none.
func (w *Watchdog) Stalled() error {
	if l := w.stalled.Load(); l != nil {
		return fmt.Errorf("%w: %s", ErrStalled, l.name)
	}
	return nil
}

// Run watches until ctx ends, or until a loop is stalled for so long that the process must
// end; then it returns an error that names the loop.
func (w *Watchdog) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		late := now.Sub(last) > lateTick
		last = now
		if late {
			continue
		}
		if err := w.look(); err != nil {
			return err
		}
	}
}

// look looks at all loops once.
func (w *Watchdog) look() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var stalled *Loop
	for _, l := range w.loops {
		if rounds := l.rounds.Load(); rounds != l.seen {
			l.seen, l.ticks = rounds, 0
			continue
		}
		l.ticks++
		if l.ticks == stalledAfter {
			w.report(l)
		}
		if l.ticks >= stalledAfter && (stalled == nil || l.ticks > stalled.ticks) {
			stalled = l
		}
	}
	w.stalled.Store(stalled)
	if stalled != nil && stalled.ticks >= endAfter {
		return fmt.Errorf("%w: %s", ErrStalled, stalled.name)
	}
	return nil
}

func (w *Watchdog) report(l *Loop) {
	w.stalls.WithLabelValues(l.name).Inc()
	stacks := make([]byte, mostStacks)
	stacks = stacks[:runtime.Stack(stacks, true)]
	w.log.Error().Str("loop", l.name).Int("ticks", l.ticks).Bytes("stacks", stacks).Msg("loop is stalled")
}
