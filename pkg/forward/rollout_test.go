package forward_test

import (
	"net/http"
	"testing"
	"time"

	"ironhollow/pkg/rollout"
)

// startRollout gives endpoint e0 version v1 and endpoint e1 version v2, and starts the
// roll-out of v2.
func (s *harness) startRollout() rollout.Order {
	for id, release := range map[string]string{"e0": "v1", "e1": "v2"} {
		info, _ := s.directory.Get(id)
		info.Release = release
		info.Counter++
		s.directory.Merge(info)
	}
	order := rollout.Order{Service: "svc", Target: "v2", Period: time.Minute, ID: 3}
	s.rollouts.AddOrder(order, false)
	s.rollouts.UpdateEndpoints(s.directory.View().Infos(), true, time.Now())
	return order
}

// receivers returns the endpoints that received the requests after the first ones, whose
// number is before.
func (s *harness) receivers(before int) string {
	text := ""
	for _, r := range s.requests()[before:] {
		text += r.endpoint
	}
	return text
}

// A request goes to the version that the phase of the roll-out selects. A repeatable request
// that fails at the new version is answered by the previous one; any other is not sent again.
func TestRequestsFollowRolloutDirectives(t *testing.T) {
	broken := respond("HTTP/1.1 500 No\r\nId: %id\r\nContent-Length: 0\r\n\r\n", true)
	s := newHarness(t, spec(), true, respondOK("fine"), broken)
	order := s.startRollout()
	now := time.Now()
	directive := func(phase rollout.Phase) rollout.Directive {
		return rollout.Directive{Service: "svc", Order: order.ID, Phase: phase, Share: 1, Epoch: 1, Number: int64(phase)}
	}
	for _, c := range []struct {
		name      string
		setUp     func()
		path      string
		receivers string
		status    int
	}{
		{"no directive yet", func() {}, "/safe/x", "e0", http.StatusOK},
		{"all to the target", func() { s.rollouts.ApplyDirective(directive(rollout.Draining), now) }, "/safe/x", "e1e0", http.StatusOK},
		{"all to the target, once", func() {}, "/once/x", "e1", http.StatusInternalServerError},
		{"reverted", func() { s.rollouts.ApplyDirective(directive(rollout.Reverted), now) }, "/once/x", "e0", http.StatusOK},
	} {
		c.setUp()
		before := len(s.requests())
		got := s.send(http.MethodPost, c.path, "body")
		if receivers := s.receivers(before); receivers != c.receivers || got.status != c.status {
			t.Errorf("%s: got status %d from %s, want %d from %s", c.name, got.status, receivers, c.status, c.receivers)
		}
	}
	report, ok := s.rollouts.Report("svc", order.ID, time.Now())
	if !ok || report.Requests != 4 || report.TargetRequests != 2 || report.OthersRunning != 0 {
		t.Errorf("report: got %+v, want 4 asked, 2 tried, nothing running", report)
	}
	if e := rollout.NewEvidence(report.Tallies...); e.Target().Bad != 2 {
		t.Errorf("failures of the target: got %d, want 2", e.Target().Bad)
	}
}
