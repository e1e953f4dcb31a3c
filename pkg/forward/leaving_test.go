package forward_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
)

// Guards against a Retry-After from the queue of an endpoint that leaves: it is shorter than that of the
// endpoints that remain, so that callers who return by it are refused again.
func TestRetryAfterIgnoresLeavingEndpoints(t *testing.T) {
	s := newHarness(t, spec(), true, respondOK("answer"), respondOK("answer"))
	s.router.SetLeavingWindow(10 * time.Second)
	s.send("POST", "/stream/x", "first")
	for id, queue := range map[string]time.Duration{"e0": 1200 * time.Millisecond, "e1": 900 * time.Millisecond} {
		s.router.ApplyReport(s.endpoint(id).Ref(), engine.Report{
			Sequence: 1, Slots: 4, QueuedTokens: int(queue / time.Microsecond), QueuedAt: time.Now().Add(time.Minute),
		})
	}
	now := time.Now()
	s.directory.Update(s.endpoint("e1").Ref(), func(i *endpoint.Info) {
		i.State, i.LeavingSince, i.LeaveBy = endpoint.Leaving, now, now.Add(20*time.Second)
	})
	got := s.send("POST", "/stream/x", "second")
	if retryAfter, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64); got.status != http.StatusServiceUnavailable || retryAfter < 0.39 || retryAfter > 0.41 {
		t.Errorf("got %d, Retry-After %v, want 503, 0.4", got.status, retryAfter)
	}
}
