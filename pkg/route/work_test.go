package route_test

import (
	"math"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/route"
)

// Requests that found no endpoint were not counted, so that the need fell with the number of
// endpoints.
func TestWorkIncludesRefusedRequests(t *testing.T) {
	directory := endpoint.NewDirectory()
	router := route.New(directory, hazard.New(), route.Location{Node: "n", DataCenter: "a"}, 1)
	target := route.Target{Service: "svc"}
	now := time.Unix(1000, 0)
	query := route.Query{Target: target, PromptTokens: 1000, AnswerTokens: 100}
	router.Choose(query, route.Expected, now)
	unplaced := router.Work(target, now)
	if unplaced.Refused <= 0 || unplaced.Refused != unplaced.Offered || router.EngineDemand(target, now) <= 0 {
		t.Errorf("work without an endpoint: got %+v and a demand of %v, want all of it refused", unplaced, router.EngineDemand(target, now))
	}
	query.Avoid = []endpoint.Ref{{ID: "x"}}
	router.Choose(query, route.Expected, now)
	if got := router.Work(target, now); got != unplaced {
		t.Errorf("work after a further attempt of a request: got %+v, want %+v as before", got, unplaced)
	}
	directory.Merge(endpoint.Info{ID: "x", State: endpoint.Live, Kind: endpoint.Plain, Service: "svc", Address: "127.0.0.1:1", DataCenter: "a", Engine: true})
	query.Avoid, query.Rule = nil, rollout.Rule{OnlyRelease: "next"}
	router.Choose(query, route.Expected, now)
	if got := router.Work(target, now); got != unplaced {
		t.Errorf("work after a request that goes to another version: got %+v, want %+v as before", got, unplaced)
	}
	query.Rule, query.Accepts = rollout.Rule{}, func(route.Choice) bool { return false }
	router.Choose(query, route.Expected, now)
	refused := router.Work(target, now)
	query.Accepts = nil
	router.Choose(query, route.Expected, now)
	sent := router.Work(target, now)
	if refused.Refused <= unplaced.Refused || sent.Refused != refused.Refused || sent.Offered <= refused.Offered {
		t.Errorf("work: got %+v after a refused request, %+v after one that was sent", refused, sent)
	}
	// A request of 1000 tokens at 0.2 ms and 100 at 26 ms holds a slot for 2.8 s.
	if got := (sent.SlotTime - refused.SlotTime) * 4; math.Abs(got-2.8) > 0.01 {
		t.Errorf("slot time of one request: got %.2f s, want 2.8 s", got)
	}
	if got := (sent.TokenTime - refused.TokenTime) * 4; math.Abs(got-2.8*1050) > 10 {
		t.Errorf("tokens held by one request: got %.0f token seconds, want %.0f", got, 2.8*1050)
	}
	router.RecordRefusal(query, now)
	if got := router.Work(target, now); got.Refused <= sent.Refused || math.Abs(got.Refused-sent.Refused-got.Offered+sent.Offered) > 1e-9 {
		t.Errorf("work after a refusal without a choice: got %+v after %+v, want it refused", got, sent)
	}
}

// Guards against orders for requests that are sent to one endpoint after the other while connections fail.
func TestFurtherAttemptsAreNotOfferedAgain(t *testing.T) {
	r, _, _ := newRouter(10)
	q := query()
	first, _ := r.Choose(q, route.Expected, now)
	offered := r.Work(q.Target, now).Offered
	for avoid := first; len(q.Avoid) < 4; {
		q.Avoid = append(q.Avoid, avoid.Endpoint.Ref())
		r.Done(avoid, route.Result{Failed: true}, now)
		avoid, _ = r.Choose(q, route.Expected, now)
	}
	if got := r.Work(q.Target, now).Offered; offered <= 0 || got != offered {
		t.Errorf("offered work after five attempts: got %v, want %v as after the first", got, offered)
	}
}
