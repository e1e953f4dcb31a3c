package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/roster"
)

// Three data centres are reclaimed at once: notices beyond the first datagram must not be left out.
func TestManyNoticesArriveInSeveralDatagrams(t *testing.T) {
	other := listen(t, roster.Host{Incarnation: "other", Node: "other"})
	e, err := gossip.Listen(freeAddress(t), roster.Host{Incarnation: "self", Node: "self"}, roster.New(silence, gossip.Interval), func() gossip.Update { return gossip.Update{} }, func(gossip.Update) {}, time.Now, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	sent := map[notice.Report]bool{}
	var list []notice.Report
	for i := range 150 {
		report := notice.Report{Endpoint: fmt.Sprintf("endpoint-of-a-data-centre-%03d", i), StartedMS: 1_800_000_000_000 + int64(i), Notice: endpoint.Notice{Leaving: true}}
		list = append(list, report)
		sent[report] = true
	}
	e.SendNotices(list, other.host.PeerAddress)
	for deadline := time.Now().Add(arrivalTime); len(sent) > 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		other.mu.Lock()
		for _, update := range other.got {
			for _, report := range update.Notices {
				delete(sent, report)
			}
		}
		other.mu.Unlock()
	}
	if len(sent) > 0 {
		t.Errorf("got %d of 150 notices, want all", 150-len(sent))
	}
}
