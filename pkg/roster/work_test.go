package roster_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"ironhollow/pkg/roster"
)

func withWork(hosts int, now time.Time) *roster.Roster {
	members := roster.New(silence, interval)
	for i := range hosts {
		name := fmt.Sprintf("h%04d", i)
		members.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: name, Node: name, Millicores: 800}, Sequence: 1}, now)
		members.ApplyWork(name, []roster.Work{{Service: "svc", SlotTime: 2, TokenTime: 100, Offered: 1, Refused: 0.25}}, now)
	}
	return members
}

// Invalid work of one host must not change the sum, and work that is no longer sent must not
// count.
func TestWorkOfHostsIsSummed(t *testing.T) {
	now := time.Unix(1000, 0)
	members := withWork(3, now)
	members.ApplyWork("h0002", []roster.Work{{Service: "svc", SlotTime: math.NaN()}, {Service: "svc", Offered: 1, Refused: 2}}, now)
	if got, want := members.Work(now)["svc"], (roster.Work{Service: "svc", SlotTime: 4, TokenTime: 200, Offered: 2, Refused: 0.5}); got != want {
		t.Errorf("work: got %+v, want %+v", got, want)
	}
	if got := members.Work(now.Add(time.Minute))["svc"]; got.Offered != 0 {
		t.Errorf("work a minute later: got %+v, want none", got)
	}
}

// The work for many services is sent in several datagrams. Guards against counting only the last one.
func TestWorkOfSeveralDatagramsIsSummed(t *testing.T) {
	now := time.Unix(1000, 0)
	members := withWork(1, now)
	members.ApplyWork("h0000", []roster.Work{{Service: "other", Offered: 3}}, now)
	work := members.Work(now.Add(time.Second))
	if work["svc"].Offered != 1 || work["other"].Offered != 3 {
		t.Errorf("got %+v, want 1 offered for svc and 3 for other", work)
	}
	members.ApplyWork("h0000", []roster.Work{{Service: "other", Offered: 3}}, now.Add(5*time.Second))
	if got := members.Work(now.Add(5 * time.Second))["svc"].Offered; got != 0 {
		t.Errorf("work that is no longer sent: got %v offered, want 0", got)
	}
}

// Rows of the earlier version have no work, and those of this one keep it.
func TestRowKeepsWork(t *testing.T) {
	want := roster.Row{Host: roster.Host{Incarnation: "a", Node: "a", CallerAddress: "10.0.0.1:1"}, Work: []roster.Work{{Service: "svc", SlotTime: 2, TokenTime: 100, Offered: 1, Refused: 0.25}}}
	value, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := roster.Decode("a", value); err != nil || len(got.Work) != 1 || got.Work[0] != want.Work[0] {
		t.Errorf("row: got %+v, %v, want %+v", got, err, want)
	}
}

// BenchmarkWork measures the sum over hosts that all have callers.
func BenchmarkWork(b *testing.B) {
	for _, hosts := range []int{72, 300, 985} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			now := time.Unix(1000, 0)
			members := withWork(hosts, now)
			for b.Loop() {
				members.Work(now)
			}
		})
	}
}
