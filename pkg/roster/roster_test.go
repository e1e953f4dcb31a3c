package roster_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/roster"
)

const silence = 3 * time.Second

func interval(int) time.Duration { return 200 * time.Millisecond }

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// host is one process with its view of the others.
type host struct {
	name   string
	roster *roster.Roster
}

// fleet starts hosts that all have each other's rows.
func fleet(names ...string) []host {
	hosts := make([]host, 0, len(names))
	for _, name := range names {
		hosts = append(hosts, host{name, roster.New(silence, interval)})
	}
	exchange(hosts, hosts, 1, start)
	return hosts
}

// exchange applies one status of each sender at the receivers.
func exchange(senders, receivers []host, sequence int64, now time.Time) {
	for _, l := range receivers {
		l.roster.NoteStoreResponse(now)
		for _, t := range senders {
			l.roster.Merge(roster.Row{Host: roster.Host{Incarnation: t.name, Node: t.name, CallerAddress: t.name}, Sequence: sequence}, now)
		}
	}
}

// Three of six hosts are cut off: each side counts the other as silent, and
// nobody is left out.
func TestFleetCountsSilentHosts(t *testing.T) {
	hosts := fleet("a", "b", "c", "d", "e", "f")
	now := start.Add(10 * time.Second)
	r := hosts[0].roster
	for _, name := range []string{"b", "c"} {
		r.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: name, Node: name}, Sequence: 1}, now)
	}
	heard, silent := r.CountHosts("a", now)
	if heard != 3 || silent != 3 {
		t.Errorf("fleet: got %d heard, %d silent, want 3 and 3", heard, silent)
	}
}

func TestHostsThatLeftInOrderAreNotCounted(t *testing.T) {
	hosts := fleet("a", "b", "c")
	last := roster.Row{Host: roster.Host{Incarnation: "c", Node: "c", Leaving: true}, Sequence: 2}
	hosts[0].roster.Merge(last, start)
	later := start.Add(10 * time.Second)
	exchange(hosts[:2], hosts[:1], 3, later)
	if got, want := hosts[0].roster.Sharing(), 2; got != want {
		t.Errorf("hosts that may serve: got %d, want %d", got, want)
	}
	if got := hosts[0].roster.AdvertisedHosts(); len(got) != 2 {
		t.Errorf("entries: got %v, want a and b", got)
	}
}

// While the store does not answer nobody's row changes: that makes no host
// silent.
func TestRowsDoNotAgeWhileTheStoreIsAway(t *testing.T) {
	hosts := fleet("a", "b", "c")
	if got := len(hosts[0].roster.AdvertisedHosts()); got != 3 {
		t.Errorf("entries after a minute without the store: got %d, want 3", got)
	}
	// The first answer brings no news of b and c.
	hosts[0].roster.NoteStoreResponse(start.Add(time.Minute))
	if got := len(hosts[0].roster.AdvertisedHosts()); got != 0 {
		t.Errorf("entries after an answer without news: got %d, want 0", got)
	}
}

func TestLateWritesOfARowAreLeft(t *testing.T) {
	r := roster.New(silence, interval)
	r.NoteStoreResponse(start)
	r.Merge(roster.Row{Host: roster.Host{Incarnation: "a", Node: "a", Leaving: true}, Sequence: 7}, start)
	r.Merge(roster.Row{Host: roster.Host{Incarnation: "a", Node: "a"}, Sequence: 6}, start)
	if got := r.AdvertisedHosts(); len(got) != 0 {
		t.Errorf("entries: got %v, want none: the host is leaving", got)
	}
}

// A third of the clocks is stepped: the fleet's time stays.
func TestClockOffsetIsNotMovedByAMinority(t *testing.T) {
	r := roster.New(silence, interval)
	r.NoteStoreResponse(start)
	for i, offset := range []time.Duration{0, time.Millisecond, -time.Millisecond, 2 * time.Millisecond, -2400 * time.Millisecond, -2400 * time.Millisecond} {
		name := string(rune('a' + i))
		r.Merge(roster.Row{Host: roster.Host{Incarnation: name, Node: name}, Sequence: 1, ClockOffset: time.Hour + offset}, start)
	}
	got, ok := r.ClockOffset()
	if !ok || (got-time.Hour).Abs() > 5*time.Millisecond {
		t.Errorf("offset: got %v, %v, want an hour within 5 ms", got, ok)
	}
}

func TestRowsSurviveTheirCodec(t *testing.T) {
	want := roster.Row{
		Host:        roster.Host{Incarnation: "n.x", Node: "n", DataCenter: "dc", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"},
		Sequence:    9,
		ClockOffset: -3 * time.Second,
		Loads:       []roster.Load{{Endpoint: "e", Running: 2, PrefillTokens: 30}},
		Counts:      []roster.RequestCount{{Window: 5, Team: "t", Started: 6}},
	}
	data, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := roster.Decode("n.x", data)
	if err != nil {
		t.Fatal(err)
	}
	if got.Node != want.Node || got.PeerAddress != want.PeerAddress || got.ClockOffset != want.ClockOffset || got.Loads[0] != want.Loads[0] || got.Counts[0] != want.Counts[0] {
		t.Errorf("row: got %+v, want %+v", got, want)
	}
	if _, err := roster.Decode("n.x", data[:len(data)-3]); err == nil {
		t.Error("a row cut short: got no error, want one")
	}
}

// A host that died is no longer advertised a few seconds later, as its datagrams stop, also while
// its row has just been written.
func TestDeadHostsAreNotAdvertised(t *testing.T) {
	hosts := fleet("a", "b", "c")
	r := hosts[0].roster
	for at := 200 * time.Millisecond; at <= 4*time.Second; at += 200 * time.Millisecond {
		r.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: "b", Node: "b"}, Sequence: int64(at)}, start.Add(at))
	}
	got := r.AdvertisedHosts()
	if len(got) != 1 || got[0].Node != "b" {
		t.Errorf("entries 4 s after c was last heard: got %v, want b alone: a has not told itself", got)
	}
}

// peersOf returns all addresses to which a host sends.
func peersOf(r *roster.Roster, self string) []string {
	near, far := r.PeerAddresses(roster.Host{Incarnation: self, Node: self})
	return append(near, far...)
}

func TestRestartedFleetFindsItself(t *testing.T) {
	r := roster.New(silence, interval)
	r.NoteStoreResponse(start)
	for _, name := range []string{"b", "c"} {
		r.Merge(roster.Row{Host: roster.Host{Incarnation: name + ".old", Node: name, PeerAddress: name + ":1"}, Sequence: 8}, start)
	}
	if got := peersOf(r, "a.new"); len(got) != 2 {
		t.Errorf("addresses of the others: got %v, want b's and c's", got)
	}
	later := start.Add(300 * time.Millisecond)
	for _, name := range []string{"b", "c"} {
		r.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: name + ".new", Node: name, PeerAddress: name + ":1"}, Sequence: 1}, later)
	}
	heard, silent := r.CountHosts("a.new", later)
	if heard != 3 || silent != 0 {
		t.Errorf("fleet: got %d heard, %d silent, want 3 and 0", heard, silent)
	}
}

// A killed process leaves its counts with those that received its datagrams, and a host known by
// datagrams alone reports no clock.
func TestCountsOfADeadProcessRemain(t *testing.T) {
	r := roster.New(silence, interval)
	r.NoteStoreResponse(start)
	r.Merge(roster.Row{
		Host: roster.Host{Incarnation: "a.1", Node: "a"}, Sequence: 1, ClockOffset: time.Hour,
		Counts: []roster.RequestCount{{Window: 7, Team: "t", Started: 3}},
	}, start)
	r.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: "a.1", Node: "a"}, Sequence: 1, Counts: []roster.RequestCount{{Window: 7, Team: "t", Started: 5}}}, start)
	r.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: "a.2", Node: "a"}, Sequence: 1, Counts: []roster.RequestCount{{Window: 7, Team: "t", Started: 2}}}, start.Add(time.Second))
	if got, want := r.StartedRequests(7)["t"], 7; got != want {
		t.Errorf("begun in the window: got %d, want %d", got, want)
	}
	if got, ok := r.ClockOffset(); ok && got != time.Hour {
		t.Errorf("clock offset: got %v, want an hour or none", got)
	}
}

// In a large fleet datagrams are rarer; its hosts are not silent for that.
func TestLargeFleetIsHeard(t *testing.T) {
	r := roster.New(silence, func(hosts int) time.Duration { return time.Duration(hosts) * 12 * time.Millisecond })
	r.NoteStoreResponse(start)
	for i := range 91 {
		name := fmt.Sprint("h", i)
		r.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: name, Node: name}, Sequence: 1}, start)
	}
	heard, silent := r.CountHosts("h0", start.Add(2*time.Second))
	if heard != 91 || silent != 0 {
		t.Errorf("fleet 2 s after a round of datagrams: got %d heard, %d silent, want 91 and 0", heard, silent)
	}
}

// A host never counts itself as silent, however rarely its row is written.
func TestHostCountsItself(t *testing.T) {
	r := roster.New(silence, interval)
	self := roster.Host{Incarnation: "a.1", Node: "a", DataCenter: "dc", PeerAddress: "a:1"}
	r.Merge(roster.Row{Host: self, Sequence: 1}, start)
	later := start.Add(time.Minute)
	r.NoteStoreResponse(later)
	r.MergeSelf(self, later)
	if got := r.AdvertisedHosts(); len(got) != 1 {
		t.Errorf("entries: got %v, want the host itself", got)
	}
	if got := r.Relays("dc", 1); len(got) != 1 || got[0].Node != "a" {
		t.Errorf("relays: got %v, want the host itself", got)
	}
}

// All hosts rank the hosts alike, whether they know them from their rows or by
// themselves: two that each took the other for the relay would follow nobody.
func TestHostsAgreeOnRelays(t *testing.T) {
	hosts := []roster.Host{sized(0, 0.8), sized(4, 0.8)}
	for i := range hosts {
		r := roster.New(silence, interval)
		r.NoteStoreResponse(start)
		r.MergeSelf(hosts[i], start)
		stored, err := roster.Row{Host: hosts[1-i], Sequence: 1}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		row, err := roster.Decode(hosts[1-i].Incarnation, stored)
		if err != nil {
			t.Fatal(err)
		}
		r.Merge(row, start)
		if got := r.Relays("dc0", 1); len(got) != 1 || got[0].Node != "h00" {
			t.Errorf("relay as %s sees it: got %+v, want h00", hosts[i].Node, got)
		}
	}
}

// The oldest hosts, which have received most, stand by for a duty.
func TestOldestHosts(t *testing.T) {
	r := roster.New(silence, interval)
	r.NoteStoreResponse(start)
	for i := range 10 {
		name := fmt.Sprint("h", i)
		r.Merge(roster.Row{Host: roster.Host{Incarnation: name, Node: name, StartedAt: time.Duration(20-i) * time.Second}, Sequence: 1}, start)
	}
	oldest := r.Standbys()
	if len(oldest) != 3 || oldest[0].Node != "h9" || oldest[1].Node != "h8" || oldest[2].Node != "h7" {
		t.Errorf("standbys: got %+v, want h9, h8 and h7", oldest)
	}
}

// Standbys of the duties need not look at the lease while its holder is seen.
func TestHolderOfTheDutiesIsSeen(t *testing.T) {
	r := roster.New(silence, interval)
	told := roster.Status{Host: roster.Host{Incarnation: "b", Node: "b"}, Sequence: 1, LeaseVersion: 12}
	r.ApplyStatus(told, start)
	within := 600 * time.Millisecond
	if !r.DutiesHeld("a", within, start.Add(within/2)) {
		t.Error("just after b told that it holds them: got not held, want held")
	}
	if r.DutiesHeld("a", within, start.Add(2*within)) {
		t.Error("b is silent: got held, want not known to be")
	}
	if r.DutiesHeld("b", within, start) {
		t.Error("by another than b: got held, want not")
	}
	r.ApplyStatus(roster.Status{Host: told.Host, Sequence: 2}, start)
	if r.DutiesHeld("a", within, start) {
		t.Error("b has lost them: got held, want not")
	}
}

func TestOthersInTouchWithTheStore(t *testing.T) {
	r := roster.New(silence, interval)
	told := roster.Status{Host: roster.Host{Incarnation: "b", Node: "b"}, Sequence: 1, StoreReachableFor: 5 * time.Second}
	r.ApplyStatus(told, start)
	if !r.PeerReachedStore("a", 4*time.Second, start) {
		t.Error("b in touch for 4 s: got no, want yes")
	}
	if r.PeerReachedStore("a", 6*time.Second, start) {
		t.Error("b in touch for 6 s: got yes, want no: it was away itself")
	}
	if r.PeerReachedStore("b", 4*time.Second, start) {
		t.Error("another host than b: got yes, want no")
	}
	if r.PeerReachedStore("a", 4*time.Second, start.Add(time.Minute)) {
		t.Error("a minute after b was last heard: got yes, want no")
	}
}

// Between two full datagrams loads of single endpoints are applied; late ones and those of
// unknown processes change nothing.
func TestLoadsOfSingleEndpoints(t *testing.T) {
	hosts := fleet("a", "b", "c")
	r := hosts[0].roster
	load := func(running, prefill int) []roster.Load {
		return []roster.Load{{Endpoint: "e1", Running: running, PrefillTokens: prefill}}
	}
	r.ApplyLoads("b", 1, load(9, 9), start)
	if got := r.Load("a", "e1", start).Running; got != 0 {
		t.Errorf("told by one not heard before: got %d running, want 0", got)
	}
	r.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: "b", Node: "b"}, Sequence: 2, Loads: load(1, 100)}, start)
	r.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: "c", Node: "c"}, Sequence: 2, Loads: load(2, 0)}, start.Add(time.Millisecond))
	later := start.Add(50 * time.Millisecond)
	r.ApplyLoads("b", 4, load(3, 7000), later)
	r.ApplyLoads("b", 3, load(5, 5), later)
	got := r.Load("a", "e1", later)
	if want := (roster.Load{Endpoint: "e1", Running: 5, PrefillTokens: 7000, ReceivedAt: later}); got != want {
		t.Errorf("load: got %+v, want %+v", got, want)
	}
	if all := r.Loads("a", later)["e1"]; all != got {
		t.Errorf("load among all: got %+v, want %+v", all, got)
	}
}

// A row that was written before its process died and is read long after does not make
// the process known again; one that was written just now does.
func TestOldRowDoesNotReviveItsHost(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want int
	}{{5 * time.Second, 0}, {100 * time.Millisecond, 1}} {
		r := roster.New(3*time.Second, func(int) time.Duration { return time.Second })
		row := roster.Row{Host: roster.Host{Incarnation: "a", Node: "a"}, Sequence: 1}
		r.Merge(row, start)
		later := start.Add(6 * time.Second)
		r.NoteStoreResponse(later)
		row.Sequence, row.Age = 2, c.age
		r.Merge(row, later)
		if got := len(r.AdvertisedHosts()); got != c.want {
			t.Errorf("row written %v before it was read: got %d hosts told, want %d", c.age, got, c.want)
		}
	}
}
