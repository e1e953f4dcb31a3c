// Package boottime tells the time that has passed as others see it: the monotonic clock
// stands still while the machine is suspended, and what was to end meanwhile would go on
// after it, a lease that another holds by then too.
package boottime

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ironhollow/pkg/pause"
)

const (
	// checkEvery bounds how long a suspension stays unseen, counted without it. A check
	// takes three calls of the kernel.
	checkEvery = 10 * time.Millisecond
	// leastSuspension is told from the noise of reading two clocks one after the other.
	leastSuspension = 5 * time.Millisecond
	// mostBetween is how long reading them may take, checkTries how often it is tried.
	mostBetween = time.Millisecond
	checkTries  = 3
)

// suspension is how long the machine has been suspended since the process started. It
// never falls. It is safe for concurrent use.
type suspension struct {
	// read returns how much the clock that counts suspensions is before the one that
	// does not; ok is false where that could not be read well.
	read func() (ahead time.Duration, ok bool)

	mu      sync.Mutex
	base    time.Duration
	total   time.Duration
	checked time.Time
}

func newSuspension(read func() (time.Duration, bool)) *suspension {
	s := &suspension{read: read}
	s.base, _ = read()
	return s
}

var machine = newSuspension(readClocks)

func (s *suspension) get() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if since := now.Sub(s.checked); since >= 0 && since < checkEvery {
		return s.total
	}
	s.checked = now
	if ahead, ok := s.read(); ok && ahead-s.base > s.total+leastSuspension {
		s.total = ahead - s.base
	}
	return s.total
}

// readClocks reads the machine's clocks. Where the process is stopped between two of the
// readings they are taken again.
func readClocks() (ahead time.Duration, ok bool) {
	for range checkTries {
		var before, boot, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil ||
			unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0, false
		}
		if time.Duration(after.Nano()-before.Nano()) <= mostBetween {
			return time.Duration(boot.Nano() - before.Nano()), true
		}
	}
	return 0, false
}

// Suspended returns how long the machine has been suspended since the process started.
func Suspended() time.Duration { return machine.get() }

// Now returns the time as it has passed, for comparison with other times of this
// package: a time of day it is not.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns the time that has passed since t, which is of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which is of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// wakePause is how soon after a suspension a context of WithTimeout ends: well within
// what a machine is given after one.
const wakePause = 50 * time.Millisecond

// WithTimeout returns a context that ends after a time, suspensions counted.
func WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, d)
	deadline := Now().Add(d)
	go func() {
		for pause.For(ctx, wakePause) {
			if !Now().Before(deadline) {
				cancel()
			}
		}
	}()
	return ctx, cancel
}
