package route_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/route"
)

// TestMain sets a fixed seed for property tests, so that every run has the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

var (
	now    = time.UnixMilli(1_800_000_000_000)
	target = route.Target{Model: "m", Version: "1"}
)

func info(i int) endpoint.Info {
	return endpoint.Info{
		ID: fmt.Sprintf("e%04d", i), Incarnation: 1, State: endpoint.Live, Kind: endpoint.Model, Model: "m", Version: "1",
		DataCenter: fmt.Sprintf("dc%d", i%4), Class: "c", Reclaimable: true, Counter: 1,
	}
}

func newRouter(count int) (*route.Router, *endpoint.Directory, *hazard.Estimator) {
	directory, estimator := endpoint.NewDirectory(), hazard.New()
	for i := range count {
		directory.Merge(info(i))
	}
	r := route.New(directory, estimator, route.Location{Node: "n", DataCenter: "dc0"}, 1)
	for i := range count {
		r.ApplyReport(info(i).Ref(), engine.Report{Sequence: now.UnixMilli(), Slots: 16})
	}
	return r, directory, estimator
}

func query() route.Query {
	return route.Query{Target: target, PromptTokens: 500, AnswerTokens: 100, RiskWeight: 1}
}

// TestRequestsSpreadBetweenReports sends many requests between two load reports. A choice by
// reports alone sends them all to one endpoint.
func TestRequestsSpreadBetweenReports(t *testing.T) {
	most := func(strategy route.Strategy) int {
		r, _, _ := newRouter(10)
		counts := map[string]int{}
		busiest := 0
		for range 100 {
			c, _ := r.Choose(query(), strategy, now)
			counts[c.Endpoint.ID]++
			busiest = max(busiest, counts[c.Endpoint.ID])
		}
		return busiest
	}
	if got := most(route.Expected); got > 13 {
		t.Errorf("most requests at one of 10 endpoints: got %d of 100, want at most 13", got)
	}
	if got := most(route.LeastReported); got != 100 {
		t.Errorf("naive choice: got %d requests at one endpoint, want all 100", got)
	}
}

// TestPrefixIsReusedUntilEndpointIsBusy sends prompts with one prefix: they go to the endpoint
// that has it cached until that is busy.
func TestPrefixIsReusedUntilEndpointIsBusy(t *testing.T) {
	r, _, _ := newRouter(10)
	q := query()
	q.PromptTokens = 4000
	q.PrefixHashes = route.HashPrefixes(nil, make([]byte, 16000))
	first, _ := r.Choose(q, route.Expected, now)
	r.Done(first, route.Result{}, now.Add(time.Second))
	second, _ := r.Choose(q, route.Expected, now.Add(time.Second))
	if second.Endpoint.ID != first.Endpoint.ID || second.CachedTokens < 3900 {
		t.Errorf("the same prompt again: got %s with %d tokens cached, want %s", second.Endpoint.ID, second.CachedTokens, first.Endpoint.ID)
	}
	elsewhere := false
	for range 60 {
		c, _ := r.Choose(q, route.Expected, now.Add(time.Second))
		elsewhere = elsewhere || c.Endpoint.ID != first.Endpoint.ID
	}
	if !elsewhere {
		t.Error("60 requests at once: got all at the endpoint with the prefix, want some elsewhere")
	}
}

// TestCacheTrustFallsWhenNothingIsCached has an engine report repeatedly that nothing was cached.
// Guards against an estimate that still counts the prefix as cached there.
func TestCacheTrustFallsWhenNothingIsCached(t *testing.T) {
	r, _, _ := newRouter(1)
	q := query()
	q.PrefixHashes = route.HashPrefixes(nil, make([]byte, 2000))
	last := 0
	for i := range 30 {
		c, _ := r.Choose(q, route.Expected, now)
		last = c.CachedTokens
		r.Done(c, route.Result{TokensReported: true, PromptTokens: 500, CachedTokens: 0}, now.Add(time.Duration(i)*time.Second))
	}
	if last > 100 {
		t.Errorf("tokens estimated to be cached: got %d, want at most 100 after 30 answers without any", last)
	}
}

// TestFailingEndpointsAreEjectedButNotAll makes endpoints fail and checks where requests go. If
// most endpoints fail, they are used again, so that requests are still served.
func TestFailingEndpointsAreEjectedButNotAll(t *testing.T) {
	r, _, _ := newRouter(4)
	fail := func(id string) {
		for range 3 {
			for {
				c, _ := r.Choose(query(), route.Random, now)
				if c.Endpoint.ID == id {
					r.Done(c, route.Result{Failed: true}, now)
					break
				}
				r.Done(c, route.Result{}, now)
			}
		}
	}
	fail("e0001")
	for range 50 {
		c, _ := r.Choose(query(), route.Expected, now.Add(time.Second))
		if c.Endpoint.ID == "e0001" {
			t.Fatal("got a request at the failed endpoint, want none")
		}
	}
	seen := map[string]bool{}
	for range 12 {
		c, _ := r.Choose(query(), route.Expected, now.Add(5*time.Second))
		seen[c.Endpoint.ID] = true
	}
	if !seen["e0001"] {
		t.Error("after the ejection: got no request at the endpoint, want it tried again")
	}
	for _, id := range []string{"e0000", "e0002", "e0003"} {
		fail(id)
	}
	if _, ok := r.Choose(query(), route.Expected, now.Add(time.Second)); !ok {
		t.Error("all endpoints failed: got no choice, want one")
	}
}

// TestLongWorkAvoidsReclaimRisk has hosts of one data centre reclaimed shortly before: long work
// must go to another data centre.
func TestLongWorkAvoidsReclaimRisk(t *testing.T) {
	r, _, estimator := newRouter(8)
	estimator.SetHosts(hazard.Pool{DataCenter: "dc0", Class: "c"}, 2, now)
	estimator.RecordReclaim(hazard.Pool{DataCenter: "dc0", Class: "c"}, 2, now)
	q := query()
	q.AnswerTokens = 3000
	q.RiskWeight = 4
	for range 20 {
		c, _ := r.Choose(q, route.Expected, now)
		if c.Endpoint.DataCenter == "dc0" {
			t.Fatal("got long work in the data centre with recent reclaims, want it elsewhere")
		}
		r.Done(c, route.Result{}, now)
	}
}

// TestChoiceInvariants draws random events and checks two invariants: no request is sent to an
// endpoint that is leaving or to be avoided, and one is chosen while any is usable.
func TestChoiceInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 60).Draw(rt, "endpoints")
		r, directory, _ := newRouter(count)
		left := map[string]bool{}
		var running []route.Choice
		for step := range 60 {
			at := now.Add(time.Duration(step) * 100 * time.Millisecond)
			i := rapid.IntRange(0, count-1).Draw(rt, "endpoint")
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0:
				directory.Update(info(i).Ref(), func(e *endpoint.Info) { e.State = endpoint.Leaving })
				left[info(i).ID] = true
			case 1:
				r.ApplyReport(info(i).Ref(), engine.Report{Sequence: at.UnixMilli(), Running: rapid.IntRange(0, 30).Draw(rt, "running"), Slots: 16})
			case 2:
				if len(running) > 0 {
					r.Done(running[0], route.Result{Failed: rapid.Bool().Draw(rt, "failed")}, at)
					running = running[1:]
				}
			default:
				q := query()
				q.Avoid = []endpoint.Ref{info(i).Ref()}
				c, ok := r.Choose(q, route.Expected, at)
				usable := count - len(left)
				if !left[info(i).ID] {
					usable--
				}
				if ok != (usable > 0) {
					rt.Fatalf("chosen: got %v with %d usable endpoints", ok, usable)
				}
				if ok && (left[c.Endpoint.ID] || c.Endpoint.ID == info(i).ID) {
					rt.Fatalf("chosen: got %s, which is leaving or to be avoided", c.Endpoint.ID)
				}
				if ok {
					running = append(running, c)
				}
			}
		}
	})
}

// TestSubsetsCoverEveryEndpoint checks the planned fleet size: subsets are bounded, and under 1 %
// of the endpoints have no entry.
func TestSubsetsCoverEveryEndpoint(t *testing.T) {
	var infos []endpoint.Info
	for i := range 1900 {
		infos = append(infos, info(i))
	}
	users := map[string]int{}
	for n := range 420 {
		subset := route.Subset(fmt.Sprintf("n%d", n), 420, infos)
		if len(subset) > 24 {
			t.Fatalf("subset: got %d endpoints, want 24 at most", len(subset))
		}
		for _, e := range subset {
			users[e.ID]++
		}
	}
	unused, most := 0, 0
	for _, e := range infos {
		if users[e.ID] == 0 {
			unused++
		}
		most = max(most, users[e.ID])
	}
	t.Logf("%d of 1900 endpoints are in no subset; the most entries of one endpoint are %d", unused, most)
	if unused > 19 || most > 20 {
		t.Errorf("got %d endpoints without entries and %d entries at one, want at most 19 and 20", unused, most)
	}
}

func benchmarkChoose(b *testing.B, count, entries int) {
	r, _, _ := newRouter(count)
	if entries > 0 {
		r.SetEntryCount(entries)
	}
	q := query()
	random := rand.New(rand.NewPCG(1, 1))
	var prefixes [64][]uint64
	for i := range prefixes {
		text := make([]byte, 2048)
		for j := range text {
			text[j] = byte(random.IntN(256))
		}
		prefixes[i] = route.HashPrefixes(nil, text)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.PrefixHashes = prefixes[i%len(prefixes)]
		c, _ := r.Choose(q, route.Expected, now)
		r.Done(c, route.Result{}, now)
	}
}

func BenchmarkChoose18(b *testing.B)        { benchmarkChoose(b, 18, 0) }
func BenchmarkChoose200(b *testing.B)       { benchmarkChoose(b, 200, 0) }
func BenchmarkChoose1900(b *testing.B)      { benchmarkChoose(b, 1900, 0) }
func BenchmarkChoose1900Of420(b *testing.B) { benchmarkChoose(b, 1900, 420) }

// Engines that prefill three times faster than assumed need a third of the engine time for the
// same requests.
func TestDemandFollowsEngineSpeed(t *testing.T) {
	r, _, _ := newRouter(4)
	demand := func(from time.Time) float64 {
		for i := range 200 {
			q := query()
			q.PromptTokens = 1000 + 37*i
			at := from.Add(time.Duration(i) * 20 * time.Millisecond)
			c, _ := r.Choose(q, route.Expected, at)
			r.PrefillDone(c)
			took := 30*time.Millisecond + time.Duration(q.PromptTokens)*60*time.Microsecond
			r.Done(c, route.Result{PrefillDone: true, FirstToken: took, Tokens: 100, Decode: 100 * 8 * time.Millisecond}, at.Add(time.Millisecond))
		}
		return r.EngineDemand(target, from.Add(4*time.Second))
	}
	prior := initialDemand(t)
	learned := demand(now)
	if learned > 0.5*prior || learned < 0.2*prior {
		t.Errorf("demand: got %.2f endpoints, want about a third of the initial %.2f", learned, prior)
	}
	c, _ := r.Choose(query(), route.Expected, now.Add(10*time.Second))
	if c.Wait < 50*time.Millisecond || c.Wait > 75*time.Millisecond {
		t.Errorf("expected wait: got %v, want about 60 ms for 500 tokens", c.Wait)
	}
}

// initialDemand returns the demand of the same requests by the initial estimates.
func initialDemand(t *testing.T) float64 {
	t.Helper()
	r, _, _ := newRouter(4)
	for i := range 200 {
		q := query()
		q.PromptTokens = 1000 + 37*i
		at := now.Add(time.Duration(i) * 20 * time.Millisecond)
		c, _ := r.Choose(q, route.Expected, at)
		r.Done(c, route.Result{}, at)
	}
	return r.EngineDemand(target, now.Add(4*time.Second))
}

// A run that moves was counted when it began: moves must not raise the demand.
func TestContinuedRunAddsNoDemand(t *testing.T) {
	r, _, _ := newRouter(4)
	q := query()
	q.Continues = true
	if _, ok := r.Choose(q, route.Expected, now); !ok {
		t.Fatal("no endpoint was chosen")
	}
	if got := r.EngineDemand(target, now); got != 0 {
		t.Errorf("demand: got %v, want 0", got)
	}
}

// Of equal endpoints, one to which there is a connection is preferred, but not if it is busy.
func TestOpenConnectionsArePreferred(t *testing.T) {
	directory := endpoint.NewDirectory()
	for i := range 8 {
		directory.Merge(endpoint.Info{
			ID: fmt.Sprint("e", i), Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "s", Address: fmt.Sprint("a", i), Slots: 4,
		})
	}
	router := route.New(directory, hazard.New(), route.Location{}, 1)
	now := time.Now()
	query := route.Query{
		Target: route.Target{Service: "s"}, PromptTokens: 100, AnswerTokens: 20,
		Connected: func(address string) bool { return address == "a5" },
	}
	counts := map[string]int{}
	for range 8 {
		choice, ok := router.Choose(query, route.Expected, now)
		if !ok {
			t.Fatal("no endpoint was chosen")
		}
		counts[choice.Endpoint.ID]++
	}
	if got := counts["e5"]; got < 1 || got > 4 {
		t.Errorf("requests to the endpoint with a connection: got %d of 8, want 1 to 4, its slots", got)
	}
	first := route.New(directory, hazard.New(), route.Location{}, 2)
	if choice, _ := first.Choose(query, route.Expected, now); choice.Endpoint.ID != "e5" {
		t.Errorf("first choice: got %s, want e5", choice.Endpoint.ID)
	}
}

// Guards against an entry that processes each of thousands of endpoint changes while it has no
// requests in flight. An entry with a request in flight must find it.
func TestIdleEntryIgnoresChanges(t *testing.T) {
	const endpoints = 3000
	directory := endpoint.NewDirectory()
	r := route.New(directory, hazard.New(), route.Location{Node: "h"}, 1)
	for i := range endpoints {
		directory.Merge(endpoint.Info{ID: fmt.Sprint("e", i), Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "s"})
	}
	if got := testing.AllocsPerRun(10, func() { r.LocalLoads() }); got != 0 {
		t.Errorf("local loads of an idle host: got %.0f allocations, want none", got)
	}
	now := time.Now()
	target := route.Target{Service: "s"}
	if got := testing.AllocsPerRun(10, func() { r.EngineDemand(target, now) }); got != 0 {
		t.Errorf("demand at an idle host: got %.0f allocations, want none", got)
	}
	c, ok := r.Choose(route.Query{Target: target, AnswerTokens: 1}, route.Expected, now)
	if got := len(r.LocalLoads()); !ok || got != 1 {
		t.Errorf("local loads with a request in flight: got %d, want 1", got)
	}
	r.Done(c, route.Result{}, now)
	if got := len(r.LocalLoads()); got != 0 {
		t.Errorf("local loads after the request is done: got %d, want none", got)
	}
}
