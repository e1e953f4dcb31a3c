package route_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/route"
)

// Guards against an endpoint without a connection getting no requests while the others are not busy.
func TestEndpointWithoutConnectionIsUsedAgain(t *testing.T) {
	directory := endpoint.NewDirectory()
	for i := range 4 {
		directory.Merge(endpoint.Info{
			ID: fmt.Sprint("e", i), Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "svc",
			Address: fmt.Sprint("a", i), DataCenter: "dc0", Slots: 16, Counter: 1,
		})
	}
	router := route.New(directory, hazard.New(), route.Location{Node: "n", DataCenter: "dc0"}, 1)
	connected := map[string]bool{"a0": true, "a1": true, "a2": true}
	q := route.Query{Target: route.Target{Service: "svc"}, AnswerTokens: 1, Connected: func(address string) bool { return connected[address] }}
	at, opened := now, 0
	const choices = 1000
	for i := range choices {
		at = at.Add(20 * time.Millisecond)
		choice, ok := router.Choose(q, route.Expected, at)
		if !ok {
			t.Fatalf("choice %d: got no endpoint, want one", i)
		}
		if !connected[choice.Endpoint.Address] {
			opened++
		}
		router.Done(choice, route.Result{}, at)
	}
	if opened == 0 {
		t.Errorf("endpoint without a connection: got 0 of %d requests, want at least 1", choices)
	}
	if opened > choices/100 {
		t.Errorf("connections opened while other endpoints were free: got %d in %d choices, want at most 1 in 100", opened, choices)
	}
}
