// Package boottime provides a clock that counts the time for which the machine is suspended.
// The monotonic clock stops during a suspension: by that clock, a lease that has expired
// meanwhile would still be valid, although another process may hold it by then.
package boottime

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ironhollow/pkg/pause"
)

const (
	// checkInterval bounds the time, not counting the suspension itself, until a suspension is
	// detected. A check makes three system calls.
	checkInterval = 10 * time.Millisecond
	// minSuspension is the shortest suspension that is counted. Smaller differences may come
	// from reading the two clocks one after the other.
	minSuspension = 5 * time.Millisecond
	// maxReadTime is the longest that reading the clocks may take, maxReadAttempts the number of
	// attempts.
	maxReadTime     = time.Millisecond
	maxReadAttempts = 3
)

// suspendCounter measures how long the machine has been suspended since the process started.
// The total never decreases. It is safe for concurrent use.
type suspendCounter struct {
	// read returns how far the clock that counts suspensions is ahead of the one that does not;
	// ok is false if the clocks could not be read accurately.
	read func() (offset time.Duration, ok bool)

	mu            sync.Mutex
	initialOffset time.Duration
	total         time.Duration
	lastCheck     time.Time
}

func newSuspendCounter(read func() (time.Duration, bool)) *suspendCounter {
	s := &suspendCounter{read: read}
	s.initialOffset, _ = read()
	return s
}

var machine = newSuspendCounter(readClocks)

func (s *suspendCounter) get() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if elapsed := now.Sub(s.lastCheck); elapsed >= 0 && elapsed < checkInterval {
		return s.total
	}
	s.lastCheck = now
	if offset, ok := s.read(); ok && offset-s.initialOffset > s.total+minSuspension {
		s.total = offset - s.initialOffset
	}
	return s.total
}

// readClocks returns how far CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC. It reads the clocks
// again if the process was paused between two readings.
func readClocks() (offset time.Duration, ok bool) {
	for range maxReadAttempts {
		var before, boot, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil ||
			unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0, false
		}
		if time.Duration(after.Nano()-before.Nano()) <= maxReadTime {
			return time.Duration(boot.Nano() - before.Nano()), true
		}
	}
	return 0, false
}

// Suspended returns how long the machine has been suspended since the process started.
func Suspended() time.Duration { return machine.get() }

// Now returns the current time on a clock that counts suspensions. It is to be compared only
// with other times of this package and is not the time of day.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns the time elapsed since t, a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// deadlineCheckInterval bounds how long after a suspension a context of WithTimeout that has
// expired meanwhile is cancelled. It is well below the time that a machine has to react after
// a suspension.
const deadlineCheckInterval = 50 * time.Millisecond

// WithTimeout returns a context that is cancelled after d, including the time for which the
// machine is suspended.
func WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, d)
	deadline := Now().Add(d)
	go func() {
		for pause.For(ctx, deadlineCheckInterval) {
			if !Now().Before(deadline) {
				cancel()
			}
		}
	}()
	return ctx, cancel
}
