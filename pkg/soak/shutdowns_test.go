package soak_test

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ironhollow/pkg/soak"
	"ironhollow/platform"
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

// Guards against a process that ends for a fault without a line in its log.
func TestProcessThatEndsForAFaultLogsIt(t *testing.T) {
	var addresses [5]string
	peerPort := 0
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses[i], peerPort = listener.Addr().String(), listener.Addr().(*net.TCPAddr).Port
	}
	settings := standin.NodeSettings{
		Name: "node", Store: "127.0.0.1:9", Cloud: "127.0.0.1:9", GraceS: 3, LeaseMS: 3000, ReportWindowS: 2, RetryWindowS: 10,
		Callers: addresses[0], Ready: addresses[1], Directory: addresses[2], Admin: addresses[3], PeerPort: peerPort,
	}
	path := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte(settings.TOML()), 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(buildNode(t))
	process.Env = append(os.Environ(), platform.SettingsPathVariable+"="+path)
	text, err := process.Output()
	if want := "the process ends for a fault"; err == nil || !strings.Contains(string(text), want) {
		t.Errorf("got error %v and the log %q, want a failure and %q", err, text, want)
	}
}
