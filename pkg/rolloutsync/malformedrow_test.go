package rolloutsync_test

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/rollout"
	"ironhollow/pkg/rolloutsync"
	"ironhollow/pkg/standin/malformedrows"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// malformedStates returns malformed rows of the order's state. The row that they are made from is of an earlier order.
func malformedStates(t *testing.T) map[string][]byte {
	t.Helper()
	values, err := malformedrows.CBOR(map[int]any{1: service, 2: "v2", 3: 20_000, 4: order.ID, 5: int(rollout.Trying), 6: 60_000, 7: "reason", 8: 1})
	if err != nil {
		t.Fatal(err)
	}
	maps.Copy(values, malformedrows.Values())
	// Of the rows that cannot be decoded for the same reason, one is enough.
	seen := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if _, err := rolloutsync.DecodeState(values[name]); err != nil {
			reason := strings.Map(withoutDigits, err.Error())
			if seen[reason] {
				delete(values, name)
			}
			seen[reason] = true
		}
	}
	return values
}

func withoutDigits(r rune) rune {
	if r == '-' || r >= '0' && r <= '9' {
		return -1
	}
	return r
}

// end stops all hosts and waits until their goroutines have ended.
func (f *fleet) end() {
	for _, h := range f.all() {
		h.stop()
	}
	time.Sleep(10 * time.Second)
}

func overwrite(t *testing.T, store *tables.Store, value []byte) {
	t.Helper()
	table.NewWriter(store, "other").Commit(t.Context(), table.Write{Key: rolloutsync.Key(service), Value: value, If: table.Always{}})
}

// Guards against an order that is never completed because another writer left a row under its service, before
// the order, while it is tried, or before another owner takes over.
func TestMalformedRolloutRowDoesNotHoldUpOrder(t *testing.T) {
	for name, value := range malformedStates(t) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{store: tables.New(), random: rand.New(rand.NewPCG(1, 1)), began: time.Now(), hosts: make([]*host, 1), starts: 3}
				overwrite(t, f.store, value)
				f.start(0)
				defer f.end()
				time.Sleep(5 * time.Second)
				overwrite(t, f.store, value)
				time.Sleep(2 * time.Second)
				f.hosts[0].stop()
				overwrite(t, f.store, value)
				f.start(0)
				f.awaitPhase(t, rollout.Trying)
				time.Sleep(40 * time.Second)
				if got := f.phase(); got != rollout.Completed {
					t.Errorf("phase after 47 s: got %v, want completed", got)
				}
			})
		})
	}
}

// Guards against an owner that takes over an order again and again because its row has the period in whole
// milliseconds.
func TestOrderWithFractionalPeriodIsCompletedByNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := order
		defer func() { order = before }()
		order.Period += 300 * time.Microsecond
		f := &fleet{store: tables.New(), random: rand.New(rand.NewPCG(1, 1)), began: time.Now(), hosts: make([]*host, 1), starts: 3}
		f.start(0)
		defer f.end()
		f.awaitPhase(t, rollout.Trying)
		f.hosts[0].stop()
		f.start(0)
		time.Sleep(30 * time.Second)
		if got := f.phase(); got != rollout.Completed {
			t.Errorf("phase after 30 s: got %v, want completed", got)
		}
	})
}

// checkDirective fails unless a directive's numbers are ones that an owner sends.
func checkDirective(t *testing.T, d rollout.Directive) {
	t.Helper()
	if !(d.Share >= 0 && d.Share <= 1) || d.Slack < 0 || d.Slack > math.MaxInt32 || d.Period <= 0 || d.Phase < rollout.Trying || d.Phase > rollout.Reverted {
		t.Errorf("got directive %+v, want it rejected", d)
	}
	checkThresholds(t, d.SlowThresholds)
}

func checkThresholds(t *testing.T, thresholds []rollout.SlowThreshold) {
	t.Helper()
	for _, s := range thresholds {
		if !(s.Value > 0) || math.IsInf(s.Value, 0) || s.Answers < 0 {
			t.Errorf("got threshold %+v, want it rejected", s)
		}
	}
}

func checkReport(t *testing.T, r rollout.Report) {
	t.Helper()
	counts := []int{r.Requests, r.TargetRequests, r.OthersRunning}
	for _, tally := range r.Tallies {
		counts = append(counts, tally.Answers, tally.Bad)
	}
	for _, n := range counts {
		// The owner adds the counts of up to 100,000 hosts.
		if n < 0 || n > math.MaxInt64/100_000 {
			t.Errorf("got report %.200v, want it rejected", r)
		}
	}
	if r.LongestOther < 0 || r.LongestOther > 100*365*24*time.Hour || r.Phase < rollout.Trying || r.Phase > rollout.Reverted {
		t.Errorf("got report %.200v, want it rejected", r)
	}
	checkThresholds(t, r.SlowThresholds)
}

// Guards against roll-outs that never end, or never stop, because a host of another release sends numbers that
// no owner or host counts.
func TestNumbersOutOfRangeInDatagramsAreRejected(t *testing.T) {
	directive := []any{service, 5, "v2", 1000, 2, 0.25, 3, 2, 9, []any{"e1"}, []any{[]any{4, 0.5, 20}}}
	report := []any{service, 5, 2, 2, 9, 100, 7, 2, 3000, []any{"e1"}, []any{4}, []any{[]any{0, 1, 7, 3}}, []any{[]any{4, 0.5, 20}}}
	values, err := malformedrows.Elements([]any{[]any{directive}, []any{report}})
	if err != nil {
		t.Fatal(err)
	}
	maps.Copy(values, malformedrows.Values())
	for name, value := range values {
		t.Run(name, func(t *testing.T) {
			directives, reports, _ := rolloutsync.Decode(value)
			for _, d := range directives {
				checkDirective(t, d)
			}
			for _, r := range reports {
				checkReport(t, r)
			}
		})
	}
	sound := []any{service, 6, "v3", 1000, 2, 0.25, 3, 2, 9, []any{}, []any{}}
	malformed := []any{service, 5, "v2", math.MinInt64, 2, 0.25, 3, 2, 9, []any{}, []any{}}
	data, err := cbor.Marshal([]any{[]any{malformed, sound}, []any{}})
	if err != nil {
		t.Fatal(err)
	}
	directives, _, err := rolloutsync.Decode(data)
	if err == nil || !strings.Contains(err.Error(), "period") || len(directives) != 1 || directives[0].Order != 6 {
		t.Errorf("malformed directive before a sound one: got %+v and error %v, want the sound one and an error", directives, err)
	}
}
