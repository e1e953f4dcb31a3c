// Package lifecycle records how far a process is between its start and its end, and how long requests can still run.
package lifecycle

import (
	"sync/atomic"
	"time"

	"ironhollow/pkg/forward"
)

// maxDrainTime is how long all requests are accepted after the shutdown has begun: by then callers have received the list
// of the other hosts. Later ones are rejected if they may last longer than the process.
const maxDrainTime = 2500 * time.Millisecond

// Clock is the time since the start of the process, suspensions included.
type Clock interface{ Uptime() time.Duration }

// Lifecycle is the lifecycle of one process. It is safe for concurrent use.
type Lifecycle struct {
	clock Clock
	// isReady reports whether the process has all that it needs to serve. It is not called again once it has.
	isReady    func() bool
	hasStarted atomic.Bool
	// shutdown is nil before the shutdown.
	shutdown atomic.Pointer[shutdown]
}

// shutdown holds times since the start of the process: requests must have ended by requestsEndAt.
type shutdown struct{ startedAt, requestsEndAt time.Duration }

// New returns the lifecycle of a process that starts. isReady must be safe for concurrent use.
func New(clock Clock, isReady func() bool) *Lifecycle {
	return &Lifecycle{clock: clock, isReady: isReady}
}

// Leave begins the shutdown. Requests can run for requestTime.
func (l *Lifecycle) Leave(requestTime time.Duration) {
	now := l.clock.Uptime()
	l.shutdown.Store(&shutdown{startedAt: now, requestsEndAt: now + requestTime})
}

// IsLeaving reports whether the shutdown has begun.
func (l *Lifecycle) IsLeaving() bool { return l.shutdown.Load() != nil }

// Phase returns the phase of the process.
func (l *Lifecycle) Phase() forward.Phase {
	if s := l.shutdown.Load(); s != nil {
		if l.clock.Uptime()-s.startedAt < min(maxDrainTime, (s.requestsEndAt-s.startedAt)/2) {
			return forward.Draining
		}
		return forward.Stopping
	}
	if l.hasStarted.Load() {
		return forward.Serving
	}
	if !l.isReady() {
		return forward.Starting
	}
	l.hasStarted.Store(true)
	return forward.Serving
}

// TimeLeft is how long requests can still run. It is known during the shutdown only.
func (l *Lifecycle) TimeLeft() (left time.Duration, known bool) {
	s := l.shutdown.Load()
	if s == nil {
		return 0, false
	}
	return s.requestsEndAt - l.clock.Uptime(), true
}
