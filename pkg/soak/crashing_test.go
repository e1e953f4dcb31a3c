package soak_test

import (
	"context"
	"testing"
	"time"

	"ironhollow/pkg/soak"
	"ironhollow/platform/standin"
)

// What users saw: on a day with some thirty ends of model endpoints, one every second,
// answers of many callers broke off again and again; the alarm said that one request
// had been sent to ten more endpoints after three had ended under it.
//
// Order of events: a request ends the endpoint that runs it, with all that run there.
// It comes again as a new try, at another host, which sends it to a sound endpoint. So
// on, for as long as it comes.
//
// Cause: what a host knew of a request ended with the try, and the end of an endpoint
// was counted against the endpoint alone. No host could tell that the next try was the
// same request.
//
// Evidence: in each of the 30 ends that the hosts' lines show one request of the same
// team, route and cost was under way, new in its id and at another host each time, and
// no other request was in more than two. With the mark of path, team and body in each
// line the tries of a request are found in the hosts' logs by it.
//
// After the third end, and the time that hosts have to tell each other, at most three
// more tries may come to an endpoint, whatever the kind of the request, and also if all
// hosts are killed meanwhile.
func TestCrashingRequestIsHeldBack(t *testing.T) {
	requests := []soak.Crashing{
		{Kind: standin.Resume, Every: 250 * time.Millisecond, Lasting: 9 * time.Second},
		{Kind: standin.Once, Every: 400 * time.Millisecond, Lasting: 9 * time.Second},
		{Kind: standin.Safe, Every: 300 * time.Millisecond, Lasting: 12 * time.Second, KillAll: true},
	}
	outcome, came, err := soak.RunCrashing(context.Background(), soak.Options{
		Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 3, Callers: 8, Log: t.Output(),
	}, requests)
	if err != nil {
		t.Fatal(err)
	}
	for _, what := range outcome.Broken {
		t.Error(what)
	}
	for i, got := range came {
		const mostLate = 3
		if got.Ended < 3 {
			t.Errorf("%s: got %d endpoints ended of %d tries, want 3 or more: nothing is shown", requests[i].Kind, got.Ended, got.Tries)
		}
		if got.Late > mostLate {
			t.Errorf("%s: got %d tries at endpoints after the third end was known, want %d at most; %d ended, %d tries",
				requests[i].Kind, got.Late, mostLate, got.Ended, got.Tries)
		}
		if got.Refused == 0 {
			t.Errorf("%s: got no try of %d refused as not run, want those after the third end", requests[i].Kind, got.Tries)
		}
	}
	t.Logf("%d served, %d failed", outcome.Served, outcome.Failed)
}
