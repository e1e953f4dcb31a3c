package route_test

import (
	"testing"
	"time"

	"ironhollow/pkg/engine"
	"ironhollow/pkg/route"
)

const memoryTokens = 20_000

// memoryQuery returns a request that holds 9,000 tokens.
func memoryQuery() route.Query {
	q := query()
	q.PromptTokens, q.AnswerTokens, q.MemoryTokens = 8000, 1000, memoryTokens
	return q
}

// Guards against sending a prompt to an engine with free slots but without memory for it.
func TestPromptGoesWhereItFits(t *testing.T) {
	for _, stated := range []int{0, memoryTokens} {
		r, _, _ := newRouter(4)
		q := memoryQuery()
		q.MemoryTokens = stated
		r.Explain(q, now)
		for i := range 3 {
			r.SetHeldByOthers(info(i).Ref(), 19_000)
		}
		r.ApplyReport(info(3).Ref(), engine.Report{Sequence: now.UnixMilli() + 1, Running: 3, Slots: 16})
		c, _ := r.Choose(q, route.Expected, now)
		if got, want := c.Endpoint.ID == info(3).ID, stated > 0; got != want {
			t.Errorf("memory of %d: got %s, want the endpoint with room only if the memory is stated", stated, c.Endpoint.ID)
		}
	}
}

// Guards against a queue estimate of 0 for admission where all memory is held.
func TestFullMemoryCountsAsQueue(t *testing.T) {
	r, _, _ := newRouter(1)
	c, _ := r.Choose(memoryQuery(), route.Expected, now)
	r.Done(c, route.Result{}, now.Add(4*time.Second))
	first, _ := r.Choose(memoryQuery(), route.Expected, now.Add(time.Hour))
	second, _ := r.Choose(memoryQuery(), route.Expected, now.Add(time.Hour))
	third, _ := r.Choose(memoryQuery(), route.Expected, now.Add(time.Hour))
	// 7,000 of the 18,000 held tokens are lacking, each of which is held for 4 s.
	if got, least := third.Queued-second.Queued, 1500*time.Millisecond; got < least {
		t.Errorf("queue for a request that does not fit: got %v more than for one that does, want at least %v", got, least)
	}
	r.Done(first, route.Result{Failed: true}, now.Add(time.Hour))
	r.Done(third, route.Result{Failed: true}, now.Add(time.Hour))
	if again, _ := r.Choose(memoryQuery(), route.Expected, now.Add(time.Hour)); again.Queued > second.Queued {
		t.Errorf("queue after two of three requests: got %v, want at most %v", again.Queued, second.Queued)
	}
}

// Guards against a host that keeps announcing what it no longer holds, or says it only once: the
// datagram may be lost.
func TestHeldTokensAreReportedUntilZeroIsKnown(t *testing.T) {
	r, _, _ := newRouter(4)
	without := query()
	c, _ := r.Choose(without, route.Expected, now)
	if got := r.HeldReports(now); len(got) != 0 {
		t.Errorf("service without stated memory: got %v, want no report", got)
	}
	r.Done(c, route.Result{}, now)
	c, _ = r.Choose(memoryQuery(), route.Expected, now)
	if got := r.HeldReports(now); len(got) != 1 || got[0] != (route.HeldReport{Endpoint: c.Endpoint.Ref(), Tokens: 9000}) {
		t.Errorf("first report: got %v, want 9000 tokens", got)
	}
	if got := r.HeldReports(now.Add(100 * time.Millisecond)); len(got) != 0 {
		t.Errorf("unchanged after 0.1 s: got %v, want no report", got)
	}
	r.Done(c, route.Result{}, now.Add(200*time.Millisecond))
	zeros := 0
	for tenths := range 100 {
		for _, report := range r.HeldReports(now.Add(time.Duration(2+tenths) * 100 * time.Millisecond)) {
			if report.Tokens != 0 {
				t.Errorf("after the end: got %+v, want 0 tokens", report)
			}
			zeros++
		}
	}
	if zeros < 2 || zeros > 4 {
		t.Errorf("reports of 0 tokens: got %d in 10 s, want 2 to 4", zeros)
	}
}
