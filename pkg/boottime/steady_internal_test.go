package boottime

import (
	"testing"
	"testing/synctest"
	"time"
)

// fakeClocks simulates the clocks of a machine, one of which counts suspensions.
type fakeClocks struct {
	offset time.Duration
	ok     bool
}

func (c *fakeClocks) read() (time.Duration, bool) { return c.offset, c.ok }

// Time for which the machine was suspended counts as elapsed once the machine is awake.
// Suspensions before the start of the process and differences from reading the clocks one after
// the other do not count, and no reading decreases the total.
func TestSuspendedTimeCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := &fakeClocks{offset: time.Hour, ok: true}
		s := newSuspendCounter(machine.read)
		steps := []struct {
			offset time.Duration
			ok     bool
			want   time.Duration
		}{
			{time.Hour, true, 0},
			{time.Hour + 2*time.Millisecond, true, 0},
			{time.Hour + 4*time.Second, true, 4 * time.Second},
			{time.Hour + time.Second, true, 4 * time.Second},
			{2 * time.Hour, false, 4 * time.Second},
			{time.Hour + 9*time.Second, true, 9 * time.Second},
		}
		for i, step := range steps {
			time.Sleep(checkInterval)
			machine.offset, machine.ok = step.offset, step.ok
			if got := s.get(); got != step.want {
				t.Errorf("step %d: suspended time: got %v, want %v", i, got, step.want)
			}
		}
	})
}

// On a machine that is not suspended, no suspension is counted and a context expires after its
// timeout.
func TestMachineNotSuspended(t *testing.T) {
	offset, ok := readClocks()
	if !ok || offset < -maxReadTime {
		t.Fatalf("clock offset of this machine: got %v, %v, want CLOCK_BOOTTIME not behind CLOCK_MONOTONIC", offset, ok)
	}
	began := Now()
	ctx, cancel := WithTimeout(t.Context(), 80*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	if took := Since(began); took < 80*time.Millisecond || Until(began) > 0 {
		t.Errorf("context of 80 ms: expired after %v", took)
	}
	if got := Suspended(); got != 0 {
		t.Errorf("suspended time: got %v, want 0", got)
	}
}
