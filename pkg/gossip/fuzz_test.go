package gossip_test

import (
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/gossip"
	"ironhollow/pkg/roster"
)

// FuzzDatagram checks that any datagram is decoded or dropped, that decoded values are within
// bounds that the roster can handle, and that the next datagram is still received.
func FuzzDatagram(f *testing.F) {
	forged := []any{
		map[int]any{1: "a", 9: math.Inf(1), 11: math.MaxInt64},
		map[int]any{1: "a", 9: math.NaN(), 11: -5},
		map[int]any{1: "a", 7: []any{[]any{7, -1, true, true}, []any{8, math.MaxInt64, false, true}}},
		map[int]any{1: "a", 8: []any{[]any{"", "", "", "", "", 0, -7, false}}},
		map[int]any{1: "a", 8: []any{[]any{"b", "n", "dc", "c", "p", 0, 1, false}}, 10: true},
		map[int]any{1: "a", 21: []any{[]any{"e1", -1, math.NaN(), math.Inf(1)}}},
		map[int]any{1: "a", 22: 255},
		map[int]any{1: "a", 23: 255},
		map[int]any{1: "a", 5: []any{[]any{"team", -1, 0.5, -1, true}}, 6: []any{[]any{math.MinInt64, "team", -3}}},
		map[int]any{1: []int{1}, 7: "no list"},
		[]any{"a", "n"},
	}
	for _, message := range forged {
		data, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 1400 {
			t.Skip("longer than a datagram")
		}
		members := roster.New(silence, gossip.Interval)
		var mu sync.Mutex
		received := map[string]bool{}
		handle := func(update gossip.Update) {
			mu.Lock()
			defer mu.Unlock()
			received[update.Incarnation] = true
			members.ApplyDigest(update.Incarnation, update.Digest, time.Now())
			members.ApplyCounts(update.Incarnation, update.Counts)
			members.AdvertisedHosts()
			if update.Digest.HostCount < 0 || roster.ScaleInterval(time.Second, members.Sharing()) <= 0 {
				t.Errorf("host count: got %d received, %d known, want one that gives a positive interval", update.Digest.HostCount, members.Sharing())
			}
		}
		address := freeAddress(t)
		e, err := gossip.Listen(address, roster.Host{Incarnation: "self"}, members, func() gossip.Update { return gossip.Update{} }, handle, time.Now, discardLogger())
		if err != nil {
			t.Fatal(err)
		}
		go e.Run(t.Context(), func() {})
		conn, err := net.Dial("udp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		valid, err := cbor.Marshal(map[int]any{1: "sound"})
		if err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(arrivalTime); ; time.Sleep(time.Millisecond) {
			for _, datagram := range [][]byte{data, valid} {
				// Sending an empty datagram may fail.
				_, _ = conn.Write(datagram)
			}
			mu.Lock()
			isReceived := received["sound"]
			mu.Unlock()
			if isReceived {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("datagram after %x: next datagram not received, want received", data)
			}
		}
	})
}
