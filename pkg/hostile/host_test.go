package hostile_test

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"ironhollow/pkg/soak"
	"ironhollow/platform/standin"
)

// hostMemoryMB is the memory limit of the hosts, maxOpenFiles the bound on their open descriptors.
const (
	hostMemoryMB = 128
	maxOpenFiles = 2000
)

func buildNode(t *testing.T) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "ironhollow-node")
	if out, err := exec.Command("go", "build", "-o", program, "ironhollow/cmd/ironhollow-node").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// checkHost checks that the process of a host lives, has stayed within its memory, and answers an ordinary request.
func checkHost(t *testing.T, h *soak.Host) {
	t.Helper()
	peak, err := h.PeakMemoryMB()
	if h.HasEnded() || err != nil {
		t.Errorf("the process has ended: %v", err)
		return
	}
	files, err := h.OpenFiles()
	if err != nil || files > maxOpenFiles {
		t.Errorf("open files: got %d, %v, want %d at most", files, err, maxOpenFiles)
	}
	t.Logf("at most %d MB, %d open files", peak, files)
	if peak > hostMemoryMB {
		t.Errorf("memory: got %d MB, want %d at most", peak, hostMemoryMB)
	}
	checkServes(t, h)
}

// checkServes checks that a host answers an ordinary request. Its caller may come back after a rejection.
func checkServes(t *testing.T, h *soak.Host) {
	t.Helper()
	var status int
	var err error
	for try := range 20 {
		if status, err = h.Send(t.Context(), standin.Once, fmt.Sprint("ordinary-", try), "body"); status == http.StatusOK {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Errorf("an ordinary request: got status %d, error %v, want 200", status, err)
}
