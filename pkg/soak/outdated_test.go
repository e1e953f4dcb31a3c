package soak_test

import (
	"context"
	"testing"

	"ironhollow/pkg/soak"
)

// Guards against streams that a host with an outdated view of the endpoints continues at the only release that it knows.
func TestStreamTakenUpAtOutdatedHostGoesOnAtItsRelease(t *testing.T) {
	const streams = 200
	outcome, got, err := soak.RunTakeUpsAtIsolatedHost(context.Background(), soak.Options{
		Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 5, Log: t.Output(),
	}, streams)
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
	if 2*got.Begun < streams || 3*got.WentOn < got.TakenUp {
		t.Errorf("got %d of %d streams begun and %d of %d taken up go on, want half and a third at least", got.Begun, streams, got.WentOn, got.TakenUp)
	}
}
