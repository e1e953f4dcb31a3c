package timeline_test

import (
	"slices"
	"testing"
	"time"

	"ironhollow/pkg/timeline"
)

// Things happen by their times, those of one time as they were planned, also where one
// plans another; nothing happens long after the end.
func TestOrder(t *testing.T) {
	var line timeline.Timeline
	var got []string
	note := func(what string) func() { return func() { got = append(got, what) } }
	line.After(2*time.Second, note("third"))
	line.After(time.Second, note("first"))
	line.After(time.Second, func() {
		got = append(got, "second")
		line.After(time.Second, note("fourth"))
	})
	line.After(time.Minute, note("the one that reaches the end"))
	line.After(2*time.Minute, note("after the end"))
	line.Run(30*time.Second, nil)
	want := []string{"first", "second", "third", "fourth", "the one that reaches the end"}
	if !slices.Equal(got, want) || line.Now() != time.Minute || line.Scheduled() != 6 {
		t.Errorf("got %q at %v, %d planned, want %q at 1m, 6 planned", got, line.Now(), line.Scheduled(), want)
	}
	line.Run(time.Hour, func() bool { return true })
	if got := len(got); got != 6 {
		t.Errorf("things done: got %d, want 6", got)
	}
}
