package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/enginemodel"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

// Guards against a datagram that is too long with as many speeds as a host reports at once.
func TestSpeedsReachOtherHosts(t *testing.T) {
	other := listen(t, host(1, 800))
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(time.Now())
	members.MergeSelf(host(0, 800), time.Now())
	members.ApplyStatus(roster.Status{Host: other.host, Sequence: 1}, time.Now())
	var sent []route.SpeedReport
	for i := range 24 {
		sent = append(sent, route.SpeedReport{
			Endpoint: endpoint.Ref{ID: fmt.Sprintf("i-0123456789abcdef%02d", i), Incarnation: 1_800_000_000_000 + int64(i)},
			Evidence: enginemodel.Evidence{Weight: 2.5, WeightedLog: -0.75},
		})
	}
	var got []route.SpeedReport
	runUntil(t, host(0, 800), members, gossip.Update{Status: roster.Status{Host: host(0, 800)}, Speeds: sent}, func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		for _, update := range other.got {
			if len(update.Speeds) > 0 {
				got = update.Speeds
			}
		}
		return len(got) > 0
	})
	if len(got) != len(sent) || got[0] != sent[0] || got[23] != sent[23] {
		t.Errorf("speeds: got %d, %+v, want the %d sent", len(got), got, len(sent))
	}
}

// Guards against a datagram that a host of the version without speeds cannot decode: it has to be a
// map whose other members are unset.
func TestSpeedsAreUnknownMemberToEarlierVersion(t *testing.T) {
	data, err := cbor.Marshal(map[int]any{1: "a", 21: []any{[]any{"e1", 1, 1.5, 0.25}}})
	if err != nil {
		t.Fatal(err)
	}
	var earlier struct {
		Incarnation string `cbor:"1,keyasint"`
		Limits      []any  `cbor:"12,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(data, &earlier); err != nil || earlier.Incarnation != "a" || len(earlier.Limits) > 0 {
		t.Errorf("decoded by the earlier version: got %+v, error %v, want the incarnation alone", earlier, err)
	}
}

// Guards against sending speeds to hosts that choose no endpoints: the datagrams to all of them held
// up answers on slow links. The sender is not advertised, so that the other host shares no callers.
func TestSpeedsAreSentOnlyToHostsThatShareCallers(t *testing.T) {
	other := listen(t, host(1, 800))
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(time.Now())
	members.ApplyStatus(roster.Status{Host: other.host, Sequence: 1}, time.Now())
	speeds := []route.SpeedReport{{Endpoint: endpoint.Ref{ID: "e", Incarnation: 1}, Evidence: enginemodel.Evidence{Weight: 1}}}
	received := 0
	runUntil(t, host(0, 400), members, gossip.Update{Status: roster.Status{Host: host(0, 400)}, Speeds: speeds}, func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		received = len(other.got)
		return received >= 3
	})
	other.mu.Lock()
	defer other.mu.Unlock()
	for _, update := range other.got {
		if len(update.Speeds) > 0 {
			t.Errorf("speeds at a host without shared callers: got %+v, want none", update.Speeds)
		}
	}
}
