package storeclock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/storeclock"
)

// Checks that the store's clock is estimated from the answer with the least delay, and that a later
// answer with more delay does not set it back.
func TestStoreTimeUsesTheAnswerWithTheLeastDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := storeclock.New()
		start := time.Now()
		storeTime := func() time.Duration { return time.Hour + time.Since(start) }
		if _, known := c.StoreTime(); known {
			t.Error("store's clock before the first answer: got known, want unknown")
		}
		for _, delay := range []time.Duration{300, 20, 900} {
			sent := storeTime()
			time.Sleep(delay * time.Millisecond)
			c.Observe(sent)
		}
		time.Sleep(5 * time.Second)
		got, known := c.StoreTime()
		if want := storeTime() - 20*time.Millisecond; !known || got != want {
			t.Errorf("store's clock: got %v, %v, want %v, 20 ms behind", got, known, want)
		}
	})
}

// Checks that the start of the process on the store's clock stays the same while better estimates
// arrive, since other hosts compare it.
func TestStoreStartTimeIsStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := storeclock.New()
		if got := c.StoreStartTime(); got != 0 {
			t.Errorf("start before the first answer: got %v, want 0", got)
		}
		c.Observe(time.Hour + 200*time.Millisecond)
		first := c.StoreStartTime()
		c.Observe(time.Hour + 400*time.Millisecond)
		if got := c.StoreStartTime(); got != first || first != time.Hour {
			t.Errorf("start: got %v and then %v, want %v both times", first, got, time.Hour)
		}
	})
}
