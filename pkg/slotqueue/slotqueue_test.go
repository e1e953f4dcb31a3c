package slotqueue_test

import (
	"slices"
	"testing"
	"time"

	"ironhollow/pkg/slotqueue"
)

var start = time.UnixMilli(1_800_000_000_000)

// Checks that the more urgent requests are woken first, and that those of low priority are not passed
// by requests that arrive much later.
func TestOrderOfWaitingRequests(t *testing.T) {
	var queue slotqueue.Queue
	var got []string
	for _, e := range []struct {
		name     string
		priority int
		after    time.Duration
	}{{"low", 2, 0}, {"urgent", 0, 50 * time.Millisecond}, {"medium", 1, 20 * time.Millisecond}, {"late urgent", 0, 250 * time.Millisecond}} {
		queue.Add(queue.NewEntry(e.priority, start.Add(e.after), func() { got = append(got, e.name) }))
	}
	for queue.Len() > 0 {
		queue.WakeNext()
	}
	queue.WakeNext()
	if want := []string{"urgent", "medium", "low", "late urgent"}; !slices.Equal(got, want) {
		t.Errorf("got order %v, want %v", got, want)
	}
}

// Guards against an entry that wakes itself again instead of those behind it.
func TestTurnIsPassedOn(t *testing.T) {
	var queue slotqueue.Queue
	woken := 0
	first := queue.NewEntry(0, start, func() { t.Error("the first entry was woken") })
	second := queue.NewEntry(0, start, func() { woken++ })
	queue.Add(second)
	queue.WakeAfter(first)
	queue.Add(first)
	if woken != 1 || queue.Remove(second) || !queue.RemoveFirst(first) {
		t.Errorf("got %d entries woken, want the second one, and the first one left", woken)
	}
}

// Guards against requests that are held although no slot is expected in time.
func TestMaxWait(t *testing.T) {
	capacity := slotqueue.Capacity{Slots: 4, Service: 200 * time.Millisecond}
	for _, c := range []struct {
		what     string
		request  slotqueue.Request
		ahead    int
		capacity slotqueue.Capacity
		wait     time.Duration
		retry    time.Duration
		ok       bool
	}{
		{"short queue", slotqueue.Request{Objective: time.Second}, 3, capacity, 200 * time.Millisecond, 100 * time.Millisecond, true},
		{"long queue", slotqueue.Request{Objective: time.Second}, 9, capacity, 0, 300 * time.Millisecond, false},
		{"time used up", slotqueue.Request{Objective: time.Second, Elapsed: 250 * time.Millisecond}, 0, capacity, 0, 100 * time.Millisecond, false},
		{"longer than the objective", slotqueue.Request{Objective: 150 * time.Millisecond}, 0, capacity, 0, 100 * time.Millisecond, false},
		{"no objective", slotqueue.Request{}, 0, capacity, 200 * time.Millisecond, 100 * time.Millisecond, true},
		{"no slots", slotqueue.Request{Objective: time.Second}, 0, slotqueue.Capacity{}, 0, 100 * time.Millisecond, false},
	} {
		wait, retry, ok := c.request.MaxWait(c.ahead, c.capacity)
		if wait != c.wait || retry != c.retry || ok != c.ok {
			t.Errorf("%s: got %v, %v, %v; want %v, %v, %v", c.what, wait, retry, ok, c.wait, c.retry, c.ok)
		}
	}
}
