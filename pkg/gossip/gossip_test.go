package gossip_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

const (
	silence = 3 * time.Second
	// arrivalTime bounds the wait for a datagram on the loopback of a busy machine.
	arrivalTime = 10 * time.Second
)

// listener is a host that only counts the datagrams that come.
type listener struct {
	host roster.Host
	mu   sync.Mutex
	got  []gossip.Update
}

func (l *listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.got)
}

// freeAddress returns an address of this machine that is free for datagrams.
func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

func quiet() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

// listen opens a host that sends nothing.
func listen(t *testing.T, host roster.Host) *listener {
	t.Helper()
	l := &listener{host: host}
	l.host.PeerAddress = freeAddress(t)
	take := func(told gossip.Update) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.got = append(l.got, told)
	}
	e, err := gossip.Listen(l.host.PeerAddress, l.host, roster.New(silence, gossip.Interval), func() gossip.Update { return gossip.Update{} }, take, time.Now, quiet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx, func() {})
	return l
}

// run runs the exchange of a host with an update until it has arrived.
func run(t *testing.T, self roster.Host, members *roster.Roster, told gossip.Update, to *listener) {
	t.Helper()
	runUntil(t, self, members, told, func() bool { return to.count() > 0 })
}

// runUntil runs the exchange of a host with an update until that is done.
func runUntil(t *testing.T, self roster.Host, members *roster.Roster, told gossip.Update, done func() bool) {
	t.Helper()
	e, err := gossip.Listen(freeAddress(t), self, members, func() gossip.Update { return told }, func(gossip.Update) {}, time.Now, quiet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), arrivalTime)
	defer cancel()
	e.Run(ctx, func() {
		if done() {
			cancel()
		}
	})
}

func host(i, millicores int) roster.Host {
	name := fmt.Sprintf("h%02d", i)
	return roster.Host{Incarnation: name, Node: name, DataCenter: fmt.Sprint("dc", i%4), CallerAddress: name, Millicores: millicores}
}

// In a large fleet those that share the callers are sent datagrams five times a second, all
// others about once; in a small one there are no others.
func TestNearHostsGetMoreDatagrams(t *testing.T) {
	for _, c := range []struct {
		what              string
		near, far         int
		nearSent, farSent int
	}{
		{"host with callers", 10, 80, 300, 53},
		{"host without callers", 0, 90, 0, 53},
		{"small fleet", 8, 0, 300, 0},
	} {
		var pace gossip.Pace
		nearSent, farSent := 0, 0
		for at := time.Duration(0); at < time.Minute; {
			pause, tellFar := pace.Next(c.near, c.far)
			at += pause
			if c.near > 0 {
				nearSent++
			}
			if tellFar && c.far > 0 {
				farSent++
			}
		}
		if nearSent != c.nearSent || farSent < c.farSent-3 || farSent > c.farSent+3 {
			t.Errorf("%s, rounds in a minute: got %d to the near and %d to the far, want %d and about %d",
				c.what, nearSent, farSent, c.nearSent, c.farSent)
		}
	}
}

// What a host sends arrives unchanged.
func TestUpdateArrivesWhole(t *testing.T) {
	now := time.Now()
	other := listen(t, host(1, 400))
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(now)
	members.ApplyStatus(roster.Status{Host: other.host, Sequence: 1}, now)
	self := host(0, 800)
	want := roster.Status{
		Host: self, StoreReachableFor: 3 * time.Second, LeaseVersion: 12,
		Loads:   []roster.Load{{Endpoint: "e1", Running: 3, PrefillTokens: 500}},
		Demands: []roster.Demand{{Service: "svc", Rate: 0.5}},
		Counts:  []roster.RequestCount{{Window: 7, Team: "red", Started: 4}},
	}
	placed := []route.Placement{{Endpoint: "e1", PrefixHashes: []uint64{1, 1 << 63}}}
	run(t, self, members, gossip.Update{Status: want, Placed: placed}, other)
	other.mu.Lock()
	defer other.mu.Unlock()
	if len(other.got) == 0 {
		t.Fatal("datagrams: got none")
	}
	if got := other.got[0].Placed; fmt.Sprint(got) != fmt.Sprint(placed) {
		t.Errorf("placed: got %v, want %v", got, placed)
	}
	got := other.got[0].Status
	want.Sequence = got.Sequence
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("told: got %+v, want %+v", got, want)
	}
}

// At every size of fleet a host stays known though one datagram of each is lost, also
// those without callers, whose datagrams come rarely; and one that has callers and
// dies is gone after 3.2 s everywhere.
func TestHostsStayKnownAtEverySize(t *testing.T) {
	const (
		silence = 3200 * time.Millisecond
		near    = 18
	)
	for _, hosts := range []int{30, 100, 195, 300, 420, 1000} {
		for _, sharing := range []int{0, near} {
			pace := gossip.Pace{}
			members := roster.New(silence, gossip.Interval)
			now := time.Unix(1000, 0)
			sent, heard := 0, now
			for now.Before(time.Unix(1060, 0)) {
				far := hosts - 1 - sharing
				pause, tellFar := pace.Next(sharing, far)
				if tellFar {
					sent++
				}
				// The fourth and then each tenth datagram is lost; others keep talking.
				if tellFar && sent%10 != 4 {
					members.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: "a", Node: "a", DataCenter: "dc"}, Sequence: int64(sent)}, now)
					heard = now
				}
				members.NoteStoreResponse(now)
				if got := members.DataCenters(); len(got) != 1 && sent > 2 {
					t.Fatalf("%d hosts, %d near: not known %v after its last datagram", hosts, sharing, now.Sub(heard))
				}
				now = now.Add(pause)
			}
			if sharing == 0 {
				continue
			}
			members.NoteStoreResponse(heard.Add(silence + 10*time.Millisecond))
			if got := members.DataCenters(); len(got) != 0 {
				t.Errorf("%d hosts, %d near: still known after %v", hosts, sharing, silence)
			}
		}
	}
}

// Cases of requests under which endpoints ended arrive in a datagram of their own, with their
// times as ages, also at hosts of another version.
func TestCasesArrive(t *testing.T) {
	now := time.Now()
	other := listen(t, host(1, 400))
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(now)
	members.ApplyStatus(roster.Status{Host: other.host, Sequence: 1}, now)
	f := quarantine.FingerprintOf("POST", "/x", "red", []byte("body"))
	ends := []quarantine.Crash{{Endpoint: "e1", At: now.Add(-time.Hour)}, {Endpoint: "e2", At: now.Add(-2 * time.Second)}}
	cases := []quarantine.Case{{Fingerprint: f, Crashes: ends}, {Fingerprint: f, LastSuccess: now.Add(-time.Second)}, {Fingerprint: f, Crashes: ends[1:]}}
	self := host(0, 800)
	run(t, self, members, gossip.Update{Status: roster.Status{Host: self}, Cases: cases}, other)
	for other.count() < 2 {
		time.Sleep(time.Millisecond)
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	if loads := other.got[0]; loads.Brief || loads.Node == "" {
		t.Errorf("first datagram: got %+v, want what a host always tells", loads)
	}
	got := other.got[1].Cases
	if len(got) != 3 || got[0].Fingerprint != f || len(got[0].Crashes) != 2 || !got[0].LastSuccess.IsZero() {
		t.Fatalf("cases: got %+v, want %+v", got, cases)
	}
	near := func(a, b time.Time) bool { return a.Sub(b).Abs() < arrivalTime }
	for i, end := range got[0].Crashes {
		if end.Endpoint != ends[i].Endpoint || !near(end.At, ends[i].At) {
			t.Errorf("end: got %+v, want %+v", end, ends[i])
		}
	}
	if single := got[2]; single.Fingerprint != f || len(single.Crashes) != 1 || single.Crashes[0].Endpoint != "e2" || !near(single.Crashes[0].At, ends[1].At) {
		t.Errorf("case of one end: got %+v, want %+v", single, cases[2])
	}
	if !near(got[1].LastSuccess, cases[1].LastSuccess) || len(got[1].Crashes) != 0 {
		t.Errorf("whole answer: got %+v, want %+v", got[1], cases[1])
	}
}

// Notices arrive in datagrams of their own; absurd figures do no harm.
func TestNoticesArrive(t *testing.T) {
	other := listen(t, host(1, 400))
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(time.Now())
	members.ApplyStatus(roster.Status{Host: other.host, Sequence: 1}, time.Now())
	notices := []notice.Report{
		{Endpoint: "e1", StartedMS: 1_800_000_000_000, Notice: endpoint.Notice{Leaving: true}},
		{Endpoint: "e2", Notice: endpoint.Notice{Backoff: 1500 * time.Millisecond}},
	}
	absurd := []notice.Report{{Endpoint: "e3", Notice: endpoint.Notice{Backoff: -time.Hour}}, {Endpoint: "e4", Notice: endpoint.Notice{Backoff: math.MaxInt64}}}
	self := host(0, 800)
	run(t, self, members, gossip.Update{Status: roster.Status{Host: self}, Notices: append(notices, absurd...)}, other)
	for other.count() < 2 {
		time.Sleep(time.Millisecond)
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	got := other.got[1].Notices
	want := append(notices, notice.Report{Endpoint: "e3"}, notice.Report{Endpoint: "e4", Notice: endpoint.Notice{Backoff: endpoint.MaxBackoff}})
	if !slices.Equal(got, want) {
		t.Errorf("notices: got %+v, want %+v", got, want)
	}
}

// Many notices of endpoints with long ids, together with cases, arrive as far as a datagram
// holds them: what does not fit does not take the others with it.
func TestManyNoticesFit(t *testing.T) {
	other := listen(t, host(1, 400))
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(time.Now())
	members.ApplyStatus(roster.Status{Host: other.host, Sequence: 1}, time.Now())
	told := gossip.Update{Status: roster.Status{Host: host(0, 800)}}
	for i := range 30 {
		f := quarantine.FingerprintOf("POST", fmt.Sprintf("/%d", i), "red", nil)
		told.Cases = append(told.Cases, quarantine.Case{Fingerprint: f, Crashes: []quarantine.Crash{{Endpoint: "e1", At: time.Now()}}})
		id := fmt.Sprintf("%s%d", strings.Repeat("x", 100), i)
		told.Notices = append(told.Notices, notice.Report{Endpoint: id, Notice: endpoint.Notice{Leaving: true}})
	}
	run(t, told.Host, members, told, other)
	for other.count() < 3 {
		time.Sleep(time.Millisecond)
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	if got, want := len(other.got[1].Cases), 30; got != want {
		t.Errorf("cases: got %d, want %d", got, want)
	}
	if got, least := len(other.got[2].Notices), 5; got < least {
		t.Errorf("notices: got %d, want %d or more of 30", got, least)
	}
}

// In fleets of every size, with one datagram in ten lost, a request is held back at each
// host within the 3 s that the users allow from the third end on, though three hosts have
// seen an end each and hundreds of others broke off with it.
func TestHeldBackEverywhereInTime(t *testing.T) {
	const (
		within = 3 * time.Second
		beside = 30
	)
	for _, size := range []struct{ hosts, callers int }{{9, 9}, {30, 9}, {91, 22}, {195, 48}, {420, 64}} {
		start := time.Unix(1_000_000, 0)
		random := rand.New(rand.NewPCG(1, uint64(size.hosts)))
		f := quarantine.FingerprintOf("POST", "/x", "red", []byte("crash"))
		quarantines := make([]*quarantine.Quarantine, size.hosts)
		paces := make([]gossip.Pace, size.hosts)
		next := make([]time.Time, size.hosts)
		for i := range quarantines {
			quarantines[i] = quarantine.NewQuarantine()
			next[i] = start.Add(time.Duration(random.Int64N(int64(time.Second))))
		}
		third := start.Add(3 * time.Second)
		for i := range 3 {
			at := third.Add(time.Duration(i-2) * 200 * time.Millisecond)
			end := quarantine.Crash{Endpoint: fmt.Sprint("e", i), At: at}
			for j := range beside {
				quarantines[i].RecordCrash(quarantine.FingerprintOf("POST", "/y", "red", []byte(fmt.Sprint(i, j))), end, at)
			}
			quarantines[i].RecordCrash(f, end, at)
		}
		for now := start; now.Before(third.Add(within)); now = now.Add(10 * time.Millisecond) {
			for i := range quarantines {
				if now.Before(next[i]) {
					continue
				}
				near, far := size.callers-1, size.hosts-size.callers
				if i >= size.callers {
					near, far = 0, size.hosts-1
				}
				pause, tellFar := paces[i].Next(near, far)
				next[i] = next[i].Add(pause)
				told := quarantines[i].Reports(now)
				for j := range quarantines {
					isNear := i < size.callers && j < size.callers
					if j != i && (isNear || tellFar) && random.IntN(10) > 0 && !now.Before(third) {
						quarantines[j].Merge(told, now)
					}
				}
			}
		}
		without := 0
		for _, q := range quarantines {
			if _, held := q.Quarantined(f, third.Add(within)); !held {
				without++
			}
		}
		if without > 0 {
			t.Errorf("%d hosts, %d with callers: got %d that do not hold the request back after %v, want none", size.hosts, size.callers, without, within)
		}
	}
}

// In fleets of every size, with one datagram in ten lost, each host that has callers knows
// that an endpoint leaves within the 2 s that the users allow from the answer that said so
// to one of them. By the row alone, which an endpoint can't write while the store is away,
// none of them does.
func TestLeavingIsKnownWhereCallersAre(t *testing.T) {
	const (
		within = 2 * time.Second
		id     = "e1"
	)
	for _, size := range []struct{ hosts, callers int }{{9, 9}, {30, 9}, {91, 22}, {195, 48}, {420, 64}} {
		start := time.Unix(1_000_000, 0)
		random := rand.New(rand.NewPCG(1, uint64(size.hosts)))
		boards := make([]*notice.Tracker, size.callers)
		directories := make([]*endpoint.Directory, size.callers)
		for i := range boards {
			directories[i] = endpoint.NewDirectory()
			directories[i].Merge(endpoint.Info{ID: id, Incarnation: int64(i + 1), State: endpoint.Live, Kind: endpoint.Plain, Service: "s"})
			router := route.New(directories[i], hazard.New(), route.Location{}, 1)
			boards[i] = notice.New(directories[i], router, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		}
		report := func(told []notice.Report, now time.Time) {
			for _, other := range boards[1:] {
				if random.IntN(10) > 0 {
					other.ApplyReports(told, now)
				}
			}
		}
		heard, _ := directories[0].Get(id)
		boards[0].ApplyResponse(heard, endpoint.Notice{Leaving: true}, start, start)
		report(boards[0].ReportsFor([]string{id}, start), start)
		pace := gossip.Pace{}
		for now := start; now.Before(start.Add(within)); {
			pause, _ := pace.Next(size.callers-1, size.hosts-size.callers)
			now = now.Add(pause)
			report(boards[0].Reports(now), now)
		}
		without := 0
		for _, d := range directories {
			if info, _ := d.Get(id); info.AcceptsWork() {
				without++
			}
		}
		if without > 0 {
			t.Errorf("%d hosts, %d with callers: got %d that choose the endpoint after %v, want none", size.hosts, size.callers, without, within)
		}
	}
}
