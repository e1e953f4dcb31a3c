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
	// arrivalTime bounds the wait for a datagram on the loopback interface of a busy machine.
	arrivalTime = 10 * time.Second
)

// listener is a host that only records the received updates.
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

// freeAddress returns a local address with a free UDP port.
func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

// listen starts a host that sends nothing.
func listen(t *testing.T, host roster.Host) *listener {
	t.Helper()
	l := &listener{host: host}
	l.host.PeerAddress = freeAddress(t)
	handle := func(update gossip.Update) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.got = append(l.got, update)
	}
	e, err := gossip.Listen(l.host.PeerAddress, l.host, roster.New(silence, gossip.Interval), func() gossip.Update { return gossip.Update{} }, handle, time.Now, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx, func() {})
	return l
}

// run runs the exchange of a host with an update until the listener has received it.
func run(t *testing.T, self roster.Host, members *roster.Roster, update gossip.Update, to *listener) {
	t.Helper()
	runUntil(t, self, members, update, func() bool { return to.count() > 0 })
}

// runUntil runs the exchange of a host with an update until done returns true.
func runUntil(t *testing.T, self roster.Host, members *roster.Roster, update gossip.Update, done func() bool) {
	t.Helper()
	e, err := gossip.Listen(freeAddress(t), self, members, func() gossip.Update { return update }, func(gossip.Update) {}, time.Now, discardLogger())
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
	return roster.Host{Incarnation: name, Node: name, DataCenter: fmt.Sprint("dc", i%4), CallerAddress: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Millicores: millicores}
}

// In a large fleet, hosts that share the callers receive datagrams five times a second, all
// others about once. In a small fleet all hosts share the callers.
func TestFrequentRecipientsGetMoreDatagrams(t *testing.T) {
	for _, c := range []struct {
		name                         string
		frequent, infrequent         int
		frequentSent, infrequentSent int
	}{
		{"host with callers", 10, 80, 300, 53},
		{"host without callers", 0, 90, 0, 53},
		{"small fleet", 8, 0, 300, 0},
	} {
		var scheduler gossip.RoundScheduler
		frequentSent, infrequentSent := 0, 0
		for at := time.Duration(0); at < time.Minute; {
			delay, sendInfrequent := scheduler.NextForCounts(c.frequent, c.infrequent)
			at += delay
			if c.frequent > 0 {
				frequentSent++
			}
			if sendInfrequent && c.infrequent > 0 {
				infrequentSent++
			}
		}
		if frequentSent != c.frequentSent || infrequentSent < c.infrequentSent-3 || infrequentSent > c.infrequentSent+3 {
			t.Errorf("%s, rounds in a minute: got %d to frequent and %d to infrequent recipients, want %d and about %d",
				c.name, frequentSent, infrequentSent, c.frequentSent, c.infrequentSent)
		}
	}
}

// An update is received unchanged.
func TestUpdateArrivesUnchanged(t *testing.T) {
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
	placements := []route.Placement{{Endpoint: "e1", PrefixHashes: []uint64{1, 1 << 63}}}
	work := []roster.Work{{Service: "svc", SlotTime: 3, TokenTime: 4000, Offered: 2, Refused: 0.5}}
	runUntil(t, self, members, gossip.Update{Status: want, Placements: placements, Work: work}, func() bool { return other.count() > 1 })
	other.mu.Lock()
	defer other.mu.Unlock()
	if len(other.got) < 2 {
		t.Fatalf("datagrams: got %d, want 2", len(other.got))
	}
	// Hosts of the earlier version reject a status with more members, so the work is sent apart.
	if got := other.got[1]; fmt.Sprint(got.Work) != fmt.Sprint(work) || !got.Brief || len(other.got[0].Work) > 0 {
		t.Errorf("second datagram: got %+v, want only the work %v", got, work)
	}
	if got := other.got[0].Placements; fmt.Sprint(got) != fmt.Sprint(placements) {
		t.Errorf("placements: got %v, want %v", got, placements)
	}
	got := other.got[0].Status
	want.Sequence = got.Sequence
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("status: got %+v, want %+v", got, want)
	}
}

// In fleets of every size a host stays known when one of its datagrams is lost, including hosts
// without callers, which send less often. A host with callers that dies is removed everywhere
// after 3.2 s.
func TestHostsStayKnownAtEverySize(t *testing.T) {
	const (
		silence       = 3200 * time.Millisecond
		frequentCount = 18
	)
	for _, hosts := range []int{30, 100, 195, 300, 420, 1000} {
		for _, frequent := range []int{0, frequentCount} {
			scheduler := gossip.RoundScheduler{}
			members := roster.New(silence, gossip.Interval)
			now := time.Unix(1000, 0)
			sent, receivedAt := 0, now
			for now.Before(time.Unix(1060, 0)) {
				infrequent := hosts - 1 - frequent
				delay, sendInfrequent := scheduler.NextForCounts(frequent, infrequent)
				if sendInfrequent {
					sent++
				}
				// The fourth datagram and then every tenth is lost. The other hosts keep sending.
				if sendInfrequent && sent%10 != 4 {
					members.ApplyStatus(roster.Status{Host: roster.Host{Incarnation: "a", Node: "a", DataCenter: "dc"}, Sequence: int64(sent)}, now)
					receivedAt = now
				}
				members.NoteStoreResponse(now)
				if got := members.DataCenters(); len(got) != 1 && sent > 2 {
					t.Fatalf("%d hosts, %d frequent recipients: host not known %v after its last datagram", hosts, frequent, now.Sub(receivedAt))
				}
				now = now.Add(delay)
			}
			if frequent == 0 {
				continue
			}
			members.NoteStoreResponse(receivedAt.Add(silence + 10*time.Millisecond))
			if got := members.DataCenters(); len(got) != 0 {
				t.Errorf("%d hosts, %d frequent recipients: host still known after %v", hosts, frequent, silence)
			}
		}
	}
}

// Cases of requests during which endpoints crashed are received in a separate datagram, with
// times sent as ages, also by hosts of another version.
func TestCasesArrive(t *testing.T) {
	now := time.Now()
	other := listen(t, host(1, 400))
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(now)
	members.ApplyStatus(roster.Status{Host: other.host, Sequence: 1}, now)
	f := quarantine.FingerprintOf("POST", "/x", "red", []byte("body"))
	crashes := []quarantine.Crash{{Endpoint: "e1", At: now.Add(-time.Hour)}, {Endpoint: "e2", At: now.Add(-2 * time.Second)}}
	cases := []quarantine.Case{{Fingerprint: f, Crashes: crashes}, {Fingerprint: f, LastSuccess: now.Add(-time.Second)}, {Fingerprint: f, Crashes: crashes[1:]}}
	self := host(0, 800)
	run(t, self, members, gossip.Update{Status: roster.Status{Host: self}, Cases: cases}, other)
	for other.count() < 2 {
		time.Sleep(time.Millisecond)
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	if loads := other.got[0]; loads.Brief || loads.Node == "" {
		t.Errorf("first datagram: got %+v, want a full update", loads)
	}
	got := other.got[1].Cases
	if len(got) != 3 || got[0].Fingerprint != f || len(got[0].Crashes) != 2 || !got[0].LastSuccess.IsZero() {
		t.Fatalf("cases: got %+v, want %+v", got, cases)
	}
	isClose := func(a, b time.Time) bool { return a.Sub(b).Abs() < arrivalTime }
	for i, crash := range got[0].Crashes {
		if crash.Endpoint != crashes[i].Endpoint || !isClose(crash.At, crashes[i].At) {
			t.Errorf("crash: got %+v, want %+v", crash, crashes[i])
		}
	}
	if single := got[2]; single.Fingerprint != f || len(single.Crashes) != 1 || single.Crashes[0].Endpoint != "e2" || !isClose(single.Crashes[0].At, crashes[1].At) {
		t.Errorf("case of one crash: got %+v, want %+v", single, cases[2])
	}
	if !isClose(got[1].LastSuccess, cases[1].LastSuccess) || len(got[1].Crashes) != 0 {
		t.Errorf("case with a complete answer: got %+v, want %+v", got[1], cases[1])
	}
}

// Notices are received in separate datagrams; out-of-range values do no harm.
func TestNoticesArrive(t *testing.T) {
	other := listen(t, host(1, 400))
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(time.Now())
	members.ApplyStatus(roster.Status{Host: other.host, Sequence: 1}, time.Now())
	notices := []notice.Report{
		{Endpoint: "e1", StartedMS: 1_800_000_000_000, Notice: endpoint.Notice{Leaving: true}},
		{Endpoint: "e2", Notice: endpoint.Notice{Backoff: 1500 * time.Millisecond}},
	}
	invalid := []notice.Report{{Endpoint: "e3", Notice: endpoint.Notice{Backoff: -time.Hour}}, {Endpoint: "e4", Notice: endpoint.Notice{Backoff: math.MaxInt64}}}
	rejections := func(id string, count int) notice.Report {
		return notice.Report{Endpoint: id, StartedMS: 7, Notice: endpoint.Notice{MaxRejections: count}, LimitKind: notice.RejectionLimit, LimitVersion: 2}
	}
	invalid = append(invalid, rejections("e5", 3), rejections("e6", 0), rejections("e7", -5), rejections("e8", math.MaxInt64))
	self := host(0, 800)
	run(t, self, members, gossip.Update{Status: roster.Status{Host: self}, Notices: append(notices, invalid...)}, other)
	for other.count() < 2 {
		time.Sleep(time.Millisecond)
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	got := other.got[1].Notices
	want := append(notices, notice.Report{Endpoint: "e3"}, notice.Report{Endpoint: "e4", Notice: endpoint.Notice{Backoff: endpoint.MaxBackoff}}, rejections("e5", 3), rejections("e6", 0))
	if !slices.Equal(got, want) {
		t.Errorf("notices: got %+v, want %+v", got, want)
	}
}

// Of many notices of endpoints with long IDs, sent together with cases, as many arrive as fit in
// a datagram. Those that do not fit affect neither the other notices nor the cases.
func TestManyNoticesFit(t *testing.T) {
	other := listen(t, host(1, 400))
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(time.Now())
	members.ApplyStatus(roster.Status{Host: other.host, Sequence: 1}, time.Now())
	update := gossip.Update{Status: roster.Status{Host: host(0, 800)}}
	for i := range 30 {
		f := quarantine.FingerprintOf("POST", fmt.Sprintf("/%d", i), "red", nil)
		update.Cases = append(update.Cases, quarantine.Case{Fingerprint: f, Crashes: []quarantine.Crash{{Endpoint: "e1", At: time.Now()}}})
		id := fmt.Sprintf("%s%d", strings.Repeat("x", 100), i)
		update.Notices = append(update.Notices, notice.Report{Endpoint: id, Notice: endpoint.Notice{Leaving: true}})
	}
	run(t, update.Host, members, update, other)
	for other.count() < 3 {
		time.Sleep(time.Millisecond)
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	if got, want := len(other.got[1].Cases), 30; got != want {
		t.Errorf("cases: got %d, want %d", got, want)
	}
	if got, least := len(other.got[2].Notices), 5; got < least {
		t.Errorf("notices: got %d, want at least %d of 30", got, least)
	}
}

// In fleets of every size, with one datagram in ten lost, every host quarantines a request within
// the required 3 s of the third crash, even if three hosts have seen one crash each, and
// 30 other requests failed in each crash.
func TestHeldBackEverywhereInTime(t *testing.T) {
	const (
		maxDelay     = 3 * time.Second
		otherCrashes = 30
	)
	for _, size := range []struct{ hosts, callers int }{{9, 9}, {30, 9}, {91, 22}, {195, 48}, {420, 64}} {
		start := time.Unix(1_000_000, 0)
		random := rand.New(rand.NewPCG(1, uint64(size.hosts)))
		f := quarantine.FingerprintOf("POST", "/x", "red", []byte("crash"))
		quarantines := make([]*quarantine.Quarantine, size.hosts)
		schedulers := make([]gossip.RoundScheduler, size.hosts)
		next := make([]time.Time, size.hosts)
		for i := range quarantines {
			quarantines[i] = quarantine.NewQuarantine()
			next[i] = start.Add(time.Duration(random.Int64N(int64(time.Second))))
		}
		thirdCrash := start.Add(3 * time.Second)
		for i := range 3 {
			at := thirdCrash.Add(time.Duration(i-2) * 200 * time.Millisecond)
			crash := quarantine.Crash{Endpoint: fmt.Sprint("e", i), At: at}
			for j := range otherCrashes {
				quarantines[i].RecordCrash(quarantine.FingerprintOf("POST", "/y", "red", []byte(fmt.Sprint(i, j))), crash, at)
			}
			quarantines[i].RecordCrash(f, crash, at)
		}
		for now := start; now.Before(thirdCrash.Add(maxDelay)); now = now.Add(10 * time.Millisecond) {
			for i := range quarantines {
				if now.Before(next[i]) {
					continue
				}
				frequent, infrequent := size.callers-1, size.hosts-size.callers
				if i >= size.callers {
					frequent, infrequent = 0, size.hosts-1
				}
				delay, sendInfrequent := schedulers[i].NextForCounts(frequent, infrequent)
				next[i] = next[i].Add(delay)
				reports := quarantines[i].Reports(now)
				for j := range quarantines {
					isFrequent := i < size.callers && j < size.callers
					if j != i && (isFrequent || sendInfrequent) && random.IntN(10) > 0 && !now.Before(thirdCrash) {
						quarantines[j].Merge(reports, now)
					}
				}
			}
		}
		missing := 0
		for _, q := range quarantines {
			if _, isQuarantined := q.Quarantined(f, thirdCrash.Add(maxDelay)); !isQuarantined {
				missing++
			}
		}
		if missing > 0 {
			t.Errorf("%d hosts, %d with callers: got %d that do not quarantine the request after %v, want none", size.hosts, size.callers, missing, maxDelay)
		}
	}
}

// In fleets of every size, with one datagram in ten lost, each host that has callers knows that
// an endpoint is leaving within the required 2 s of the response that reported it to one of them.
// With only the row, which an endpoint can't write while the store is unavailable, none of them
// would know.
func TestLeavingIsKnownWhereCallersAre(t *testing.T) {
	const (
		maxDelay = 2 * time.Second
		id       = "e1"
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
		report := func(reports []notice.Report, now time.Time) {
			for _, other := range boards[1:] {
				if random.IntN(10) > 0 {
					other.ApplyReports(reports, now)
				}
			}
		}
		leavingInfo, _ := directories[0].Get(id)
		boards[0].ApplyResponse(leavingInfo, endpoint.Notice{Leaving: true}, start, start)
		report(boards[0].ReportsFor([]string{id}, start), start)
		scheduler := gossip.RoundScheduler{}
		for now := start; now.Before(start.Add(maxDelay)); {
			delay, _ := scheduler.NextForCounts(size.callers-1, size.hosts-size.callers)
			now = now.Add(delay)
			report(boards[0].Reports(now), now)
		}
		missing := 0
		for _, d := range directories {
			if info, _ := d.Get(id); info.AcceptsWork() {
				missing++
			}
		}
		if missing > 0 {
			t.Errorf("%d hosts, %d with callers: got %d that choose the endpoint after %v, want none", size.hosts, size.callers, missing, maxDelay)
		}
	}
}
