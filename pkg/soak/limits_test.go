package soak_test

import (
	"context"
	"testing"

	"ironhollow/pkg/soak"
)

// Guards against hosts that each keep a limit which is for all of them together.
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
		t.Errorf("limits named: got %d, want %d", got, want)
	}
	for _, l := range limits.Limits {
		received, allowed := l.MaxArrivals()
		if received > allowed {
			t.Errorf("%s named %v a second: got %d requests in 4 s, want %d at most", l.Endpoint, l.Limit, received, allowed)
		}
		t.Logf("%s, %v a second: %d of %d in 4 s, %d in all", l.Endpoint, l.Limit, received, allowed, len(l.Arrivals))
	}
	if limits.ServedAfterWithdrawal < 10 {
		t.Errorf("after the limit was withdrawn: got %d requests in 3 s, want 10 at least", limits.ServedAfterWithdrawal)
	}
	if sent := limits.Served + limits.Failed; limits.Failed*20 > sent {
		t.Errorf("while limits were named: got %d of %d requests failed, want 1 in 20 at most: the other endpoints serve", limits.Failed, sent)
	}
	t.Logf("%d served, %d failed; %d after the withdrawal", outcome.Served, outcome.Failed, limits.ServedAfterWithdrawal)
}
