package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/feed"
	"ironhollow/pkg/relay"
)

// fakeStore is a store that counts calls.
type fakeStore struct {
	mu    sync.Mutex
	batch feed.Batch
	err   error
	calls int
	// waits are the times for which calls for changes may wait.
	waits []time.Duration
}

func (s *fakeStore) Snapshot(context.Context, string) (feed.Batch, error) { return s.call() }

func (s *fakeStore) Changes(_ context.Context, _ string, _ int64, wait time.Duration) (feed.Batch, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	return s.call()
}

func (s *fakeStore) call() (feed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.batch, s.err
}

// isRelevant compares the part of a value before its first dot; the rest is a sequence number.
func isRelevant(_ string, previous, current []byte) bool {
	first, _, _ := strings.Cut(string(previous), ".")
	second, _, _ := strings.Cut(string(current), ".")
	return first != second
}

func maxLag(string) time.Duration { return time.Second }

// fakeClock is a clock that tests advance.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// newFollower returns a relay's replica, the store of a host that follows the relay, and the
// source of that host.
func newFollower(t *testing.T, c *fakeClock) (replica *relay.Replica, direct *fakeStore, source *relay.Source) {
	t.Helper()
	replica = relay.NewReplica(c.Now, isRelevant)
	direct = &fakeStore{batch: feed.Batch{Version: 99}}
	source = newSource(direct, relay.NewReplica(c.Now, isRelevant), serveReplica(t, replica))
	return replica, direct, source
}

// newSource returns the source of a host that follows one of some relays.
func newSource(direct *fakeStore, own *relay.Replica, addresses ...string) *relay.Source {
	return newServingSource(direct, own, false, addresses...)
}

// newServingSource is like newSource; serves says whether the host is advertised to callers.
func newServingSource(direct *fakeStore, own *relay.Replica, serves bool, addresses ...string) *relay.Source {
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return relay.NewSource(direct, own, http.DefaultClient, func() []string { return addresses }, maxLag, func() bool { return serves }, logger)
}

// serveReplica starts a server for a replica and returns its address.
func serveReplica(t *testing.T, replica *relay.Replica) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(relay.Path, replica)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func row(key string, version int64) feed.Row {
	return feed.Row{Key: key, Value: []byte(key), Version: version}
}

func TestFollowingThroughRelay(t *testing.T) {
	c := &fakeClock{now: time.Now()}
	replica, direct, source := newFollower(t, c)
	ctx := context.Background()
	replica.Reset("t", feed.Batch{Version: 10, Rows: []feed.Row{row("a", 7), row("b", 9)}, StoreTime: time.Minute})
	batch, err := source.Snapshot(ctx, "t")
	if err != nil || len(batch.Rows) != 2 || batch.Version != 10 || !batch.Full || batch.StoreTime != time.Minute {
		t.Fatalf("snapshot: got %+v, %v", batch, err)
	}
	go func() {
		time.Sleep(30 * time.Millisecond)
		replica.Apply("t", feed.Batch{Version: 12, Rows: []feed.Row{row("c", 11), {Key: "a", Version: 12, Deleted: true}}})
	}()
	batch, err = source.Changes(ctx, "t", 10, time.Second)
	if err != nil || len(batch.Rows) != 2 || batch.Rows[0].Key != "c" || !batch.Rows[1].Deleted || batch.Version != 12 {
		t.Fatalf("changes: got %+v, %v", batch, err)
	}
	batch, err = source.Changes(ctx, "t", 12, 20*time.Millisecond)
	if err != nil || len(batch.Rows) != 0 || batch.Version != 12 {
		t.Errorf("changes if there are none: got %+v, %v", batch, err)
	}
	if direct.calls != 0 {
		t.Errorf("calls to the store: got %d, want none", direct.calls)
	}
}

// A relay that is too far behind the store responds with an error. Checks that the follower calls
// the store at once and skips the relay for a while.
func TestStaleRelayIsSkipped(t *testing.T) {
	c := &fakeClock{now: time.Now()}
	replica, direct, source := newFollower(t, c)
	replica.Reset("t", feed.Batch{Version: 10})
	c.advance(2 * time.Second)
	for range 2 {
		if batch, err := source.Changes(context.Background(), "t", 10, time.Second); err != nil || batch.Version != 99 {
			t.Errorf("changes: got %+v, %v, want the store's", batch, err)
		}
	}
	if direct.calls != 2 {
		t.Errorf("calls to the store: got %d, want 2", direct.calls)
	}
}

// Checks that a host that starts at the same time as its relay waits for the relay instead of
// calling the store.
func TestStartingRelayIsAwaited(t *testing.T) {
	c := &fakeClock{now: time.Now()}
	replica, direct, source := newFollower(t, c)
	go func() {
		time.Sleep(300 * time.Millisecond)
		replica.Reset("t", feed.Batch{Version: 10, Rows: []feed.Row{row("a", 7)}})
	}()
	batch, err := source.Snapshot(context.Background(), "t")
	if err != nil || batch.Version != 10 || len(batch.Rows) != 1 {
		t.Errorf("snapshot: got %+v, %v, want the relay's", batch, err)
	}
	if direct.calls != 0 {
		t.Errorf("calls to the store: got %d, want none", direct.calls)
	}
}

// Checks that the store is called if the relay does not start in time.
func TestStoreIsCalledIfRelayDoesNotStart(t *testing.T) {
	c := &fakeClock{now: time.Now()}
	_, direct, source := newFollower(t, c)
	batch, err := source.Snapshot(context.Background(), "t")
	if err != nil || batch.Version != 99 || direct.calls != 1 {
		t.Errorf("snapshot: got %+v, %v after %d calls to the store, want the store's after one", batch, err, direct.calls)
	}
}

// Checks that the relay of another data centre is followed if the own one has lost the store.
func TestAnotherRelayIsFollowed(t *testing.T) {
	c := &fakeClock{now: time.Now()}
	stale, direct, _ := newFollower(t, c)
	fresh, _, _ := newFollower(t, c)
	stale.Reset("t", feed.Batch{Version: 10})
	c.advance(2 * time.Second)
	fresh.Reset("t", feed.Batch{Version: 10})
	fresh.Apply("t", feed.Batch{Version: 11, Rows: []feed.Row{row("a", 11)}})
	source := newSource(direct, relay.NewReplica(c.Now, isRelevant), serveReplica(t, stale), serveReplica(t, fresh))
	batch, err := source.Changes(context.Background(), "t", 10, time.Second)
	if err != nil || batch.Version != 11 || len(batch.Rows) != 1 {
		t.Errorf("changes: got %+v, %v, want those of the other relay", batch, err)
	}
	if direct.calls != 0 {
		t.Errorf("calls to the store: got %d, want none", direct.calls)
	}
}

// Checks that a follower whose relay does not respond switches to the store at once. The other
// relays may be unreachable too, and it would wait for each of them.
func TestSilentRelayIsLeftForTheStore(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(silent.Close)
	address := strings.TrimPrefix(silent.URL, "http://")
	addresses := []string{address, strings.Replace(address, "127.0.0.1", "127.0.0.2", 1), strings.Replace(address, "127.0.0.1", "127.0.0.3", 1)}
	direct := &fakeStore{batch: feed.Batch{Version: 99}}
	source := newSource(direct, relay.NewReplica(time.Now, isRelevant), addresses...)
	sentAt := time.Now()
	batch, err := source.Changes(context.Background(), "t", 10, 100*time.Millisecond)
	if err != nil || batch.Version != 99 {
		t.Errorf("changes: got %+v, %v, want the store's", batch, err)
	}
	if got, want := time.Since(sentAt), 2*time.Second; got > want {
		t.Errorf("changes: got a response after %v, want one within %v", got, want)
	}
	// For a while the store is followed without a request to any relay.
	sentAt = time.Now()
	if batch, err = source.Snapshot(context.Background(), "t"); err != nil || batch.Version != 99 {
		t.Errorf("snapshot: got %+v, %v, want the store's", batch, err)
	}
	if got, want := time.Since(sentAt), 500*time.Millisecond; got > want {
		t.Errorf("snapshot after the failure: got a response after %v, want one within %v", got, want)
	}
}

// Guards against a follower that waits at the store for changes which it has missed at a silent relay.
func TestStoreAnswersAtOnceAfterRelayFails(t *testing.T) {
	direct := &fakeStore{batch: feed.Batch{Version: 99}}
	source := newSource(direct, relay.NewReplica(time.Now, isRelevant), "127.0.0.1:1")
	for range 2 {
		if _, err := source.Changes(context.Background(), "t", 10, time.Second); err != nil {
			t.Errorf("changes: got %v, want no error", err)
		}
	}
	if want := []time.Duration{0, time.Second}; !slices.Equal(direct.waits, want) {
		t.Errorf("waits at the store: got %v, want %v", direct.waits, want)
	}
}

// Checks that irrelevant row updates are not sent as changes but are in snapshots, and that a row
// that is deleted and written again is sent.
func TestOnlyNewsIsPassedOn(t *testing.T) {
	c := &fakeClock{now: time.Now()}
	replica, _, source := newFollower(t, c)
	value := func(text string, version int64) feed.Row {
		return feed.Row{Key: "a", Value: []byte(text), Version: version}
	}
	replica.Reset("t", feed.Batch{Version: 10, Rows: []feed.Row{value("live.1", 10)}})
	replica.Apply("t", feed.Batch{Version: 12, Rows: []feed.Row{value("live.2", 11), value("live.3", 12)}})
	ctx := context.Background()
	batch, err := source.Changes(ctx, "t", 10, 20*time.Millisecond)
	if err != nil || len(batch.Rows) != 0 || batch.Version != 12 {
		t.Errorf("changes without a relevant one: got %+v, %v, want none up to 12", batch, err)
	}
	if batch, err = source.Snapshot(ctx, "t"); err != nil || len(batch.Rows) != 1 || string(batch.Rows[0].Value) != "live.3" {
		t.Errorf("snapshot: got %+v, %v, want the latest row", batch, err)
	}
	replica.Apply("t", feed.Batch{Version: 16, Rows: []feed.Row{
		value("leaving.4", 13), {Key: "a", Version: 14, Deleted: true}, value("leaving.5", 15), value("leaving.6", 16),
	}})
	batch, err = source.Changes(ctx, "t", 12, time.Second)
	if err != nil || len(batch.Rows) != 3 || batch.Rows[0].Version != 13 || !batch.Rows[1].Deleted || batch.Rows[2].Version != 15 {
		t.Errorf("changes: got %+v, %v, want leaving, deleted and leaving again", batch, err)
	}
}

// Checks that a relay that has read a snapshot has no changes from before it.
func TestHistoryBeforeSnapshotIsGone(t *testing.T) {
	c := &fakeClock{now: time.Now()}
	replica, _, source := newFollower(t, c)
	replica.Reset("t", feed.Batch{Version: 10})
	if _, err := source.Changes(context.Background(), "t", 5, time.Second); !errors.Is(err, feed.ErrHistoryGone) {
		t.Errorf("changes after 5: got %v, want ErrHistoryGone", err)
	}
}

// A host that followed relays and becomes a relay itself has a gap in its replica. Checks that it
// reads a snapshot before it responds to followers.
func TestNewRelayReadsSnapshot(t *testing.T) {
	c := &fakeClock{now: time.Now()}
	direct := &fakeStore{batch: feed.Batch{Version: 200, Rows: []feed.Row{row("a", 150)}}}
	own := relay.NewReplica(c.Now, isRelevant)
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
		t.Errorf("version of the replica: got %d, want %d", got, want)
	}
}

// Checks that a host that is advertised to callers reads its first tables from the store while its
// relay is starting and does not respond, and that other hosts wait for the relay.
func TestHostsWithCallersDoNotWaitForRelays(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	for _, serves := range []bool{true, false} {
		direct := &fakeStore{batch: feed.Batch{Version: 99}}
		source := newServingSource(direct, relay.NewReplica(time.Now, isRelevant), serves, silent.Addr().String())
		began := time.Now()
		if batch, err := source.Snapshot(context.Background(), "t"); err != nil || batch.Version != 99 {
			t.Errorf("serves %v: got version %d, %v, want the store's", serves, batch.Version, err)
		}
		if waited := time.Since(began) > 500*time.Millisecond; waited == serves {
			t.Errorf("serves %v: got the table after %v", serves, time.Since(began))
		}
	}
}

// Checks that a follower whose relays are out of date does not call an unavailable store every
// 0.3 s, and that it calls the store as before once the store responds.
func TestStoreThatIsAwayIsAskedRarely(t *testing.T) {
	c := &fakeClock{now: time.Now()}
	stale, direct, source := newFollower(t, c)
	stale.Reset("t", feed.Batch{Version: 10})
	c.advance(2 * time.Second)
	direct.err = errors.New("away")
	began := time.Now()
	for time.Since(began) < 2500*time.Millisecond {
		if _, err := source.Changes(context.Background(), "t", 10, 0); err == nil {
			t.Fatal("changes of an unavailable store: got no error")
		}
		time.Sleep(100 * time.Millisecond)
	}
	if direct.calls < 2 || direct.calls > 5 {
		t.Errorf("calls in 2.5 s to an unavailable store: got %d, want 2 to 5", direct.calls)
	}
	direct.err = nil
	for deadline := time.Now().Add(3 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if _, err := source.Changes(context.Background(), "t", 10, 0); err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the store is back and is not called")
		}
	}
	before := direct.calls
	for range 3 {
		if _, err := source.Changes(context.Background(), "t", 10, 0); err != nil {
			t.Errorf("the store is back: got %v", err)
		}
	}
	if got := direct.calls - before; got != 3 {
		t.Errorf("calls to the store for three requests after it is back: got %d, want 3", got)
	}
}

// Checks that a failed call to the store causes no backoff from the store if the relay is slow.
func TestSlowRelayLeavesTheStoreToBeAsked(t *testing.T) {
	slow, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	direct := &fakeStore{batch: feed.Batch{Version: 99}, err: errors.New("table too long for the link")}
	source := newSource(direct, relay.NewReplica(time.Now, isRelevant), slow.Addr().String())
	if _, err := source.Changes(context.Background(), "t", 10, 0); err == nil {
		t.Fatal("changes of a store that fails: got no error")
	}
	direct.err = nil
	if _, err := source.Changes(context.Background(), "t", 10, 0); err != nil {
		t.Errorf("right after a failure: got %v, want another call to the store", err)
	}
}

// Guards against followers that take a relay's copy for as recent as its response, compressed or not.
func TestFollowerKnowsWhenItsRelayWasComplete(t *testing.T) {
	const lag = 700 * time.Millisecond
	for _, rows := range []int{1, 400} {
		c := &fakeClock{now: time.Now()}
		replica, _, source := newFollower(t, c)
		var snapshot []feed.Row
		for i := range rows {
			snapshot = append(snapshot, row(fmt.Sprint("row-", i), int64(i+1)))
		}
		replica.Reset("t", feed.Batch{Version: 500, Rows: snapshot, StoreTime: time.Minute, CompleteAt: time.Minute})
		c.advance(lag)
		batch, err := source.Snapshot(t.Context(), "t")
		if err != nil || len(batch.Rows) != rows || batch.StoreTime != time.Minute+lag || batch.CompleteAt != time.Minute {
			t.Errorf("%d rows: got %d, store time %v, complete at %v, error %v, want %v and %v", rows, len(batch.Rows), batch.StoreTime, batch.CompleteAt, err, time.Minute+lag, time.Minute)
		}
	}
}
