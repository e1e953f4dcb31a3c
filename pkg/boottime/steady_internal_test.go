package boottime

import (
	"testing"
	"testing/synctest"
	"time"
)

// clocks are a machine's, of which one counts suspensions.
type clocks struct {
	ahead time.Duration
	ok    bool
}

func (c *clocks) read() (time.Duration, bool) { return c.ahead, c.ok }

// Time that the machine was suspended for counts as passed once it is awake; what was so
// before the process started does not count, nor the noise of reading clocks, and no
// reading sets the time back.
func TestSuspensionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := &clocks{ahead: time.Hour, ok: true}
		s := newSuspension(machine.read)
		steps := []struct {
			ahead time.Duration
			ok    bool
			want  time.Duration
		}{
			{time.Hour, true, 0},
			{time.Hour + 2*time.Millisecond, true, 0},
			{time.Hour + 4*time.Second, true, 4 * time.Second},
			{time.Hour + time.Second, true, 4 * time.Second},
			{2 * time.Hour, false, 4 * time.Second},
			{time.Hour + 9*time.Second, true, 9 * time.Second},
		}
		for i, step := range steps {
			time.Sleep(checkEvery)
			machine.ahead, machine.ok = step.ahead, step.ok
			if got := s.get(); got != step.want {
				t.Errorf("step %d: got suspended for %v, want %v", i, got, step.want)
			}
		}
	})
}

// A machine that is awake counts no suspension, and a context ends after its time.
func TestAwake(t *testing.T) {
	ahead, ok := readClocks()
	if !ok || ahead < -mostBetween {
		t.Fatalf("clocks of this machine: got %v, %v, want the one that counts suspensions not behind", ahead, ok)
	}
	began := Now()
	ctx, cancel := WithTimeout(t.Context(), 80*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	if took := Since(began); took < 80*time.Millisecond || Until(began) > 0 {
		t.Errorf("context of 80 ms: got an end after %v", took)
	}
	if got := Suspended(); got != 0 {
		t.Errorf("suspended: got %v, want 0", got)
	}
}
