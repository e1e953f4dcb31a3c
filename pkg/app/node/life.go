package node

import (
	"sync/atomic"
	"time"

	"ironhollow/pkg/boottime"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/storeclock"
)

// streamsTaken is how long after the stop began new streams are taken: callers
// have been told the other hosts by then, and a stream takes seconds.
const streamsTaken = 2500 * time.Millisecond

// life is how far a process is on its way to its end. It is safe for concurrent use.
type life struct {
	clock *storeclock.Clock
	// leavingSince is when it began to leave, counted from the start; 0 before.
	leavingSince atomic.Int64
}

func newLife(clock *storeclock.Clock) *life { return &life{clock: clock} }

// leave begins the end.
func (l *life) leave() { l.leavingSince.Store(max(int64(l.clock.Running()), 1)) }

// leaving reports whether the process has begun to leave.
func (l *life) leaving() bool { return l.leavingSince.Load() != 0 }

// phase tells the forwarder how far the process is.
func (l *life) phase() forward.Phase {
	switch {
	case !l.leaving():
		return forward.Serving
	case l.clock.Running()-time.Duration(l.leavingSince.Load()) < streamsTaken:
		return forward.Draining
	default:
		return forward.Stopping
	}
}

// suspensions is how long the machine was suspended, as last logged. One goroutine uses
// it.
type suspensions struct{ logged time.Duration }

// noteSuspension writes a line when the machine was suspended.
func (n *node) noteSuspension() {
	total := boottime.Suspended()
	if total == n.suspensions.logged {
		return
	}
	n.log.Warn().Dur("suspended", total-n.suspensions.logged).Msg("the machine was suspended")
	n.suspensions.logged = total
}
