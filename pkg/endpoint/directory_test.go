package endpoint_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/endpoint"
)

// Guards against a reclaim counted twice in the hazard estimate, in whichever order the notice, the
// endpoint's own report and a later notice with another time arrive.
func TestLeaveTimeOfIncarnationIsAnnouncedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaveBy := time.Now().Add(time.Minute)
		updates := []endpoint.Info{
			{State: endpoint.Live, Counter: 1},
			{State: endpoint.Live, Counter: 3},
			{State: endpoint.Leaving, Counter: 2},
			{State: endpoint.Leaving, Counter: 1, LeaveBy: leaveBy},
			{State: endpoint.Leaving, Counter: 4, LeaveBy: leaveBy.Add(time.Second)},
			{State: endpoint.Gone, Counter: 4},
		}
		check := func(order []endpoint.Info) {
			var known atomic.Int64
			d := endpoint.NewDirectory()
			d.OnLeaving(func(info endpoint.Info) {
				if !info.LeaveBy.IsZero() {
					known.Add(1)
				}
			})
			for _, info := range order {
				info.ID, info.Incarnation = "e", 1
				d.Merge(info)
			}
			synctest.Wait()
			if got := known.Load(); got > 1 {
				t.Fatalf("order %v: got %d calls with a leave time, want at most 1", order, got)
			}
		}
		permute(updates, nil, check)
	})
}

func permute(rest, order []endpoint.Info, check func([]endpoint.Info)) {
	if len(rest) == 0 {
		check(order)
	}
	for i := range rest {
		permute(slices.Concat(rest[:i], rest[i+1:]), append(slices.Clone(order), rest[i]), check)
	}
}

// Guards against a new user of leaving endpoints replacing an earlier one.
func TestAllUsersLearnOfLeavingEndpoints(t *testing.T) {
	directory := endpoint.NewDirectory()
	calls := make(chan string, 3)
	directory.OnLeaving(func(endpoint.Info) { calls <- "set" })
	directory.SubscribeLeaving(func(endpoint.Info) { calls <- "first" })
	directory.SubscribeLeaving(func(endpoint.Info) { calls <- "second" })
	directory.Merge(endpoint.Info{ID: "e", Incarnation: 1, State: endpoint.Live})
	directory.Merge(endpoint.Info{ID: "e", Incarnation: 1, State: endpoint.Leaving})
	called := map[string]bool{}
	for range 3 {
		select {
		case name := <-calls:
			called[name] = true
		case <-time.After(time.Second):
			t.Fatalf("called: got %v, want set, first and second", called)
		}
	}
	if len(called) != 3 {
		t.Errorf("called: got %v, want set, first and second", called)
	}
}
