package migrate_test

import (
	"slices"
	"testing"
	"time"

	"ironhollow/pkg/migrate"
)

// conditions of a link that copies 1,000 tokens in 10 ms, 20 ms between data centres.
func conditions(left time.Duration) migrate.Conditions {
	return migrate.Conditions{Left: left, Link: migrate.Link{BytesPerToken: 1000, BytesPerSecond: 1e8}, PrefillPerToken: 50 * time.Microsecond}
}

func ids(streams []migrate.Stream) []string {
	var list []string
	for _, s := range streams {
		list = append(list, s.ID)
	}
	return list
}

func TestPlan(t *testing.T) {
	long := 10 * time.Second
	for _, c := range []struct {
		name   string
		own    []migrate.Stream
		others []migrate.Run
		left   time.Duration
		want   []string
	}{
		{"most tokens first", []migrate.Stream{{"a", 1000, long, true}, {"b", 3000, long, true}, {"c", 2000, long, false}}, nil, 2 * time.Second, []string{"b", "c", "a"}},
		{"streams that end in time stay", []migrate.Stream{{"a", 1000, time.Second, false}, {"b", 1000, 3 * time.Second, false}}, nil, 2 * time.Second, []string{"b"}},
		{"only what fits", []migrate.Stream{{"a", 3000, long, true}, {"b", 2000, long, true}, {"c", 1000, long, true}}, nil, 290 * time.Millisecond, []string{"a", "c"}},
		{"runs of other hosts share the link", []migrate.Stream{{"a", 3000, long, true}, {"b", 1000, long, true}}, []migrate.Run{{ID: "x", Tokens: 5000}}, 270 * time.Millisecond, nil},
		{"smaller runs of other hosts do not", []migrate.Stream{{"a", 3000, long, true}}, []migrate.Run{{ID: "x", Tokens: 2000}}, 270 * time.Millisecond, []string{"a"}},
		{"too late", []migrate.Stream{{"a", 1, long, false}}, nil, 100 * time.Millisecond, nil},
	} {
		if got := ids(migrate.Plan(c.own, c.others, conditions(c.left))); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// A stream that may be resumed is not moved over a link that is slower than a prefill. One that may
// not be is: it would be lost.
func TestSlowLinkMovesOnlyWhatCannotBeResumed(t *testing.T) {
	slow := conditions(5 * time.Second)
	slow.PrefillPerToken = 5 * time.Microsecond
	got := ids(migrate.Plan([]migrate.Stream{{"resumable", 1000, time.Minute, true}, {"not", 1000, time.Minute, false}}, nil, slow))
	if want := []string{"not"}; !slices.Equal(got, want) {
		t.Errorf("plan: got %v, want %v", got, want)
	}
}

// Guards against moving a stream that ends in time because its first gap was long.
func TestTokenGapAfterOneLongGap(t *testing.T) {
	for _, c := range []struct {
		elapsed time.Duration
		events  int
		want    time.Duration
	}{{0, 0, 5 * time.Millisecond}, {55 * time.Millisecond, 1, 15 * time.Millisecond}, {480 * time.Millisecond, 12, 31250 * time.Microsecond}} {
		if got := migrate.TokenGap(c.elapsed, c.events, 1, 5*time.Millisecond); got != c.want {
			t.Errorf("%d events in %v: got %v, want %v", c.events, c.elapsed, got, c.want)
		}
	}
}

func TestRemainingTokens(t *testing.T) {
	for _, c := range []struct{ made, expected, longest, want int }{
		{100, 300, 0, 200}, {100, 0, 150, 50}, {100, 0, 0, 100}, {300, 200, 0, 30}, {300, 200, 310, 10}, {400, 200, 300, 1}, {0, 0, 0, 1},
	} {
		if got := migrate.RemainingTokens(c.made, c.expected, c.longest); got != c.want {
			t.Errorf("made %d, expected %d, longest %d: got %d, want %d", c.made, c.expected, c.longest, got, c.want)
		}
	}
}

// BenchmarkPlan plans for one of 16 hosts that relay 64 streams of an endpoint.
func BenchmarkPlan(b *testing.B) {
	var own []migrate.Stream
	var others []migrate.Run
	for i := range 64 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		if i%16 == 0 {
			own = append(own, migrate.Stream{ID: id, Tokens: 2000 + i*150, Remaining: 10 * time.Second})
		} else {
			others = append(others, migrate.Run{ID: id, Tokens: 2000 + i*150})
		}
	}
	for b.Loop() {
		migrate.Plan(own, others, conditions(2*time.Second))
	}
}

func TestLengths(t *testing.T) {
	lengths := migrate.NewLengths()
	for n := range 10 {
		if got := lengths.Mean("r"); got != 0 {
			t.Errorf("after %d answers: got %d, want 0", n, got)
		}
		lengths.Record("r", 100+n%2*100)
	}
	if got := lengths.Mean("r"); got != 150 {
		t.Errorf("mean: got %d, want 150", got)
	}
	if got := lengths.Mean("other"); got != 0 {
		t.Errorf("other route: got %d, want 0", got)
	}
}
