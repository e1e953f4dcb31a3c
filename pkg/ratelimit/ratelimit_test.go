package ratelimit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/ratelimit"
)

var start = time.UnixMilli(1_800_000_000_000)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("host-%d", i)
	}
	return list
}

// maxRequests returns the largest number of requests that the hosts send in any 4 s of half a
// minute if each sends all that its bucket allows.
func maxRequests(buckets []*ratelimit.Bucket, hosts []*ratelimit.Hosts) int {
	var sent []time.Duration
	first, worst := 0, 0
	for at := time.Duration(0); at < 30*time.Second; at += 50 * time.Millisecond {
		for i, b := range buckets {
			for b.Allows(hosts[i], start.Add(at)) {
				b.Take()
				sent = append(sent, at)
			}
		}
		for first < len(sent) && at-sent[first] >= 4*time.Second {
			first++
		}
		worst = max(worst, len(sent)-first)
	}
	return worst
}

func TestSharesStayWithinLimit(t *testing.T) {
	for _, size := range []int{1, 7, 9, 64, 300} {
		for _, limit := range []endpoint.Limit{endpoint.MinLimit, 0.3, 1, 1.1, 5, 100} {
			var buckets []*ratelimit.Bucket
			var hosts []*ratelimit.Hosts
			for _, name := range names(size) {
				h := ratelimit.NewHosts(name, names(size), start.Add(-time.Hour))
				hosts = append(hosts, h)
				buckets = append(buckets, ratelimit.New("e", limit, h, start))
			}
			if got, allowed := maxRequests(buckets, hosts), int(1.5*4*float64(limit))+5; got > allowed {
				t.Errorf("%d hosts, %v per second: got %d requests in 4 s, want %d at most", size, limit, got, allowed)
			}
		}
	}
}

// Checks that a host that takes over the share of a lost host waits until that one knows that it
// has lost the share.
func TestShareTakeoverIsDelayed(t *testing.T) {
	all := names(9)
	for _, self := range all {
		h := ratelimit.NewHosts(self, all, start.Add(-time.Hour))
		b := ratelimit.New("e", 1, h, start)
		if _, has := b.Delay(h, start); has {
			continue
		}
		alone := h.WithNames([]string{self}, start.Add(time.Minute))
		delay, has := b.Delay(alone, start.Add(time.Minute))
		if minDelay := 4 * time.Second; !has || delay < minDelay {
			t.Errorf("%s: got a share: %v, usable in %v; want one usable in %v at least", self, has, delay, minDelay)
		}
		if _, has := b.Delay(h, start.Add(time.Minute)); has {
			t.Errorf("%s, after the others are back: got a share, want none", self)
		}
	}
}

// Guards against the same hosts in another order counting as a change, which delays the baseline.
func TestOrderOfNamesIsNoChange(t *testing.T) {
	all := names(9)
	h := ratelimit.NewHosts(all[0], all, start)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	if got := h.WithNames(reversed, start.Add(time.Second)); got != h {
		t.Error("got other hosts for the same names in another order, want the same")
	}
}

func TestHostsWithoutCallersHaveNoShare(t *testing.T) {
	h := ratelimit.NewHosts("other", names(9), start.Add(-time.Hour))
	if delay, has := ratelimit.New("e", 1000, h, start).Delay(h, start); has {
		t.Errorf("got a share usable in %v, want none", delay)
	}
}
