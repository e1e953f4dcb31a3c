package soak_test

import (
	"context"
	"testing"

	"ironhollow/pkg/soak"
)

// Guards against hosts that ignore a notice that an endpoint sent to another host.
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
		t.Errorf("requests at endpoints that announced in responses at least 2 s before that they leave: got %d, want 0", notices.LateRequests)
	}
	if len(notices.Backoffs) == 0 {
		t.Error("got no endpoint that asked for backoff, want two for the test to be valid")
	}
	for _, backoff := range notices.Backoffs {
		const allowed = 2 * hosts
		if backoff.Requests > allowed {
			t.Errorf("%s asked for backoff: got %d requests during the backoff, want %d at most from %d hosts", backoff.Endpoint, backoff.Requests, allowed, hosts)
		}
	}
	if sent := notices.Served + notices.Failed; notices.Failed*20 > sent {
		t.Errorf("while endpoints rejected requests: got %d of %d requests failed, want 1 in 20 at most, because the other endpoints serve", notices.Failed, sent)
	}
	t.Logf("%d served, %d failed; %+v", outcome.Served, outcome.Failed, notices)
}
