package storeview_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
)

// decoder returns zero values, as these tests read no rows with it.
type decoder struct{}

func (decoder) Tables() storeview.Tables { return storeview.Tables{} }

func (decoder) DecodeConfiguration([]byte) (routetable.Spec, error) { return routetable.Spec{}, nil }

func (decoder) DecodeEndpoint(string, []byte) (endpoint.Info, error) { return endpoint.Info{}, nil }

func (decoder) DecodeOrder([]byte, int64) (rollout.Order, error) { return rollout.Order{}, nil }

func host(i int) roster.Host {
	name := fmt.Sprintf("h%02d", i)
	h := roster.Host{Incarnation: name, Node: name, DataCenter: fmt.Sprint("dc", i%4), PeerAddress: name + ":1", Millicores: 200}
	if i >= 8 && i < 12 {
		h.Millicores = 800
	}
	return h
}

// viewOf returns the view of a host that knows all hosts of a fleet.
func viewOf(self, hosts int) *storeview.View {
	now := time.Now()
	members := roster.New(time.Minute, func(int) time.Duration { return time.Second })
	members.NoteStoreResponse(now)
	for i := range hosts {
		members.ApplyStatus(roster.Status{Host: host(i), Sequence: 1}, now)
	}
	h := host(self)
	home := route.Location{Node: h.Node, DataCenter: h.DataCenter}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return storeview.New(decoder{}, time.Second, storeclock.New(), members, home, h.Incarnation, rollout.New(rollout.Bounds{}), logger)
}

// TestRelaySelection checks that in a large fleet the largest host of a data centre follows
// the store and the other hosts follow that host, and that in a small fleet all follow the store.
func TestRelaySelection(t *testing.T) {
	for _, c := range []struct {
		name        string
		self, hosts int
		want        string
	}{
		{"small fleet", 0, 15, ""},
		{"just large enough", 0, 16, "h08:1"},
		{"large fleet", 0, 40, "h08:1"},
		{"another data centre", 5, 40, "h09:1"},
		{"the relay itself", 8, 40, ""},
	} {
		relays := viewOf(c.self, c.hosts).Relays()
		got := strings.Join(relays[:min(1, len(relays))], "")
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
		if c.want != "" && len(relays) != 4 {
			t.Errorf("%s: got relays %v, want one of each of 4 data centres", c.name, relays)
		}
	}
}
