package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"runtime"
	"sync"
	"testing"
	"time"

	"ironhollow/pkg/feed"
	"ironhollow/pkg/relay"
)

// stalledWriter is the connection of a follower that reads nothing until release is closed.
type stalledWriter struct {
	http.ResponseWriter
	waiting *sync.WaitGroup
	release chan struct{}
	once    sync.Once
}

func (s *stalledWriter) Write(data []byte) (int, error) {
	s.once.Do(s.waiting.Done)
	<-s.release
	return len(data), nil
}

// Guards against a relay that holds a copy of the response for each follower. Its followers are as
// many as a data centre has in a fleet of 2,000 hosts with 6,000 endpoints; all request the whole
// table and read slowly. The bound is half the memory of the smallest host, which has 184 MB.
func TestFollowersShareResponse(t *testing.T) {
	const (
		followers = 330
		endpoints = 4000
		rowBytes  = 300
		bound     = 92 << 20
	)
	c := &fakeClock{now: time.Now()}
	replica := relay.NewReplica(c.Now, isRelevant)
	batch := feed.Batch{Version: endpoints}
	for i := range endpoints {
		batch.Rows = append(batch.Rows, feed.Row{Key: fmt.Sprintf("endpoint-%06d", i), Value: make([]byte, rowBytes), Version: int64(i + 1)})
	}
	replica.Reset("t", feed.Batch{})
	replica.Apply("t", batch)
	for _, query := range []string{"", "&after=0&wait=0"} {
		var before, during runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		release := make(chan struct{})
		var waiting, done sync.WaitGroup
		waiting.Add(followers)
		for range followers {
			done.Go(func() {
				request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, relay.Path+"?"+url.Values{"table": {"t"}, "lag": {"1000"}}.Encode()+query, nil)
				replica.ServeHTTP(&stalledWriter{ResponseWriter: httptest.NewRecorder(), waiting: &waiting, release: release}, request)
			})
		}
		waiting.Wait()
		runtime.GC()
		runtime.ReadMemStats(&during)
		close(release)
		done.Wait()
		if got := int64(during.HeapAlloc) - int64(before.HeapAlloc); got > bound {
			t.Errorf("memory for %d followers with the query %q: got %d MB, want %d MB at most", followers, query, got>>20, bound>>20)
		}
	}
}

// Checks that a long response is compressed to a fraction of its size, since rows of the same kind
// differ little, and has the same content. A follower that does not accept the encoding gets the
// response uncompressed.
func TestLongResponsesAreCompressed(t *testing.T) {
	const endpoints = 3000
	c := &fakeClock{now: time.Now()}
	replica, _, source := newFollower(t, c)
	batch := feed.Batch{Version: endpoints, StoreTime: time.Minute}
	for i := range endpoints {
		value := fmt.Sprintf(`{"service":"assess","address":"10.3.%d.%d:8426","zone":"north-a","slots":64,"state":"ready","version":"v1","sequence":%d,"phase":"combined"}`, i/250, i%250, i)
		batch.Rows = append(batch.Rows, feed.Row{Key: fmt.Sprintf("i-%010x", i*7919), Value: []byte(value), Version: int64(i + 1)})
	}
	replica.Reset("t", batch)
	got, err := source.Snapshot(context.Background(), "t")
	if err != nil || len(got.Rows) != endpoints || got.Version != endpoints || got.StoreTime != time.Minute {
		t.Fatalf("compressed response: got %d rows, version %d, %v, %v", len(got.Rows), got.Version, got.StoreTime, err)
	}
	sizes := map[string]int{}
	for _, encoding := range []string{"", "gzip"} {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, relay.Path+"?table=t&lag=1000", nil)
		request.Header.Set("Accept-Encoding", encoding)
		replica.ServeHTTP(recorder, request)
		sizes[encoding] = recorder.Body.Len()
	}
	if sizes["gzip"]*4 > sizes[""] {
		t.Errorf("bytes of a response: got %d compressed of %d, want a quarter at most", sizes["gzip"], sizes[""])
	}
}
