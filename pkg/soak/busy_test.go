package soak_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/soak"
)

// Guards against hosts that hang permanently under load, with several fleets running in parallel.
func TestBusyHostsDoNotHang(t *testing.T) {
	program := buildNode(t)
	const fleets = 3
	for fleet := range fleets {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			t.Parallel()
			outcome, err := soak.RunUnderLoad(context.Background(), soak.Options{
				Program: program, Folder: t.TempDir(), Seed: uint64(fleet), Length: 12 * time.Second, Nodes: 3, Callers: 12, Log: t.Output(),
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range outcome.Violations {
				t.Error(violation)
			}
			if outcome.Failed*100 > outcome.Served {
				t.Errorf("got %d failed of %d requests, want 1 in 100 at most", outcome.Failed, outcome.Served+outcome.Failed)
			}
			t.Logf("%d served, %d failed", outcome.Served, outcome.Failed)
		})
	}
}
