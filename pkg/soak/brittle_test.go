package soak_test

import (
	"context"
	"fmt"
	"testing"

	"ironhollow/pkg/soak"
)

// Guards against hosts that together make endpoints fail that cannot reject many requests.
func TestFragileEndpointsStayUpWithProcesses(t *testing.T) {
	for _, c := range []struct {
		maxRejections int
		restart       bool
		minUsed       float64
	}{{12, false, 0.85}, {3, true, 0.8}} {
		t.Run(fmt.Sprintf("%d rejections, restart %v", c.maxRejections, c.restart), func(t *testing.T) {
			outcome, fragile, err := soak.RunFragile(context.Background(), soak.Options{
				Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 4, Log: t.Output(),
			}, c.maxRejections, c.restart)
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range outcome.Violations {
				t.Error(violation)
			}
			t.Logf("%+v", fragile)
			if fragile.Falls > 2 {
				t.Errorf("got %d falls, want 2 at most", fragile.Falls)
			}
			if fragile.Used < c.minUsed {
				t.Errorf("got %.3f of the slot time used, want %v at least", fragile.Used, c.minUsed)
			}
		})
	}
}
