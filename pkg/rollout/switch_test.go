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

// newSplitter returns a host's splitter that knows eight endpoints of each version.
func newSplitter(releases ...string) (*rollout.Splitter, []endpoint.Info) {
	s := rollout.New(bounds)
	var infos []endpoint.Info
	for _, release := range releases {
		s.ObserveRelease(service, release, began)
		infos = append(infos, endpoints(release, 8)...)
	}
	s.UpdateEndpoints(infos, true, began)
	return s, infos
}

// directive returns a directive of the owner for a phase.
func directive(phase rollout.Phase, share float64) rollout.Directive {
	return rollout.Directive{Service: service, Order: order.ID, Target: order.Target, Period: order.Period, Phase: phase, Share: share, Slack: 3, Epoch: 1, Number: int64(phase)}
}

// releasesOf returns the versions that may take a request, "-" for none.
func releasesOf(s *rollout.Splitter, infos []endpoint.Info, subset rollout.Subset) string {
	rule := s.Rule(service, subset)
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

func subsetOf(s *rollout.Splitter, id string, now time.Time) rollout.Subset {
	return s.SubsetFor(service, rollout.KindOf("route"), id, now)
}

// A target that is tried gets its share and no more, whatever the routes' shares of the requests
// are. A rare route is tried too, and all attempts of a request go the same way.
func TestTrialShare(t *testing.T) {
	s, infos := newSplitter("v1")
	s.AddOrder(order, false)
	s.UpdateEndpoints(append(infos, endpoints("v2", 8)...), true, began)
	s.ApplyDirective(directive(rollout.Trying, 0.06), began)
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
		t.Errorf("attempts at the target: got %d, want at most %.0f and at least half of it", got, most)
	}
	if got := tried["rare"]; got < 60 {
		t.Errorf("attempts at the target of a rare route with 250 requests: got %d, want at least 60", got)
	}
	s.ApplyDirective(directive(rollout.Shifting, 0.4), began)
	for i := range 50 {
		id := fmt.Sprint("again", i)
		if first, second := subsetOf(s, id, began), subsetOf(s, id, began); first != second {
			t.Errorf("request %s: got subset %v, then %v, want the same", id, first, second)
		}
	}
}

// A host that receives no more directives falls back to the previous version, unless all hosts were
// already directed to stop using that version.
func TestDirectiveExpires(t *testing.T) {
	for _, c := range []struct {
		phase rollout.Phase
		after time.Duration
		want  rollout.Subset
	}{
		{rollout.Shifting, 700 * time.Millisecond, rollout.Target},
		{rollout.Shifting, 900 * time.Millisecond, rollout.Others},
		{rollout.Draining, time.Minute, rollout.Target},
	} {
		s, infos := newSplitter("v1")
		s.AddOrder(order, false)
		s.UpdateEndpoints(append(infos, endpoints("v2", 8)...), true, began)
		s.ApplyDirective(directive(c.phase, 1), began)
		now := began.Add(c.after)
		if got := subsetOf(s, "r", now); got != c.want {
			t.Errorf("%v, %v after the directive: got subset %v, want %v", c.phase, c.after, got, c.want)
		}
		if expired := len(s.NewlyExpired(now)) == 1; expired != (c.want == rollout.Others) {
			t.Errorf("%v, %v after the directive: got expired %v", c.phase, c.after, expired)
		}
	}
}

// A host that is cut off from the store learns of an order from the owner's directive. It has no
// slack of its own, since it may have restarted after the order.
func TestOrderIsLearnedFromDirective(t *testing.T) {
	s, infos := newSplitter("v1")
	s.ObserveRelease(service, "v2", began)
	infos = append(infos, endpoints("v2", 8)...)
	s.UpdateEndpoints(infos, false, began)
	s.ApplyDirective(directive(rollout.Trying, 0.06), began)
	if got := releasesOf(s, infos, subsetOf(s, "r", began)); got != "v1" {
		t.Errorf("first request: got %s, want v1, since there is no slack", got)
	}
	s.ApplyDirective(directive(rollout.Draining, 1), began)
	if got := releasesOf(s, infos, subsetOf(s, "r", began)); got != "v2" {
		t.Errorf("draining: got %s, want v2", got)
	}
	if r, ok := s.Report(service, order.ID, began); !ok || r.Phase != rollout.Draining {
		t.Errorf("report: got %+v, %v, want draining", r, ok)
	}
}

// Guards against sending all requests to an untested target when all endpoints of the version in
// use are lost after the order.
func TestTargetIsLimitedWhenOthersAreLost(t *testing.T) {
	s, _ := newSplitter("v1")
	s.AddOrder(order, false)
	s.UpdateEndpoints(endpoints("v2", 8), true, began)
	s.ApplyDirective(directive(rollout.Trying, 0.06), began)
	target := endpoints("v2", 1)[0]
	got := 0
	for i := range 1000 {
		subset := subsetOf(s, fmt.Sprint(i), began)
		if releasesOf(s, endpoints("v2", 8), subset) == "-" {
			fallback, ok := s.Fallback(service, subset, began)
			if !ok {
				continue
			}
			subset = fallback
		}
		got++
		s.StartAttempt(service, &target, 0, 0, began)
	}
	if got > 103 {
		t.Errorf("with no other endpoint left: got %d of 1000 requests at the target, want at most 103", got)
	}
}

// Endpoints of a new version get no requests until an order for it would have been received, which
// takes longer while the operator's rows are not received.
func TestNewVersionsAreWithheld(t *testing.T) {
	s, infos := newSplitter("v1")
	s.ObserveRelease(service, "v2", began)
	infos = append(infos, endpoints("v2", 8)...)
	for _, c := range []struct {
		after time.Duration
		fresh bool
		want  string
	}{{0, true, "v1"}, {2 * time.Second, true, "v1"}, {5 * time.Second, false, "v1"}, {6 * time.Second, true, "v1v2"}} {
		s.UpdateEndpoints(infos, c.fresh, began.Add(c.after))
		if fallback, ok := s.Fallback(service, rollout.Default, began); ok != (c.want == "v1") || ok && releasesOf(s, infos[8:], fallback) != "v2" {
			t.Errorf("%v after the first endpoint of v2, none of v1 left: got subset %v, %v", c.after, fallback, ok)
		}
		if got := releasesOf(s, infos, subsetOf(s, "r", began)); got != c.want {
			t.Errorf("%v after the first endpoint of v2, operator's rows received %v: got %s, want %s", c.after, c.fresh, got, c.want)
		}
	}
}

// A reverted version gets no requests, also while another version is tried. An order back to the
// version in use has nothing to split.
func TestConsecutiveOrders(t *testing.T) {
	s, infos := newSplitter("v1")
	infos = append(infos, endpoints("v2", 8)...)
	infos = append(infos, endpoints("v3", 8)...)
	end := func(o rollout.Order, phase rollout.Phase) {
		s.ApplyState(rollout.State{Order: o, Phase: phase}, began)
	}
	s.AddOrder(order, false)
	s.UpdateEndpoints(infos[:16], true, began)
	if got := releasesOf(s, infos[:16], subsetOf(s, "r", began)); got != "v1" {
		t.Errorf("ordered, no directive yet: got %s, want v1", got)
	}
	end(order, rollout.Reverted)
	end(order, rollout.Completed)
	if got := releasesOf(s, infos[:16], subsetOf(s, "r", began)); got != "v1" {
		t.Errorf("reverted, then a late completed state: got %s, want v1", got)
	}
	next := rollout.Order{Service: service, Target: "v3", Period: time.Minute, ID: 9}
	if s.AddOrder(rollout.Order{Service: service, Target: "v3", Period: time.Minute, ID: 4}, false) {
		t.Error("an older order was added")
	}
	s.AddOrder(next, false)
	s.UpdateEndpoints(infos, true, began)
	if got := releasesOf(s, infos, rollout.Others) + " " + releasesOf(s, infos, rollout.Target); got != "v1 v3" {
		t.Errorf("v3 after v2 was reverted: got %s, want v1 v3", got)
	}
	back := rollout.Order{Service: service, Target: "v1", Period: time.Minute, ID: 12}
	s.AddOrder(back, false)
	s.UpdateEndpoints(infos, true, began)
	if got := releasesOf(s, infos, subsetOf(s, "r", began)); got != "v1" {
		t.Errorf("back to v1: got %s, want v1", got)
	}
	end(back, rollout.Completed)
	if got := releasesOf(s, infos, subsetOf(s, "r", began)); got != "v1" {
		t.Errorf("completed: got %s, want v1", got)
	}
	if got := releasesOf(s, infos, subsetOf(s, "r", began.Add(time.Minute))); got != "v1v2v3" {
		t.Errorf("one minute after the completion: got %s, want all versions", got)
	}
}

// With no endpoint left in its subset, a request goes to the other subset within what a bad version
// may get, but never to a version that was reverted a moment ago.
func TestFallback(t *testing.T) {
	s, infos := newSplitter("v1")
	s.AddOrder(order, false)
	s.UpdateEndpoints(append(infos, endpoints("v2", 8)...), true, began)
	target := endpoints("v2", 1)[0]
	allowed := 0
	for i := range 200 {
		subsetOf(s, fmt.Sprint(i), began)
		if subset, ok := s.Fallback(service, rollout.Others, began); ok && subset == rollout.Target {
			allowed++
			s.StartAttempt(service, &target, 0, 0, began)
		}
	}
	if allowed == 0 || allowed > 20 {
		t.Errorf("with no other endpoint: got %d of 200 requests at the target, want 1 to 20", allowed)
	}
	s.ApplyState(rollout.State{Order: order, Phase: rollout.Reverted}, began)
	if _, ok := s.Fallback(service, rollout.Others, began.Add(time.Second)); ok {
		t.Error("got a reverted version as fallback, want none")
	}
	if subset, ok := s.Fallback(service, rollout.Others, began.Add(2*time.Minute)); !ok || subset != rollout.Target {
		t.Errorf("two minutes after a revert with nothing else left: got %v, %v, want the target", subset, ok)
	}
}

// An attempt that already takes longer than the slow threshold counts as bad before it is answered.
func TestOverdueAttemptsCountAsBad(t *testing.T) {
	s, infos := newSplitter("v1")
	kind := rollout.KindOf("route")
	for i := range 40 {
		attempt := s.StartAttempt(service, &infos[i%8], kind, 0, began)
		now := began.Add(time.Duration(40+i) * time.Millisecond)
		s.RecordAnswer(attempt, false, now)
		s.FinishAttempt(attempt, now)
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
			t.Errorf("%v after the start: got %d bad, want %d", c.after, got, c.bad)
		}
	}
}

// Guards against a slow threshold in a report that is computed from no answers.
func TestReportHasNoThresholdWithoutAnswers(t *testing.T) {
	s, _ := newSplitter("v1")
	s.AddOrder(order, false)
	target := endpoints("v2", 1)[0]
	s.StartAttempt(service, &target, rollout.KindOf("route"), 0, began)
	for range 2 {
		if report, ok := s.Report(service, order.ID, began.Add(time.Second)); !ok || len(report.SlowThresholds) != 0 {
			t.Errorf("got a report %v with the thresholds %+v, want none", ok, report.SlowThresholds)
		}
	}
}

// The split costs a request less than 100 ns and allocates nothing: 98 ns with an order in
// progress, 41 ns without. Before there was a split, it cost nothing.
func BenchmarkSubsetFor(b *testing.B) {
	for _, ordered := range []bool{false, true} {
		b.Run(fmt.Sprint("ordered=", ordered), func(b *testing.B) {
			s, _ := newSplitter("v1")
			if ordered {
				s.AddOrder(order, false)
				s.ApplyDirective(directive(rollout.Trying, 0.06), began)
			}
			kind := rollout.KindOf("route")
			b.ReportAllocs()
			for b.Loop() {
				s.SubsetFor(service, kind, "9c41d07be2a35f68", began)
			}
		})
	}
}

// Guards against a roll-out that sends a stream of one release on to another, or back to a reverted one.
func TestStreamStaysAtItsReleaseDuringRollout(t *testing.T) {
	for _, c := range []struct {
		phase          rollout.Phase
		previous, next bool
	}{{rollout.Trying, true, true}, {rollout.Draining, true, true}, {rollout.Completed, true, true}, {rollout.Reverted, true, false}} {
		s, infos := newSplitter("v1")
		infos = append(infos, endpoints("v2", 8)...)
		s.AddOrder(order, false)
		s.UpdateEndpoints(infos, true, began)
		s.ApplyDirective(directive(c.phase, 0.06), began)
		for release, want := range map[string]bool{"v1": c.previous, "v2": c.next, "": true} {
			rule, ok := s.StreamRule(service, release, began)
			for _, info := range infos {
				if rule.Allows(&info) && info.Release != release {
					t.Errorf("%v: got endpoint %s for a stream of %q", c.phase, info.ID, release)
				}
			}
			if ok != want {
				t.Errorf("%v: got %v for a stream of %q, want %v", c.phase, ok, release, want)
			}
		}
	}
}

// Guards against refusing streams of a release that served before an order for it.
func TestStreamOfReleaseInUseContinuesAfterOrder(t *testing.T) {
	s, infos := newSplitter("v1", "v2")
	s.AddOrder(order, false)
	s.UpdateEndpoints(infos, true, began)
	rule, ok := s.StreamRule(service, "v2", began)
	allowed := 0
	for _, info := range infos {
		if rule.Allows(&info) {
			allowed++
		}
	}
	if !ok || allowed != 8 {
		t.Errorf("got %v and %d endpoints, want the 8 of the release", ok, allowed)
	}
}
