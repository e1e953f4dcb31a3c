package roster_test

import (
	"testing"
	"time"

	"ironhollow/pkg/roster"
)

// newCutFleet returns the roster of host a in a fleet of hosts in two data centres; the hosts named b to
// the last have sent work, a demand and a load.
func newCutFleet(nodes ...string) *roster.Roster {
	r := roster.New(silence, interval)
	r.NoteStoreResponse(start)
	for i, node := range append([]string{"a"}, nodes...) {
		dataCenter := []string{"dc1", "dc2"}[i%2]
		host := roster.Host{Incarnation: node, Node: node, DataCenter: dataCenter, CallerAddress: node, PeerAddress: node}
		work := []roster.Work{{Service: "s", Offered: 4, Refused: 1}}
		r.Merge(roster.Row{Host: host, Sequence: 1, Work: work}, start)
		r.ApplyStatus(roster.Status{Host: host, Sequence: 1, Demands: []roster.Demand{{Service: "s", Rate: 2}}, Loads: []roster.Load{{Endpoint: "e", Running: 3}}}, start)
		r.ApplyWork(node, work, start)
	}
	return r
}

func names(hosts []roster.AdvertisedHost) (list string) {
	for _, h := range hosts {
		list += h.Node
	}
	return list
}

// Guards against callers that are sent to hosts which have lost their links to endpoints.
func TestCutHostsAreNotEntriesWhileEnoughOthersAreInTouch(t *testing.T) {
	r := newCutFleet("b", "c", "d")
	for _, c := range []struct {
		cut  string
		want string
	}{{"b", "acd"}, {"c", "ad"}, {"d", "abcd"}} {
		r.ApplyCut(c.cut, true, start)
		if got := names(r.EntryHosts(start)); got != c.want {
			t.Errorf("entries after the cut of %s: got %s, want %s", c.cut, got, c.want)
		}
	}
	if got := names(r.AdvertisedHosts()); got != "abcd" {
		t.Errorf("advertised hosts, which share limits: got %s, want abcd", got)
	}
	if got := r.CutHosts(start); got != 3 {
		t.Errorf("cut hosts: got %d, want 3", got)
	}
}

// Guards against reports of cuts that outlive the cut, as the datagram of its end was lost.
func TestReportOfCutExpires(t *testing.T) {
	r := newCutFleet("b", "c", "d")
	self := roster.Host{Node: "a", DataCenter: "dc1"}
	hops := func(at time.Time) (list string) {
		for _, h := range r.InTouch(self, at) {
			list += h.Node
		}
		return list
	}
	if got := hops(start); got != "cbd" {
		t.Errorf("hosts in touch: got %s, want cbd, that of the same data centre first", got)
	}
	r.ApplyCut("c", true, start)
	r.ApplyCut("unknown", true, start)
	if got := hops(start.Add(roster.CutTTL - 1)); got != "bd" {
		t.Errorf("during the cut: got %s, want bd", got)
	}
	if got := hops(start.Add(roster.CutTTL)); got != "cbd" {
		t.Errorf("after the report has expired: got %s, want cbd", got)
	}
	r.ApplyCut("c", true, start)
	r.ApplyCut("c", false, start)
	if got := hops(start); got != "cbd" {
		t.Errorf("after the end: got %s, want cbd", got)
	}
}

// Guards against orders for work that a cut host has counted and other hosts count again.
func TestWorkOfCutHostDoesNotCount(t *testing.T) {
	r := newCutFleet("b", "c")
	check := func(when string, at time.Time, work, demand float64, running int) {
		t.Helper()
		if got := r.Work(at)["s"].Offered; got != work {
			t.Errorf("%s, offered work: got %v, want %v", when, got, work)
		}
		if got := r.Demands(at)["s"]; got != demand {
			t.Errorf("%s, demand: got %v, want %v", when, got, demand)
		}
		if got := r.Load("a", "e", at).Running; got != running {
			t.Errorf("%s, running: got %d, want %d", when, got, running)
		}
	}
	check("before", start, 12, 6, 6)
	r.ApplyCut("b", true, start)
	check("during the cut", start, 8, 4, 3)
	r.ApplyCut("b", false, start)
	check("after a short cut", start, 8, 4, 3)
}
