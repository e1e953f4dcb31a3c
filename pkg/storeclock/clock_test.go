package storeclock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/storeclock"
)

// Answers take their time on the way: the one with the least delay gives the
// store's clock best, and later ones with more delay do not set it back.
func TestLeastDelayTellsTheStoresClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := storeclock.New()
		began := time.Now()
		store := func() time.Duration { return time.Hour + time.Since(began) }
		if _, known := c.StoreTime(); known {
			t.Error("store's clock before it was heard: got known, want not")
		}
		for _, delay := range []time.Duration{300, 20, 900} {
			at := store()
			time.Sleep(delay * time.Millisecond)
			c.Observe(at)
		}
		time.Sleep(5 * time.Second)
		got, known := c.StoreTime()
		if want := store() - 20*time.Millisecond; !known || got != want {
			t.Errorf("store's clock: got %v, %v, want %v: 20 ms behind", got, known, want)
		}
	})
}

// The process's start, by the store's clock, stays the same for those who compare
// it while better answers come.
func TestSinceIsSteady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := storeclock.New()
		if got := c.StoreStartTime(); got != 0 {
			t.Errorf("start while the store's clock is not known: got %v, want 0", got)
		}
		c.Observe(time.Hour + 200*time.Millisecond)
		first := c.StoreStartTime()
		c.Observe(time.Hour + 400*time.Millisecond)
		if got := c.StoreStartTime(); got != first || first != time.Hour {
			t.Errorf("start: got %v and then %v, want %v", first, got, time.Hour)
		}
	})
}
