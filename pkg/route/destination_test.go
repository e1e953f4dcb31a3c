package route_test

import (
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/route"
)

// Guards against requests that continue at the destination of a move though no other request would be sent there.
func TestDestinationOfMoveMustBeUsable(t *testing.T) {
	at := info(0)
	for _, c := range []struct {
		name    string
		prepare func(r *route.Router, q *route.Query)
	}{
		{"avoided", func(_ *route.Router, q *route.Query) { q.Avoid = []endpoint.Ref{at.Ref()} }},
		{"release not allowed", func(_ *route.Router, q *route.Query) { q.Rule = rollout.Rule{OnlyRelease: "other"} }},
		{"ejected", func(r *route.Router, _ *route.Query) {
			for range 10 {
				if choice, ok, _ := r.ChooseAt(query(), at.Ref(), now); ok {
					r.Done(choice, route.Result{Failed: true}, now)
				}
			}
		}},
	} {
		r, _, _ := newRouter(10)
		q := query()
		if choice, ok, _ := r.ChooseAt(q, at.Ref(), now); ok {
			r.Done(choice, route.Result{}, now)
		} else {
			t.Errorf("%s, before: got no choice, want the destination", c.name)
		}
		c.prepare(r, &q)
		if _, ok, later := r.ChooseAt(q, at.Ref(), now); ok || later {
			t.Errorf("%s: got ok %v, later %v, want neither", c.name, ok, later)
		}
	}
}

// Guards against a destination whose moved cache the next request with the same prompt does not use.
func TestRequestAtDestinationOfMoveIsRecorded(t *testing.T) {
	r, _, _ := newRouter(10)
	q := query()
	q.PromptTokens = 4000
	q.PrefixHashes = route.HashPrefixes(nil, make([]byte, 16000))
	choice, _, _ := r.ChooseAt(q, info(3).Ref(), now)
	r.Done(choice, route.Result{}, now.Add(time.Second))
	next, _ := r.Choose(q, route.Expected, now.Add(time.Second))
	if next.Endpoint.ID != info(3).ID || next.CachedTokens < 3900 {
		t.Errorf("the same prompt again: got %s with %d tokens cached, want %s", next.Endpoint.ID, next.CachedTokens, info(3).ID)
	}
}
