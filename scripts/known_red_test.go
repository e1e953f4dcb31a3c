package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed checks that the pattern matches only the listed tests, and that a malformed
// line, a test that does not exist in the named package, or too many lines are an error.
func TestKnownRed(t *testing.T) {
	const good = "TestKnownRed | scripts | cause | command | seen | 1"
	for _, c := range []struct {
		what, list, want string
		fails            bool
	}{
		{"empty", "# comment\n\n", "", false},
		{"one", good + "\n", "^(TestKnownRed)$\n", false},
		{"field missing", "TestKnownRed | scripts | cause\n", "", true},
		{"no such test", strings.Replace(good, "TestKnownRed", "TestOfNothing", 1) + "\n", "", true},
		{"another package", strings.Replace(good, "scripts", "pkg/code", 1) + "\n", "", true},
		{"too many", strings.Repeat(good+"\n", 4), "", true},
	} {
		list := filepath.Join(t.TempDir(), "list.txt")
		if err := os.WriteFile(list, []byte(c.list), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := exec.Command("bash", "known-red.sh", list).Output()
		if got := string(out); got != c.want || (err != nil) != c.fails {
			t.Errorf("%s: got %q, %v, want %q, failure %v", c.what, got, err, c.want, c.fails)
		}
	}
}
