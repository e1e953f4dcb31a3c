package node

import (
	"sync/atomic"
	"time"

	"ironhollow/pkg/boottime"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/storeclock"
)

// streamAcceptTime is how long new streams are accepted after the shutdown has begun: by then
// callers have received the list of the other hosts, and a stream takes seconds.
const streamAcceptTime = 2500 * time.Millisecond

// lifecycle records how far the shutdown of a process has got. It is safe for concurrent use.
type lifecycle struct {
	clock *storeclock.Clock
	// leavingSince is the time from the start of the process to the start of its shutdown, 0
	// before the shutdown.
	leavingSince atomic.Int64
}

func newLifecycle(clock *storeclock.Clock) *lifecycle { return &lifecycle{clock: clock} }

// startLeaving begins the shutdown.
func (l *lifecycle) startLeaving() { l.leavingSince.Store(max(int64(l.clock.Uptime()), 1)) }

// leaving reports whether the shutdown has begun.
func (l *lifecycle) leaving() bool { return l.leavingSince.Load() != 0 }

// phase returns the phase for the forwarder.
func (l *lifecycle) phase() forward.Phase {
	switch {
	case !l.leaving():
		return forward.Serving
	case l.clock.Uptime()-time.Duration(l.leavingSince.Load()) < streamAcceptTime:
		return forward.Draining
	default:
		return forward.Stopping
	}
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
