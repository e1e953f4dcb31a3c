package origin_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ironhollow/pkg/origin"
)

// fleet connects directories by datagrams, some of which are lost.
type fleet struct {
	hosts  map[string]*origin.Directory
	loss   float64
	random *rand.Rand
	sent   int
	now    time.Time
}

// link sends a host's datagrams.
type link struct {
	fleet *fleet
	from  string
}

func (l link) deliver(to string, receive func(*origin.Directory)) {
	l.fleet.sent++
	if host := l.fleet.hosts[to]; host != nil && l.fleet.random.Float64() >= l.fleet.loss {
		receive(host)
	}
}

func (l link) SendOrigins(records []origin.Record, unknown []origin.Key, to string) {
	l.deliver(to, func(d *origin.Directory) { d.Apply(records, unknown, l.from) })
}

func (l link) QueryOrigin(key origin.Key, to string) {
	l.deliver(to, func(d *origin.Directory) { d.Answer([]origin.Key{key}, l.from) })
}

func newFleet(size int, loss float64) *fleet {
	f := &fleet{hosts: map[string]*origin.Directory{}, loss: loss, random: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0)}
	for i := range size {
		f.start(fmt.Sprint("host-", i))
	}
	return f
}

// start starts a host, or starts it again without what it knew.
func (f *fleet) start(name string) {
	f.hosts[name] = nil
	peers := func() []origin.Peer {
		var list []origin.Peer
		for _, other := range slices.Sorted(maps.Keys(f.hosts)) {
			if other != name {
				list = append(list, origin.Peer{Node: other, Address: other})
			}
		}
		return list
	}
	f.hosts[name] = origin.New(name, peers, link{f, name}, func() time.Time { return f.now })
}

func (f *fleet) find(host string, key origin.Key) origin.Finding {
	return f.hosts[host].Find(context.Background(), key)
}

var (
	source = origin.Source{Service: "svc", Release: "v1"}
	key    = origin.KeyOf("team", "attempt")
)

const life = time.Minute

// Guards against take-ups that are refused after the host that began the stream is gone. All three copies of
// a record are lost with probability 0.011 where 15 of 60 hosts are.
func TestOriginIsFoundAfterItsHostIsLost(t *testing.T) {
	const streams = 200
	for _, c := range []struct {
		hosts, lost int
		loss        float64
		want        int
	}{{7, 1, 0, streams}, {9, 3, 0, streams}, {60, 15, 0, streams * 95 / 100}, {9, 3, 0.1, streams * 95 / 100}} {
		f := newFleet(c.hosts, c.loss)
		found, datagrams := 0, 0
		for i := range streams {
			key := origin.KeyOf("team", fmt.Sprint("attempt-", i))
			f.hosts["host-0"].Record(key, source, 0, life)
		}
		// The processes of the lost hosts start again, without records.
		for lost := range c.lost {
			f.start(fmt.Sprint("host-", lost))
		}
		before := f.sent
		for i := range streams {
			finding := f.find(fmt.Sprint("host-", i%c.hosts), origin.KeyOf("team", fmt.Sprint("attempt-", i)))
			if finding.Result == origin.Known && finding.Source == source {
				found++
			}
		}
		datagrams = f.sent - before
		t.Logf("%d hosts, %d lost, %.0f%% of datagrams lost: %d of %d found, %.1f datagrams each", c.hosts, c.lost, 100*c.loss, found, streams, float64(datagrams)/streams)
		if found < c.want {
			t.Errorf("%d hosts, %d lost: got %d of %d found, want %d at least", c.hosts, c.lost, found, streams, c.want)
		}
	}
}

// Guards against a stream that is continued at the release of another one with the same ID.
func TestRepeatedIDHasNoOrigin(t *testing.T) {
	other := origin.Source{Service: "svc", Release: "v2"}
	for _, order := range [][]origin.Source{{source, other}, {other, source}, {source, other, source}} {
		f := newFleet(5, 0)
		for i, s := range order {
			f.hosts[fmt.Sprint("host-", i)].Record(key, s, 0, life)
		}
		for host := range f.hosts {
			if got := f.find(host, key); got.Result != origin.Conflicting {
				t.Errorf("%v at %s: got %v of %v, want conflicting", order, host, got.Result, got.Source)
			}
		}
	}
}

// Guards against streams that are not found because they are recorded under another key of their caller.
func TestOriginIsFoundUnderAnyKey(t *testing.T) {
	byBearer, byTeam := origin.KeyOfBearer("bearer", "attempt"), key
	for _, c := range []struct {
		name     string
		recorded []origin.Key
		want     origin.Result
		// wantKey is the key under which it is found, zero for any.
		wantKey origin.Key
	}{
		{"both", []origin.Key{byBearer, byTeam}, origin.Known, origin.Key{}},
		{"the bearer key's only", []origin.Key{byBearer}, origin.Known, byBearer},
		{"the team's only", []origin.Key{byTeam}, origin.Known, byTeam},
		{"none", nil, origin.Unknown, origin.Key{}},
		{"those of others", []origin.Key{origin.KeyOfBearer("other", "attempt"), origin.KeyOf("other", "attempt")}, origin.Unknown, origin.Key{}},
	} {
		f := newFleet(9, 0)
		for _, k := range c.recorded {
			f.hosts["host-0"].Record(k, source, 0, life)
		}
		f.start("host-0")
		for host := range f.hosts {
			got, gotKey := f.hosts[host].FindAny(context.Background(), []origin.Key{byBearer, byTeam})
			if got.Result != c.want || c.wantKey != (origin.Key{}) && gotKey != c.wantKey {
				t.Errorf("%s at %s: got %v under %x, want %v under %x", c.name, host, got.Result, gotKey, c.want, c.wantKey)
			}
		}
	}
}

// Guards against records that answer for others, or for longer than they are valid.
func TestOriginOfOthersIsUnknown(t *testing.T) {
	f := newFleet(5, 0)
	f.hosts["host-0"].Record(key, source, 0, life)
	for _, other := range []origin.Key{origin.KeyOf("other", "attempt"), origin.KeyOf("team", "other"), origin.KeyOf("teamattempt", ""), origin.KeyOfBearer("team", "attempt")} {
		if got := f.find("host-1", other); got.Result != origin.Unknown || got.Asked != 4 {
			t.Errorf("got %v by %d hosts, want unknown by 4", got.Result, got.Asked)
		}
	}
	f.now = f.now.Add(life)
	if got := f.find("host-0", key); got.Result != origin.Unknown {
		t.Errorf("after its life: got %v, want unknown", got.Result)
	}
}

// Guards against a search that keeps a caller waiting while no other host answers.
func TestSearchWithoutAnswersEnds(t *testing.T) {
	f := newFleet(5, 1)
	started := time.Now()
	got := f.find("host-1", key)
	if took := time.Since(started); got.Result != origin.Unanswered || took > 400*time.Millisecond {
		t.Errorf("got %v after %v, want unanswered within 400ms", got.Result, took)
	}
}

// Guards against a take-up that ends the wrong attempt since a record names a host that relayed the stream earlier.
func TestRecordsLeadToTheHostThatRelays(t *testing.T) {
	f := newFleet(9, 0)
	f.hosts["host-0"].Record(key, source, 0, life)
	f.now = f.now.Add(time.Second)
	f.hosts["host-1"].Record(key, source, 0, life)
	f.hosts["host-0"].TakeUp(key, "host-1", 0)
	for host := range f.hosts {
		got := f.find(host, key).Host
		if got == "host-0" {
			got = f.find(got, key).Host
		}
		if want := "host-1"; got != want && host != want {
			t.Errorf("at %s: got host %q, want %q", host, got, want)
		}
	}
	if got := f.find("host-1", key).Host; got != "" {
		t.Errorf("at the host that relays it: got %q, want none other", got)
	}
}

// Guards against an earlier take-up that replaces a later one since it arrives after it.
func TestLaterTakeUpIsKept(t *testing.T) {
	f := newFleet(3, 0)
	d := f.hosts["host-0"]
	d.Record(key, source, 0, life)
	f.now = f.now.Add(time.Second)
	for _, c := range []struct {
		host       string
		age        time.Duration
		previous   string
		isOutdated bool
	}{
		{"host-1", 100 * time.Millisecond, "", false},
		{"host-2", 50 * time.Millisecond, "host-1", false},
		{"host-1", 100 * time.Millisecond, "", true},
		{"host-2", 50 * time.Millisecond, "host-2", false},
		{"host-1", 10 * time.Millisecond, "host-2", false},
	} {
		if previous, isOutdated := d.TakeUp(key, c.host, c.age); previous != c.previous || isOutdated != c.isOutdated {
			t.Errorf("take-up at %s, %v ago: got previous %q, outdated %v, want %q, %v", c.host, c.age, previous, isOutdated, c.previous, c.isOutdated)
		}
	}
}
