package route_test

import (
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
)

const restTime = 3 * time.Second

// chosen returns how many of a number of choices fall on an endpoint.
func chosen(r *route.Router, id string, strategy route.Strategy, at time.Time) int {
	n := 0
	for range 64 {
		c, ok := r.Choose(query(), strategy, at)
		if !ok {
			continue
		}
		if c.Endpoint.ID == id {
			n++
		}
		r.Done(c, route.Result{}, at)
	}
	return n
}

// No way to choose goes against an endpoint's word that it wants rest, and each takes it
// again afterwards, also where the host's part of the endpoints was drawn anew meanwhile.
func TestBackoffBindsEveryChoice(t *testing.T) {
	strategies := []route.Strategy{route.Expected, route.ExpectedStale, route.Random, route.RoundRobin, route.LeastReported, route.PowerOfTwo}
	for _, strategy := range strategies {
		r, directory, _ := newRouter(2)
		at := info(0)
		if !r.SetBackoff(at.Ref(), now.Add(restTime), now) {
			t.Fatal("got a rest that was there before, want one that begins")
		}
		if r.SetBackoff(at.Ref(), now.Add(restTime/2), now) {
			t.Error("shorter rest: got one that begins, want the one that holds")
		}
		r.SetEntryCount(3)
		gone := info(1)
		gone.Counter++
		directory.Merge(gone)
		if got := chosen(r, at.ID, strategy, now.Add(restTime-time.Millisecond)); got != 0 {
			t.Errorf("strategy %d: got %d choices of the endpoint that rests, want 0", strategy, got)
		}
		if _, ok, later := r.ChooseAt(query(), at.Ref(), now.Add(restTime-time.Millisecond)); ok || later {
			t.Error("chosen before it rested: got it, or to be waited for, want neither")
		}
		if got := chosen(r, at.ID, strategy, now.Add(restTime)); got == 0 {
			t.Errorf("strategy %d: got no choice of the endpoint after its rest, want some", strategy)
		}
	}
}

// An endpoint that has started again has asked for nothing.
func TestRestEndsWithTheLife(t *testing.T) {
	r, directory, _ := newRouter(1)
	r.SetBackoff(info(0).Ref(), now.Add(restTime), now)
	next := info(0)
	next.Incarnation++
	directory.Merge(next)
	if c, ok := r.Choose(query(), route.Expected, now); !ok || c.Endpoint.Ref() != next.Ref() {
		t.Errorf("got %+v, %v, want the next life", c.Endpoint, ok)
	}
}

// What an endpoint asked of another host is heeded while others are free, and does not
// bind: it is chosen where it is the only one.
func TestRestOfAnotherHostIsHeeded(t *testing.T) {
	r, directory, _ := newRouter(2)
	r.SetPeerBackoff(info(0).Ref(), now.Add(restTime), now)
	if got := chosen(r, info(0).ID, route.Expected, now); got != 0 {
		t.Errorf("while another is free: got %d choices, want 0", got)
	}
	other := info(1)
	other.State = endpoint.Gone
	directory.Merge(other)
	if got, want := chosen(r, info(0).ID, route.Expected, now), 64; got != want {
		t.Errorf("as the only one: got %d choices, want %d", got, want)
	}
}

// Where none takes a request it is known when the first one does; endpoints that are out
// for failures are tried sooner than all callers are turned away.
func TestFreeIn(t *testing.T) {
	r, _, _ := newRouter(3)
	if got := r.TimeUntilAvailable(query(), now); got != 0 {
		t.Errorf("none rests: got %v left, want 0", got)
	}
	for i := range 2 {
		r.SetBackoff(info(i).Ref(), now.Add(restTime*time.Duration(i+1)), now)
	}
	if got := r.TimeUntilAvailable(query(), now); got != 0 {
		t.Errorf("one takes work: got %v left, want 0", got)
	}
	for range 3 {
		c, ok := r.Choose(query(), route.Expected, now)
		if !ok || c.Endpoint.ID != info(2).ID {
			t.Fatalf("got %+v, %v, want the endpoint that does not rest", c.Endpoint, ok)
		}
		r.Done(c, route.Result{Failed: true}, now)
	}
	if c, ok := r.Choose(query(), route.Expected, now); !ok || c.Endpoint.ID != info(2).ID {
		t.Errorf("two rest and one has failed: got %+v, %v, want the one that failed", c.Endpoint, ok)
	}
	r.SetBackoff(info(2).Ref(), now.Add(restTime*3), now)
	if _, ok := r.Choose(query(), route.Expected, now); ok {
		t.Error("all rest: got a choice, want none")
	}
	if got := r.TimeUntilAvailable(query(), now.Add(time.Second)); got != restTime-time.Second {
		t.Errorf("all rest: got %v left, want %v", got, restTime-time.Second)
	}
}

// A refusal is no sign that an endpoint serves: failures in a row stay in a row.
func TestRefusalIsNoSuccess(t *testing.T) {
	r, _, _ := newRouter(4)
	for _, result := range []route.Result{{Failed: true}, {Failed: true}, {Refused: true}, {Failed: true}} {
		c, ok, _ := r.ChooseAt(query(), info(0).Ref(), now)
		if !ok {
			t.Fatal("got no choice at the endpoint, want one")
		}
		r.Done(c, result, now)
	}
	if got := chosen(r, info(0).ID, route.Expected, now); got != 0 {
		t.Errorf("after three failures with a refusal between: got %d choices, want 0", got)
	}
}

// Where more than half of the endpoints turn requests away the service is full: requests
// are spread over all of them by their loads, and none waits for those that are set back.
func TestFullServiceIsNotSetBack(t *testing.T) {
	const count = 5
	r, _, _ := newRouter(count)
	for i := range count - 1 {
		r.Penalize(info(i).Ref(), now)
	}
	counts := map[string]int{}
	for range 100 {
		c, ok := r.Choose(query(), route.Expected, now)
		if !ok {
			t.Fatal("got no choice, want one")
		}
		counts[c.Endpoint.ID]++
	}
	for i := range count {
		if got := counts[info(i).ID]; got < 10 || got > 30 {
			t.Errorf("%s: got %d of 100 requests, want about %d", info(i).ID, got, 100/count)
		}
	}
}
