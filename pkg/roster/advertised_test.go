package roster_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"ironhollow/pkg/roster"
)

// newLargeFleet returns the roster of a fleet with two large hosts and many small ones in each of
// four data centres.
func newLargeFleet(hosts int) *roster.Roster {
	r := roster.New(silence, interval)
	r.NoteStoreResponse(start)
	for i := range hosts {
		cores := 0.2
		if i < 8 {
			cores = 0.8
		}
		r.ApplyStatus(roster.Status{Host: hostWithCores(i, cores), Sequence: 1}, start)
	}
	return r
}

func hostWithCores(i int, cores float64) roster.Host {
	name := fmt.Sprintf("h%02d", i)
	return roster.Host{Incarnation: name, Node: name, DataCenter: fmt.Sprint("dc", i%4), CallerAddress: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), Millicores: int(1000 * cores)}
}

// The largest hosts of a large fleet are advertised, some in each data centre.
func TestLargestHostsAreAdvertised(t *testing.T) {
	r := newLargeFleet(91)
	advertised := r.AdvertisedHosts()
	perDataCenter := map[string]int{}
	for _, e := range advertised {
		perDataCenter[e.DataCenter]++
		if e.Node >= "h08" {
			t.Errorf("advertised: got the small host %s although the large ones have a quarter of the cores", e.Node)
		}
	}
	if len(advertised) != 8 || len(perDataCenter) != 4 {
		t.Errorf("advertised: got %d hosts of %d data centres, want 8 of 4", len(advertised), len(perDataCenter))
	}
	if !r.IsAdvertised("h00") || r.IsAdvertised("h50") {
		t.Error("advertised: want the large h00 and not the small h50")
	}
}

// A quarter of equally large hosts is advertised; in a small fleet all hosts are.
func TestNumberOfAdvertisedHosts(t *testing.T) {
	for _, c := range []struct{ hosts, want int }{{9, 9}, {23, 23}, {40, 10}, {91, 23}} {
		r := roster.New(silence, interval)
		r.NoteStoreResponse(start)
		for i := range c.hosts {
			r.ApplyStatus(roster.Status{Host: hostWithCores(i, 0), Sequence: 1}, start)
		}
		if got := len(r.AdvertisedHosts()); got != c.want {
			t.Errorf("%d hosts: got %d advertised, want %d", c.hosts, got, c.want)
		}
	}
}

// A host that dies or leaves is replaced at once, and is advertised again when it returns.
func TestUnavailableHostsAreReplaced(t *testing.T) {
	r := newLargeFleet(91)
	leaving := hostWithCores(0, 0.8)
	leaving.Leaving = true
	r.ApplyStatus(roster.Status{Host: leaving, Sequence: 2}, start)
	if r.IsAdvertised("h00") {
		t.Error("leaving host: got advertised, want not advertised")
	}
	later := start.Add(silence + time.Second)
	for i := range 91 {
		if i != 0 && i != 1 {
			r.ApplyStatus(roster.Status{Host: hostWithCores(i, map[bool]float64{true: 0.8, false: 0.2}[i < 8]), Sequence: 3}, later)
		}
	}
	if r.IsAdvertised("h01") {
		t.Error("silent host: got advertised, want not advertised")
	}
	if got := len(r.AdvertisedHosts()); got < 8 {
		t.Errorf("advertised while two of the large hosts are unavailable: got %d, want 8 or more", got)
	}
	r.ApplyStatus(roster.Status{Host: hostWithCores(1, 0.8), Sequence: 3}, later.Add(time.Second))
	if !r.IsAdvertised("h01") {
		t.Error("host that has returned: got not advertised, want advertised")
	}
}

// The fractions of a limit that hosts may use add up to no more than the whole.
func TestLimitSharesSumToOne(t *testing.T) {
	for _, hosts := range []int{1, 9, 23, 24, 91} {
		r := newLargeFleet(hosts)
		sum := 0.0
		for i := range hosts {
			sum += r.LimitShare(hostWithCores(i, 0).Node)
		}
		if math.Abs(sum-1) > 0.001 {
			t.Errorf("%d hosts: got shares with a sum of %.3f, want 1", hosts, sum)
		}
	}
}

// Advertised hosts and standbys send each other datagrams frequently, all other hosts infrequently.
func TestFrequentPeers(t *testing.T) {
	r := newLargeFleet(91)
	frequent, infrequent := r.PeerAddresses(hostWithCores(0, 0.8))
	if len(frequent) != 10 || len(infrequent) != 80 {
		t.Errorf("peers of an advertised host: got %d frequent and %d infrequent, want 10 and 80", len(frequent), len(infrequent))
	}
	for _, h := range r.Standbys() {
		if r.IsAdvertised(h.Node) {
			t.Errorf("standby %s: got an advertised host, want one that is not advertised", h.Node)
		}
	}
	frequent, infrequent = r.PeerAddresses(hostWithCores(50, 0.2))
	if len(frequent) != 0 || len(infrequent) != 90 {
		t.Errorf("peers of another host: got %d frequent and %d infrequent, want 0 and 90", len(frequent), len(infrequent))
	}
}

// A host that was slow, so that its datagrams were seen rarely, is not advertised for longer than
// any other once it is silent.
func TestRarelySeenHostIsNotAdvertisedForLonger(t *testing.T) {
	const silence = 3 * time.Second
	members := roster.New(silence, func(int) time.Duration { return time.Second })
	now := time.Unix(1000, 0)
	for sequence := range int64(4) {
		now = now.Add(4 * time.Second)
		members.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: "a", Node: "a"}, Sequence: sequence + 1}, now)
	}
	if got := len(members.AdvertisedHosts()); got != 1 {
		t.Fatalf("just seen: got %d advertised hosts, want 1", got)
	}
	members.NoteStoreResponse(now.Add(silence + 200*time.Millisecond))
	if got := members.AdvertisedHosts(); len(got) != 0 {
		t.Errorf("silent: got %v advertised, want none", got)
	}
}
