package roster_test

import (
	"maps"
	"math"
	"net/netip"
	"testing"
	"time"

	"ironhollow/pkg/roster"
	"ironhollow/pkg/standin/malformedrows"
)

const maxPlausible = 1e15

// checkPlausible fails unless what a roster knows can be used in sums and conversions.
func checkPlausible(t *testing.T, r *roster.Roster) {
	t.Helper()
	numbers := map[string]float64{"requests of window 7": float64(r.StartedRequests(7)["t"]), "demand": r.Demands(start)["svc"]}
	for _, l := range r.Loads("self", start) {
		numbers["running"], numbers["prefill tokens"] = float64(l.Running), float64(l.PrefillTokens)
	}
	for _, w := range r.Work(start) {
		numbers["slot time"], numbers["token time"], numbers["offered"], numbers["refused"] = w.SlotTime, w.TokenTime, w.Offered, w.Refused
	}
	for name, number := range numbers {
		if math.IsNaN(number) || number < 0 || number > maxPlausible {
			t.Errorf("%s: got %v, want a number that hosts can have", name, number)
		}
	}
	for _, h := range r.AdvertisedHosts() {
		if _, err := netip.ParseAddrPort(h.CallerAddress); err != nil {
			t.Errorf("advertised: got %q, want an IP address and a port", h.CallerAddress)
		}
	}
	if got := len(r.Standbys()); got == 0 {
		t.Error("standbys: got none, want some")
	}
}

// Guards against callers sent to addresses that are none, and against orders and choices by numbers that no host
// can have, because another writer left a row among those of the hosts.
func TestMalformedHostRowIsNotUsed(t *testing.T) {
	values, err := malformedrows.CBOR(map[int]any{
		1: "n", 2: "dc", 3: "10.0.0.9:1", 4: 5, 5: false, 6: 1000, 7: []any{[]any{"e", 2, 30}}, 9: []any{[]any{7, "t", 6}}, 10: []any{[]any{"svc", 0.5}},
		11: "10.0.0.9:2", 12: 1000, 13: 800, 14: 2000, 20: []any{[]any{"svc", 0.1, 0.2, 0.4, 0.3}},
	})
	if err != nil {
		t.Fatal(err)
	}
	maps.Copy(values, malformedrows.Values())
	for name, value := range values {
		t.Run(name, func(t *testing.T) {
			r := roster.New(silence, interval)
			r.NoteStoreResponse(start)
			good := roster.Host{Incarnation: "good", Node: "good", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"}
			r.Merge(roster.Row{Host: good, Sequence: 1, Loads: []roster.Load{{Endpoint: "e", Running: 1}}, Counts: []roster.RequestCount{{Window: 7, Team: "t", Started: 1}}}, start)
			row, err := roster.Decode("malformed", value)
			if err == nil {
				r.Merge(row, start)
				if row.WrittenAt > 200*365*24*time.Hour || row.WrittenAt < -200*365*24*time.Hour {
					t.Errorf("written at: got %v, want it bounded", row.WrittenAt)
				}
			}
			checkPlausible(t, r)
			if got := r.StartedRequests(7)["t"]; got < 1 {
				t.Errorf("requests with those of the row beside it: got %d, want at least 1", got)
			}
		})
	}
}
