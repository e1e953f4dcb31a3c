package callerapi_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"ironhollow/pkg/callerapi"
	"ironhollow/pkg/chat"
	"ironhollow/pkg/claim"
	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/explain"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/job"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/plainservice"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/route"
	"ironhollow/pkg/standin/engines"
	"ironhollow/pkg/standin/objects"
	"ironhollow/pkg/standin/services"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/stream"
	"ironhollow/pkg/table"
)

const configText = `[service talk]
kind = model
model = m
max-tokens = 500
[service ledger]
kind = plain
deadline = 2s
not-repeated = POST /confirmations
[team agents]
keys = %s
rate = 1000
burst = 1000
[team slow]
keys = %s
rate = 0.01
burst = 1
services = talk
`

// site holds what the entries of a test share: engines, a plain service and the platform.
type site struct {
	rows          *tables.Store
	bodies        *objects.Store
	memoryEngines *engines.MemoryClient
	ledger        *services.Ledger
	plain         []*httptest.Server
	// httpEngines calls the engines over HTTP. If it is nil, they are called in memory.
	httpEngines engine.API
	// spans records the spans. If it is nil, there is no tracing.
	spans *tracetest.InMemoryExporter
	infos []endpoint.Info
}

func newSite(t *testing.T, plain ...services.Options) *site {
	t.Helper()
	s := &site{rows: tables.New(), bodies: objects.New(), memoryEngines: engines.NewMemoryClient(), ledger: services.NewLedger()}
	options := engines.DefaultOptions()
	options.TokenGap = time.Millisecond
	options.LoadTime = 0
	for i := range 2 {
		e := engines.New(1, options)
		address := fmt.Sprintf("e%d", i)
		s.memoryEngines.Add(address, e)
		if err := s.memoryEngines.Order(context.Background(), address, engine.Order{Epoch: 1, Model: "m", Version: "1"}); err != nil {
			t.Fatal(err)
		}
		s.infos = append(s.infos, endpoint.Info{
			ID: address, Incarnation: 1, State: endpoint.Live, Kind: endpoint.Model, Model: "m", Version: "1", Address: address, Counter: 1,
		})
	}
	for i, o := range plain {
		server := httptest.NewServer(services.Handler(s.ledger, o))
		t.Cleanup(server.Close)
		s.plain = append(s.plain, server)
		s.infos = append(s.infos, endpoint.Info{
			ID: fmt.Sprintf("p%d", i), Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "ledger",
			Address: server.Listener.Addr().String(),
		})
	}
	return s
}

// engineAPI returns httpEngines if it is set, and memoryEngines otherwise.
func (s *site) engineAPI() engine.API {
	if s.httpEngines != nil {
		return s.httpEngines
	}
	return s.memoryEngines
}

// tracer returns a tracer for one process of the site.
func (s *site) tracer(process string) trace.Tracer {
	if s.spans == nil {
		return noop.NewTracerProvider().Tracer("")
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(s.spans), sdktrace.WithResource(resource.NewSchemaless(attribute.String("process", process))))
	return provider.Tracer("")
}

// entry is an entry of a site, with its API served over HTTP.
type entry struct {
	server *httptest.Server
	nodes  *membership.Table
	self   membership.Node
	api    *callerapi.API
}

func (s *site) newEntry(t *testing.T, name string) *entry {
	t.Helper()
	registry := prometheus.NewRegistry()
	holder, nodes, directory := config.NewHolder(), membership.NewTable(), endpoint.NewDirectory()
	sections, err := fleet.Parse("test.ini", fmt.Appendf(nil, configText, fleet.HashKey("secret"), fleet.HashKey("slow")))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := holder.Apply(config.Change{Revision: 1, Snapshot: true, Sections: sections}); err != nil {
		t.Fatal(err)
	}
	for _, info := range s.infos {
		directory.Merge(info)
	}
	estimator := hazard.New()
	router := route.New(directory, estimator, route.Location{Node: name}, 1)
	budget := retry.New(0.1, time.Now())
	watch := quarantine.NewWatch(registry, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	notices := notice.New(directory, router, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	runner := stream.New(router, s.engineAPI(), budget, estimator, stream.NewCounters(registry), watch, notices, s.tracer(name))
	writer := table.NewWriter(s.rows, name)
	jobs := job.NewStore(writer, s.bodies, job.NewBatcher(writer, time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	jobCounters := job.NewCounters(registry)
	worker := job.NewWorker(ctx, jobs, generator{runner, holder}, name, 4, func() time.Duration { return time.Minute }, jobCounters)
	e := &entry{nodes: nodes, self: membership.Node{ID: name, Incarnation: 1, Status: membership.Alive, Ready: true}}
	e.api = callerapi.New(callerapi.Deps{
		Node: name, Owner: name, Limits: callerapi.Limits{BodyBytes: 4096, ResponseBytes: 4096, Requests: 100, WriteTimeout: 5 * time.Second},
		Config: holder, Nodes: nodes, Router: router, Runner: runner, RateLimiter: limit.NewRateLimiter(), ConcurrencyLimiters: limit.NewConcurrencyLimiters(),
		Jobs: jobs, Worker: worker, JobCounters: jobCounters, Claims: claim.New(writer), PlainServices: plainservice.New(httpx.NewClient(4)), Notices: notices,
		RetryBudget: budget, History: explain.NewHistory(), Tracer: s.tracer(name), APICounters: callerapi.NewCounters(registry),
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	e.server = httptest.NewUnstartedServer(e.api)
	e.server.Config.ConnContext = httpx.WithCallerConn
	e.server.Start()
	e.self.CallerAddress = e.server.Listener.Addr().String()
	nodes.Merge(e.self)
	t.Cleanup(func() {
		cancel()
		e.server.Close()
	})
	return e
}

func (e *entry) address() string { return e.server.Listener.Addr().String() }

// generator generates the results of jobs as the entry process does, but without concurrency
// limits.
type generator struct {
	runner *stream.Runner
	config *config.Holder
}

func (g generator) Generate(ctx context.Context, j job.Job, _ string, received []string, onStart func(job.Progress)) (job.Result, error) {
	body, err := chat.Parse(j.Body)
	if err != nil {
		return job.Result{}, err
	}
	s, _ := g.config.Current().Service(j.Service)
	request := body.Request(j.ID, s)
	request.Prompt.Deadline = j.Deadline
	collector := chat.NewCollector("1", received)
	onStart(collector)
	result, err := g.runner.Run(ctx, request, collector)
	return job.Result{Text: collector.Text(), Finish: result.FinishReason}, err
}

// do sends a request, with a valid key if it has none, and returns the response.
func (e *entry) do(t *testing.T, request *http.Request) *http.Response {
	t.Helper()
	if request.Header.Get("Authorization") == "" {
		request.Header.Set("Authorization", "Bearer secret")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}
