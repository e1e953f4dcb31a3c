package endpoint_test

import (
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
)

// Guards against a new user of leaving endpoints replacing an earlier one.
func TestAllUsersLearnOfLeavingEndpoints(t *testing.T) {
	directory := endpoint.NewDirectory()
	calls := make(chan string, 3)
	directory.OnLeaving(func(endpoint.Info) { calls <- "set" })
	directory.SubscribeLeaving(func(endpoint.Info) { calls <- "first" })
	directory.SubscribeLeaving(func(endpoint.Info) { calls <- "second" })
	directory.Merge(endpoint.Info{ID: "e", Incarnation: 1, State: endpoint.Live})
	directory.Merge(endpoint.Info{ID: "e", Incarnation: 1, State: endpoint.Leaving})
	called := map[string]bool{}
	for range 3 {
		select {
		case name := <-calls:
			called[name] = true
		case <-time.After(time.Second):
			t.Fatalf("called: got %v, want set, first and second", called)
		}
	}
	if len(called) != 3 {
		t.Errorf("called: got %v, want set, first and second", called)
	}
}
