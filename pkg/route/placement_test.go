package route_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/engine"
	"ironhollow/pkg/route"
)

// prompts counts the prompts, so that each has a unique last prefix.
var prompts uint64

// chat returns a prompt with a base that all sessions share, a session's prefix and a unique rest.
func chat(session uint64) route.Query {
	q := query()
	q.PromptTokens = 7000
	prompts++
	q.PrefixHashes = []uint64{1, 1000 + session, 1<<40 + prompts}
	q.PrefixTokens = []int{2500, 6500, 7000}
	q.SharedPrefixes = 2
	return q
}

// Because of load, an entry sends a session's prompt to another endpoint than its home. The other
// entries must send the session there once they have the placement.
func TestEntriesFollowEachOthersPlacements(t *testing.T) {
	first, _, _ := newRouter(8)
	second, _, _ := newRouter(8)
	third, _, _ := newRouter(8)
	home, _ := third.Choose(chat(2), route.Expected, now)
	first.ApplyReport(home.Endpoint.Ref(), engine.Report{Sequence: now.UnixMilli() + 1, Running: 200, Slots: 16, QueuedTokens: 100_000})
	placed, _ := first.Choose(chat(2), route.Expected, now)
	if placed.Endpoint.ID == home.Endpoint.ID {
		t.Fatal("first entry: got the loaded home, want another endpoint")
	}
	sent := chat(2)
	for _, p := range first.DrainPlacements() {
		second.ApplyPlacement(p)
		if p.Endpoint != placed.Endpoint.ID || fmt.Sprint(p.PrefixHashes) != fmt.Sprint(sent.PrefixHashes[:2]) {
			t.Errorf("placement: got %+v, want the shared prefixes at %s", p, placed.Endpoint.ID)
		}
	}
	followed, _ := second.Choose(chat(2), route.Expected, now.Add(time.Second))
	if followed.Endpoint.ID != placed.Endpoint.ID || followed.CachedTokens != 6500 {
		t.Errorf("second entry: got %s with %d tokens cached, want %s with 6500", followed.Endpoint.ID, followed.CachedTokens, placed.Endpoint.ID)
	}
	if again := first.DrainPlacements(); len(again) != 0 {
		t.Errorf("placements taken again: got %v, want none", again)
	}
}

// Guards against counting a prefix as cached at its home when it was sent elsewhere: the queue at
// the home would be estimated too low.
func TestPrefixPlacedElsewhereIsNotCachedAtHome(t *testing.T) {
	r, _, _ := newRouter(8)
	q := chat(3)
	home, _ := r.Choose(q, route.Expected, now)
	r.Done(home, route.Result{}, now)
	other := info(0).ID
	if home.Endpoint.ID == other {
		other = info(1).ID
	}
	fresh, _, _ := newRouter(8)
	fresh.ApplyPlacement(route.Placement{Endpoint: other, PrefixHashes: q.PrefixHashes[:2]})
	for _, c := range fresh.Explain(q, now) {
		want := 0
		if c.Endpoint.ID == other {
			want = 6500
		}
		if c.CachedTokens != want {
			t.Errorf("%s: got %d tokens estimated to be cached, want %d", c.Endpoint.ID, c.CachedTokens, want)
		}
	}
}

// Many sessions share a base, for which only the latest endpoints are stored. Each session's
// endpoint must be found by the session's own prefix.
func TestSessionIsFoundByItsOwnPrefix(t *testing.T) {
	r, _, _ := newRouter(30)
	for session := range 30 {
		r.ApplyPlacement(route.Placement{Endpoint: info(session).ID, PrefixHashes: chat(uint64(session)).PrefixHashes[:2]})
	}
	for session := range 30 {
		c, _ := r.Choose(chat(uint64(session)), route.Expected, now)
		r.Done(c, route.Result{}, now)
		if want := info(session).ID; c.Endpoint.ID != want || c.CachedTokens != 6500 {
			t.Errorf("session %d: got %s with %d tokens cached, want %s with 6500", session, c.Endpoint.ID, c.CachedTokens, want)
		}
	}
}

// A long prompt delays other requests, so its endpoint is urgent; that of a short one is not.
func TestOnlyLongPromptsAreUrgent(t *testing.T) {
	r, _, _ := newRouter(4)
	short := query()
	short.PromptTokens = 20
	r.Choose(short, route.Expected, now)
	select {
	case id := <-r.Urgent():
		t.Fatalf("short prompt: got urgent endpoint %s, want none", id)
	default:
	}
	long := query()
	long.PromptTokens = 20_000
	c, _ := r.Choose(long, route.Expected, now)
	select {
	case id := <-r.Urgent():
		if id != c.Endpoint.ID {
			t.Errorf("long prompt: got urgent endpoint %s, want %s", id, c.Endpoint.ID)
		}
	default:
		t.Error("long prompt: got no urgent endpoint, want the prompt's")
	}
}

// The queue that other entries reported shrinks as the endpoint prefills it.
func TestReportedQueueShrinksOverTime(t *testing.T) {
	r, _, _ := newRouter(1)
	ref := info(0).Ref()
	r.ApplyReport(ref, engine.Report{Sequence: now.UnixMilli() + 1, Slots: 16, QueuedTokens: 5000, QueuedAt: now})
	first, _ := r.Choose(query(), route.Expected, now.Add(time.Millisecond))
	r.Done(first, route.Result{}, now)
	second, _ := r.Choose(query(), route.Expected, now.Add(2*time.Second))
	if first.Queued < 900*time.Millisecond || second.Queued > 0 {
		t.Errorf("queued: got %v at once and %v two seconds later, want about 1 s and none", first.Queued, second.Queued)
	}
}

// Guards against counting a prefix as cached before an endpoint has prefilled it: the queue behind
// it would be estimated too low for all later requests.
func TestNewPrefixIsNotCached(t *testing.T) {
	r, _, _ := newRouter(8)
	q := chat(4)
	c, _ := r.Choose(q, route.Expected, now)
	if c.CachedTokens != 0 {
		t.Errorf("first prompt of a session: got %d tokens estimated to be cached, want 0", c.CachedTokens)
	}
	if got := r.LocalLoad(c.Endpoint.ID).PrefillTokens; got != q.PromptTokens {
		t.Errorf("local load: got %d tokens to be prefilled, want %d", got, q.PromptTokens)
	}
}

// Guards against a rejected choice that counts as prefilled: a later prompt with the same prefixes
// must not find them cached.
func TestRejectedChoiceIsNotCached(t *testing.T) {
	r, _, _ := newRouter(8)
	q := chat(5)
	q.Accepts = func(route.Choice) bool { return false }
	if c, ok := r.Choose(q, route.Expected, now); ok {
		t.Fatalf("not accepted: got %s, want none", c.Endpoint.ID)
	}
	if got := r.DrainPlacements(); len(got) != 0 {
		t.Errorf("placements: got %v, want none", got)
	}
	if got := r.LocalLoads(); len(got) != 0 {
		t.Errorf("local loads: got %v, want none", got)
	}
	again := chat(5)
	if c, _ := r.Choose(again, route.Expected, now); c.CachedTokens != 0 {
		t.Errorf("the same prefixes again: got %d tokens estimated to be cached, want 0", c.CachedTokens)
	}
}
