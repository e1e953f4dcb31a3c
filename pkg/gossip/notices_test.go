package gossip_test

import (
	"fmt"
	"testing"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/notice"
)

// Guards against a host that starts and is not sent the limits of all endpoints.
func TestLimitsOfAllEndpointsAreEncoded(t *testing.T) {
	var list []notice.Report
	for i := range 300 {
		list = append(list, notice.Report{
			Endpoint: fmt.Sprint("e", i), StartedMS: 5, Notice: endpoint.Notice{MaxRejections: 1 + i}, LimitKind: notice.RejectionLimit, LimitVersion: uint64(1 + i),
		})
	}
	messages, err := gossip.EncodeNotices(list)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]notice.Report{}
	for _, data := range messages {
		reports, err := gossip.DecodeNotices(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range reports {
			got[r.Endpoint] = r
		}
	}
	for _, want := range list {
		if got[want.Endpoint] != want {
			t.Errorf("got %+v, want %+v", got[want.Endpoint], want)
		}
	}
	if none, err := gossip.EncodeNotices(nil); len(none) > 0 || err != nil {
		t.Errorf("no limits: got %d messages, %v, want none", len(none), err)
	}
}
