package forward_test

import (
	"context"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/route"
	"ironhollow/pkg/upstream"
)

// Guards against a lock-order deadlock: a choice asks the pool for idle connections while a
// sweep of the pool asks the router for the endpoints in use.
func TestSweepAndChooseDoNotDeadlock(t *testing.T) {
	const rounds = 20_000
	s := &harness{t: t, directory: endpoint.NewDirectory()}
	s.addEndpoint("e0", respondOK("answer"))
	router := route.New(s.directory, hazard.New(), route.Location{}, 1)
	pool := upstream.New(time.Second)
	if got := pool.Probe(context.Background(), s.endpoint("e0").Address, 0); got != upstream.Accepting {
		t.Fatalf("probe: got %v, want accepting", got)
	}
	query := route.Query{
		Target: route.Target{Service: "svc"}, AnswerTokens: 1,
		Connected: func(address string) bool { return pool.HasIdle(address, 0) },
	}
	done := make(chan string, 2)
	go func() {
		for range rounds {
			if c, ok := router.Choose(query, route.Expected, time.Now()); ok {
				router.Done(c, route.Result{}, time.Now())
			}
		}
		done <- "choices"
	}()
	go func() {
		for range rounds {
			pool.Sweep(func(address string) bool { return address == router.Endpoints()[0].Address })
		}
		done <- "sweeps"
	}()
	limit := time.After(20 * time.Second)
	for range 2 {
		select {
		case <-done:
		case <-limit:
			t.Fatal("choices and sweeps deadlocked, want both to end")
		}
	}
}
