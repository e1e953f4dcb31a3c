package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/rollout"
)

const service = "svc"

var (
	bounds = rollout.Bounds{Share: 0.1, Slack: 50}
	began  = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)
	order  = rollout.Order{Service: service, Target: "v2", Period: 20 * time.Second, ID: 5}
)

func endpoints(release string, count int) []endpoint.Info {
	var infos []endpoint.Info
	for i := range count {
		infos = append(infos, endpoint.Info{ID: fmt.Sprintf("%s-%02d", release, i), State: endpoint.Live, Service: service, Release: release})
	}
	return infos
}

// split is a switch of one host that knows endpoints of some versions, each with eight.
func split(releases ...string) (*rollout.Splitter, []endpoint.Info) {
	s := rollout.New(bounds)
	var infos []endpoint.Info
	for _, release := range releases {
		s.ObserveRelease(service, release, began)
		infos = append(infos, endpoints(release, 8)...)
	}
	s.UpdateEndpoints(infos, true, began)
	return s, infos
}

// word is the owner's in a phase.
func word(phase rollout.Phase, share float64) rollout.Directive {
	return rollout.Directive{Service: service, Order: order.ID, Target: order.Target, Period: order.Period, Phase: phase, Share: share, Slack: 3, Epoch: 1, Number: int64(phase)}
}

// goes returns which versions may take a request, "-" for none.
func goes(s *rollout.Splitter, infos []endpoint.Info, side rollout.Subset) string {
	rule := s.Rule(service, side)
	seen := map[string]bool{}
	text := ""
	for i := range infos {
		if rule.Allows(&infos[i]) && !seen[infos[i].Release] {
			seen[infos[i].Release] = true
			text += infos[i].Release
		}
	}
	if text == "" {
		return "-"
	}
	return text
}

func sideOf(s *rollout.Splitter, id string, now time.Time) rollout.Subset {
	return s.SubsetFor(service, rollout.KindOf("route"), id, now)
}

// A target that is tried gets its share and no more whatever the routes' parts are, a
// rare route is tried too, and a request goes the same way however often it is sent.
func TestTriedShare(t *testing.T) {
	s, infos := split("v1")
	s.AddOrder(order, false)
	s.UpdateEndpoints(append(infos, endpoints("v2", 8)...), true, began)
	s.ApplyDirective(word(rollout.Trying, 0.06), began)
	tried := map[string]int{}
	const asked = 5000
	for i := range asked {
		name := "common"
		if i%20 == 0 {
			name = "rare"
		}
		id := fmt.Sprint("r", i)
		if s.SubsetFor(service, rollout.KindOf(name), id, began) != rollout.Target {
			continue
		}
		tried[name]++
		target := endpoints("v2", 1)[0]
		s.StartAttempt(service, &target, rollout.KindOf(name), 0, began)
	}
	if got, most := tried["common"]+tried["rare"], 0.06*asked+3; float64(got) > most || float64(got) < 0.5*most {
		t.Errorf("tried: got %d, want %.0f at most and half of it at least", got, most)
	}
	if got := tried["rare"]; got < 60 {
		t.Errorf("tried of a rare route with 250 requests: got %d, want 60 at least", got)
	}
	s.ApplyDirective(word(rollout.Shifting, 0.4), began)
	for i := range 50 {
		id := fmt.Sprint("again", i)
		if first, second := sideOf(s, id, began), sideOf(s, id, began); first != second {
			t.Errorf("request %s went %v and then %v", id, first, second)
		}
	}
}

// Who does not hear the owner any more falls back to the version before, but not once
// all hosts were told to leave it.
func TestWordLapses(t *testing.T) {
	for _, c := range []struct {
		phase rollout.Phase
		after time.Duration
		want  rollout.Subset
	}{
		{rollout.Shifting, 700 * time.Millisecond, rollout.Target},
		{rollout.Shifting, 900 * time.Millisecond, rollout.Others},
		{rollout.Draining, time.Minute, rollout.Target},
	} {
		s, infos := split("v1")
		s.AddOrder(order, false)
		s.UpdateEndpoints(append(infos, endpoints("v2", 8)...), true, began)
		s.ApplyDirective(word(c.phase, 1), began)
		now := began.Add(c.after)
		if got := sideOf(s, "r", now); got != c.want {
			t.Errorf("%v, %v after the word: got side %v, want %v", c.phase, c.after, got, c.want)
		}
		if lapsed := len(s.NewlyExpired(now)) == 1; lapsed != (c.want == rollout.Others) {
			t.Errorf("%v, %v after the word: told as lapsed: %v", c.phase, c.after, lapsed)
		}
	}
}

// A host that is cut off from the store learns of an order by the owner's word, and has
// no slack of its own: it may have started since.
func TestOrderIsLearnedByTheWord(t *testing.T) {
	s, infos := split("v1")
	s.ObserveRelease(service, "v2", began)
	infos = append(infos, endpoints("v2", 8)...)
	s.UpdateEndpoints(infos, false, began)
	s.ApplyDirective(word(rollout.Trying, 0.06), began)
	if got := goes(s, infos, sideOf(s, "r", began)); got != "v1" {
		t.Errorf("first request: got %s, want v1: there is no slack", got)
	}
	s.ApplyDirective(word(rollout.Draining, 1), began)
	if got := goes(s, infos, sideOf(s, "r", began)); got != "v2" {
		t.Errorf("drained: got %s, want v2", got)
	}
	if r, ok := s.Report(service, order.ID, began); !ok || r.Phase != rollout.Draining {
		t.Errorf("report: got %+v, %v, want draining", r, ok)
	}
}

// Where all endpoints of the version in use are lost when another is ordered, that one
// does not get everything unseen.
func TestTargetIsNotAloneForALoss(t *testing.T) {
	s, _ := split("v1")
	s.AddOrder(order, false)
	s.UpdateEndpoints(endpoints("v2", 8), true, began)
	s.ApplyDirective(word(rollout.Trying, 0.06), began)
	target := endpoints("v2", 1)[0]
	got := 0
	for i := range 1000 {
		side := sideOf(s, fmt.Sprint(i), began)
		if goes(s, endpoints("v2", 8), side) == "-" {
			instead, ok := s.Fallback(service, side, began)
			if !ok {
				continue
			}
			side = instead
		}
		got++
		s.StartAttempt(service, &target, 0, 0, began)
	}
	if got > 103 {
		t.Errorf("with no other endpoint left: got %d of 1000 requests at the target, want 103 at most", got)
	}
}

// Endpoints of a version that was not there before get nothing until an order for it
// would have been heard; where the operator is not heard that takes longer.
func TestNewVersionsWaitForAnOrder(t *testing.T) {
	s, infos := split("v1")
	s.ObserveRelease(service, "v2", began)
	infos = append(infos, endpoints("v2", 8)...)
	for _, c := range []struct {
		after time.Duration
		fresh bool
		want  string
	}{{0, true, "v1"}, {2 * time.Second, true, "v1"}, {5 * time.Second, false, "v1"}, {6 * time.Second, true, "v1v2"}} {
		s.UpdateEndpoints(infos, c.fresh, began.Add(c.after))
		if instead, ok := s.Fallback(service, rollout.Default, began); ok != (c.want == "v1") || ok && goes(s, infos[8:], instead) != "v2" {
			t.Errorf("%v after the first endpoint of v2, none of v1 left: got side %v, %v", c.after, instead, ok)
		}
		if got := goes(s, infos, sideOf(s, "r", began)); got != c.want {
			t.Errorf("%v after the first endpoint of v2, operator heard %v: got %s, want %s", c.after, c.fresh, got, c.want)
		}
	}
}

// What orders leave behind: a reverted version gets nothing, also while another is
// tried; an order back to the version in use has nothing to split.
func TestOrdersInTurn(t *testing.T) {
	s, infos := split("v1")
	infos = append(infos, endpoints("v2", 8)...)
	infos = append(infos, endpoints("v3", 8)...)
	end := func(o rollout.Order, phase rollout.Phase) {
		s.ApplyState(rollout.State{Order: o, Phase: phase}, began)
	}
	s.AddOrder(order, false)
	s.UpdateEndpoints(infos[:16], true, began)
	if got := goes(s, infos[:16], sideOf(s, "r", began)); got != "v1" {
		t.Errorf("ordered, no word yet: got %s, want v1", got)
	}
	end(order, rollout.Reverted)
	end(order, rollout.Completed)
	if got := goes(s, infos[:16], sideOf(s, "r", began)); got != "v1" {
		t.Errorf("reverted, then a late word of its completion: got %s, want v1", got)
	}
	next := rollout.Order{Service: service, Target: "v3", Period: time.Minute, ID: 9}
	if s.AddOrder(rollout.Order{Service: service, Target: "v3", Period: time.Minute, ID: 4}, false) {
		t.Error("an older order was taken")
	}
	s.AddOrder(next, false)
	s.UpdateEndpoints(infos, true, began)
	if got := goes(s, infos, rollout.Others) + " " + goes(s, infos, rollout.Target); got != "v1 v3" {
		t.Errorf("v3 after v2 was reverted: got %s, want v1 v3", got)
	}
	back := rollout.Order{Service: service, Target: "v1", Period: time.Minute, ID: 12}
	s.AddOrder(back, false)
	s.UpdateEndpoints(infos, true, began)
	if got := goes(s, infos, sideOf(s, "r", began)); got != "v1" {
		t.Errorf("back to v1: got %s, want v1", got)
	}
	end(back, rollout.Completed)
	if got := goes(s, infos, sideOf(s, "r", began)); got != "v1" {
		t.Errorf("completed: got %s, want v1", got)
	}
	if got := goes(s, infos, sideOf(s, "r", began.Add(time.Minute))); got != "v1v2v3" {
		t.Errorf("long after the completion: got %s, want all that are there", got)
	}
}

// With no endpoint left of its side a request goes to the other within what a bad version
// may get, and never to one that was reverted a moment ago.
func TestInstead(t *testing.T) {
	s, infos := split("v1")
	s.AddOrder(order, false)
	s.UpdateEndpoints(append(infos, endpoints("v2", 8)...), true, began)
	target := endpoints("v2", 1)[0]
	allowed := 0
	for i := range 200 {
		sideOf(s, fmt.Sprint(i), began)
		if side, ok := s.Fallback(service, rollout.Others, began); ok && side == rollout.Target {
			allowed++
			s.StartAttempt(service, &target, 0, 0, began)
		}
	}
	if allowed == 0 || allowed > 20 {
		t.Errorf("with no other endpoint: got %d of 200 to the target, want some, 20 at most", allowed)
	}
	s.ApplyState(rollout.State{Order: order, Phase: rollout.Reverted}, began)
	if _, ok := s.Fallback(service, rollout.Others, began.Add(time.Second)); ok {
		t.Error("a reverted version was offered")
	}
	if side, ok := s.Fallback(service, rollout.Others, began.Add(2*time.Minute)); !ok || side != rollout.Target {
		t.Errorf("long after a revert with nothing else left: got %v, %v, want the target", side, ok)
	}
}

// A send that takes longer already than is slow counts as bad before its answer comes.
func TestOverdueSendsCount(t *testing.T) {
	s, infos := split("v1")
	kind := rollout.KindOf("route")
	for i := range 40 {
		sent := s.StartAttempt(service, &infos[i%8], kind, 0, began)
		now := began.Add(time.Duration(40+i) * time.Millisecond)
		s.RecordAnswer(sent, false, now)
		s.FinishAttempt(sent, now)
	}
	s.AddOrder(order, false)
	target := endpoints("v2", 1)[0]
	s.StartAttempt(service, &target, kind, 0, began)
	for _, c := range []struct {
		after time.Duration
		bad   int
	}{{100 * time.Millisecond, 0}, {300 * time.Millisecond, 1}} {
		report, _ := s.Report(service, order.ID, began.Add(c.after))
		evidence := rollout.NewEvidence(report.Tallies...)
		if got := evidence.Target().Bad; got != c.bad {
			t.Errorf("%v after the send: got %d bad, want %d", c.after, got, c.bad)
		}
	}
}

// The split costs a request less than 100 ns and allocates nothing: 98 ns with an order
// under way, 41 ns without. Without a split there was nothing to pay.
func BenchmarkSide(b *testing.B) {
	for _, ordered := range []bool{false, true} {
		b.Run(fmt.Sprint("ordered=", ordered), func(b *testing.B) {
			s, _ := split("v1")
			if ordered {
				s.AddOrder(order, false)
				s.ApplyDirective(word(rollout.Trying, 0.06), began)
			}
			kind := rollout.KindOf("route")
			b.ReportAllocs()
			for b.Loop() {
				s.SubsetFor(service, kind, "9c41d07be2a35f68", began)
			}
		})
	}
}
