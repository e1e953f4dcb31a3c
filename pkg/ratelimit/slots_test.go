package ratelimit_test

import (
	"testing"
	"time"

	"ironhollow/pkg/ratelimit"
)

// hostsOf returns the hosts that each know all of a number of hosts.
func hostsOf(size int) (hosts []*ratelimit.Hosts) {
	all := names(size)
	for _, name := range all {
		hosts = append(hosts, ratelimit.NewHosts(name, all, start.Add(-time.Hour)))
	}
	return hosts
}

// slotShares returns the hosts' shares of an endpoint's slots.
func slotShares(hosts []*ratelimit.Hosts, slots, maxRejections int) (shares []*ratelimit.Slots) {
	for _, h := range hosts {
		shares = append(shares, ratelimit.NewSlots("e", slots, maxRejections, h, start))
	}
	return shares
}

// Guards against hosts that together hold more slots than the endpoint has, fewer, or more
// rejections than it stands.
func TestSlotsAreSharedWhole(t *testing.T) {
	for _, size := range []int{1, 4, 9, 64, 300} {
		hosts := hostsOf(size)
		for _, slots := range []int{1, 8, 13, 64} {
			for _, maxRejections := range []int{1, 3, 12, 100} {
				shares := slotShares(hosts, slots, maxRejections)
				held, rejected := 0, 0
				for i, s := range shares {
					limit, _ := s.Limit(hosts[i], start)
					held += limit
					for inFlight := 0; s.Allows(inFlight, hosts[i], start); {
						s.RecordRejection(inFlight, start, start)
						rejected++
					}
				}
				if held != slots || rejected > maxRejections {
					t.Errorf("%d hosts, %d slots, %d rejections: got %d slots held and %d rejections in a second", size, slots, maxRejections, held, rejected)
				}
			}
		}
	}
}

// Guards against two hosts that use the same slots after the hosts have changed: one that gains some
// waits until the others know that they have lost them.
func TestGainedSlotsAreUsedLater(t *testing.T) {
	const size, slots = 4, 8
	hosts := hostsOf(size)
	shares := slotShares(hosts, slots, 12)
	changed := start.Add(time.Minute)
	for i := range size - 1 {
		hosts[i] = hosts[i].WithNames(names(size-1), changed)
		before, _ := shares[i].Limit(hosts[i], changed)
		if got, _ := shares[i].Limit(hosts[i], changed.Add(1900*time.Millisecond)); got != before {
			t.Errorf("host %d, 1.9 s after another is lost: got %d slots, want %d", i, got, before)
		}
	}
	total := 0
	for i := range size - 1 {
		for at := time.Duration(0); at < 4*time.Second; at += 100 * time.Millisecond {
			shares[i].Limit(hosts[i], changed.Add(at))
		}
		limit, _ := shares[i].Limit(hosts[i], changed.Add(4*time.Second))
		total += limit
	}
	if total != slots {
		t.Errorf("4 s after a host is lost: got %d slots held by the others, want %d", total, slots)
	}
}

// Guards against a host that meets an endpoint that is back after a failure with all that it has.
func TestStartedEndpointGetsFewRequestsAtFirst(t *testing.T) {
	h := ratelimit.NewHosts("host-0", names(1), start.Add(-time.Hour))
	s := ratelimit.NewSlowStartSlots("e", 8, 3, h, start)
	for i, want := range []int{1, 2, 3} {
		if got, _ := s.Limit(h, start.Add(time.Duration(i)*310*time.Millisecond)); got != want {
			t.Errorf("step %d: got %d requests in flight, want %d", i, got, want)
		}
	}
}

// Guards against the use of a slot before the endpoint has noticed that its request was abandoned.
func TestAbandonedRequestHoldsItsSlot(t *testing.T) {
	h := ratelimit.NewHosts("host-0", names(1), start.Add(-time.Hour))
	s := ratelimit.NewSlots("e", 8, 12, h, start)
	at := start.Add(10 * time.Second)
	s.Take(start)
	s.Release(start, true, at)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{10 * time.Millisecond, false}, {100 * time.Millisecond, true}} {
		if got := s.Allows(7, h, at.Add(c.after)); got != c.want {
			t.Errorf("%v after the request was abandoned: got allowed %v, want %v", c.after, got, c.want)
		}
	}
}
