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

// admittedRate runs entries for 60 s with the given requests per second at each, and returns
// the requests per second admitted in the second half. If exchange is set, every entry gets
// the total demand with a lag of two seconds.
func admittedRate(perEntry []float64, rate float64, exchange bool) float64 {
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
		if exchange && at%time.Second == 0 {
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

// TestRateIsHeldOverAllEntries compares shares that follow demand with fixed even ones, the
// naive version, for even and uneven demand.
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
		got := admittedRate(c.perEntry, c.rate, true)
		naive := admittedRate(c.perEntry, c.rate, false)
		t.Logf("%s: %.1f requests/s, naive version %.1f, want %.1f", c.name, got, naive, c.want)
		if math.Abs(got-c.want) > 0.1*c.want {
			t.Errorf("%s: got %.1f requests/s, want %.1f within 10%%", c.name, got, c.want)
		}
	}
	if naive := admittedRate([]float64{90, 0, 0}, 60, false); naive > 25 {
		t.Errorf("naive version: got %.1f requests/s, want at most 25, or this test does not distinguish the versions", naive)
	}
}

func TestRejectionHasRetryTime(t *testing.T) {
	r := limit.NewRateLimiter()
	team := limit.TeamLimit{Name: "t", Rate: 2, Burst: 1}
	if ok, _ := r.Allow(team, 1, start); !ok {
		t.Fatal("first request: want it admitted")
	}
	ok, after := r.Allow(team, 1, start)
	if ok || after != 500*time.Millisecond {
		t.Fatalf("second request: got admitted %v, retry after %v, want a rejection with 500ms", ok, after)
	}
	if ok, _ := r.Allow(team, 1, start.Add(after)); !ok {
		t.Error("after the retry time: want it admitted")
	}
}

// TestLargeTeamDoesNotStarveASmallOne floods a limiter with the requests of one team, while
// another team of the same weight sends one from time to time.
func TestLargeTeamDoesNotStarveASmallOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limit.NewConcurrencyLimiter(4)
		var mu sync.Mutex
		waits := map[string][]time.Duration{}
		var wait sync.WaitGroup
		acquire := func(team string) {
			wait.Go(func() {
				began := time.Now()
				permit, err := limiter.Acquire(context.Background(), limit.PermitRequest{Team: team, Weight: 1}, began)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				waits[team] = append(waits[team], time.Since(began))
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				permit.Release(time.Now())
			})
		}
		for range 400 {
			acquire("large")
		}
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			acquire("small")
		}
		wait.Wait()
		for _, w := range waits["small"] {
			if w > 250*time.Millisecond {
				t.Errorf("small team waited %v, want two rounds of 100ms at most", w)
			}
		}
	})
}

// TestPermitsAreSharedByWeight has two teams request more permits than there are.
func TestPermitsAreSharedByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limit.NewConcurrencyLimiter(3)
		counts := map[string]int{}
		var mu sync.Mutex
		ctx, cancel := context.WithCancel(context.Background())
		for team, weight := range map[string]int{"a": 1, "b": 3} {
			for range 50 {
				go func() {
					for {
						permit, err := limiter.Acquire(ctx, limit.PermitRequest{Team: team, Weight: weight}, time.Now())
						if err != nil {
							return
						}
						mu.Lock()
						counts[team]++
						mu.Unlock()
						time.Sleep(10 * time.Millisecond)
						permit.Release(time.Now())
					}
				}()
			}
		}
		time.Sleep(20 * time.Second)
		cancel()
		time.Sleep(time.Second) // The holders release their permits.
		mu.Lock()
		defer mu.Unlock()
		ratio := float64(counts["b"]) / float64(counts["a"])
		if ratio < 2.8 || ratio > 3.2 {
			t.Errorf("permits: got %d for b and %d for a, want the ratio of their weights, 3", counts["a"], counts["b"])
		}
	})
}

func TestMissedDeadlineIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limit.NewConcurrencyLimiter(1)
		now := time.Now()
		permit, err := limiter.Acquire(context.Background(), limit.PermitRequest{Team: "a"}, now)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 20 {
			go func() {
				permit, err := limiter.Acquire(context.Background(), limit.PermitRequest{Team: fmt.Sprint(i)}, now)
				if err == nil {
					permit.Release(time.Now())
				}
			}()
		}
		synctest.Wait()
		began := time.Now()
		_, err = limiter.Acquire(context.Background(), limit.PermitRequest{Team: "z", Deadline: now.Add(time.Second)}, now)
		var late limit.DeadlineError
		if !errors.As(err, &late) || late.RetryAfter <= 0 {
			t.Errorf("got %v, want a DeadlineError with a retry time", err)
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("rejected after %v, want at once", took)
		}
		permit.Release(time.Now())
	})
}

// TestWorkThatMayWaitLeavesPermitsFree fills a limiter with work that may wait and then with
// requests of callers. When no permit is left for a caller, one of the former is asked to
// yield.
func TestWorkThatMayWaitLeavesPermitsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limit.NewConcurrencyLimiter(10)
		yielded := 0
		var permits []limit.Permit
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		for {
			permit, err := limiter.Acquire(ctx, limit.PermitRequest{Team: "a", MayWait: true, Yield: func() bool { yielded++; return true }}, time.Now())
			if err != nil {
				break
			}
			permits = append(permits, permit)
		}
		if len(permits) < 1 || len(permits) > 5 {
			t.Errorf("permits of work that may wait: got %d of 10, want 1 to 5", len(permits))
		}
		for range 10 - len(permits) {
			if _, err := limiter.Acquire(context.Background(), limit.PermitRequest{Team: "b"}, time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		got := make(chan error)
		go func() {
			_, err := limiter.Acquire(context.Background(), limit.PermitRequest{Team: "b"}, time.Now())
			got <- err
		}()
		synctest.Wait()
		if yielded != 1 {
			t.Errorf("requests to yield: got %d, want 1", yielded)
		}
		permits[len(permits)-1].Release(time.Now())
		if err := <-got; err != nil {
			t.Errorf("after the release of a permit: got %v, want a permit", err)
		}
	})
}

// TestDeclinedYieldIsRequestedOfTheNext fills a limiter with work that may wait, the latest
// of which is between two attempts and cannot yield.
func TestDeclinedYieldIsRequestedOfTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limit.NewConcurrencyLimiter(10)
		var asked []int
		for i := range 3 {
			yield := func() bool {
				asked = append(asked, i)
				return i != 2
			}
			if _, err := limiter.Acquire(context.Background(), limit.PermitRequest{Team: "a", MayWait: true, Yield: yield}, time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		limiter.SetCapacity(3)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = limiter.Acquire(ctx, limit.PermitRequest{Team: "b"}, time.Now()) }()
		synctest.Wait()
		if got := fmt.Sprint(asked); got != "[2 1]" {
			t.Errorf("requests to yield: got %s, want [2 1]: the latest, which declines, and then the one before", got)
		}
		cancel()
		synctest.Wait()
	})
}
