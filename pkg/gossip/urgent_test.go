package gossip_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/roster"
)

// Endpoints that change at the same time are sent in one brief datagram, without duplicates, long
// before the next full round.
func TestSingleEndpointsAreSentAtOnce(t *testing.T) {
	other := listen(t, roster.Host{Incarnation: "other", Node: "other"})
	self := roster.Host{Incarnation: "self", Node: "self"}
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(time.Now())
	members.Merge(roster.Row{Host: self, Sequence: 1}, time.Now())
	members.Merge(roster.Row{Host: other.host, Sequence: 1}, time.Now())
	e, err := gossip.Listen(freeAddress(t), self, members, func() gossip.Update { return gossip.Update{} }, func(gossip.Update) {}, time.Now, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	urgent := make(chan string, 4)
	for _, id := range []string{"e1", "e2", "e1"} {
		urgent <- id
	}
	ctx, cancel := context.WithTimeout(context.Background(), arrivalTime)
	defer cancel()
	go e.SendUrgent(ctx, urgent, func(endpoints []string) gossip.Update {
		update := gossip.Update{}
		for _, id := range endpoints {
			update.Loads = append(update.Loads, roster.Load{Endpoint: id, PrefillTokens: 7})
		}
		return update
	})
	for other.count() == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	if len(other.got) != 1 || !other.got[0].Brief || len(other.got[0].Loads) != 2 {
		t.Errorf("datagrams: got %+v, want a single brief one with e1 and e2", other.got)
	}
}

// Three data centres are reclaimed at once: notices beyond the first datagram must not be left out.
func TestManyNoticesArriveInSeveralDatagrams(t *testing.T) {
	other := listen(t, roster.Host{Incarnation: "other", Node: "other"})
	e, err := gossip.Listen(freeAddress(t), roster.Host{Incarnation: "self"}, roster.New(silence, gossip.Interval), nil, nil, time.Now, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	list := make([]notice.Report, 150)
	for i := range list {
		list[i] = notice.Report{Endpoint: fmt.Sprintf("endpoint-of-a-data-centre-%03d", i), StartedMS: 1_800_000_000_000, Notice: endpoint.Notice{Leaving: true}}
	}
	e.SendNotices(list, other.host.PeerAddress)
	got := 0
	for deadline := time.Now().Add(arrivalTime); got < len(list) && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		got = 0
		other.mu.Lock()
		for _, update := range other.got {
			got += len(update.Notices)
		}
		other.mu.Unlock()
	}
	if got != len(list) {
		t.Errorf("got %d notices, want %d", got, len(list))
	}
}
