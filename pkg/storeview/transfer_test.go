package storeview_test

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
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

// textDecoder decodes a configuration that is its version, and endpoints that are a state and a start
// time.
type textDecoder struct{ decoder }

func (textDecoder) DecodeConfiguration(value []byte) (routetable.Spec, error) {
	version, err := strconv.ParseInt(string(value), 10, 64)
	return routetable.Spec{Version: version}, err
}

func (textDecoder) DecodeEndpoint(id string, value []byte) (endpoint.Info, error) {
	state, started, _ := strings.Cut(string(value), " ")
	info := endpoint.Info{ID: id, Service: "s", Kind: endpoint.Plain, State: endpoint.Live}
	if state == "leaving" {
		info.State = endpoint.Leaving
	}
	var err error
	info.StartedMS, err = strconv.ParseInt(started, 10, 64)
	return info, err
}

// store is a store without changes. It does not answer if it has no tables.
type store map[string]feed.Batch

var errAway = errors.New("store is away")

func (s store) Snapshot(_ context.Context, name string) (feed.Batch, error) {
	if len(s) == 0 {
		return feed.Batch{}, errAway
	}
	return s[name], nil
}

func (s store) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (feed.Batch, error) {
	select {
	case <-time.After(wait):
		return feed.Batch{Version: after}, nil
	case <-ctx.Done():
		return feed.Batch{}, ctx.Err()
	}
}

// newStore returns a store with a configuration and the endpoint e.
func newStore(configuration, e string) store {
	batch := func(key, value string) feed.Batch {
		return feed.Batch{Version: 7, StoreTime: time.Hour, Rows: []feed.Row{{Key: key, Value: []byte(value), Version: 7}}}
	}
	return store{"configuration": batch("config", configuration), "endpoints": batch("e", e), storeview.RosterTable: {Version: 7, StoreTime: time.Hour}}
}

// follow returns a view that follows a store for some seconds.
func follow(t *testing.T, name string, s store) *storeview.View {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	members := roster.New(time.Minute, func(int) time.Duration { return time.Second })
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	view := storeview.New(textDecoder{}, time.Second, storeclock.New(), members, route.Location{Node: name, DataCenter: "dc"}, name, rollout.New(rollout.Bounds{}), logger)
	view.Follow(ctx, s, false)
	time.Sleep(2 * time.Second)
	return view
}

func checkKnown(t *testing.T, when string, view *storeview.View, wantVersion int64, wantTakesWork bool) {
	t.Helper()
	if got := view.ConfigurationVersion(); got != wantVersion {
		t.Errorf("%s: got configuration %d, want %d", when, got, wantVersion)
	}
	info, known := view.Directory().Get("e")
	if got := known && info.AcceptsWork(); got != wantTakesWork {
		t.Errorf("%s: got endpoint that takes work %v, want %v", when, got, wantTakesWork)
	}
}

// Guards against a host that starts after a restore and sends requests to an endpoint that leaves.
func TestStateOfPeersIsNewerThanRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := follow(t, "peer", newStore("5", "leaving 1000"))
		for _, c := range []struct {
			when, endpoint string
			takesWork      bool
		}{{"same run of the endpoint", "live 1000", false}, {"later run of the endpoint", "live 2000", true}} {
			restored := newStore("4", c.endpoint)
			view := follow(t, "starting", restored)
			checkKnown(t, c.when+", before asking", view, 4, true)
			view.Apply(peer.State(view.ConfigurationVersion(), false))
			checkKnown(t, c.when+", after asking", view, 5, c.takesWork)
			if state := peer.State(5, false); state.Configuration.Version != 0 || len(state.Tables) != 0 {
				t.Errorf("state for a host with the same configuration: got %+v, want neither configuration nor tables", state)
			}
			early := follow(t, "asking before the store answers", store{})
			early.Apply(peer.State(0, false))
			early.EndpointSyncer().Apply(restored["endpoints"])
			checkKnown(t, c.when+", asked before the store answers", early, 5, c.takesWork)
		}
	})
}

// Guards against hosts that cannot serve after a start because the store is away.
func TestStateOfPeersReplacesStoreThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := follow(t, "peer", newStore("5", "live 1000"))
		view := follow(t, "starting", store{})
		if view.Loaded() {
			t.Fatal("before asking: got loaded, want not loaded")
		}
		view.Apply(peer.State(0, true))
		if !view.Loaded() || view.IsConfirmed() {
			t.Errorf("after asking: got loaded %v, confirmed %v, want loaded and not confirmed", view.Loaded(), view.IsConfirmed())
		}
		checkKnown(t, "after asking", view, 5, true)
		older := follow(t, "older", newStore("4", "leaving 900"))
		view.Apply(older.State(0, true))
		checkKnown(t, "after the rows of a second host", view, 5, true)
	})
}

// Guards against an endpoint that is used again because a host knows only of the end of its earlier run.
func TestLatestEndOfEndpointIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		earlier, later := follow(t, "earlier", newStore("5", "leaving 900")), follow(t, "later", newStore("5", "leaving 1000"))
		view := follow(t, "starting", store{})
		for _, peer := range []*storeview.View{later, earlier} {
			view.Apply(peer.State(0, false))
		}
		view.EndpointSyncer().Apply(newStore("5", "live 1000")["endpoints"])
		checkKnown(t, "late row of the later run", view, 5, false)
	})
}

// Guards against hosts that cannot serve after a start because the backup has a configuration that cannot be decoded.
func TestStateOfPeersReplacesInvalidConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := follow(t, "peer", newStore("5", "live 1000"))
		view := follow(t, "starting", newStore("no version", "live 1000"))
		if view.Loaded() {
			t.Fatal("invalid configuration: got loaded, want not loaded")
		}
		view.Apply(peer.State(view.ConfigurationVersion(), false))
		if !view.Loaded() {
			t.Error("after asking: got not loaded, want loaded")
		}
		checkKnown(t, "after asking", view, 5, true)
	})
}
