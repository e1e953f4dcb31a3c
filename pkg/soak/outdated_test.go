package soak_test

import (
	"context"
	"testing"

	"ironhollow/pkg/soak"
)

// Guards against streams that a host with an outdated view of the endpoints continues at the only release that it knows.
func TestStreamTakenUpAtOutdatedHostGoesOnAtItsRelease(t *testing.T) {
	outcome, got, err := soak.RunTakeUpsAtOutdatedHost(context.Background(), soak.Options{
		Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 8, Log: t.Output(),
	}, 10)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range outcome.Violations {
		t.Error(violation)
	}
	t.Logf("%d streams began, %d mixed releases; %d of %d take-ups went on", got.Begun, got.Mixed, got.WentOn, got.TakenUp)
	if got.Mixed > 0 {
		t.Errorf("got %d of %d streams with events of several releases, want none", got.Mixed, got.Begun)
	}
	if got.WentOn == 0 {
		t.Errorf("got none of %d take-ups go on, want those of which host 0 has a record", got.TakenUp)
	}
}
