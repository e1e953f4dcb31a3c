package roster_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"ironhollow/pkg/roster"
)

// large is the roster of a fleet of one large and many small hosts in each of
// four data centres.
func large(hosts int) *roster.Roster {
	r := roster.New(silence, interval)
	r.NoteStoreResponse(start)
	for i := range hosts {
		cores := 0.2
		if i < 8 {
			cores = 0.8
		}
		r.ApplyStatus(roster.Status{Host: sized(i, cores), Sequence: 1}, start)
	}
	return r
}

func sized(i int, cores float64) roster.Host {
	name := fmt.Sprintf("h%02d", i)
	return roster.Host{Incarnation: name, Node: name, DataCenter: fmt.Sprint("dc", i%4), CallerAddress: name, PeerAddress: name + ":1", Millicores: int(1000 * cores)}
}

// The largest hosts of a large fleet are advertised, some in each data centre.
func TestLargestHostsAreAdvertised(t *testing.T) {
	r := large(91)
	entries := r.AdvertisedHosts()
	each := map[string]int{}
	for _, e := range entries {
		each[e.DataCenter]++
		if e.Node >= "h08" {
			t.Errorf("told: got the small host %s while large ones have a quarter of the cores", e.Node)
		}
	}
	if len(entries) != 8 || len(each) != 4 {
		t.Errorf("told: got %d hosts of %d data centres, want 8 of 4", len(entries), len(each))
	}
	if !r.IsAdvertised("h00") || r.IsAdvertised("h50") {
		t.Error("told: want the large h00 and not the small h50")
	}
}

// Where hosts are alike, a quarter of them is advertised; in a small fleet all are.
func TestHowManyHostsAreAdvertised(t *testing.T) {
	for _, c := range []struct{ hosts, want int }{{9, 9}, {23, 23}, {40, 10}, {91, 23}} {
		r := roster.New(silence, interval)
		r.NoteStoreResponse(start)
		for i := range c.hosts {
			r.ApplyStatus(roster.Status{Host: sized(i, 0), Sequence: 1}, start)
		}
		if got := len(r.AdvertisedHosts()); got != c.want {
			t.Errorf("%d hosts: got %d told, want %d", c.hosts, got, c.want)
		}
	}
}

// A host that dies or leaves is replaced at once, and comes back to its place.
func TestToldHostsAreReplaced(t *testing.T) {
	r := large(91)
	leaving := sized(0, 0.8)
	leaving.Leaving = true
	r.ApplyStatus(roster.Status{Host: leaving, Sequence: 2}, start)
	if r.IsAdvertised("h00") {
		t.Error("a host that leaves: got told, want not")
	}
	later := start.Add(silence + time.Second)
	for i := range 91 {
		if i != 0 && i != 1 {
			r.ApplyStatus(roster.Status{Host: sized(i, map[bool]float64{true: 0.8, false: 0.2}[i < 8]), Sequence: 3}, later)
		}
	}
	if r.IsAdvertised("h01") {
		t.Error("a silent host: got told, want not")
	}
	if got := len(r.AdvertisedHosts()); got < 8 {
		t.Errorf("told while two of the large ones are away: got %d, want 8 or more", got)
	}
	r.ApplyStatus(roster.Status{Host: sized(1, 0.8), Sequence: 3}, later.Add(time.Second))
	if !r.IsAdvertised("h01") {
		t.Error("a host that is back: got not told, want told")
	}
}

// The parts of a bound that hosts may use are no more than the whole together.
func TestSharesOfABound(t *testing.T) {
	for _, hosts := range []int{1, 9, 23, 24, 91} {
		r := large(hosts)
		sum := 0.0
		for i := range hosts {
			sum += r.LimitShare(sized(i, 0).Node)
		}
		if math.Abs(sum-1) > 0.001 {
			t.Errorf("%d hosts: got %.3f together, want 1", hosts, sum)
		}
	}
}

// Those that share the callers, and those that keep what they count, are near
// each other; all others are far.
func TestNearPeers(t *testing.T) {
	r := large(91)
	near, far := r.PeerAddresses(sized(0, 0.8))
	if len(near) != 10 || len(far) != 80 {
		t.Errorf("of a host that callers are told: got %d near and %d far, want 10 and 80", len(near), len(far))
	}
	for _, h := range r.Standbys() {
		if r.IsAdvertised(h.Node) {
			t.Errorf("standby %s: got told to callers, want one without callers", h.Node)
		}
	}
	near, far = r.PeerAddresses(sized(50, 0.2))
	if len(near) != 0 || len(far) != 90 {
		t.Errorf("of another host: got %d near and %d far, want 0 and 90", len(near), len(far))
	}
}

// A host whose datagrams were seen rarely, as this one was slow, is not advertised for longer
// than any other once it is silent.
func TestRarelySeenHostIsNotAdvertisedForLonger(t *testing.T) {
	const silence = 3 * time.Second
	members := roster.New(silence, func(int) time.Duration { return time.Second })
	now := time.Unix(1000, 0)
	for sequence := range int64(4) {
		now = now.Add(4 * time.Second)
		members.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: "a", Node: "a"}, Sequence: sequence + 1}, now)
	}
	if got := len(members.AdvertisedHosts()); got != 1 {
		t.Fatalf("heard just now: got %d hosts told, want 1", got)
	}
	members.NoteStoreResponse(now.Add(silence + 200*time.Millisecond))
	if got := members.AdvertisedHosts(); len(got) != 0 {
		t.Errorf("silent: got %v told, want none", got)
	}
}
