package route_test

import (
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
)

const (
	leavingWindow = 1800 * time.Millisecond
	leavingNotice = 2800 * time.Millisecond
)

// markLeaving gives notice to endpoints of a directory.
func markLeaving(directory *endpoint.Directory, notice time.Duration, numbers ...int) {
	for _, i := range numbers {
		leaving := info(i)
		leaving.Counter++
		leaving.State = endpoint.Leaving
		leaving.LeavingSince, leaving.LeaveBy = now, now.Add(notice)
		directory.Merge(leaving)
	}
}

// shortQuery is a request that takes some 0.5 s on an idle endpoint, longQuery one of some 5 s.
func shortQuery() route.Query {
	return route.Query{Target: target, PromptTokens: 500, AnswerTokens: 10}
}

func longQuery() route.Query {
	return route.Query{Target: target, PromptTokens: 500, AnswerTokens: 200}
}

// All endpoints are reclaimed at once and their replacements boot for longer than the notice.
// Guards against refusing requests that the leaving endpoints finish in time, and against sending
// them any after the window or for longer than they run.
func TestLeavingEndpointsServeUntilReplaced(t *testing.T) {
	r, directory, _ := newRouter(4)
	r.SetLeavingWindow(leavingWindow)
	r.Choose(shortQuery(), route.Expected, now)
	markLeaving(directory, leavingNotice, 0, 1, 2, 3)
	for _, c := range []struct {
		name  string
		query route.Query
		after time.Duration
		want  bool
	}{
		{"short request, at the notice", shortQuery(), 0, true},
		{"request longer than the notice", longQuery(), 0, false},
		{"short request, just within the window", shortQuery(), leavingWindow - time.Millisecond, true},
		{"short request, after the window", shortQuery(), leavingWindow, false},
	} {
		choice, got := r.Choose(c.query, route.Expected, now.Add(c.after))
		if got != c.want {
			t.Errorf("%s: got accepted %v, want %v", c.name, got, c.want)
		}
		if got {
			r.Done(choice, route.Result{}, now.Add(c.after))
		}
	}
}

// Guards against sending requests to leaving endpoints while others have room, to endpoints that
// do not state when they stop, and where the window is not set.
func TestLeavingEndpointsAreLastResort(t *testing.T) {
	r, directory, _ := newRouter(4)
	r.SetLeavingWindow(leavingWindow)
	r.Choose(shortQuery(), route.Expected, now)
	markLeaving(directory, leavingNotice, 0, 1, 2)
	for range 32 {
		if choice, ok := r.Choose(shortQuery(), route.Expected, now); !ok || choice.Endpoint.ID != info(3).ID {
			t.Fatalf("choice beside a live endpoint: got %q, want %q", choice.Endpoint.ID, info(3).ID)
		}
	}
	gone := info(3)
	gone.State = endpoint.Gone
	directory.Merge(gone)
	late := shortQuery()
	late.Accepts = func(route.Choice) bool { return false }
	if _, ok := r.Choose(late, route.Expected, now); ok {
		t.Error("choice that the query rejects: got accepted, want rejected")
	}
	for name, window := range map[string]time.Duration{"no window": 0, "no time stated": leavingWindow} {
		r, directory, _ := newRouter(2)
		r.SetLeavingWindow(window)
		r.Choose(shortQuery(), route.Expected, now)
		notice := leavingNotice
		if window > 0 {
			leaving := info(0)
			leaving.State = endpoint.Leaving
			directory.Merge(leaving)
			other := info(1)
			other.State = endpoint.Leaving
			directory.Merge(other)
		} else {
			markLeaving(directory, notice, 0, 1)
		}
		if _, ok := r.Choose(shortQuery(), route.Expected, now); ok {
			t.Errorf("%s: got a leaving endpoint, want none", name)
		}
	}
}

// Guards against counting an endpoint's failures twice after it has begun to leave: live endpoints
// would stay ejected, or never be.
func TestFailuresOfLeavingEndpointEjectNoOther(t *testing.T) {
	r, directory, _ := newRouter(3)
	r.SetLeavingWindow(leavingWindow)
	r.Choose(shortQuery(), route.Expected, now)
	markLeaving(directory, leavingNotice, 0, 1)
	gone := info(2)
	gone.State = endpoint.Gone
	directory.Merge(gone)
	for range 8 {
		choice, ok := r.Choose(shortQuery(), route.Expected, now)
		if !ok {
			break
		}
		r.Done(choice, route.Result{Failed: true}, now)
	}
	directory.Merge(endpoint.Info{
		ID: "new", Incarnation: 1, State: endpoint.Live, Kind: endpoint.Model, Model: "m", Version: "1", Counter: 1,
	})
	if choice, ok := r.Choose(shortQuery(), route.Expected, now); !ok || choice.Endpoint.ID != "new" {
		t.Errorf("choice after a new endpoint serves: got %q, want %q", choice.Endpoint.ID, "new")
	}
}

// The row of a leaving endpoint may lack all else. Guards against sending requests to no address.
func TestLeavingEndpointKeepsAddress(t *testing.T) {
	r, directory, _ := newRouter(1)
	live := info(0)
	live.Address, live.Counter = "10.0.0.1:80", 2
	directory.Merge(live)
	r.SetLeavingWindow(leavingWindow)
	r.Choose(shortQuery(), route.Expected, now)
	directory.Merge(endpoint.Info{ID: live.ID, Incarnation: 1, Counter: 3, State: endpoint.Leaving, LeavingSince: now, LeaveBy: now.Add(leavingNotice)})
	if choice, ok := r.Choose(shortQuery(), route.Expected, now); !ok || choice.Endpoint.Address != live.Address {
		t.Errorf("address: got %q, %v, want %q", choice.Endpoint.Address, ok, live.Address)
	}
}

// A run that moves from a leaving endpoint must not go to another one, and looking for a target adds no
// refused work.
func TestContinuedRunGoesToNoLeavingEndpoint(t *testing.T) {
	r, directory, _ := newRouter(4)
	r.SetLeavingWindow(leavingWindow)
	r.Choose(shortQuery(), route.Expected, now)
	markLeaving(directory, leavingNotice, 0, 1, 2, 3)
	before := r.Work(target, now)
	q := shortQuery()
	q.Continues = true
	if choice, ok := r.Choose(q, route.Expected, now); ok {
		t.Errorf("target: got leaving endpoint %s, want none", choice.Endpoint.ID)
	}
	if got := r.Work(target, now); got != before {
		t.Errorf("work: got %+v, want it unchanged at %+v", got, before)
	}
}
