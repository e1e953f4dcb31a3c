package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/feed"
	"ironhollow/pkg/relay"
)

// store is the store's side, counting calls.
type store struct {
	mu    sync.Mutex
	batch feed.Batch
	err   error
	calls int
}

func (s *store) Snapshot(context.Context, string) (feed.Batch, error) { return s.answer() }

func (s *store) Changes(context.Context, string, int64, time.Duration) (feed.Batch, error) {
	return s.answer()
}

func (s *store) answer() (feed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.batch, s.err
}

// says compares values by what stands before a dot; behind it a row counts.
func says(_ string, before, now []byte) bool {
	first, _, _ := strings.Cut(string(before), ".")
	second, _, _ := strings.Cut(string(now), ".")
	return first != second
}

func lag(string) time.Duration { return time.Second }

// clock is moved by hand.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// follower is a host that follows a relay.
func follower(t *testing.T, c *clock) (relayCopy *relay.Replica, direct *store, source *relay.Source) {
	t.Helper()
	relayCopy = relay.NewReplica(c.Now, says)
	direct = &store{batch: feed.Batch{Version: 99}}
	source = newSource(direct, relay.NewReplica(c.Now, says), serve(t, relayCopy))
	return relayCopy, direct, source
}

// newSource returns the source of a host that chooses among relays.
func newSource(direct *store, own *relay.Replica, addresses ...string) *relay.Source {
	return newServingSource(direct, own, false, addresses...)
}

// newServingSource is newSource of a host that is advertised to callers, if serves.
func newServingSource(direct *store, own *relay.Replica, serves bool, addresses ...string) *relay.Source {
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return relay.NewSource(direct, own, http.DefaultClient, func() []string { return addresses }, lag, func() bool { return serves }, logger)
}

// serve returns the address at which a copy is followed.
func serve(t *testing.T, relayCopy *relay.Replica) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(relay.Path, relayCopy)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func row(key string, version int64) feed.Row {
	return feed.Row{Key: key, Value: []byte(key), Version: version}
}

func TestFollowingThroughARelay(t *testing.T) {
	c := &clock{now: time.Now()}
	relayCopy, direct, source := follower(t, c)
	ctx := context.Background()
	relayCopy.Reset("t", feed.Batch{Version: 10, Rows: []feed.Row{row("a", 7), row("b", 9)}, StoreTime: time.Minute})
	batch, err := source.Snapshot(ctx, "t")
	if err != nil || len(batch.Rows) != 2 || batch.Version != 10 || !batch.Full || batch.StoreTime != time.Minute {
		t.Fatalf("snapshot: got %+v, %v", batch, err)
	}
	go func() {
		time.Sleep(30 * time.Millisecond)
		relayCopy.Apply("t", feed.Batch{Version: 12, Rows: []feed.Row{row("c", 11), {Key: "a", Version: 12, Deleted: true}}})
	}()
	batch, err = source.Changes(ctx, "t", 10, time.Second)
	if err != nil || len(batch.Rows) != 2 || batch.Rows[0].Key != "c" || !batch.Rows[1].Deleted || batch.Version != 12 {
		t.Fatalf("changes: got %+v, %v", batch, err)
	}
	batch, err = source.Changes(ctx, "t", 12, 20*time.Millisecond)
	if err != nil || len(batch.Rows) != 0 || batch.Version != 12 {
		t.Errorf("changes without any: got %+v, %v", batch, err)
	}
	if direct.calls != 0 {
		t.Errorf("calls to the store: got %d, want none", direct.calls)
	}
}

// What a relay has not read in time it does not answer: the follower goes to the
// store at once, and leaves the relay alone for a while.
func TestStaleRelayIsLeft(t *testing.T) {
	c := &clock{now: time.Now()}
	relayCopy, direct, source := follower(t, c)
	relayCopy.Reset("t", feed.Batch{Version: 10})
	c.pass(2 * time.Second)
	for range 2 {
		if batch, err := source.Changes(context.Background(), "t", 10, time.Second); err != nil || batch.Version != 99 {
			t.Errorf("changes: got %+v, %v, want the store's", batch, err)
		}
	}
	if direct.calls != 2 {
		t.Errorf("calls to the store: got %d, want 2", direct.calls)
	}
}

// Hosts that start at once with their relay wait for it instead of asking the store.
func TestRelayThatStartsTooIsAwaited(t *testing.T) {
	c := &clock{now: time.Now()}
	relayCopy, direct, source := follower(t, c)
	go func() {
		time.Sleep(300 * time.Millisecond)
		relayCopy.Reset("t", feed.Batch{Version: 10, Rows: []feed.Row{row("a", 7)}})
	}()
	batch, err := source.Snapshot(context.Background(), "t")
	if err != nil || batch.Version != 10 || len(batch.Rows) != 1 {
		t.Errorf("snapshot: got %+v, %v, want the relay's", batch, err)
	}
	if direct.calls != 0 {
		t.Errorf("calls to the store: got %d, want none", direct.calls)
	}
}

// A relay that does not come up is given up, and the store asked.
func TestRelayThatDoesNotStartIsGivenUp(t *testing.T) {
	c := &clock{now: time.Now()}
	_, direct, source := follower(t, c)
	batch, err := source.Snapshot(context.Background(), "t")
	if err != nil || batch.Version != 99 || direct.calls != 1 {
		t.Errorf("snapshot: got %+v, %v after %d calls to the store, want the store's after one", batch, err, direct.calls)
	}
}

// Where a data centre's relay has lost the store, that of another is followed.
func TestAnotherRelayIsFollowed(t *testing.T) {
	c := &clock{now: time.Now()}
	stale, direct, _ := follower(t, c)
	fresh, _, _ := follower(t, c)
	stale.Reset("t", feed.Batch{Version: 10})
	c.pass(2 * time.Second)
	fresh.Reset("t", feed.Batch{Version: 10})
	fresh.Apply("t", feed.Batch{Version: 11, Rows: []feed.Row{row("a", 11)}})
	source := newSource(direct, relay.NewReplica(c.Now, says), serve(t, stale), serve(t, fresh))
	batch, err := source.Changes(context.Background(), "t", 10, time.Second)
	if err != nil || batch.Version != 11 || len(batch.Rows) != 1 {
		t.Errorf("changes: got %+v, %v, want those of the other relay", batch, err)
	}
	if direct.calls != 0 {
		t.Errorf("calls to the store: got %d, want none", direct.calls)
	}
}

// A relay that says nothing is left for the store at once: others may be cut off too,
// and each would be waited for.
func TestSilentRelayIsLeftForTheStore(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(silent.Close)
	address := strings.TrimPrefix(silent.URL, "http://")
	addresses := []string{address, strings.Replace(address, "127.0.0.1", "127.0.0.2", 1), strings.Replace(address, "127.0.0.1", "127.0.0.3", 1)}
	direct := &store{batch: feed.Batch{Version: 99}}
	source := newSource(direct, relay.NewReplica(time.Now, says), addresses...)
	asked := time.Now()
	batch, err := source.Changes(context.Background(), "t", 10, 100*time.Millisecond)
	if err != nil || batch.Version != 99 {
		t.Errorf("changes: got %+v, %v, want the store's", batch, err)
	}
	if got, want := time.Since(asked), 2*time.Second; got > want {
		t.Errorf("changes: got an answer after %v, want one within %v", got, want)
	}
	// For a while the store is followed without asking any relay.
	asked = time.Now()
	if batch, err = source.Snapshot(context.Background(), "t"); err != nil || batch.Version != 99 {
		t.Errorf("snapshot: got %+v, %v, want the store's", batch, err)
	}
	if got, want := time.Since(asked), 500*time.Millisecond; got > want {
		t.Errorf("snapshot after it: got an answer after %v, want one within %v", got, want)
	}
}

// Rows that say nothing new are not passed on, but are in the table that a new
// follower reads; a row that goes and comes back is news.
func TestOnlyNewsIsPassedOn(t *testing.T) {
	c := &clock{now: time.Now()}
	relayCopy, _, source := follower(t, c)
	value := func(text string, version int64) feed.Row {
		return feed.Row{Key: "a", Value: []byte(text), Version: version}
	}
	relayCopy.Reset("t", feed.Batch{Version: 10, Rows: []feed.Row{value("live.1", 10)}})
	relayCopy.Apply("t", feed.Batch{Version: 12, Rows: []feed.Row{value("live.2", 11), value("live.3", 12)}})
	ctx := context.Background()
	batch, err := source.Changes(ctx, "t", 10, 20*time.Millisecond)
	if err != nil || len(batch.Rows) != 0 || batch.Version != 12 {
		t.Errorf("changes without news: got %+v, %v, want none up to 12", batch, err)
	}
	if batch, err = source.Snapshot(ctx, "t"); err != nil || len(batch.Rows) != 1 || string(batch.Rows[0].Value) != "live.3" {
		t.Errorf("snapshot: got %+v, %v, want the latest row", batch, err)
	}
	relayCopy.Apply("t", feed.Batch{Version: 16, Rows: []feed.Row{
		value("leaving.4", 13), {Key: "a", Version: 14, Deleted: true}, value("leaving.5", 15), value("leaving.6", 16),
	}})
	batch, err = source.Changes(ctx, "t", 12, time.Second)
	if err != nil || len(batch.Rows) != 3 || batch.Rows[0].Version != 13 || !batch.Rows[1].Deleted || batch.Rows[2].Version != 15 {
		t.Errorf("changes: got %+v, %v, want leaving, gone and back", batch, err)
	}
}

// A relay that has read a snapshot itself does not know what happened before.
func TestHistoryBeforeASnapshotIsGone(t *testing.T) {
	c := &clock{now: time.Now()}
	relayCopy, _, source := follower(t, c)
	relayCopy.Reset("t", feed.Batch{Version: 10})
	if _, err := source.Changes(context.Background(), "t", 5, time.Second); !errors.Is(err, feed.ErrHistoryGone) {
		t.Errorf("changes after 5: got %v, want ErrHistoryGone", err)
	}
}

// A host that followed others for a while and becomes a relay has a gap in its
// copy: it reads a snapshot before it answers anything.
func TestNewRelayReadsASnapshot(t *testing.T) {
	c := &clock{now: time.Now()}
	direct := &store{batch: feed.Batch{Version: 200, Rows: []feed.Row{row("a", 150)}}}
	own := relay.NewReplica(c.Now, says)
	source := newSource(direct, own)
	ctx := context.Background()
	if _, err := source.Changes(ctx, "t", 100, time.Second); !errors.Is(err, feed.ErrHistoryGone) {
		t.Errorf("changes after 100: got %v, want ErrHistoryGone", err)
	}
	if _, err := source.Snapshot(ctx, "t"); err != nil {
		t.Fatal(err)
	}
	if _, err := source.Changes(ctx, "t", 200, time.Second); err != nil {
		t.Errorf("changes after the snapshot: got %v, want none", err)
	}
	if got, want := own.Version("t"), int64(200); got != want {
		t.Errorf("version of the copy: got %d, want %d", got, want)
	}
}

// A host that is advertised to callers reads its first tables from the store, while its relay,
// which starts as well, says nothing; the others wait for the relay.
func TestHostsWithCallersDoNotWaitForRelays(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	for _, serves := range []bool{true, false} {
		direct := &store{batch: feed.Batch{Version: 99}}
		source := newServingSource(direct, relay.NewReplica(time.Now, says), serves, silent.Addr().String())
		began := time.Now()
		if batch, err := source.Snapshot(context.Background(), "t"); err != nil || batch.Version != 99 {
			t.Errorf("serves %v: got version %d, %v, want the store's", serves, batch.Version, err)
		}
		if waited := time.Since(began) > 500*time.Millisecond; waited == serves {
			t.Errorf("serves %v: got the table after %v", serves, time.Since(began))
		}
	}
}

// While the store is away from all, a follower whose relays are out of date does not ask
// it every 0.3 s; once it answers, it is asked as before.
func TestStoreThatIsAwayIsAskedRarely(t *testing.T) {
	c := &clock{now: time.Now()}
	stale, direct, source := follower(t, c)
	stale.Reset("t", feed.Batch{Version: 10})
	c.pass(2 * time.Second)
	direct.err = errors.New("away")
	began := time.Now()
	for time.Since(began) < 2500*time.Millisecond {
		if _, err := source.Changes(context.Background(), "t", 10, 0); err == nil {
			t.Fatal("changes of a store that is away: got no error")
		}
		time.Sleep(100 * time.Millisecond)
	}
	if direct.calls < 2 || direct.calls > 5 {
		t.Errorf("calls in 2.5 s to a store that is away: got %d, want 2 to 5", direct.calls)
	}
	direct.err = nil
	for deadline := time.Now().Add(3 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if _, err := source.Changes(context.Background(), "t", 10, 0); err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the store is back and is not asked")
		}
	}
	before := direct.calls
	for range 3 {
		if _, err := source.Changes(context.Background(), "t", 10, 0); err != nil {
			t.Errorf("the store is back: got %v", err)
		}
	}
	if got := direct.calls - before; got != 3 {
		t.Errorf("calls of three once it is back: got %d, want 3", got)
	}
}

// Where the relay is slow the store is asked again as soon as the follower likes, also
// after a call that failed.
func TestSlowRelayLeavesTheStoreToBeAsked(t *testing.T) {
	slow, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	direct := &store{batch: feed.Batch{Version: 99}, err: errors.New("too long for the link")}
	source := newSource(direct, relay.NewReplica(time.Now, says), slow.Addr().String())
	if _, err := source.Changes(context.Background(), "t", 10, 0); err == nil {
		t.Fatal("changes of a store that fails: got no error")
	}
	direct.err = nil
	if _, err := source.Changes(context.Background(), "t", 10, 0); err != nil {
		t.Errorf("right after a failure: got %v, want the store asked again", err)
	}
}
