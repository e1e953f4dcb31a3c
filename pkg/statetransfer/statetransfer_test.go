package statetransfer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/feed"
	"ironhollow/pkg/statetransfer"
)

// host is a host with a configuration version, which takes over newer ones.
type host struct {
	mu              sync.Mutex
	version         int64
	leaving         []statetransfer.LeavingEndpoint
	loaded          bool
	confirmed       atomic.Bool
	era, requests   atomic.Int64
	requestedTables atomic.Bool
}

func (h *host) State(after int64, withTables bool) statetransfer.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests.Add(1)
	h.requestedTables.Store(withTables)
	state := statetransfer.State{Leaving: h.leaving}
	if h.version > after {
		state.Configuration = statetransfer.Configuration{Version: h.version, Row: feed.Row{Key: "config", Value: []byte("v"), Version: 9}}
	}
	if withTables {
		rows := []feed.Row{{Key: "a", Value: []byte(strings.Repeat("long", 2000)), Version: 3}}
		state.Tables = map[string]feed.Batch{"t": {Full: true, Rows: rows, Version: 4, StoreTime: time.Minute}}
	}
	return state
}

func (h *host) Apply(state statetransfer.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = max(h.version, state.Configuration.Version)
	h.leaving = append(h.leaving, state.Leaving...)
	if batch := state.Tables["t"]; batch.Full && batch.Version == 4 && batch.StoreTime == time.Minute && len(batch.Rows) == 1 && len(batch.Rows[0].Value) == 8000 {
		h.loaded = true
	}
}

func (h *host) ConfigurationVersion() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

func (h *host) Loaded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loaded
}

func (h *host) IsConfirmed() bool { return h.confirmed.Load() }

func (h *host) StoreEra() int64 { return h.era.Load() }

// serve serves the state of a host and returns its address.
func serve(t *testing.T, h *host, ready bool) string {
	t.Helper()
	server := httptest.NewServer(statetransfer.NewServer(h, func() bool { return ready }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// run starts a syncer and returns it.
func run(t *testing.T, h *host, firstStart bool, peers, seeds []string) *statetransfer.Syncer {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	s := statetransfer.NewSyncer(http.DefaultClient, h, func() []string { return peers }, seeds, logger)
	go s.Run(ctx, firstStart)
	return s
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: got it not within 10 s", what)
		}
	}
}

// Guards against a start that goes by the answer of hosts that have only just started themselves.
func TestStartAsksHostsThatKnowMore(t *testing.T) {
	starting, unreachable := serve(t, &host{version: 1}, false), "127.0.0.1:1"
	behind := serve(t, &host{version: 1}, true)
	peer := &host{version: 5, leaving: []statetransfer.LeavingEndpoint{{ID: "e", StartedMS: 77}}}
	newest := serve(t, peer, true)
	h := &host{version: 2, loaded: true}
	h.confirmed.Store(true)
	s := run(t, h, false, []string{starting, unreachable, behind, newest}, nil)
	waitUntil(t, "other hosts asked", s.Asked)
	if got := h.ConfigurationVersion(); got != 5 {
		t.Errorf("configuration: got %d, want 5", got)
	}
	if len(h.leaving) != 1 || h.leaving[0] != peer.leaving[0] {
		t.Errorf("leaving endpoints: got %v, want %v", h.leaving, peer.leaving)
	}
	if peer.requestedTables.Load() {
		t.Error("tables: got requested although the store has answered")
	}
}

// Guards against starts that wait for hosts that do not exist, or ask when no host can know more.
func TestStartWithoutOtherHosts(t *testing.T) {
	alone := &host{version: 2, loaded: true}
	waitUntil(t, "asked without other hosts", run(t, alone, false, nil, nil).Asked)
	peer := &host{version: 5}
	first := &host{}
	first.confirmed.Store(true)
	waitUntil(t, "first start", run(t, first, true, []string{serve(t, peer, true)}, nil).Asked)
	if got := peer.requests.Load(); got != 0 {
		t.Errorf("requests at the first start: got %d, want none", got)
	}
}

// Guards against starts that ask nobody because a restored store lacks the rows of the other hosts.
func TestSeedsAreAskedIfStoreListsNoHosts(t *testing.T) {
	h := &host{version: 2, loaded: true}
	waitUntil(t, "asked", run(t, h, false, nil, []string{serve(t, &host{version: 5}, true)}).Asked)
	if got := h.ConfigurationVersion(); got != 5 {
		t.Errorf("configuration: got %d, want 5", got)
	}
}

// Guards against hosts that cannot serve after a start because the store does not list the others.
func TestSeedsAreAskedWhileStoreIsAway(t *testing.T) {
	h := &host{}
	s := run(t, h, false, nil, []string{"127.0.0.1:1", serve(t, &host{version: 5}, true)})
	waitUntil(t, "asked", s.Asked)
	if !h.Loaded() || h.ConfigurationVersion() != 5 {
		t.Errorf("after asking a seed: got loaded %v and configuration %d, want loaded and 5", h.Loaded(), h.ConfigurationVersion())
	}
}

// Guards against hosts that stay behind because the store or a relay does not answer them, or was restored.
func TestHostsAreAskedInDoubt(t *testing.T) {
	peer := &host{version: 5}
	h := &host{version: 2, loaded: true}
	h.confirmed.Store(true)
	s := run(t, h, false, []string{serve(t, peer, true)}, nil)
	waitUntil(t, "asked at the start", s.Asked)
	update := func(version int64) {
		peer.mu.Lock()
		defer peer.mu.Unlock()
		peer.version = version
	}
	update(6)
	h.confirmed.Store(false)
	waitUntil(t, "newer configuration while not confirmed", func() bool { return h.ConfigurationVersion() == 6 })
	h.confirmed.Store(true)
	update(7)
	h.era.Store(1)
	waitUntil(t, "newer configuration after a restore", func() bool { return h.ConfigurationVersion() == 7 })
}

func TestInvalidRequestIsRejected(t *testing.T) {
	response, err := http.Get("http://" + serve(t, &host{}, true) + statetransfer.Path + "?after=x")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusBadRequest {
		t.Errorf("status: got %d, want %d", response.StatusCode, http.StatusBadRequest)
	}
}
