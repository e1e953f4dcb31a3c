package lifecycle_test

import (
	"testing"
	"time"

	"ironhollow/pkg/forward"
	"ironhollow/pkg/lifecycle"
)

// manualClock is a clock that a test sets.
type manualClock time.Duration

func (c *manualClock) Uptime() time.Duration { return time.Duration(*c) }

// Requests are accepted without a limit for 2.5 s, or half of a short shutdown.
func TestPhases(t *testing.T) {
	for _, c := range []struct {
		requestTime, at time.Duration
		want            forward.Phase
	}{
		{7 * time.Second, 2400 * time.Millisecond, forward.Draining},
		{7 * time.Second, 2600 * time.Millisecond, forward.Stopping},
		{2 * time.Second, 900 * time.Millisecond, forward.Draining},
		{2 * time.Second, 1100 * time.Millisecond, forward.Stopping},
		{2 * time.Second, 3 * time.Second, forward.Stopping},
	} {
		clock := manualClock(time.Minute)
		l := lifecycle.New(&clock, func() bool { return true })
		if got := l.Phase(); got != forward.Serving {
			t.Errorf("before the shutdown: got phase %d, want serving", got)
		}
		if _, known := l.TimeLeft(); known || l.IsLeaving() {
			t.Error("before the shutdown: the time left is known")
		}
		l.Leave(c.requestTime)
		clock += manualClock(c.at)
		left, known := l.TimeLeft()
		if got := l.Phase(); got != c.want || !known || left != c.requestTime-c.at {
			t.Errorf("%v after the begin of a shutdown of %v: got phase %d and %v left, want phase %d", c.at, c.requestTime, got, left, c.want)
		}
	}
}

// Guards against a process that is stopped while it starts and accepts requests that last longer than it does.
func TestProcessThatIsStoppedWhileItStartsIsNotStarting(t *testing.T) {
	clock := manualClock(time.Millisecond)
	l := lifecycle.New(&clock, func() bool { return false })
	if got := l.Phase(); got != forward.Starting {
		t.Errorf("before the shutdown: got phase %d, want starting", got)
	}
	l.Leave(time.Second)
	clock += manualClock(900 * time.Millisecond)
	if got := l.Phase(); got != forward.Stopping {
		t.Errorf("after the begin of the shutdown: got phase %d, want stopping", got)
	}
}
