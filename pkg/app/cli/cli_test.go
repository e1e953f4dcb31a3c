package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ironhollow/pkg/app/cli"
	"ironhollow/pkg/config"
	"ironhollow/pkg/operatorapi"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// controlServer serves the operators' API of a control process, with an in-memory store.
type controlServer struct {
	store   *tables.Store
	address string
}

func newControlServer(t *testing.T, keyHashes ...string) controlServer {
	t.Helper()
	store := tables.New()
	mux := http.NewServeMux()
	operatorapi.New(config.NewStore(table.NewWriter(store, "c")), config.NewHolder(), keyHashes).Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return controlServer{store, server.Listener.Addr().String()}
}

// runCommand runs a command and returns its exit code and its output, including errors.
func runCommand(args ...string) (int, string) {
	var out, errOut bytes.Buffer
	code := cli.Run(context.Background(), args, &out, &errOut)
	return code, out.String() + errOut.String()
}

func writeConfig(t *testing.T, burst int) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "f.ini")
	text := fmt.Sprintf("[service s]\nkind = plain\n[team t]\nkeys = %064x\nrate = 1\nburst = %d\n", 1, burst)
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestOperatorWorkflow(t *testing.T) {
	c := newControlServer(t)
	first, second := writeConfig(t, 1), writeConfig(t, 2)
	bad := filepath.Join(t.TempDir(), "bad.ini")
	if err := os.WriteFile(bad, []byte("[service s]\nkind = x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		name       string
		args       []string
		wantCode   int
		wantOutput string
	}{
		{"check a valid file", []string{"check", first}, 0, "good, 3 sections"},
		{"check an invalid file", []string{"check", bad}, 2, `kind: got "x", valid: model | plain`},
		{"check a missing file", []string{"check", "nothing.ini"}, 2, "no such file"},
		{"apply without a server", []string{"apply", first}, 1, "--server: needed"},
		{"diff before the first apply", []string{"--server", c.address, "diff", first}, 5, "added"},
		{"apply", []string{"--server", c.address, "apply", first}, 0, "revision 1 is in force"},
		{"diff of the file in force", []string{"--server", c.address, "diff", first}, 0, "revision in force:  1"},
		{"diff of a changed file", []string{"--server", c.address, "diff", second}, 5, "changed"},
		{"apply based on an old revision", []string{"--server", c.address, "apply", second, "--seen", "0"}, 3, "revision 0 was seen, but 1 is in force"},
		{"apply through the second server if the first is unreachable", []string{"--server", "127.0.0.1:1," + c.address, "apply", second}, 0, "revision 2 is in force"},
		{"hash a key", []string{"keys", "hash", "secret"}, 0, "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"},
	}
	for _, s := range steps {
		if code, output := runCommand(s.args...); code != s.wantCode || !strings.Contains(output, s.wantOutput) {
			t.Errorf("%s: got exit code %d and output %q, want %d and output containing %q", s.name, code, output, s.wantCode, s.wantOutput)
		}
	}
	_, output := runCommand("--server", c.address, "--json", "get")
	var got struct {
		Revision int64 `json:"revision"`
	}
	if err := json.Unmarshal([]byte(output), &got); err != nil || got.Revision != 2 {
		t.Errorf("get as JSON: got %q (%v), want revision 2", output, err)
	}
}

// TestApplyReportsActualOutcomeAfterLostStoreAnswer guards against an exit code that guesses the
// outcome. It drops the response to each store call of an apply in turn; whether the command then
// reports success must match whether the revision was written.
func TestApplyReportsActualOutcomeAfterLostStoreAnswer(t *testing.T) {
	file := writeConfig(t, 1)
	appliedCount := 0
	for n := int64(1); n <= 5; n++ {
		c := newControlServer(t)
		c.store.SetFaults(func(call tables.Call) tables.Fault {
			if call.Number == n {
				return tables.LoseResponse{}
			}
			return tables.NoFault{}
		})
		code, output := runCommand("--server", c.address, "apply", file, "--seen", "0")
		c.store.SetFaults(nil)
		_, isApplied, _ := c.store.Get(context.Background(), "config/head")
		if isApplied {
			appliedCount++
		}
		if reportedApplied := code == 0; reportedApplied != isApplied {
			t.Errorf("response to store call %d lost: got exit code %d and output %q, but revision written: %v", n, code, output, isApplied)
		}
	}
	if appliedCount < 3 {
		t.Errorf("applied in %d of 5 cases, want at least 3: every case in which the write was reached", appliedCount)
	}
}

func TestOperatorKeyIsChecked(t *testing.T) {
	c := newControlServer(t, "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b")
	if code, output := runCommand("--server", c.address, "--key", "wrong", "get"); code != 1 || !strings.Contains(output, "unknown-key") {
		t.Errorf("wrong key: got exit code %d and output %q", code, output)
	}
	if code, output := runCommand("--server", c.address, "--key", "secret", "get"); code != 0 {
		t.Errorf("right key: got exit code %d and output %q", code, output)
	}
}
