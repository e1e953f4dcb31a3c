package gossip_test

import (
	"testing"
	"time"

	"ironhollow/pkg/gossip"
	"ironhollow/pkg/roster"
)

// Hosts of the earlier version reject a status datagram with more members, so the offered work
// must arrive in another datagram.
func TestWorkIsSentApartFromStatus(t *testing.T) {
	now := time.Now()
	other := listen(t, host(1, 400))
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(now)
	members.ApplyStatus(roster.Status{Host: other.host, Sequence: 1}, now)
	sent := []roster.Work{{Service: "svc", SlotTime: 3, TokenTime: 4000, Offered: 2, Refused: 0.5}}
	runUntil(t, host(0, 800), members, gossip.Update{Status: roster.Status{Host: host(0, 800)}, Work: sent}, func() bool { return other.count() > 1 })
	other.mu.Lock()
	defer other.mu.Unlock()
	status, work := 0, 0
	for _, update := range other.got {
		switch {
		case len(update.Work) == 0:
			status++
		case !update.Brief || update.Work[0] != sent[0]:
			t.Errorf("got %+v, want a brief update with %+v", update, sent)
		default:
			work++
		}
	}
	if status == 0 || work == 0 {
		t.Errorf("got %d status datagrams and %d with work, want both", status, work)
	}
}
