package route_test

import (
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
)

const backoffTime = 3 * time.Second

// chosen returns how many of 64 choices fall on an endpoint.
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

// Guards against a strategy that chooses an endpoint during its backoff or not at all afterwards,
// also if this host's subset of the endpoints changes meanwhile.
func TestBackoffAppliesToEveryStrategy(t *testing.T) {
	strategies := []route.Strategy{route.Expected, route.ExpectedStale, route.Random, route.RoundRobin, route.LeastReported, route.PowerOfTwo}
	for _, strategy := range strategies {
		r, directory, _ := newRouter(2)
		at := info(0)
		if !r.SetBackoff(at.Ref(), now.Add(backoffTime), now) {
			t.Fatal("first backoff: got an existing one, want a new one")
		}
		if r.SetBackoff(at.Ref(), now.Add(backoffTime/2), now) {
			t.Error("shorter backoff: got a new backoff, want the earlier one kept")
		}
		r.SetEntryCount(3)
		gone := info(1)
		gone.Counter++
		directory.Merge(gone)
		if got := chosen(r, at.ID, strategy, now.Add(backoffTime-time.Millisecond)); got != 0 {
			t.Errorf("strategy %d: got %d choices of the endpoint in backoff, want 0", strategy, got)
		}
		if _, ok, later := r.ChooseAt(query(), at.Ref(), now.Add(backoffTime-time.Millisecond)); ok || later {
			t.Error("ChooseAt during the backoff: got ok or later, want neither")
		}
		if got := chosen(r, at.ID, strategy, now.Add(backoffTime)); got == 0 {
			t.Errorf("strategy %d: got no choice of the endpoint after its backoff, want some", strategy)
		}
	}
}

// A backoff does not apply to the endpoint's next incarnation.
func TestBackoffEndsWithIncarnation(t *testing.T) {
	r, directory, _ := newRouter(1)
	r.SetBackoff(info(0).Ref(), now.Add(backoffTime), now)
	next := info(0)
	next.Incarnation++
	directory.Merge(next)
	if c, ok := r.Choose(query(), route.Expected, now); !ok || c.Endpoint.Ref() != next.Ref() {
		t.Errorf("got %+v, %v, want the next incarnation", c.Endpoint, ok)
	}
}

// A backoff that an endpoint requested from another host is respected while other endpoints are
// free, but does not exclude it: it is chosen if it is the only one.
func TestPeerBackoffIsAPenalty(t *testing.T) {
	r, directory, _ := newRouter(2)
	r.SetPeerBackoff(info(0).Ref(), now.Add(backoffTime), now)
	if got := chosen(r, info(0).ID, route.Expected, now); got != 0 {
		t.Errorf("while another endpoint is free: got %d choices, want 0", got)
	}
	other := info(1)
	other.State = endpoint.Gone
	directory.Merge(other)
	if got, want := chosen(r, info(0).ID, route.Expected, now), 64; got != want {
		t.Errorf("as the only endpoint: got %d choices, want %d", got, want)
	}
}

// If no endpoint accepts a request, the time until the first one does is known. Ejected endpoints
// are used before all requests are refused.
func TestTimeUntilAvailable(t *testing.T) {
	r, _, _ := newRouter(3)
	if got := r.TimeUntilAvailable(query(), now); got != 0 {
		t.Errorf("no backoff: got %v left, want 0", got)
	}
	for i := range 2 {
		r.SetBackoff(info(i).Ref(), now.Add(backoffTime*time.Duration(i+1)), now)
	}
	if got := r.TimeUntilAvailable(query(), now); got != 0 {
		t.Errorf("one endpoint accepts work: got %v left, want 0", got)
	}
	for range 3 {
		c, ok := r.Choose(query(), route.Expected, now)
		if !ok || c.Endpoint.ID != info(2).ID {
			t.Fatalf("got %+v, %v, want the endpoint without backoff", c.Endpoint, ok)
		}
		r.Done(c, route.Result{Failed: true}, now)
	}
	if c, ok := r.Choose(query(), route.Expected, now); !ok || c.Endpoint.ID != info(2).ID {
		t.Errorf("two in backoff and one ejected: got %+v, %v, want the ejected one", c.Endpoint, ok)
	}
	r.SetBackoff(info(2).Ref(), now.Add(backoffTime*3), now)
	if _, ok := r.Choose(query(), route.Expected, now); ok {
		t.Error("all in backoff: got a choice, want none")
	}
	if got := r.TimeUntilAvailable(query(), now.Add(time.Second)); got != backoffTime-time.Second {
		t.Errorf("all in backoff: got %v left, want %v", got, backoffTime-time.Second)
	}
}

// Guards against a refusal that counts as a success and so resets the number of failures in a row.
func TestRefusalDoesNotResetFailures(t *testing.T) {
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

// If more than half of the endpoints refuse requests, the service is full: requests are spread
// over all endpoints by load, and none waits for an endpoint's penalty.
func TestFullServiceIgnoresPenalties(t *testing.T) {
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
