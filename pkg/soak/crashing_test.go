package soak_test

import (
	"context"
	"testing"
	"time"

	"ironhollow/pkg/soak"
	"ironhollow/platform/standin"
)

// Guards against sending a request that crashes each endpoint that runs it to one endpoint after
// another.
func TestCrashingRequestIsHeldBack(t *testing.T) {
	requests := []soak.CrashingRequest{
		{Kind: standin.Resume, Interval: 250 * time.Millisecond, Duration: 9 * time.Second},
		{Kind: standin.Once, Interval: 400 * time.Millisecond, Duration: 9 * time.Second},
		{Kind: standin.Safe, Interval: 300 * time.Millisecond, Duration: 12 * time.Second, KillAll: true},
	}
	outcome, outcomes, err := soak.RunCrashing(context.Background(), soak.Options{
		Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 3, Callers: 8, Log: t.Output(),
	}, requests)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range outcome.Violations {
		t.Error(violation)
	}
	for i, got := range outcomes {
		const maxLate = 3
		if got.Crashes < 3 {
			t.Errorf("%s: got %d endpoints crashed by %d requests, want at least 3 for the test to be valid", requests[i].Kind, got.Crashes, got.Sent)
		}
		if got.LateCrashes > maxLate {
			t.Errorf("%s: got %d crashes after the third one was known, want %d at most; %d crashes, %d requests sent",
				requests[i].Kind, got.LateCrashes, maxLate, got.Crashes, got.Sent)
		}
		if got.Rejected == 0 {
			t.Errorf("%s: got none of %d requests rejected as not run, want those after the third crash", requests[i].Kind, got.Sent)
		}
	}
	t.Logf("%d served, %d failed", outcome.Served, outcome.Failed)
}
