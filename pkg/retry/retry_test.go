package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ironhollow/pkg/retry"
)

var start = time.UnixMilli(1_800_000_000_000)

// TestBudgetLimitsRetryStorm sends 100 requests per second for a minute while every attempt fails
// and each request is tried up to five times. The budget limits the retries to its share; without
// one, five times as many requests would be sent.
func TestBudgetLimitsRetryStorm(t *testing.T) {
	b := retry.New(0.1, start)
	for i := range 6000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		b.RecordFirstSend(now)
		for range 4 {
			b.Take(now)
		}
	}
	first, again := b.Counts()
	ratio := float64(first+again) / float64(first)
	if ratio > 1.2 || again < 500 {
		t.Errorf("sent/accepted: got %.3f with %d retries, want under 1.2 and the budget used", ratio, again)
	}
}

func TestQuietProcessMayStillRetry(t *testing.T) {
	b := retry.New(0.1, start)
	for range 100 {
		b.Take(start)
	}
	if !b.Take(start.Add(1100 * time.Millisecond)) {
		t.Error("after a second without requests: want one retry allowed")
	}
}

// Guards against other bounds than those of the comment: 40 ms at first, then doubled.
func TestBoundsOfFirstDelays(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for attempt, bound := range map[int]time.Duration{1: 40 * time.Millisecond, 2: 80 * time.Millisecond, 7: 2 * time.Second, 8: 2 * time.Second} {
		most := time.Duration(0)
		for range 2000 {
			most = max(most, retry.Delay(attempt, random))
		}
		if most > bound || most < bound*9/10 {
			t.Errorf("attempt %d: got delays up to %v, want up to %v", attempt, most, bound)
		}
	}
}

func TestDelaysSpreadAndAreBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for attempt := 1; attempt <= 40; attempt++ {
		least, most := time.Hour, time.Duration(0)
		for range 200 {
			p := retry.Delay(attempt, random)
			least, most = min(least, p), max(most, p)
		}
		if most > 2*time.Second || least <= 0 || least*2 > most {
			t.Errorf("attempt %d: got delays from %v to %v, want them spread below 2s", attempt, least, most)
		}
	}
}
