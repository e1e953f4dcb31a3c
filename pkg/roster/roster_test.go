package roster_test

import (
	"testing"
	"time"

	"ironhollow/pkg/roster"
)

const silence = 3 * time.Second

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// host is one process with what it has heard.
type host struct {
	name   string
	roster *roster.Roster
}

// fleet starts hosts that have all heard each other, a third of the demand at
// the first.
func fleet(names ...string) []host {
	hosts := make([]host, 0, len(names))
	for _, name := range names {
		hosts = append(hosts, host{name, roster.New(silence)})
	}
	tell(hosts, hosts, 1, start)
	return hosts
}

// tell lets the listeners hear one row of each teller.
func tell(tellers, listeners []host, sequence int64, now time.Time) {
	for _, l := range listeners {
		l.roster.Heard(now)
		for i, t := range tellers {
			demand := 100.0
			if i == 0 {
				demand = 400
			}
			l.roster.Merge(roster.Row{
				Incarnation: t.name, Node: t.name, Callers: t.name, Sequence: sequence,
				Demands: []roster.Demand{{Team: "team", PerSecond: demand}},
			}, now)
		}
	}
}

func sumOfShares(hosts []host, team string, now time.Time) float64 {
	sum := 0.0
	for _, h := range hosts {
		shares := h.roster.Shares(h.name, now)
		part, told := shares.ByTeam[team]
		if !told {
			part = shares.Even
		}
		sum += part
	}
	return sum
}

func TestSharesAddUpToOne(t *testing.T) {
	hosts := fleet("a", "b", "c", "d", "e", "f", "g", "h", "i")
	for _, team := range []string{"team", "a team nobody told of"} {
		if got := sumOfShares(hosts, team, start); got < 0.999 || got > 1.001 {
			t.Errorf("shares of %q: got %.3f, want 1", team, got)
		}
	}
	first := hosts[0].roster.Shares("a", start).ByTeam["team"]
	second := hosts[1].roster.Shares("b", start).ByTeam["team"]
	if first <= second {
		t.Errorf("share of the host with most demand: got %.3f, want more than %.3f", first, second)
	}
}

// Three of nine hosts are cut off from the store and serve on: what all nine
// admit must stay within the limit.
func TestSharesOfHostsThatAreCutOff(t *testing.T) {
	hosts := fleet("a", "b", "c", "d", "e", "f", "g", "h", "i")
	inTouch := hosts[:6]
	now := start
	for sequence := int64(2); sequence < 12; sequence++ {
		now = now.Add(time.Second)
		tell(inTouch, inTouch, sequence, now)
		for _, team := range []string{"team", "a team nobody told of"} {
			if got := sumOfShares(hosts, team, now); got > 1.12 {
				t.Errorf("%v after the cut, shares of %q: got %.3f, want at most 1.12", now.Sub(start), team, got)
			}
		}
	}
	if got := sumOfShares(inTouch, "team", now); got < 0.75 {
		t.Errorf("shares of the hosts in touch: got %.3f, want 0.75 or more", got)
	}
}

func TestHostsThatLeftInOrderAreNotCounted(t *testing.T) {
	hosts := fleet("a", "b", "c")
	last := roster.Row{Incarnation: "c", Node: "c", Sequence: 2, Leaving: true}
	hosts[0].roster.Merge(last, start)
	later := start.Add(10 * time.Second)
	tell(hosts[:2], hosts[:1], 3, later)
	if got, want := hosts[0].roster.Sharing(), 2; got != want {
		t.Errorf("hosts that may serve: got %d, want %d", got, want)
	}
	if got := hosts[0].roster.Entries(); len(got) != 2 {
		t.Errorf("entries: got %v, want a and b", got)
	}
}

// While the store does not answer nobody's row changes: that makes no host
// silent.
func TestRowsDoNotAgeWhileTheStoreIsAway(t *testing.T) {
	hosts := fleet("a", "b", "c")
	if got := len(hosts[0].roster.Entries()); got != 3 {
		t.Errorf("entries after a minute without the store: got %d, want 3", got)
	}
	// The first answer brings no news of b and c.
	hosts[0].roster.Heard(start.Add(time.Minute))
	if got := len(hosts[0].roster.Entries()); got != 0 {
		t.Errorf("entries after an answer without news: got %d, want 0", got)
	}
}

func TestLateWritesOfARowAreLeft(t *testing.T) {
	r := roster.New(silence)
	r.Heard(start)
	r.Merge(roster.Row{Incarnation: "a", Node: "a", Sequence: 7, Leaving: true}, start)
	r.Merge(roster.Row{Incarnation: "a", Node: "a", Sequence: 6}, start)
	if got := r.Entries(); len(got) != 0 {
		t.Errorf("entries: got %v, want none: the host is leaving", got)
	}
}

// A third of the clocks is stepped: the fleet's time stays.
func TestClockOffsetIsNotMovedByAMinority(t *testing.T) {
	r := roster.New(silence)
	r.Heard(start)
	for i, offset := range []time.Duration{0, time.Millisecond, -time.Millisecond, 2 * time.Millisecond, -2400 * time.Millisecond, -2400 * time.Millisecond} {
		name := string(rune('a' + i))
		r.Merge(roster.Row{Incarnation: name, Node: name, Sequence: 1, ClockOffset: time.Hour + offset}, start)
	}
	got, ok := r.ClockOffset()
	if !ok || (got-time.Hour).Abs() > 5*time.Millisecond {
		t.Errorf("offset: got %v, %v, want an hour within 5 ms", got, ok)
	}
}

func TestRowsSurviveTheirCodec(t *testing.T) {
	want := roster.Row{
		Incarnation: "n.x", Node: "n", DataCenter: "dc", Callers: "127.0.0.1:1", Peers: "127.0.0.1:2", Sequence: 9,
		ClockOffset: -3 * time.Second,
		Loads:       []roster.Load{{Endpoint: "e", Running: 2, PrefillTokens: 30}},
		Counts:      []roster.Count{{Window: 5, Team: "t", Begun: 6}},
	}
	data, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := roster.Decode("n.x", data)
	if err != nil {
		t.Fatal(err)
	}
	if got.Node != want.Node || got.Peers != want.Peers || got.ClockOffset != want.ClockOffset || got.Loads[0] != want.Loads[0] || got.Counts[0] != want.Counts[0] {
		t.Errorf("row: got %+v, want %+v", got, want)
	}
	if _, err := roster.Decode("n.x", data[:len(data)-3]); err == nil {
		t.Error("a row cut short: got no error, want one")
	}
}

// A host that died is no longer told to callers a few seconds later, by the
// datagrams that stop to come, also while its row has just been written.
func TestDeadHostsAreNotToldToCallers(t *testing.T) {
	hosts := fleet("a", "b", "c")
	r := hosts[0].roster
	for at := time.Duration(0); at <= 4*time.Second; at += 200 * time.Millisecond {
		r.MergeLoads("b", int64(at), nil, start.Add(at))
	}
	got := r.Entries()
	if len(got) != 1 || got[0].Node != "b" {
		t.Errorf("entries 4 s after c was last heard: got %v, want b alone: a has not told itself", got)
	}
}
