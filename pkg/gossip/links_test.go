package gossip_test

import (
	"testing"
	"time"

	"ironhollow/pkg/gossip"
	"ironhollow/pkg/roster"
)

// Guards against reports of lost links that arrive only with the next round, or not at all.
func TestStateOfLinksIsSentAtOnce(t *testing.T) {
	other := listen(t, roster.Host{Incarnation: "other", Node: "other"})
	self := roster.Host{Incarnation: "self", Node: "self"}
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(time.Now())
	members.Merge(roster.Row{Host: other.host, Sequence: 1}, time.Now())
	e, err := gossip.Listen(freeAddress(t), self, members, nil, nil, time.Now, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	e.SendLinks(gossip.LinksCut)
	for deadline := time.Now().Add(arrivalTime); other.count() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	if len(other.got) != 1 || other.got[0].Links != gossip.LinksCut || other.got[0].Incarnation != "self" {
		t.Errorf("datagrams: got %+v, want one with the lost links of self", other.got)
	}
}
