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

// stalled is a follower that reads nothing until it is released.
type stalled struct {
	http.ResponseWriter
	waiting *sync.WaitGroup
	release chan struct{}
	once    sync.Once
}

func (s *stalled) Write(data []byte) (int, error) {
	s.once.Do(s.waiting.Done)
	<-s.release
	return len(data), nil
}

// A relay with as many followers as a data centre of a fleet of 2,000 hosts has, before
// 6,000 endpoints, all of which ask for the whole table and read slowly, holds one answer
// and not one for each: the smallest host has 184 MB, and half of that is the bound.
func TestFollowersShareAnAnswer(t *testing.T) {
	const (
		followers = 330
		endpoints = 4000
		rowBytes  = 300
		bound     = 92 << 20
	)
	c := &clock{now: time.Now()}
	relayCopy := relay.NewReplica(c.Now, says)
	batch := feed.Batch{Version: endpoints}
	for i := range endpoints {
		batch.Rows = append(batch.Rows, feed.Row{Key: fmt.Sprintf("endpoint-%06d", i), Value: make([]byte, rowBytes), Version: int64(i + 1)})
	}
	relayCopy.Reset("t", feed.Batch{})
	relayCopy.Apply("t", batch)
	for _, ask := range []string{"", "&after=0&wait=0"} {
		var before, during runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		release := make(chan struct{})
		var waiting, done sync.WaitGroup
		waiting.Add(followers)
		for range followers {
			done.Go(func() {
				request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, relay.Path+"?"+url.Values{"table": {"t"}, "lag": {"1000"}}.Encode()+ask, nil)
				relayCopy.ServeHTTP(&stalled{ResponseWriter: httptest.NewRecorder(), waiting: &waiting, release: release}, request)
			})
		}
		waiting.Wait()
		runtime.GC()
		runtime.ReadMemStats(&during)
		close(release)
		done.Wait()
		if got := int64(during.HeapAlloc) - int64(before.HeapAlloc); got > bound {
			t.Errorf("memory for %d followers that ask %q: got %d MB, want %d MB at most", followers, ask, got>>20, bound>>20)
		}
	}
}

// A long answer takes a fraction of its bytes, as rows of a kind are much alike, and says the
// same; a follower that does not know the packing gets it as it is.
func TestLongAnswersArePacked(t *testing.T) {
	const endpoints = 3000
	c := &clock{now: time.Now()}
	relayCopy, _, source := follower(t, c)
	batch := feed.Batch{Version: endpoints, StoreTime: time.Minute}
	for i := range endpoints {
		value := fmt.Sprintf(`{"service":"assess","address":"10.3.%d.%d:8426","zone":"north-a","slots":64,"state":"ready","version":"v1","sequence":%d,"phase":"combined"}`, i/250, i%250, i)
		batch.Rows = append(batch.Rows, feed.Row{Key: fmt.Sprintf("i-%010x", i*7919), Value: []byte(value), Version: int64(i + 1)})
	}
	relayCopy.Reset("t", batch)
	got, err := source.Snapshot(context.Background(), "t")
	if err != nil || len(got.Rows) != endpoints || got.Version != endpoints || got.StoreTime != time.Minute {
		t.Fatalf("packed answer: got %d rows, version %d, %v, %v", len(got.Rows), got.Version, got.StoreTime, err)
	}
	sizes := map[string]int{}
	for _, coding := range []string{"", "gzip"} {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, relay.Path+"?table=t&lag=1000", nil)
		request.Header.Set("Accept-Encoding", coding)
		relayCopy.ServeHTTP(recorder, request)
		sizes[coding] = recorder.Body.Len()
	}
	if sizes["gzip"]*4 > sizes[""] {
		t.Errorf("bytes of an answer: got %d packed of %d, want a quarter at most", sizes["gzip"], sizes[""])
	}
}
