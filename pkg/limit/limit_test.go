package limit_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/limit"
)

var start = time.UnixMilli(1_800_000_000_000)

// offered runs entries for a time with the given requests a second at each and
// returns how many were admitted in the second half, a second. Every entry is
// told the total demand with a lag of two seconds.
func offered(perEntry []float64, rate float64, told bool) float64 {
	entries := make([]*limit.RateLimiter, len(perEntry))
	credit := make([]float64, len(perEntry))
	for i := range entries {
		entries[i] = limit.NewRateLimiter()
	}
	team := limit.TeamLimit{Name: "t", Rate: rate, Burst: 20}
	admitted := 0
	const seconds, step = 60, 10 * time.Millisecond
	var totals []float64
	for at := time.Duration(0); at < seconds*time.Second; at += step {
		now := start.Add(at)
		for i, e := range entries {
			credit[i] += perEntry[i] * step.Seconds()
			for ; credit[i] >= 1; credit[i]-- {
				if ok, _ := e.Allow(team, len(entries), now); ok && at > seconds/2*time.Second {
					admitted++
				}
			}
		}
		if told && at%time.Second == 0 {
			total := 0.0
			for _, e := range entries {
				for _, d := range e.Demands(now) {
					total += d.PerSecond
				}
			}
			totals = append(totals, total)
			if len(totals) > 2 {
				for _, e := range entries {
					e.SetTotalDemand("t", totals[len(totals)-3], now)
				}
			}
		}
	}
	return float64(admitted) / (seconds / 2)
}

// TestRateIsHeldOverAllEntries compares shares that follow demand with fixed
// even ones, the naive version, for demand spread evenly and not.
func TestRateIsHeldOverAllEntries(t *testing.T) {
	cases := []struct {
		name     string
		perEntry []float64
		rate     float64
		want     float64
	}{
		{"even, over the rate", []float64{30, 30, 30}, 60, 60},
		{"all at one entry, over the rate", []float64{90, 0, 0}, 60, 60},
		{"uneven, over the rate", []float64{80, 15, 5}, 60, 60},
		{"all at one entry, under the rate", []float64{50, 0, 0}, 60, 50},
		{"nine entries, uneven", []float64{40, 20, 20, 10, 5, 5, 1, 1, 1}, 60, 60},
	}
	for _, c := range cases {
		got := offered(c.perEntry, c.rate, true)
		naive := offered(c.perEntry, c.rate, false)
		t.Logf("%s: %.1f a second, naive %.1f, want %.1f", c.name, got, naive, c.want)
		if math.Abs(got-c.want) > 0.1*c.want {
			t.Errorf("%s: got %.1f a second, want %.1f within 10%%", c.name, got, c.want)
		}
	}
	if naive := offered([]float64{90, 0, 0}, 60, false); naive > 25 {
		t.Errorf("naive version: got %.1f, want it to fail here, or this test shows nothing", naive)
	}
}

func TestRefusalSaysWhenToComeBack(t *testing.T) {
	r := limit.NewRateLimiter()
	team := limit.TeamLimit{Name: "t", Rate: 2, Burst: 1}
	if ok, _ := r.Allow(team, 1, start); !ok {
		t.Fatal("first request: want it admitted")
	}
	ok, after := r.Allow(team, 1, start)
	if ok || after != 500*time.Millisecond {
		t.Fatalf("got %v after %v, want a refusal with 500ms", ok, after)
	}
	if ok, _ := r.Allow(team, 1, start.Add(after)); !ok {
		t.Error("after the time told: want it admitted")
	}
}

// TestLargeTeamDoesNotStarveASmallOne floods a gate by one team and lets
// another with the same weight ask now and then.
func TestLargeTeamDoesNotStarveASmallOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := limit.NewConcurrencyLimiter(4)
		var mu sync.Mutex
		waits := map[string][]time.Duration{}
		var wait sync.WaitGroup
		ask := func(team string) {
			wait.Go(func() {
				begun := time.Now()
				ticket, err := gate.Acquire(context.Background(), limit.PermitRequest{Team: team, Weight: 1}, begun)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				waits[team] = append(waits[team], time.Since(begun))
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				ticket.Release(time.Now())
			})
		}
		for range 400 {
			ask("large")
		}
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			ask("small")
		}
		wait.Wait()
		for _, w := range waits["small"] {
			if w > 250*time.Millisecond {
				t.Errorf("small team waited %v, want two rounds of 100ms at most", w)
			}
		}
	})
}

// TestWeightsShareThePlaces has two teams ask for more than there is.
func TestWeightsShareThePlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := limit.NewConcurrencyLimiter(3)
		counts := map[string]int{}
		var mu sync.Mutex
		ctx, cancel := context.WithCancel(context.Background())
		for team, weight := range map[string]int{"a": 1, "b": 3} {
			for range 50 {
				go func() {
					for {
						ticket, err := gate.Acquire(ctx, limit.PermitRequest{Team: team, Weight: weight}, time.Now())
						if err != nil {
							return
						}
						mu.Lock()
						counts[team]++
						mu.Unlock()
						time.Sleep(10 * time.Millisecond)
						ticket.Release(time.Now())
					}
				}()
			}
		}
		time.Sleep(20 * time.Second)
		cancel()
		time.Sleep(time.Second) // Those that hold a place let go of it.
		mu.Lock()
		defer mu.Unlock()
		ratio := float64(counts["b"]) / float64(counts["a"])
		if ratio < 2.8 || ratio > 3.2 {
			t.Errorf("got %d and %d, want the ratio of their weights, 3", counts["a"], counts["b"])
		}
	})
}

func TestLostDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := limit.NewConcurrencyLimiter(1)
		now := time.Now()
		ticket, err := gate.Acquire(context.Background(), limit.PermitRequest{Team: "a"}, now)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 20 {
			go func() {
				ticket, err := gate.Acquire(context.Background(), limit.PermitRequest{Team: fmt.Sprint(i)}, now)
				if err == nil {
					ticket.Release(time.Now())
				}
			}()
		}
		synctest.Wait()
		begun := time.Now()
		_, err = gate.Acquire(context.Background(), limit.PermitRequest{Team: "z", Deadline: now.Add(time.Second)}, now)
		var late limit.DeadlineError
		if !errors.As(err, &late) || late.RetryAfter <= 0 {
			t.Errorf("got %v, want TooLate with the time to come back", err)
		}
		if took := time.Since(begun); took != 0 {
			t.Errorf("refused after %v, want at once", took)
		}
		ticket.Release(time.Now())
	})
}

// TestWorkThatCanWaitLeavesRoom fills a gate with such work and lets a caller
// come; when the gate is full, one of them is asked to yield.
func TestWorkThatCanWaitLeavesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := limit.NewConcurrencyLimiter(10)
		yielded := 0
		var tickets []limit.Permit
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		for {
			ticket, err := gate.Acquire(ctx, limit.PermitRequest{Team: "a", MayWait: true, Yield: func() bool { yielded++; return true }}, time.Now())
			if err != nil {
				break
			}
			tickets = append(tickets, ticket)
		}
		if len(tickets) < 1 || len(tickets) > 5 {
			t.Errorf("places of work that can wait: got %d of 10, want at most half", len(tickets))
		}
		for range 10 - len(tickets) {
			if _, err := gate.Acquire(context.Background(), limit.PermitRequest{Team: "b"}, time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		got := make(chan error)
		go func() {
			_, err := gate.Acquire(context.Background(), limit.PermitRequest{Team: "b"}, time.Now())
			got <- err
		}()
		synctest.Wait()
		if yielded != 1 {
			t.Errorf("asked to yield: got %d, want 1", yielded)
		}
		tickets[len(tickets)-1].Release(time.Now())
		if err := <-got; err != nil {
			t.Errorf("after the place was given up: got %v, want it", err)
		}
	})
}

// TestPlaceOfOneThatDeclinesIsAskedOfAnother fills a gate with work that can
// wait, of which the latest is between two attempts and can't yield.
func TestPlaceOfOneThatDeclinesIsAskedOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := limit.NewConcurrencyLimiter(10)
		var asked []int
		for i := range 3 {
			yield := func() bool {
				asked = append(asked, i)
				return i != 2
			}
			if _, err := gate.Acquire(context.Background(), limit.PermitRequest{Team: "a", MayWait: true, Yield: yield}, time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		gate.SetCapacity(3)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = gate.Acquire(ctx, limit.PermitRequest{Team: "b"}, time.Now()) }()
		synctest.Wait()
		if got := fmt.Sprint(asked); got != "[2 1]" {
			t.Errorf("asked to yield: got %s, want the latest, which declines, and then the one before", got)
		}
		cancel()
		synctest.Wait()
	})
}
