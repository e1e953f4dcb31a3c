package soak_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"ironhollow/pkg/soak"
)

// seeds are the seeds that every CI run uses: one for a short run, and each seed that has ever failed,
// with its cause.
var seeds = []uint64{
	1,
	// 115: the check gave all hosts together one second to report that they are ready, which one of
	// them exceeded on a busy machine. Their logs showed that they were ready.
	115,
}

// buildNode builds ironhollow-node and returns its path.
func buildNode(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "ironhollow-node")
	build := exec.Command("go", "build", "-o", program, "ironhollow/cmd/ironhollow-node")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

func TestShortSoak(t *testing.T) {
	program := buildNode(t)
	for _, seed := range seeds {
		faults, err := os.Create(filepath.Join(t.TempDir(), "faults.log"))
		if err != nil {
			t.Fatal(err)
		}
		outcome, err := soak.Run(context.Background(), soak.Options{
			Program: program, Folder: t.TempDir(), Seed: seed, Length: 4 * time.Second, Nodes: 3, Callers: 6, Log: faults,
		})
		if closeErr := faults.Close(); err != nil || closeErr != nil {
			t.Fatal(err, closeErr)
		}
		for _, violation := range outcome.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if outcome.Served < 100 || outcome.ReportedWindows == 0 {
			t.Errorf("seed %d: got %d served, %d windows reported, want at least 100 served and 1 reported", seed, outcome.Served, outcome.ReportedWindows)
		}
	}
}
