package soak_test

import (
	"context"
	"testing"

	"ironhollow/pkg/soak"
)

// Guards against hosts that keep an older configuration after the store is restored from a backup.
func TestConfigurationIsAppliedAfterRestore(t *testing.T) {
	outcome, restored, err := soak.RunRestores(context.Background(), soak.Options{
		Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 3, Callers: 6, Log: t.Output(),
	}, 3)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range outcome.Violations {
		t.Error(violation)
	}
	for _, host := range restored.Outdated {
		t.Errorf("3 s after the store came up: got an older configuration at %s, want the newest", host)
	}
	if outcome.ReportedWindows == 0 {
		t.Error("got no usage windows reported, want some")
	}
	t.Logf("%d served, %d failed, %d windows reported", outcome.Served, outcome.Failed, outcome.ReportedWindows)
}
