package storeview_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
)

// decoder returns zero values, as these tests read no rows with it.
type decoder struct{}

func (decoder) Tables() storeview.Tables {
	return storeview.Tables{Configuration: "configuration", ConfigurationKey: "config", Endpoints: "endpoints", OrderPrefix: "order/"}
}

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

// busyEndpoints is a store whose table of endpoints always has a change; it counts the reads.
type busyEndpoints struct {
	rows
	reads atomic.Int64
}

func (s *busyEndpoints) Changes(ctx context.Context, name string, after int64, wait time.Duration) (feed.Batch, error) {
	if name != "endpoints" {
		return s.rows.Changes(ctx, name, after, wait)
	}
	return feed.Batch{Version: s.reads.Add(1)}, nil
}

// The host that orders endpoints read their rows up to 1.3 s late, of 1.7 to 2.8 s of notice. Others
// must not call the store more often.
func TestOnlyHostThatOrdersReadsEndpointsOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var store busyEndpoints
		var orders atomic.Bool
		view := viewOf(0, 1)
		view.SetOrdersEndpoints(orders.Load)
		view.Follow(ctx, &store, false)
		for _, period := range []time.Duration{13 * time.Second, 3 * time.Second, 13 * time.Second} {
			orders.Store(period == 3*time.Second)
			time.Sleep(2 * time.Second)
			before := store.reads.Load()
			time.Sleep(period)
			if got := store.reads.Load() - before; got != 10 {
				t.Errorf("orders endpoints %v: got %d reads in %v, want 10", orders.Load(), got, period)
			}
		}
	})
}
