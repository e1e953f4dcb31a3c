// Package watchdog detects goroutines whose loops have stalled, as after a deadlock. It counts
// its own ticks rather than elapsed time, because a process that is suspended or gets no
// processor time makes no ticks either.
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

// Parameters of the checks.
const (
	// checkInterval is the time between checks. A check that comes more than maxCheckInterval
	// after the previous one is skipped.
	checkInterval    = time.Second
	maxCheckInterval = 3 * checkInterval / 2
	// stallTicks is the number of ticks without a kick after which a loop is stalled, exitTicks
	// the number after which the process must exit.
	stallTicks = 10
	exitTicks  = 20
	// maxStackBytes bounds the size of the goroutine stacks in the log.
	maxStackBytes = 256 << 10
)

// ErrStalled is wrapped by the errors that name a stalled loop.
var ErrStalled = errors.New("watchdog: a loop is stalled")

// Watchdog watches loops. It is safe for concurrent use.
type Watchdog struct {
	log     *log.Logger
	stalls  *prometheus.CounterVec
	mu      sync.Mutex
	loops   []*Loop
	stalled atomic.Pointer[Loop]
}

// Loop is a watched loop of a goroutine.
type Loop struct {
	name string
	// kicks counts the calls of Kick.
	kicks atomic.Int64
	// lastKicks is the value of kicks at the last check, idleTicks the number of checks since
	// it changed. Only the goroutine of Run uses them.
	lastKicks int64
	idleTicks int
}

// New returns a watchdog without loops.
func New(registry prometheus.Registerer, logger *log.Logger) *Watchdog {
	return &Watchdog{
		log:    logger,
		stalls: metrics.New(registry, "watchdog").CounterVec("stalls_total", "Loops that did not come round for some seconds.", "loop"),
	}
}

// Watch adds a loop. From then on, the loop must call Kick every few seconds.
func (w *Watchdog) Watch(name string) *Loop {
	l := &Loop{name: name}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loops = append(w.loops, l)
	return l
}

// Kick records an iteration of the loop.
func (l *Loop) Kick() { l.kicks.Add(1) }

// Stalled returns an error that names a stalled loop, or nil if no loop is stalled.
func (w *Watchdog) Stalled() error {
	if l := w.stalled.Load(); l != nil {
		return fmt.Errorf("%w: %s", ErrStalled, l.name)
	}
	return nil
}

// Run checks the loops until ctx is done. If a loop is stalled for so long that the process must
// exit, it returns an error that names the loop.
func (w *Watchdog) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		late := now.Sub(lastTick) > maxCheckInterval
		lastTick = now
		if late {
			continue
		}
		if err := w.check(); err != nil {
			return err
		}
	}
}

// check checks all loops once.
func (w *Watchdog) check() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var stalled *Loop
	for _, l := range w.loops {
		if kicks := l.kicks.Load(); kicks != l.lastKicks {
			l.lastKicks, l.idleTicks = kicks, 0
			continue
		}
		l.idleTicks++
		if l.idleTicks == stallTicks {
			w.report(l)
		}
		if l.idleTicks >= stallTicks && (stalled == nil || l.idleTicks > stalled.idleTicks) {
			stalled = l
		}
	}
	w.stalled.Store(stalled)
	if stalled != nil && stalled.idleTicks >= exitTicks {
		return fmt.Errorf("%w: %s", ErrStalled, stalled.name)
	}
	return nil
}

func (w *Watchdog) report(l *Loop) {
	w.stalls.WithLabelValues(l.name).Inc()
	stacks := make([]byte, maxStackBytes)
	stacks = stacks[:runtime.Stack(stacks, true)]
	w.log.Error().Str("loop", l.name).Int("ticks", l.idleTicks).Bytes("stacks", stacks).Msg("loop is stalled")
}
