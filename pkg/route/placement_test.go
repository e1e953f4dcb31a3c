package route_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/engine"
	"ironhollow/pkg/route"
)

// prompts numbers the prompts' own parts.
var prompts uint64

// chat is a prompt of a base that all share and a session's own part.
func chat(session uint64) route.Query {
	q := query()
	q.PromptTokens = 7000
	prompts++
	q.PrefixHashes = []uint64{1, 1000 + session, 1<<40 + prompts}
	q.PrefixTokens = []int{2500, 6500, 7000}
	q.SharedPrefixes = 2
	return q
}

// An entry sends a session's prompt where it had to go for load, away from its
// home; the others follow there once they have its placement.
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

// A prefix that someone was seen to have sent elsewhere is not thought to be at its
// home as well: what is queued there would be estimated too low.
func TestHomeIsNotThoughtToHaveWhatWentElsewhere(t *testing.T) {
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
			t.Errorf("%s: got %d tokens reckoned cached, want %d", c.Endpoint.ID, c.CachedTokens, want)
		}
	}
}

// Many sessions share a base, of which only the latest endpoints are remembered;
// each session's endpoint is found by the session's own part.
func TestSessionIsFoundBehindASharedBase(t *testing.T) {
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

// A long prompt makes others wait; a short one does not.
func TestOnlyLongPromptsAreToldAtOnce(t *testing.T) {
	r, _, _ := newRouter(4)
	short := query()
	short.PromptTokens = 20
	r.Choose(short, route.Expected, now)
	select {
	case id := <-r.Urgent():
		t.Fatalf("short prompt: got %s told at once, want nothing", id)
	default:
	}
	long := query()
	long.PromptTokens = 20_000
	c, _ := r.Choose(long, route.Expected, now)
	select {
	case id := <-r.Urgent():
		if id != c.Endpoint.ID {
			t.Errorf("long prompt: got %s told at once, want %s", id, c.Endpoint.ID)
		}
	default:
		t.Error("long prompt: got nothing told at once, want its endpoint")
	}
}

// What others sent of prompts not yet read fades as the endpoint reads them.
func TestToldQueueIsReadAsTimePasses(t *testing.T) {
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

// A part that nobody has read yet is not cached anywhere: what is queued behind it
// would be estimated too low by all that come after.
func TestPartThatNobodyHasReadIsNotCached(t *testing.T) {
	r, _, _ := newRouter(8)
	q := chat(4)
	c, _ := r.Choose(q, route.Expected, now)
	if c.CachedTokens != 0 {
		t.Errorf("first prompt of a session: got %d tokens reckoned cached, want 0", c.CachedTokens)
	}
	if got := r.LocalLoad(c.Endpoint.ID).PrefillTokens; got != q.PromptTokens {
		t.Errorf("told to the others: got %d tokens to be read, want %d", got, q.PromptTokens)
	}
}

// A prompt that is refused was not read: what comes later with the same parts does
// not find them there.
func TestRefusedPromptIsNotTakenForRead(t *testing.T) {
	r, _, _ := newRouter(8)
	q := chat(5)
	q.Accepts = func(route.Choice) bool { return false }
	if c, ok := r.Choose(q, route.Expected, now); ok {
		t.Fatalf("not accepted: got %s, want none", c.Endpoint.ID)
	}
	if got := r.DrainPlacements(); len(got) != 0 {
		t.Errorf("placements told: got %v, want none", got)
	}
	if got := r.LocalLoads(); len(got) != 0 {
		t.Errorf("loads told: got %v, want none", got)
	}
	again := chat(5)
	if c, _ := r.Choose(again, route.Expected, now); c.CachedTokens != 0 {
		t.Errorf("the same parts again: got %d tokens reckoned cached, want 0", c.CachedTokens)
	}
}
