package gossip_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/gossip"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

const silence = 3 * time.Second

// listener is a host that only counts the datagrams that come.
type listener struct {
	host roster.Host
	mu   sync.Mutex
	got  []gossip.Told
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

// listen opens a host that tells nothing.
func listen(t *testing.T, host roster.Host) *listener {
	t.Helper()
	l := &listener{host: host}
	l.host.Peers = freeAddress(t)
	take := func(told gossip.Told) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.got = append(l.got, told)
	}
	e, err := gossip.Listen(l.host.Peers, l.host, roster.New(silence, gossip.Interval), func() gossip.Told { return gossip.Told{} }, take, quiet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx, func() {})
	return l
}

// tell runs the exchange of a host with what it tells for some time.
func tell(t *testing.T, self roster.Host, members *roster.Roster, told gossip.Told, length time.Duration) {
	t.Helper()
	e, err := gossip.Listen(freeAddress(t), self, members, func() gossip.Told { return told }, func(gossip.Told) {}, quiet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	e.Run(ctx, func() {})
}

func host(i, millicores int) roster.Host {
	name := fmt.Sprintf("h%02d", i)
	return roster.Host{Incarnation: name, Node: name, DataCenter: fmt.Sprint("dc", i%4), Callers: name, Millicores: millicores}
}

// In a large fleet those that share the callers are told several times as often
// as all others.
func TestNearHostsAreToldMoreOften(t *testing.T) {
	now := time.Now()
	members := roster.New(silence, gossip.Interval)
	members.Heard(now)
	near := listen(t, host(1, 800))
	far := listen(t, host(50, 200))
	sink := freeAddress(t)
	for i := range 91 {
		h := host(i, 200)
		h.Peers = sink
		if i < 8 {
			h.Millicores = 800
		}
		switch i {
		case 1:
			h = near.host
		case 50:
			h = far.host
		}
		members.Hear(roster.Told{Host: h, Sequence: 1}, now)
	}
	tell(t, host(0, 800), members, gossip.Told{}, 2200*time.Millisecond)
	if n, f := near.count(), far.count(); n < 2*f || f < 1 {
		t.Errorf("datagrams in 2 s: got %d to the near host and %d to the far one, want the far one told, and half as often at most", n, f)
	}
}

// What a host tells arrives as it was told.
func TestToldArrivesWhole(t *testing.T) {
	now := time.Now()
	other := listen(t, host(1, 400))
	members := roster.New(silence, gossip.Interval)
	members.Heard(now)
	members.Hear(roster.Told{Host: other.host, Sequence: 1}, now)
	self := host(0, 800)
	want := roster.Told{
		Host: self, InTouch: 3 * time.Second, LeaseVersion: 12,
		Loads:  []roster.Load{{Endpoint: "e1", Running: 3, PrefillTokens: 500}},
		Works:  []roster.Work{{Service: "svc", Rate: 0.5}},
		Counts: []roster.Count{{Window: 7, Team: "red", Begun: 4}},
	}
	placed := []route.Placement{{Endpoint: "e1", Prefix: []uint64{1, 1 << 63}}}
	tell(t, self, members, gossip.Told{Told: want, Placed: placed}, 300*time.Millisecond)
	other.mu.Lock()
	defer other.mu.Unlock()
	if len(other.got) == 0 {
		t.Fatal("datagrams: got none")
	}
	if got := other.got[0].Placed; fmt.Sprint(got) != fmt.Sprint(placed) {
		t.Errorf("placed: got %v, want %v", got, placed)
	}
	got := other.got[0].Told
	want.Sequence = got.Sequence
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("told: got %+v, want %+v", got, want)
	}
}
