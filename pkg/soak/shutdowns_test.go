package soak_test

import (
	"context"
	"testing"
	"time"

	"ironhollow/pkg/soak"
	"ironhollow/platform/standin"
)

// Guards against requests that the end of a stopping process cuts while an endpoint runs them.
func TestStoppingHostsAnswerWhatTheyAccept(t *testing.T) {
	for name, shutdowns := range map[string]soak.Shutdowns{
		"endpoints that take up to 1 s": {Version: standin.Version{Name: "v1", SlowShare: 0.7, SlowDelay: time.Second}},
		"endpoints that stall":          {Version: standin.Version{Name: "v1", SlowShare: 0.5, SlowDelay: 3500 * time.Millisecond}},
		"hosts that stall too":          {Version: standin.Version{Name: "v1", SlowShare: 0.8, SlowDelay: 3500 * time.Millisecond}, Stall: 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			outcome, err := soak.RunShutdowns(context.Background(), soak.Options{
				Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 2, Callers: 64, Log: t.Output(),
			}, shutdowns)
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range outcome.Violations {
				t.Error(violation)
			}
			t.Logf("%d requests served, %d rejected, %d abandoned, %d cut", outcome.Served, outcome.Rejected, outcome.Abandoned, outcome.Cut)
			if outcome.Cut > 0 || outcome.Served == 0 {
				t.Errorf("got %d requests served and %d cut, want none cut", outcome.Served, outcome.Cut)
			}
			if shutdowns.Version.SlowDelay <= time.Second && outcome.Abandoned > 0 {
				t.Errorf("got %d requests that were accepted and not served, want 0", outcome.Abandoned)
			}
		})
	}
}
