package httpx_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ironhollow/pkg/buffers"
	"ironhollow/pkg/httpx"
)

// Guards against responses that together take more memory than they may, and against bytes that stay taken after them.
func TestResponsesShareABudget(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 60<<10)) }))
	defer server.Close()
	budget := buffers.NewBudget(100 << 10)
	client := &http.Client{Transport: httpx.NewBoundedTransport(http.DefaultTransport, budget)}
	read := func() (*http.Response, error) {
		response, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.ReadAll(response.Body)
		return response, err
	}
	for round := range 3 {
		first, firstErr := read()
		second, secondErr := read()
		if firstErr != nil || !errors.Is(secondErr, httpx.ErrNoMemory) {
			t.Errorf("round %d: got errors %v and %v, want only the second to find no memory", round, firstErr, secondErr)
		}
		_, _ = first.Body.Close(), second.Body.Close()
		if got := budget.Used(); got != 0 {
			t.Errorf("round %d: got %d bytes taken after the responses, want 0", round, got)
		}
	}
}
