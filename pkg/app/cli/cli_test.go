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

// control is a control process's edge over a store in memory.
type control struct {
	rows    *tables.Store
	address string
}

func newControl(t *testing.T, keys ...string) control {
	t.Helper()
	rows := tables.New()
	mux := http.NewServeMux()
	operatorapi.New(config.NewStore(table.NewWriter(rows, "c")), config.NewHolder(), keys).Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return control{rows, server.Listener.Addr().String()}
}

// run runs a command and returns its exit code and what it printed.
func run(args ...string) (int, string) {
	var out, errs bytes.Buffer
	code := cli.Run(context.Background(), args, &out, &errs)
	return code, out.String() + errs.String()
}

func write(t *testing.T, burst int) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "f.ini")
	text := fmt.Sprintf("[service s]\nkind = plain\n[team t]\nkeys = %064x\nrate = 1\nburst = %d\n", 1, burst)
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestOperatorsWay(t *testing.T) {
	c := newControl(t)
	first, second := write(t, 1), write(t, 2)
	bad := filepath.Join(t.TempDir(), "bad.ini")
	if err := os.WriteFile(bad, []byte("[service s]\nkind = x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		name string
		args []string
		code int
		says string
	}{
		{"check a good file", []string{"check", first}, 0, "good, 3 sections"},
		{"check a bad file", []string{"check", bad}, 2, `kind: got "x", valid: model | plain`},
		{"check no file", []string{"check", "nothing.ini"}, 2, "no such file"},
		{"apply without a server", []string{"apply", first}, 1, "--server: needed"},
		{"diff before anything", []string{"--server", c.address, "diff", first}, 5, "added"},
		{"apply", []string{"--server", c.address, "apply", first}, 0, "revision 1 is in force"},
		{"diff of the same", []string{"--server", c.address, "diff", first}, 0, "revision in force:  1"},
		{"diff of another", []string{"--server", c.address, "diff", second}, 5, "changed"},
		{"apply on what is no longer in force", []string{"--server", c.address, "apply", second, "--seen", "0"}, 3, "revision 0 was seen, but 1 is in force"},
		{"apply by the second server when the first is gone", []string{"--server", "127.0.0.1:1," + c.address, "apply", second}, 0, "revision 2 is in force"},
		{"hash a key", []string{"keys", "hash", "secret"}, 0, "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"},
	}
	for _, s := range steps {
		if code, said := run(s.args...); code != s.code || !strings.Contains(said, s.says) {
			t.Errorf("%s: got code %d and %q, want %d and %q", s.name, code, said, s.code, s.says)
		}
	}
	_, said := run("--server", c.address, "--json", "get")
	var got struct {
		Revision int64 `json:"revision"`
	}
	if err := json.Unmarshal([]byte(said), &got); err != nil || got.Revision != 2 {
		t.Errorf("get as JSON: got %q (%v), want revision 2", said, err)
	}
}

// TestLostAnswerIsResolvedNotGuessed loses the answer of each store call of an
// apply in turn: the operator is told that it was applied, or that it was not,
// and either is true.
func TestLostAnswerIsResolvedNotGuessed(t *testing.T) {
	file := write(t, 1)
	applied := 0
	for n := int64(1); n <= 5; n++ {
		c := newControl(t)
		c.rows.SetFaults(func(call tables.Call) tables.Fault {
			if call.Number == n {
				return tables.LoseAnswer{}
			}
			return tables.None{}
		})
		code, said := run("--server", c.address, "apply", file, "--seen", "0")
		c.rows.SetFaults(nil)
		_, stands, _ := c.rows.Get(context.Background(), "config/head")
		if stands {
			applied++
		}
		if told := code == 0; told != stands {
			t.Errorf("answer %d lost: got code %d and %q, but the revision stands: %v", n, code, said, stands)
		}
	}
	if applied < 3 {
		t.Errorf("applied in %d of 5 cases, want all whose write was reached", applied)
	}
}

func TestOperatorsKeyIsChecked(t *testing.T) {
	c := newControl(t, "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b")
	if code, said := run("--server", c.address, "--key", "wrong", "get"); code != 1 || !strings.Contains(said, "unknown-key") {
		t.Errorf("wrong key: got code %d and %q", code, said)
	}
	if code, said := run("--server", c.address, "--key", "secret", "get"); code != 0 {
		t.Errorf("right key: got code %d and %q", code, said)
	}
}
