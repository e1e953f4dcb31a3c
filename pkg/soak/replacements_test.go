package soak_test

import (
	"context"
	"testing"
	"time"

	"ironhollow/pkg/soak"
)

// Guards against requests that run twice after another endpoint has rejected an attempt at the address of a previous one.
func TestRequestsRunOnceWhileEndpointsAreReplaced(t *testing.T) {
	outcome, err := soak.RunReplacements(context.Background(), soak.Options{
		Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 3, Callers: 24, Length: 6 * time.Second, RequestPause: 10 * time.Millisecond, Log: t.Output(),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range outcome.Violations {
		t.Error(violation)
	}
	t.Logf("%d endpoints replaced, %d requests rejected for a previous one, %d served, %d failed", outcome.Replaced, outcome.Rejected, outcome.Served, outcome.Failed)
	if outcome.Rejected < outcome.Replaced {
		t.Errorf("got %d requests rejected, want one for each of %d endpoints", outcome.Rejected, outcome.Replaced)
	}
}
