package code_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"ironhollow/pkg/code"
)

// TestPageListsAllCodes checks that docs/ERRORS.md matches the table of codes.
func TestPageListsAllCodes(t *testing.T) {
	page, err := os.ReadFile("../../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[int]bool{}
	for _, c := range code.All() {
		if seen[c.Number()] {
			t.Errorf("number %d is used twice", c.Number())
		}
		seen[c.Number()] = true
		row := fmt.Sprintf("| %d | %s | %d | %s | %s |", c.Number(), c.Name(), c.Status(), c.Outcome(), c.Meaning())
		if !strings.Contains(string(page), row+"\n") {
			t.Errorf("docs/ERRORS.md lacks the row\n%s", row)
		}
	}
	if got, want := strings.Count(string(page), "\n| "), len(code.All())+1; got != want {
		t.Errorf("docs/ERRORS.md: got %d rows including the header, want %d", got, want)
	}
}
