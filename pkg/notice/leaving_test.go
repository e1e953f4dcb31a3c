package notice_test

import (
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/notice"
)

// leavingRow returns an endpoint as decoded from a row that says that it leaves.
func leavingRow(i int, startedMS int64) endpoint.Info {
	return endpoint.Info{ID: id(i), StartedMS: startedMS, State: endpoint.Leaving, LeavesIn: 2 * time.Second}
}

// A holder of the duties that cannot read the rows ordered no endpoints until its lease expired.
func TestHostWithoutRowsLearnsOfLeavingEndpoints(t *testing.T) {
	holder := newHost(1, 5, 3)
	left := make(chan string, 8)
	holder.directory.SubscribeLeaving(func(info endpoint.Info) { left <- info.ID })
	rows := notice.NewLeavingRows()
	if !rows.Observe(leavingRow(0, 5), now) || rows.Observe(leavingRow(0, 5), now) {
		t.Error("two rows of a run: got another result than true, false")
	}
	// This run is later than the one that the holder knows.
	rows.Observe(leavingRow(1, 6), now)
	rows.Observe(leavingRow(2, 0), now)
	reports := rows.Reports("holder", now)
	if len(reports) != 2 {
		t.Fatalf("reports: got %+v, want the two endpoints that state when they started", reports)
	}
	holder.ApplyReports(reports, now)
	holder.ApplyReports(rows.Reports("holder", now), now)
	for i, want := range []endpoint.State{endpoint.Leaving, endpoint.Live, endpoint.Live} {
		if got := holder.info(i).State; got != want {
			t.Errorf("endpoint %d at the holder: got %v, want %v", i, got, want)
		}
	}
	if got := <-left; got != id(0) {
		t.Errorf("subscriber was told of %s, want %s", got, id(0))
	}
}

// Reports that are repeated without end, or of endpoints that left long ago, would load the hosts.
func TestReportsOfLeavingRowsEnd(t *testing.T) {
	rows := notice.NewLeavingRows()
	rows.Observe(leavingRow(0, 5), now)
	sent := func(receiver string, at time.Time) int { return len(rows.Reports(receiver, at)) }
	for round, want := range []int{1, 1, 1, 0} {
		if got := sent("a", now); got != want {
			t.Errorf("round %d: got %d reports, want %d", round, got, want)
		}
	}
	if got := sent("b", now.Add(time.Second)); got != 1 {
		t.Errorf("the next holder: got %d reports, want 1", got)
	}
	later := now.Add(5 * time.Second)
	if rows.Observe(leavingRow(0, 5), later) || rows.Pending(later) || sent("c", later) != 0 {
		t.Error("renewed row of an endpoint that began to leave 5 s ago: got a report, want none")
	}
}
