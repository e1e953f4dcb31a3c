package usage_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"ironhollow/pkg/roster"
	"ironhollow/pkg/standin/malformedrows"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// reportsOf returns the counts reported of a window.
func (s *sink) reportsOf(window int64) []string {
	var list []string
	for _, line := range s.reports {
		if number, report, _ := strings.Cut(line, " "); number == fmt.Sprint(window) {
			list = append(list, report)
		}
	}
	return list
}

// stepAt gives the holder a process's counts of window 200 and the next one, and runs the reporter at a
// time in seconds.
func (h *holder) stepAt(epoch, seconds int64) {
	h.now = time.Unix(seconds, 0)
	h.roster.Merge(roster.Row{
		Host: roster.Host{Incarnation: "p", Node: "p"}, Sequence: seconds,
		Counts: []roster.RequestCount{{Window: 200, Team: "t", Started: 7}, {Window: 201, Team: "t", Started: 9}},
	}, h.now)
	h.step(epoch)
}

// malformedCounts are malformed rows of a window.
func malformedCounts() map[string][]byte {
	values := malformedrows.Values()
	maps.Copy(values, malformedrows.JSON(map[string]string{"t": "3", "u": "4"}))
	// Null is decoded as no requests, which a holder may write.
	maps.DeleteFunc(values, func(_ string, value []byte) bool { return strings.Contains(string(value), ":null") })
	return values
}

// Guards against windows that are not reported, or late, because another writer left a row under the key of
// one of them, and against reports of its numbers.
func TestMalformedUsageRowDoesNotHoldUpReports(t *testing.T) {
	for name, value := range malformedCounts() {
		t.Run(name, func(t *testing.T) {
			store, s := tables.New(), &sink{}
			h := newHolder("h", store, s)
			h.stepAt(1, 1004)
			table.NewWriter(store, "other").Commit(t.Context(), table.Write{Key: "usage/200", Value: value, If: table.Always{}})
			h.stepAt(1, 1009)
			h.stepAt(1, 1014)
			for window, want := range map[int64]string{200: "by 1: map[t:7]", 201: "by 1: map[t:9]"} {
				if got := s.reportsOf(window); !slices.Equal(got, []string{want}) {
					t.Errorf("window %d: got %v, want one: %s", window, got, want)
				}
			}
			// The next holder repeats what was reported.
			next := newHolder("next", store, s)
			next.stepAt(2, 1015)
			if got := s.reportsOf(200); len(got) != 2 || got[1] != "by 2: map[t:7]" {
				t.Errorf("by the next holder: got %v, want the same counts again", got)
			}
		})
	}
}

// Guards against a window reported with other counts than before: a holder that cannot read the row of an
// earlier one skips it, and reports those after it.
func TestWindowWithMalformedRowIsNotReportedByTheNextHolder(t *testing.T) {
	for name, value := range malformedCounts() {
		t.Run(name, func(t *testing.T) {
			store, s := tables.New(), &sink{}
			newHolder("first", store, s).stepAt(1, 1009)
			table.NewWriter(store, "other").Commit(t.Context(), table.Write{Key: "usage/200", Value: value, If: table.Always{}})
			next := newHolder("next", store, s)
			next.stepAt(2, 1009)
			next.stepAt(2, 1014)
			if got := s.reportsOf(200); len(got) != 1 {
				t.Errorf("window 200: got %v, want that of the first holder alone", got)
			}
			if got := s.reportsOf(201); !slices.Equal(got, []string{"by 2: map[t:9]"}) {
				t.Errorf("window 201: got %v, want one", got)
			}
		})
	}
}
