package cloud_test

import (
	"testing"
	"time"

	"ironhollow/pkg/cloud"
	"ironhollow/pkg/endpoint"
)

// Guards against an endpoint that is sent work until it is reclaimed, because its notice was read
// before the list of hosts contained it.
func TestNoticeWaitsUntilEndpointIsKnown(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	known := map[string]endpoint.Info{}
	get := func(id string) (endpoint.Info, bool) { info, ok := known[id]; return info, ok }
	notice := func(sequence int64, id string) cloud.Notice {
		return cloud.Notice{Sequence: sequence, Endpoint: endpoint.Ref{ID: id, Incarnation: 2}, LeaveBy: now.Add(time.Minute)}
	}
	var q cloud.NoticeQueue
	q.Add([]cloud.Notice{notice(1, "late"), notice(2, "never"), notice(3, "restarted")})
	known["restarted"] = endpoint.Info{ID: "restarted", Incarnation: 3, State: endpoint.Live}
	if leaving, expired := q.Apply(get, now); len(leaving) != 0 || expired != 0 || q.LastSequence() != 3 {
		t.Errorf("before the endpoint is known: got %v, %d expired and sequence %d; want none and 3", leaving, expired, q.LastSequence())
	}
	known["late"] = endpoint.Info{ID: "late", Incarnation: 1, State: endpoint.Live, Address: "a"}
	want := endpoint.Info{ID: "late", Incarnation: 2, State: endpoint.Leaving, Address: "a", LeaveBy: now.Add(time.Minute)}
	if leaving, _ := q.Apply(get, now.Add(10*time.Second)); len(leaving) != 1 || leaving[0] != want {
		t.Errorf("once it is known: got %v, want %v", leaving, want)
	}
	q.Add([]cloud.Notice{notice(4, "read too late")})
	if leaving, expired := q.Apply(get, now.Add(3*time.Minute)); len(leaving) != 0 || expired != 1 {
		t.Errorf("later: got %v and %d expired, want the notice of the unknown endpoint to expire", leaving, expired)
	}
}
