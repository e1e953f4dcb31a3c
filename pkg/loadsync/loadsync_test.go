package loadsync_test

import (
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/enginemodel"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/loadsync"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

var now = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)

const id = "e1"

// host is a host that knows one endpoint, the same as the other hosts.
type host struct {
	directory *endpoint.Directory
	router    *route.Router
	members   *roster.Roster
	loads     *loadsync.Sync
}

func newHost(name string) host {
	directory := endpoint.NewDirectory()
	directory.Merge(endpoint.Info{ID: id, Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "s", Slots: 8})
	router := route.New(directory, hazard.New(), route.Location{Node: name}, 1)
	members := roster.New(time.Minute, func(int) time.Duration { return time.Second })
	return host{directory, router, members, loadsync.New(router, members, name)}
}

func prompt() route.Query {
	return route.Query{
		Target: route.Target{Service: "s"}, PromptTokens: 9000, AnswerTokens: 10,
		PrefixHashes: []uint64{1, 2}, PrefixTokens: []int{8000, 9000}, SharedPrefixes: 1,
	}
}

// The load of one host is counted as queued in the choice of another: after a full update, and
// immediately after a brief one.
func TestLoadsReachOtherHost(t *testing.T) {
	for _, brief := range []bool{false, true} {
		a, b := newHost("a"), newHost("b")
		a.router.Choose(prompt(), route.Expected, now)
		status := roster.Status{Host: roster.Host{Incarnation: "a", Node: "a"}, Sequence: 1, Loads: a.loads.LocalLoads()}
		if len(status.Loads) != 1 || status.Loads[0].PrefillTokens != 9000 {
			t.Fatalf("local loads: got %+v, want 9000 tokens at one endpoint", status.Loads)
		}
		if brief {
			b.members.ApplyStatus(roster.Status{Host: status.Host, Sequence: 1}, now)
			b.loads.ApplyBrief("a", 2, a.loads.LocalLoadsAt([]string{id}), a.router.DrainPlacements(), now)
		} else {
			b.members.ApplyStatus(status, now)
			b.loads.ApplyPlacements(a.router.DrainPlacements())
			b.loads.UpdateRouter(now)
		}
		c, ok := b.router.Choose(prompt(), route.Expected, now)
		if !ok || c.Queued <= 0 {
			t.Errorf("brief %v: got %v queued before the second host's prompt, want some", brief, c.Queued)
		}
		if got, want := c.CachedTokens, 8000; got != want {
			t.Errorf("brief %v: got %d cached tokens, want %d", brief, got, want)
		}
	}
}

// Guards against a log line in each round for an endpoint that stays slow.
func TestSpeedChangeIsReportedOnce(t *testing.T) {
	h := newHost("a")
	other := endpoint.Info{ID: "e2", Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "s", Slots: 8}
	h.router.Endpoints()
	h.directory.Merge(other)
	h.router.Endpoints()
	for range 4 {
		h.loads.ApplySpeeds([]route.SpeedReport{
			{Endpoint: other.Ref(), Evidence: enginemodel.Evidence{Weight: 16, WeightedLog: 16}},
			{Endpoint: endpoint.Ref{ID: id, Incarnation: 1}, Evidence: enginemodel.Evidence{Weight: 16}},
		}, now)
	}
	h.router.Explain(prompt(), now)
	if got := h.loads.SpeedChanges(); len(got) != 1 || !got[0].Differs {
		t.Errorf("first changes: got %+v, want one", got)
	}
	if got := h.loads.SpeedChanges(); len(got) != 0 {
		t.Errorf("changes without new data: got %+v, want none", got)
	}
}
