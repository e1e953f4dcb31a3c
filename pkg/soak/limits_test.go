package soak_test

import (
	"context"
	"testing"

	"ironhollow/pkg/soak"
)

// Guards against hosts that each apply in full a limit that is meant for all hosts together.
func TestLimitHoldsOverAllHosts(t *testing.T) {
	outcome, limits, err := soak.RunLimits(context.Background(), soak.Options{
		Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 3, Callers: 12, Log: t.Output(),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range outcome.Violations {
		t.Error(violation)
	}
	if got, want := len(limits.Limits), 6; got != want {
		t.Errorf("advertised limits: got %d, want %d", got, want)
	}
	for _, l := range limits.Limits {
		received, allowed := l.MaxArrivals()
		if received > allowed {
			t.Errorf("%s advertised %v requests per second: got %d requests in 4 s, want %d at most", l.Endpoint, l.Limit, received, allowed)
		}
		t.Logf("%s, limit of %v per second: %d of %d allowed requests in 4 s, %d in total", l.Endpoint, l.Limit, received, allowed, len(l.Arrivals))
	}
	if limits.ServedAfterWithdrawal < 10 {
		t.Errorf("after the limit was withdrawn: got %d requests in 3 s, want at least 10", limits.ServedAfterWithdrawal)
	}
	if sent := limits.Served + limits.Failed; limits.Failed*20 > sent {
		t.Errorf("while limits were advertised: got %d of %d requests failed, want 1 in 20 at most, because the other endpoints serve", limits.Failed, sent)
	}
	t.Logf("%d served, %d failed; %d after the withdrawal", outcome.Served, outcome.Failed, limits.ServedAfterWithdrawal)
}
