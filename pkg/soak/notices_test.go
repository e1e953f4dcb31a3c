package soak_test

import (
	"context"
	"testing"

	"ironhollow/pkg/soak"
)

// Guards against hosts that send requests to an endpoint against what it has said to another host.
func TestNoticesReachAllHosts(t *testing.T) {
	const hosts = 3
	outcome, notices, err := soak.RunNotices(context.Background(), soak.Options{
		Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: hosts, Callers: 12, Log: t.Output(),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range outcome.Violations {
		t.Error(violation)
	}
	if notices.LateRequests > 0 {
		t.Errorf("requests at endpoints whose answers had said for 2 s that they leave: got %d, want 0", notices.LateRequests)
	}
	if len(notices.Backoffs) == 0 {
		t.Error("got no endpoint that asked for backoff, want two: nothing is shown")
	}
	for _, backoff := range notices.Backoffs {
		const allowed = 2 * hosts
		if backoff.Requests > allowed {
			t.Errorf("%s asked for backoff and got %d requests in that time, want %d at most from %d hosts", backoff.Endpoint, backoff.Requests, allowed, hosts)
		}
	}
	if sent := notices.Served + notices.Failed; notices.Failed*20 > sent {
		t.Errorf("while endpoints rested: got %d of %d requests failed, want 1 in 20 at most: the other endpoint of each service serves", notices.Failed, sent)
	}
	t.Logf("%d served, %d failed; %+v", outcome.Served, outcome.Failed, notices)
}
