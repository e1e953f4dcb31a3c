package callerapi_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"ironhollow/pkg/engine"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/standin/engines"
)

// TestSpansOfOneRequestAcrossThreeProcesses checks the parents of the spans of a caller, an
// entry and an engine that have a trace provider each and are connected only by HTTP.
func TestSpansOfOneRequestAcrossThreeProcesses(t *testing.T) {
	site := newSite(t)
	site.spans = tracetest.NewInMemoryExporter()
	client := httpx.NewClient(4)
	site.httpEngines = engine.New(client, time.Second)
	options := engines.DefaultOptions()
	options.LoadTime = 0
	engineServer := engines.NewServer(engines.New(1, options), client)
	engineServer.SetTracer(site.tracer("engine"))
	server := httptest.NewServer(engineServer.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	if err := site.httpEngines.Order(context.Background(), address, engine.Order{Epoch: 1, Model: "m", Version: "1"}); err != nil {
		t.Fatal(err)
	}
	site.infos = site.infos[:1]
	site.infos[0].Address = address
	e := site.newEntry(t, "entry")

	ctx, span := site.tracer("caller").Start(context.Background(), "caller")
	request, _ := http.NewRequestWithContext(ctx, "POST", e.server.URL+"/v1/chat/completions", strings.NewReader(`{"model":"talk","max_tokens":3,"messages":[{"role":"user"}]}`))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	if _, err := io.ReadAll(e.do(t, request).Body); err != nil {
		t.Fatal(err)
	}
	span.End()
	server.Close() // Waits for the engine's handler and so for its span.

	spans := map[string]tracetest.SpanStub{}
	for _, s := range site.spans.GetSpans() {
		spans[s.Name] = s
	}
	for _, c := range []struct{ name, parent, process string }{
		{"entry.chat", "caller", "entry"}, {"entry.attempt", "entry.chat", "entry"}, {"engine.chat", "entry.attempt", "engine"},
	} {
		got, want := spans[c.name], spans[c.parent]
		if !want.SpanContext.IsValid() || got.Parent.SpanID() != want.SpanContext.SpanID() || got.SpanContext.TraceID() != want.SpanContext.TraceID() {
			t.Errorf("%s: got parent %s, want %s of %s", c.name, got.Parent.SpanID(), want.SpanContext.SpanID(), c.parent)
		}
		if process, _ := got.Resource.Set().Value("process"); process.AsString() != c.process {
			t.Errorf("%s: got process %q, want %q", c.name, process.AsString(), c.process)
		}
	}
}
