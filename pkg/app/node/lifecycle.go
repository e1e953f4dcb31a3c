package node

import (
	"sync/atomic"
	"time"

	"ironhollow/pkg/boottime"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/storeclock"
)

// maxDrainTime is how long all requests are accepted after the shutdown has begun: by then callers have received the list
// of the other hosts. Later ones are rejected if they may last longer than the process.
const maxDrainTime = 2500 * time.Millisecond

// lifecycle records how far the shutdown of a process has got. It is safe for concurrent use.
type lifecycle struct {
	clock *storeclock.Clock
	// shutdown is nil before the shutdown.
	shutdown atomic.Pointer[shutdown]
}

// shutdown holds times since the start of the process: requests must have ended by requestsEndAt.
type shutdown struct{ startedAt, requestsEndAt time.Duration }

func newLifecycle(clock *storeclock.Clock) *lifecycle { return &lifecycle{clock: clock} }

// startLeaving begins the shutdown. Requests can run for requestTime from now on.
func (l *lifecycle) startLeaving(requestTime time.Duration) {
	now := l.clock.Uptime()
	l.shutdown.Store(&shutdown{startedAt: now, requestsEndAt: now + requestTime})
}

// leaving reports whether the shutdown has begun.
func (l *lifecycle) leaving() bool { return l.shutdown.Load() != nil }

// phase returns the phase for the forwarder once the process has started.
func (l *lifecycle) phase() forward.Phase {
	s := l.shutdown.Load()
	switch {
	case s == nil:
		return forward.Serving
	case l.clock.Uptime()-s.startedAt < min(maxDrainTime, (s.requestsEndAt-s.startedAt)/2):
		return forward.Draining
	default:
		return forward.Stopping
	}
}

// TimeLeft is how long requests can still run. It is known during the shutdown only.
func (l *lifecycle) TimeLeft() (left time.Duration, known bool) {
	s := l.shutdown.Load()
	if s == nil {
		return 0, false
	}
	return s.requestsEndAt - l.clock.Uptime(), true
}

// forwarderLifecycle is the lifecycle as the forwarder sees it, with the start of the process.
type forwarderLifecycle struct {
	*lifecycle
	// isReady reports whether the process has all that it needs to serve. It is not called again once it has.
	isReady    func() bool
	hasStarted atomic.Bool
}

// Phase returns the phase of the process.
func (l *forwarderLifecycle) Phase() forward.Phase {
	if !l.hasStarted.Load() {
		if !l.isReady() {
			return forward.Starting
		}
		l.hasStarted.Store(true)
	}
	return l.phase()
}

// logUnfinished names the requests that the end of the process cuts.
func (n *node) logUnfinished(after time.Duration) {
	streams := 0
	for _, r := range n.forwarder.InProgress() {
		if r.Kind == routetable.Stream {
			streams++
			continue
		}
		n.log.Warn().Str("request", r.ID).Str("service", r.Service).Stringer("kind", r.Kind).Str("endpoint", r.Endpoint).Dur("age", r.Age).Dur("after", after).
			Msg("request cut by the end of the process")
	}
	if streams > 0 {
		n.log.Warn().Int("streams", streams).Dur("after", after).Msg("streams cut by the end of the process")
	}
}

// suspendLog is the total suspended time of the machine when it was last logged. Only one goroutine
// uses it.
type suspendLog struct{ logged time.Duration }

// logSuspension logs suspensions of the machine since the last call.
func (n *node) logSuspension() {
	total := boottime.Suspended()
	if total == n.suspendLog.logged {
		return
	}
	n.log.Warn().Dur("suspended", total-n.suspendLog.logged).Msg("the machine was suspended")
	n.suspendLog.logged = total
}
