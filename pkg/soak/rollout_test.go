package soak_test

import (
	"context"
	"testing"
	"time"

	"ironhollow/pkg/soak"
	"ironhollow/platform/standin"
)

// Runs three hosts as processes and rolls out several versions one after the other. A good version
// must take all requests, with no failure when the endpoints of the previous version stop at once.
// Slow or failing versions must be reverted within the share of requests that they may receive, also
// while the store is down and when the process that decides is killed.
func TestRollouts(t *testing.T) {
	const period = 9 * time.Second
	orders := []struct {
		soak.Rollout
		want string
	}{
		{soak.Rollout{Target: standin.Version{Name: "v2"}, Period: period, BootTime: 500 * time.Millisecond}, "completed"},
		{soak.Rollout{
			Target: standin.Version{Name: "v3", SlowShare: 0.6, SlowDelay: 60 * time.Millisecond}, Period: period, BootTime: 2500 * time.Millisecond,
			InjectFault: func(faults soak.FaultInjector) { faults.TakeStoreDown(2 * time.Second) },
		}, "reverted"},
		{soak.Rollout{
			Target: standin.Version{Name: "v4", FailShare: 0.5}, Period: period, BootTime: 2500 * time.Millisecond,
			InjectFault: func(faults soak.FaultInjector) { faults.KillLeaseHolder() },
		}, "reverted"},
	}
	var rollouts []soak.Rollout
	for _, o := range orders {
		rollouts = append(rollouts, o.Rollout)
	}
	outcome, outcomes, err := soak.RunRollouts(context.Background(), soak.Options{
		Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 3, Callers: 16, Log: t.Output(),
	}, rollouts)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range outcome.Violations {
		t.Error(violation)
	}
	for i, got := range outcomes {
		o := orders[i]
		if got.State != o.want {
			t.Errorf("%s: got %q after %v, want %q", o.Target.Name, got.State, got.Elapsed, o.want)
		}
		if got.Elapsed > o.Period {
			t.Errorf("%s: ended after %v, want within %v", o.Target.Name, got.Elapsed, o.Period)
		}
		if o.want == "completed" && got.Failed > 0 {
			t.Errorf("%s: got %d failed requests during the rollout, want none", o.Target.Name, got.Failed)
		}
		if allowed := 0.1*float64(got.Requests) + 50; o.want == "reverted" && float64(got.TargetRequests) > allowed {
			t.Errorf("%s: got %d of %d requests, want %.0f at most", o.Target.Name, got.TargetRequests, got.Requests, allowed)
		}
	}
	t.Logf("%d served, %d failed", outcome.Served, outcome.Failed)
}
