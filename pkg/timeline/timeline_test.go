package timeline_test

import (
	"slices"
	"testing"
	"time"

	"ironhollow/pkg/timeline"
)

// Checks that events run in the order of their times, and events of the same time in the order in
// which they were scheduled, even if one event schedules another. Only the first event past the
// limit runs.
func TestRunOrdersEventsByTime(t *testing.T) {
	var line timeline.Timeline
	var got []string
	record := func(name string) func() { return func() { got = append(got, name) } }
	line.After(2*time.Second, record("third"))
	line.After(time.Second, record("first"))
	line.After(time.Second, func() {
		got = append(got, "second")
		line.After(time.Second, record("fourth"))
	})
	line.After(time.Minute, record("the one that reaches the end"))
	line.After(2*time.Minute, record("after the end"))
	line.Run(30*time.Second, nil)
	want := []string{"first", "second", "third", "fourth", "the one that reaches the end"}
	if !slices.Equal(got, want) || line.Now() != time.Minute || line.Scheduled() != 6 {
		t.Errorf("got %q at %v, %d scheduled, want %q at 1m, 6 scheduled", got, line.Now(), line.Scheduled(), want)
	}
	line.Run(time.Hour, func() bool { return true })
	if got := len(got); got != 6 {
		t.Errorf("events run: got %d, want 6", got)
	}
}
