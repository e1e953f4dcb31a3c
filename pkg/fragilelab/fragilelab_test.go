package fragilelab_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ironhollow/pkg/fragilelab"
)

// minUsed is the least share of the endpoints' slot time that must serve requests.
const minUsed = 0.85

// medium returns hosts that get as many requests each, all of the same kind.
func medium(hosts int) fragilelab.Setup {
	return fragilelab.Setup{
		Seed: 1, Endpoints: 4, ReportedSlots: 8, MaxRejections: 3, Weights: slices.Repeat([]float64{1 / float64(hosts)}, hosts),
		Kinds: []fragilelab.Kind{{Share: 1, Time: 200 * time.Millisecond, Objective: time.Second}},
	}
}

// maxFalls returns the number of falls that the rules allow.
func maxFalls(setup fragilelab.Setup) int { return 2 + setup.Endpoints/10 }

// Guards against hosts that together send fragile endpoints more than they have room for, so that
// these fail again and again.
func TestFragileEndpointsStayUp(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		few, many, unequal := medium(4), medium(4), medium(4)
		many.MaxRejections = 12
		unequal.Weights = []float64{0.4, 0.3, 0.2, 0.1}
		unequal.Restarts = true
		unequal.Kinds = []fragilelab.Kind{
			{Share: 0.4, Time: 60 * time.Millisecond, Objective: 400 * time.Millisecond},
			{Share: 0.6, Time: 900 * time.Millisecond, Objective: 4 * time.Second, Priority: 1},
		}
		for name, setup := range map[string]fragilelab.Setup{"3 rejections": few, "12 rejections": many, "unequal hosts": unequal} {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				setup.Seed = seed
				o := fragilelab.Run(setup)
				t.Logf("%+v", o)
				if o.Falls > maxFalls(setup) || o.Used < minUsed {
					t.Errorf("got %d falls and %.3f of the slot time used, want %d at most and %v at least", o.Falls, o.Used, maxFalls(setup), minUsed)
				}
			})
		}
	}
}

// Guards against falls once the hosts know that endpoints are fragile, with few and many hosts, rows
// that report no slots or more than there is room for, and callers who leave.
func TestKnownFragileEndpointsStayUp(t *testing.T) {
	for _, c := range []struct {
		hosts, endpoints, slots, maxRejections int
		abandonShare                           float64
	}{
		{2, 4, 8, 3, 0},
		{4, 4, 8, 1, 0},
		{9, 12, 8, 3, 0},
		{32, 12, 8, 3, 0},
		{4, 4, 0, 3, 0},
		{4, 4, 13, 3, 0},
		{4, 4, 13, 12, 0},
		{9, 12, 13, 3, 0},
		{4, 4, 8, 3, 0.2},
		{9, 12, 8, 3, 0.2},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			setup := medium(c.hosts)
			setup.Endpoints, setup.ReportedSlots, setup.MaxRejections, setup.AbandonShare = c.endpoints, c.slots, c.maxRejections, c.abandonShare
			o := fragilelab.Run(setup)
			t.Logf("%+v", o)
			if o.LateFalls > 0 || o.Used < minUsed {
				t.Errorf("got %d falls and %.3f of the slot time used, want none and %v at least", o.LateFalls, o.Used, minUsed)
			}
		})
	}
}

// Checks that the bounds of TestFragileEndpointsStayUp fail for hosts that ignore what endpoints report.
func TestNaiveHostsBreakFragileEndpoints(t *testing.T) {
	for _, maxRejections := range []int{3, 12} {
		setup := medium(4)
		setup.MaxRejections, setup.IsNaive = maxRejections, true
		if o := fragilelab.Run(setup); o.Falls <= maxFalls(setup) || o.Used >= minUsed {
			t.Errorf("%d rejections: got %d falls and %.2f of the slot time used, want more than %d and less than %v", maxRejections, o.Falls, o.Used, maxFalls(setup), minUsed)
		}
	}
}
