package stream_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace/noop"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/route"
	"ironhollow/pkg/stream"
)

// importRecorder records the streams whose KV cache was moved.
type importRecorder struct {
	engine.API
	mu       sync.Mutex
	requests []string
}

func (r *importRecorder) Import(ctx context.Context, address, request, source string) (int, error) {
	r.mu.Lock()
	r.requests = append(r.requests, request)
	r.mu.Unlock()
	return r.API.Import(ctx, address, request, source)
}

// Guards against the time of a notice being spent on moving caches that other endpoints have, while
// caches that exist only once are lost.
func TestReclaimMovesCacheThatNoOtherEndpointHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		imports := &importRecorder{API: f.direct}
		registry, logger := prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		f.runner = stream.New(f.router, imports, retry.New(0.1, time.Now()), hazard.New(), stream.NewCounters(registry), quarantine.NewWatch(registry, logger), notice.New(f.directory, f.router, logger), noop.NewTracerProvider().Tracer(""))
		f.directory.OnLeaving(func(info endpoint.Info) { f.runner.MigrateStreams(context.Background(), info, false) })
		withPrefix := func(id string, first uint64, promptTokens, answer int) stream.Request {
			r := request(id, answer)
			r.Strategy, r.PromptTokens = route.Random, promptTokens
			for i := range uint64(32) {
				r.PrefixHashes = append(r.PrefixHashes, first+i)
			}
			return r
		}
		for i := range 10 { // After these, both endpoints have the cache of the shared prompt.
			<-f.start(withPrefix(fmt.Sprint("warm", i), 1000, 2100, 5))
		}
		const streams = 4
		done := []<-chan outcome{f.start(withPrefix("shared", 1000, 2100, 400))}
		for i := range streams {
			done = append(done, f.start(withPrefix(fmt.Sprint("own", i), uint64(i+2)*1000, 2000, 400)))
		}
		time.Sleep(time.Second)
		index := 0
		if _, err := f.direct.Attach(context.Background(), f.infos[1].Address, "shared", 0); err == nil {
			index = 1
		}
		// The notice leaves time to move one cache.
		f.reclaim(index, time.Second)
		for _, d := range done {
			if got := <-d; got.err != nil {
				t.Error(got.err)
			}
		}
		if len(imports.requests) == 0 || slices.ContainsFunc(imports.requests, func(id string) bool { return !strings.HasPrefix(id, "own") }) {
			t.Errorf("got the caches of %v moved, want only one that no other endpoint has", imports.requests)
		}
		time.Sleep(time.Minute)
	})
}
