package notice_test

import (
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
)

// Guards against a number of rejections that applies longer or shorter than the endpoint's responses
// name it: one that is unreadable changes nothing, one that is missing withdraws it if its request was
// sent after the number was received.
func TestResponsesChangeMaxRejections(t *testing.T) {
	h := newHost(1, 5, 1)
	fill := func(at time.Time) int {
		var choices []route.Choice
		for range 20 {
			if c, ok := h.router.Choose(route.Query{Target: route.Target{Service: "s"}, AnswerTokens: 1}, route.Expected, at); ok {
				choices = append(choices, c)
			}
		}
		for _, c := range choices {
			h.router.Done(c, route.Result{}, at)
		}
		return len(choices)
	}
	for i, c := range []struct {
		what   string
		notice endpoint.Notice
		sent   time.Duration
		want   int
	}{
		{"none", endpoint.Notice{}, 0, 20},
		{"named", endpoint.Notice{MaxRejections: 3}, 0, 8},
		{"unreadable", endpoint.Notice{BadMaxRejections: true}, 14 * time.Second, 8},
		{"none, earlier request", endpoint.Notice{}, -time.Second, 8},
		{"none, later request", endpoint.Notice{}, 27 * time.Second, 20},
	} {
		at := now.Add(time.Duration(i) * 7 * time.Second)
		h.ApplyResponse(h.info(0), c.notice, now.Add(c.sent), at)
		if got := fill(at.Add(6 * time.Second)); got != c.want {
			t.Errorf("%s: got %d requests in flight, want %d", c.what, got, c.want)
		}
	}
}

// Guards against slots that stay unused because endpoints rejected requests that were sent before the
// host knew of its share.
func TestRejectionsOfEarlierRequestsLeaveSlotsInUse(t *testing.T) {
	for _, c := range []struct {
		what string
		sent time.Duration
		want int
	}{
		{"sent before the first report", -time.Millisecond, 8},
		{"sent after it", time.Millisecond, 1},
	} {
		h := newHost(1, 5, 1)
		h.ApplyResponse(h.info(0), endpoint.Notice{MaxRejections: 3}, now, now)
		for range 4 {
			h.ApplyResponse(h.info(0), endpoint.Notice{MaxRejections: 3, Refused: true}, now.Add(c.sent), now.Add(2*time.Millisecond))
		}
		room, _ := h.router.Room(route.Query{Target: route.Target{Service: "s"}}, now.Add(2*time.Second))
		if room.Slots != c.want {
			t.Errorf("2 s after rejections of requests %s: got %d slots in use, want %d", c.what, room.Slots, c.want)
		}
	}
}

// Checks that other hosts apply a number of rejections that one host receives, and its withdrawal.
func TestMaxRejectionsReachOtherHost(t *testing.T) {
	a, b := newHost(1, 5, 1), newHost(7, 5, 1)
	for i, n := range []endpoint.Notice{{MaxRejections: 3}, {}} {
		at := now.Add(time.Duration(i) * time.Second)
		a.ApplyResponse(a.info(0), n, at, at)
		b.ApplyReports(a.Reports(at), at)
		if _, got := b.router.Room(route.Query{Target: route.Target{Service: "s"}}, at); got != (n.MaxRejections > 0) {
			t.Errorf("%v: got fragile %v at the other host", n, got)
		}
	}
}
