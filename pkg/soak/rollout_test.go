package soak_test

import (
	"context"
	"testing"
	"time"

	"ironhollow/pkg/soak"
	"ironhollow/platform/standin"
)

// Three hosts as processes, callers, and versions one after the other: a good one takes
// all requests and none fails when the others end at once; ones that are slow or fail are
// taken back within what they may get, also while the store is away and when the process
// that decides is killed.
func TestRollouts(t *testing.T) {
	const period = 9 * time.Second
	orders := []struct {
		soak.Rollout
		want string
	}{
		{soak.Rollout{Target: standin.Version{Name: "v2"}, Period: period, Boot: 500 * time.Millisecond}, "completed"},
		{soak.Rollout{
			Target: standin.Version{Name: "v3", SlowShare: 0.6, SlowDelay: 60 * time.Millisecond}, Period: period, Boot: 2500 * time.Millisecond,
			Meanwhile: func(h soak.Hosts) { h.StoreDown(2 * time.Second) },
		}, "reverted"},
		{soak.Rollout{
			Target: standin.Version{Name: "v4", FailShare: 0.5}, Period: period, Boot: 2500 * time.Millisecond,
			Meanwhile: func(h soak.Hosts) { h.KillOwner() },
		}, "reverted"},
	}
	var list []soak.Rollout
	for _, o := range orders {
		list = append(list, o.Rollout)
	}
	outcome, ended, err := soak.RunRollouts(context.Background(), soak.Options{
		Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 3, Callers: 16, Log: t.Output(),
	}, list)
	if err != nil {
		t.Fatal(err)
	}
	for _, what := range outcome.Broken {
		t.Error(what)
	}
	for i, got := range ended {
		o := orders[i]
		if got.State != o.want {
			t.Errorf("%s: got %q after %v, want %q", o.Target.Name, got.State, got.After, o.want)
		}
		if got.After > o.Period {
			t.Errorf("%s: ended after %v, want within %v", o.Target.Name, got.After, o.Period)
		}
		if o.want == "completed" && got.Failed > 0 {
			t.Errorf("%s: %d requests failed while it took over, want none", o.Target.Name, got.Failed)
		}
		if allowed := 0.1*float64(got.Asked) + 50; o.want == "reverted" && float64(got.Tried) > allowed {
			t.Errorf("%s: got %d of %d requests, want %.0f at most", o.Target.Name, got.Tried, got.Asked, allowed)
		}
	}
	t.Logf("%d served, %d failed", outcome.Served, outcome.Failed)
}
