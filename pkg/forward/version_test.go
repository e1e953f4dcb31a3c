package forward_test

import (
	"net/http"
	"testing"
	"time"

	"ironhollow/pkg/rollout"
)

// order makes the endpoints e0 of v1 and e1 of v2, and orders v2.
func (s *site) order() rollout.Order {
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

// where returns the endpoints that got the requests sent since it was last asked.
func (s *site) where(before int) string {
	text := ""
	for _, r := range s.requests()[before:] {
		text += r.endpoint
	}
	return text
}

// A request goes to the version that its order's phase says. What may be repeated and
// fails at the new version is answered by the one before; what may not is not sent again.
func TestRequestsGoByTheOrder(t *testing.T) {
	broken := text("HTTP/1.1 500 No\r\nId: %id\r\nContent-Length: 0\r\n\r\n", true)
	s := newSite(t, spec(), true, whole("fine"), broken)
	order := s.order()
	now := time.Now()
	word := func(phase rollout.Phase) rollout.Directive {
		return rollout.Directive{Service: "svc", Order: order.ID, Phase: phase, Share: 1, Epoch: 1, Number: int64(phase)}
	}
	for _, c := range []struct {
		what   string
		before func()
		path   string
		where  string
		status int
	}{
		{"no word yet", func() {}, "/safe/x", "e0", http.StatusOK},
		{"all to the target", func() { s.rollouts.ApplyDirective(word(rollout.Draining), now) }, "/safe/x", "e1e0", http.StatusOK},
		{"all to the target, once", func() {}, "/once/x", "e1", http.StatusInternalServerError},
		{"reverted", func() { s.rollouts.ApplyDirective(word(rollout.Reverted), now) }, "/once/x", "e0", http.StatusOK},
	} {
		c.before()
		sent := len(s.requests())
		got := s.ask(http.MethodPost, c.path, "body")
		if where := s.where(sent); where != c.where || got.status != c.status {
			t.Errorf("%s: got %d by %s, want %d by %s", c.what, got.status, where, c.status, c.where)
		}
	}
	report, ok := s.rollouts.Report("svc", order.ID, time.Now())
	if !ok || report.Requests != 4 || report.TargetRequests != 2 || report.OthersRunning != 0 {
		t.Errorf("report: got %+v, want 4 asked, 2 tried, nothing running", report)
	}
	if e := rollout.NewEvidence(report.Tallies...); e.Target().Bad != 2 {
		t.Errorf("bad answers of the target: got %d, want 2", e.Target().Bad)
	}
}
