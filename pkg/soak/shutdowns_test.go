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
	for name, version := range map[string]standin.Version{
		"endpoints that take up to 1 s": {Name: "v1", SlowShare: 0.7, SlowDelay: time.Second},
		"endpoints that stall":          {Name: "v1", SlowShare: 0.5, SlowDelay: 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			outcome, err := soak.RunShutdowns(context.Background(), soak.Options{
				Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 3, Callers: 48, Log: t.Output(),
			}, version)
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
			if version.SlowDelay <= time.Second && outcome.Abandoned > 0 {
				t.Errorf("got %d requests that were accepted and not served, want 0", outcome.Abandoned)
			}
		})
	}
}
