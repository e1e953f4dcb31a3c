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

const (
	silence = 3 * time.Second
	// arrivalTime bounds the wait for a datagram on the loopback of a busy machine.
	arrivalTime = 10 * time.Second
)

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

// tell runs the exchange of a host with what it tells until it has arrived.
func tell(t *testing.T, self roster.Host, members *roster.Roster, told gossip.Told, to *listener) {
	t.Helper()
	e, err := gossip.Listen(freeAddress(t), self, members, func() gossip.Told { return told }, func(gossip.Told) {}, quiet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), arrivalTime)
	defer cancel()
	e.Run(ctx, func() {
		if to.count() > 0 {
			cancel()
		}
	})
}

func host(i, millicores int) roster.Host {
	name := fmt.Sprintf("h%02d", i)
	return roster.Host{Incarnation: name, Node: name, DataCenter: fmt.Sprint("dc", i%4), Callers: name, Millicores: millicores}
}

// In a large fleet those that share the callers are told five times a second, all
// others about once; in a small one there are no others.
func TestNearHostsAreToldMoreOften(t *testing.T) {
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
	tell(t, self, members, gossip.Told{Told: want, Placed: placed}, other)
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
					members.Hear(roster.Told{Host: roster.Host{Incarnation: "a", Node: "a", DataCenter: "dc"}, Sequence: int64(sent)}, now)
					heard = now
				}
				members.Heard(now)
				if got := members.DataCenters(); len(got) != 1 && sent > 2 {
					t.Fatalf("%d hosts, %d near: not known %v after its last datagram", hosts, sharing, now.Sub(heard))
				}
				now = now.Add(pause)
			}
			if sharing == 0 {
				continue
			}
			members.Heard(heard.Add(silence + 10*time.Millisecond))
			if got := members.DataCenters(); len(got) != 0 {
				t.Errorf("%d hosts, %d near: still known after %v", hosts, sharing, silence)
			}
		}
	}
}
