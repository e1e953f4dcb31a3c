package gossip_test

import (
	"maps"
	"math"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/gossip"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/standin/malformedrows"
)

// checkUpdate fails if a received update has numbers that no host can have.
func checkUpdate(t *testing.T, u gossip.Update) {
	t.Helper()
	const limit = 1e15
	numbers := map[string]float64{}
	for _, l := range u.Loads {
		numbers["running"], numbers["prefill tokens"] = float64(l.Running), float64(l.PrefillTokens)
	}
	for _, d := range u.Demands {
		numbers["demand"] = d.Rate
	}
	for _, c := range u.Counts {
		numbers["started"], numbers["window"] = float64(c.Started), float64(c.Window)
	}
	for _, u := range u.TeamUsage {
		numbers["admitted"], numbers["rate"], numbers["available"] = u.Admitted, u.RequestedRate, u.Available
	}
	for name, number := range numbers {
		if math.IsNaN(number) || number < 0 || number > limit {
			t.Errorf("%s: got %v, want it left out", name, number)
		}
	}
	if u.StoreReachableFor < 0 || u.StoreReachableFor > 400*24*time.Hour {
		t.Errorf("store reachable for: got %v, want it bounded", u.StoreReachableFor)
	}
	hosts := u.Digest.Hosts
	if !u.Brief {
		hosts = append(hosts, u.Host)
	}
	for _, h := range hosts {
		if _, err := netip.ParseAddrPort(h.CallerAddress); err != nil {
			t.Errorf("address of %q: got %q, want the host left out", h.Node, h.CallerAddress)
		}
	}
}

// malformedDatagrams returns malformed datagrams of a status, and of a digest and the numbers of teams.
func malformedDatagrams(t *testing.T) map[string][]byte {
	t.Helper()
	status := []any{
		"p", "n", "dc", "10.0.0.9:1", "10.0.0.9:2", 1000, 2000, false, 1,
		[]any{[]any{"e", 2, 30}},
		[]any{[]any{"t", 5, 0.5, 6, true}},
		[]any{[]any{7, "t", 8}},
		[]any{[]any{"svc", 0.5}},
		800, 3,
		[]any{},
		false, nil,
	}
	values, err := malformedrows.Elements(status)
	if err != nil {
		t.Fatal(err)
	}
	host := []any{"q", "m", "dc", "10.0.0.8:1", "10.0.0.8:2", 1000, 800, false}
	others, err := malformedrows.CBOR(map[int]any{1: "p", 5: []any{[]any{"t", 5, 0.5, 6, true}}, 6: []any{[]any{7, "t", 8}}, 7: []any{[]any{9, 10, false, true}}, 8: []any{host}, 9: 0.5, 11: 3})
	if err != nil {
		t.Fatal(err)
	}
	maps.Copy(values, others)
	maps.Copy(values, malformedrows.Values())
	maps.DeleteFunc(values, func(_ string, data []byte) bool { return len(data) > 1400 })
	return values
}

// Guards against limits, orders and choices by numbers that no host can have, and against callers sent to addresses
// that are none, after a datagram of a host of another release.
func TestMalformedDatagramIsNotUsed(t *testing.T) {
	updates := make(chan gossip.Update, 1)
	address := freeAddress(t)
	members := roster.New(silence, gossip.Interval)
	e, err := gossip.Listen(address, roster.Host{Incarnation: "self"}, members, func() gossip.Update { return gossip.Update{} }, func(u gossip.Update) { updates <- u }, time.Now, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	go e.Run(t.Context(), func() {})
	conn, err := net.Dial("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for name, data := range malformedDatagrams(t) {
		// The next datagram shows that the malformed one has been handled.
		mark, err := cbor.Marshal(map[int]any{1: "mark " + name})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(data)
		for isMarked := false; !isMarked; {
			if _, err := conn.Write(mark); err != nil {
				t.Fatal(err)
			}
			select {
			case u := <-updates:
				isMarked = u.Incarnation == "mark "+name
				if !strings.HasPrefix(u.Incarnation, "mark ") {
					t.Run(name, func(t *testing.T) { checkUpdate(t, u) })
				}
			case <-time.After(10 * time.Second):
				t.Fatalf("%s: next datagram not received, want received", name)
			}
		}
	}
}
