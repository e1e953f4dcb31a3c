package engines

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"ironhollow/pkg/engine"
	"ironhollow/pkg/httpx"
)

// Server serves an engine over HTTP.
type Server struct {
	engine *Engine
	client *http.Client
	// lastReport is the latest load report, renewed after Options.ReportMaxAge.
	lastReport atomic.Pointer[engine.WireReport]
	sequence   atomic.Int64
	faults     atomic.Pointer[StreamFaults]
	tracer     trace.Tracer
}

// StreamFaults are faults of the frames that an engine sends. The zero value has none.
type StreamFaults struct {
	// CutAfter interrupts each stream after this many frames; 0 for never.
	CutAfter int `json:"cut_after"`
	// Duplicate sends each frame twice.
	Duplicate bool `json:"double"`
	// StaleAttempt sends a frame of the previous attempt before each frame.
	StaleAttempt bool `json:"old_attempt"`
	// SkipOffset omits the frame at this offset; 0 for none.
	SkipOffset int `json:"skip_at"`
}

// NewServer returns an HTTP server of an engine.
func NewServer(e *Engine, client *http.Client) *Server {
	s := &Server{engine: e, client: client, tracer: noop.NewTracerProvider().Tracer("")}
	s.faults.Store(&StreamFaults{})
	return s
}

// SetTracer makes the server record a span for each attempt.
func (s *Server) SetTracer(tracer trace.Tracer) { s.tracer = tracer }

// SetFaults replaces the stream faults.
func (s *Server) SetFaults(f StreamFaults) { s.faults.Store(&f) }

// Handler serves the engine's protocol, and the stand-in's controls under /standin.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathChat, s.serveChat)
	mux.HandleFunc("GET "+engine.PathStreams+"{request}", s.serveAttach)
	mux.HandleFunc("DELETE "+engine.PathStreams+"{request}", s.serveCancel)
	mux.HandleFunc("GET /v1/kv/{request}", s.serveKV)
	mux.HandleFunc("POST "+engine.PathImport, s.serveImport)
	mux.HandleFunc("GET "+engine.PathLoad, s.serveLoad)
	mux.HandleFunc("POST "+engine.PathOrders, s.serveOrder)
	mux.HandleFunc("POST /standin/faults", s.serveFaults)
	mux.HandleFunc("GET /standin/counts", s.serveCounts)
	return mux
}

// chatRequest holds the fields of a chat completion request that the stand-in uses.
type chatRequest struct {
	Model     string          `json:"model"`
	Version   string          `json:"version"`
	Adapter   string          `json:"adapter"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Seed      int64           `json:"seed"`
	Stream    bool            `json:"stream"`
	Continue  []string        `json:"continue"`
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	var body chatRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.MaxTokens < 1 || !body.Stream {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	attempt, _ := strconv.Atoi(r.Header.Get(engine.HeaderAttempt))
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	deadline, err := strconv.ParseInt(r.Header.Get(engine.HeaderDeadline), 10, 64)
	if err == nil && time.Now().After(time.UnixMilli(deadline)) {
		http.Error(w, "deadline passed", http.StatusServiceUnavailable)
		return
	}
	spec := promptSpec{
		request:         r.Header.Get(engine.HeaderRequest),
		attempt:         max(attempt, 1),
		model:           ModelRef{body.Model, body.Version, body.Adapter},
		messages:        string(body.Messages),
		seed:            body.Seed,
		maxTokens:       body.MaxTokens,
		priority:        priority,
		continuedTokens: len(body.Continue),
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	_, span := s.tracer.Start(ctx, "engine.chat", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	started, err := s.engine.start(spec)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.writeStream(w, r, started, spec.continuedTokens)
}

func (s *Server) serveAttach(w http.ResponseWriter, r *http.Request) {
	found, err := s.engine.findStream(r.PathValue("request"))
	offset, offsetErr := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offsetErr != nil || offset < found.spec.continuedTokens {
		http.NotFound(w, r)
		return
	}
	s.writeStream(w, r, found, offset)
}

// writeStream writes a stream's frames from offset on, until the stream ends or the client
// disconnects.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, st *stream, offset int) {
	st.attach()
	defer st.detach()
	w.Header().Set("Content-Type", "text/event-stream")
	if r.Header.Get(engine.HeaderLoadFormat) == engine.LoadFormat {
		report, _ := json.Marshal(s.currentReport())
		w.Header().Set(engine.HeaderLoad, string(report))
	}
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	frames := frameWriter{w: w, spec: st.spec, faults: *s.faults.Load()}
	for {
		p := st.progress()
		for offset < p.tokenCount {
			frames.writeToken(offset, token(st.key, offset))
			offset++
		}
		switch {
		case p.cancelled:
			panic(http.ErrAbortHandler)
		case p.finished:
			frames.writeFinish(offset, p)
			return
		}
		_ = controller.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-p.changed:
		}
	}
}

// frameWriter writes frames, subject to the injected faults.
type frameWriter struct {
	w          http.ResponseWriter
	spec       promptSpec
	faults     StreamFaults
	framesSent int
}

func (f *frameWriter) writeToken(offset int, text string) {
	f.framesSent++
	if f.faults.CutAfter > 0 && f.framesSent > f.faults.CutAfter {
		panic(http.ErrAbortHandler)
	}
	if f.faults.SkipOffset > 0 && f.faults.SkipOffset == offset {
		return
	}
	if f.faults.StaleAttempt {
		f.writeChunk(f.spec.attempt-1, offset, "OLD ", nil, nil)
	}
	f.writeChunk(f.spec.attempt, offset, text, nil, nil)
	if f.faults.Duplicate {
		f.writeChunk(f.spec.attempt, offset, text, nil, nil)
	}
}

func (f *frameWriter) writeFinish(offset int, p progress) {
	reason := "stop"
	if offset == f.spec.maxTokens {
		reason = "length"
	}
	usage := &engine.ChunkUsage{
		PromptTokens: p.promptTokens, CompletionTokens: offset, TotalTokens: p.promptTokens + offset,
		Details: &engine.TokenDetails{CachedTokens: p.cachedTokens},
	}
	f.writeChunk(f.spec.attempt, offset, "", &reason, usage)
	_, _ = fmt.Fprint(f.w, "data: [DONE]\n\n")
}

func (f *frameWriter) writeChunk(attempt, offset int, text string, finishReason *string, usage *engine.ChunkUsage) {
	chunk := engine.Chunk{
		ID: f.spec.request, Object: "chat.completion.chunk", Model: f.spec.model.Model,
		Choices: []engine.ChunkChoice{{Delta: engine.ChunkDelta{Content: text}, FinishReason: finishReason}},
		Usage:   usage,
	}
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(f.w, "id: %d.%d\ndata: %s\n\n", attempt, offset, data)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	found, err := s.engine.findStream(r.PathValue("request"))
	if err != nil {
		http.NotFound(w, r)
		return
	}
	found.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveKV(w http.ResponseWriter, r *http.Request) {
	tokens, err := s.engine.kvTokens(r.PathValue("request"))
	if err != nil {
		http.NotFound(w, r)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, engine.WireImportResult{Tokens: tokens})
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var request engine.WireImport
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || httpx.CheckAddress(request.Source) != nil {
		http.Error(w, "bad import", http.StatusBadRequest)
		return
	}
	var kv engine.WireImportResult
	if err := httpx.CallJSON(r.Context(), s.client, http.MethodGet, "http://"+request.Source+"/v1/kv/"+request.Request, nil, &kv); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	s.engine.importKV(request.Request, kv.Tokens)
	httpx.WriteJSON(w, http.StatusOK, kv)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, s.currentReport())
}

// currentReport returns the last report, renewed if it is older than Options.ReportMaxAge.
func (s *Server) currentReport() engine.WireReport {
	last := s.lastReport.Load()
	now := time.Now()
	if last != nil && now.Sub(time.UnixMilli(last.Sequence)) < s.engine.options.ReportMaxAge {
		return *last
	}
	fresh := s.engine.loadReport(now)
	s.lastReport.Store(&fresh)
	return fresh
}

// loadReport returns the engine's load report; its sequence is the time in milliseconds.
func (e *Engine) loadReport(now time.Time) engine.WireReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	queued := 0
	for _, w := range e.waiting {
		queued += countTokens(w.stream.spec.messages)
	}
	return engine.WireReport{
		Sequence: now.UnixMilli(), Incarnation: e.incarnation,
		Model: e.loaded.Model, Version: e.loaded.Version, Adapter: e.loaded.Adapter,
		Running: e.running, Waiting: len(e.waiting), Slots: e.options.Slots, QueuedTokens: queued,
		FreeTokens: e.options.CacheBlocks * blockBytes / bytesPerToken,
		Leaving:    e.leaving, Counter: e.loadCount, Epoch: e.epoch,
	}
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.WireOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := s.engine.applyOrder(order.Epoch, ModelRef{order.Model, order.Version, order.Adapter})
	if errors.Is(err, errStaleEpoch) {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults StreamFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// Counters are the engine's totals since its start.
type Counters struct {
	Generated  int64   `json:"generated"`
	Recomputed int64   `json:"recomputed"`
	Orders     []int64 `json:"orders"`
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	generated, recomputed := s.engine.Counts()
	httpx.WriteJSON(w, http.StatusOK, Counters{generated, recomputed, s.engine.Orders()})
}
