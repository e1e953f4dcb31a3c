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

// Server is an engine's HTTP side.
type Server struct {
	engine *Engine
	client *http.Client
	// report is the latest report, renewed every ReportLag.
	report   atomic.Pointer[engine.WireReport]
	sequence atomic.Int64
	faults   atomic.Pointer[StreamFaults]
	tracer   trace.Tracer
}

// StreamFaults are faults of the frames an engine sends. The zero value has none.
type StreamFaults struct {
	// CutAfter cuts each stream after so many frames; 0 for never.
	CutAfter int `json:"cut_after"`
	// Duplicate sends each frame twice.
	Duplicate bool `json:"double"`
	// StaleAttempt sends before each frame one of the attempt before.
	StaleAttempt bool `json:"old_attempt"`
	// SkipOffset leaves out the frame at this offset; 0 for none.
	SkipOffset int `json:"skip_at"`
}

// NewServer returns the HTTP side of an engine.
func NewServer(e *Engine, client *http.Client) *Server {
	s := &Server{engine: e, client: client, tracer: noop.NewTracerProvider().Tracer("")}
	s.faults.Store(&StreamFaults{})
	return s
}

// SetTracer makes the engine record a span for each attempt.
func (s *Server) SetTracer(tracer trace.Tracer) { s.tracer = tracer }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f StreamFaults) { s.faults.Store(&f) }

// Handler serves the engine's protocol, and /standin for its own controls.
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

// chatRequest is the part of the usual body the stand-in uses.
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
	var sent chatRequest
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil || sent.MaxTokens < 1 || !sent.Stream {
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
		request:   r.Header.Get(engine.HeaderRequest),
		attempt:   max(attempt, 1),
		loaded:    ModelRef{sent.Model, sent.Version, sent.Adapter},
		messages:  string(sent.Messages),
		seed:      sent.Seed,
		maxTokens: sent.MaxTokens,
		priority:  priority,
		done:      len(sent.Continue),
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	_, span := s.tracer.Start(ctx, "engine.chat", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	started, err := s.engine.start(spec)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.send(w, r, started, spec.done)
}

func (s *Server) serveAttach(w http.ResponseWriter, r *http.Request) {
	found, err := s.engine.find(r.PathValue("request"))
	offset, offsetErr := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offsetErr != nil || offset < found.spec.done {
		http.NotFound(w, r)
		return
	}
	s.send(w, r, found, offset)
}

// send writes a stream's frames from offset on until its end or its reader's.
func (s *Server) send(w http.ResponseWriter, r *http.Request, st *stream, offset int) {
	st.attach()
	defer st.detach()
	w.Header().Set("Content-Type", "text/event-stream")
	if r.Header.Get(engine.HeaderLoadFormat) == engine.LoadFormat {
		report, _ := json.Marshal(s.currentReport())
		w.Header().Set(engine.HeaderLoad, string(report))
	}
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	out := frameWriter{w: w, spec: st.spec, faults: *s.faults.Load()}
	for {
		p := st.progress()
		for offset < p.count {
			out.token(offset, token(st.key, offset))
			offset++
		}
		switch {
		case p.cut:
			panic(http.ErrAbortHandler)
		case p.finished:
			out.finish(offset, p)
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

// frameWriter writes frames, with faults.
type frameWriter struct {
	w      http.ResponseWriter
	spec   promptSpec
	faults StreamFaults
	sent   int
}

func (f *frameWriter) token(offset int, text string) {
	f.sent++
	if f.faults.CutAfter > 0 && f.sent > f.faults.CutAfter {
		panic(http.ErrAbortHandler)
	}
	if f.faults.SkipOffset > 0 && f.faults.SkipOffset == offset {
		return
	}
	if f.faults.StaleAttempt {
		f.write(f.spec.attempt-1, offset, "OLD ", nil, nil)
	}
	f.write(f.spec.attempt, offset, text, nil, nil)
	if f.faults.Duplicate {
		f.write(f.spec.attempt, offset, text, nil, nil)
	}
}

func (f *frameWriter) finish(offset int, p progress) {
	reason := "stop"
	if offset == f.spec.maxTokens {
		reason = "length"
	}
	usage := &engine.ChunkUsage{
		PromptTokens: p.prompt, CompletionTokens: offset, TotalTokens: p.prompt + offset,
		Details: &engine.TokenDetails{CachedTokens: p.cached},
	}
	f.write(f.spec.attempt, offset, "", &reason, usage)
	_, _ = fmt.Fprint(f.w, "data: [DONE]\n\n")
}

func (f *frameWriter) write(attempt, offset int, text string, finish *string, usage *engine.ChunkUsage) {
	chunk := engine.Chunk{
		ID: f.spec.request, Object: "chat.completion.chunk", Model: f.spec.loaded.Model,
		Choices: []engine.ChunkChoice{{Delta: engine.ChunkDelta{Content: text}, FinishReason: finish}},
		Usage:   usage,
	}
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(f.w, "id: %d.%d\ndata: %s\n\n", attempt, offset, data)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	found, err := s.engine.find(r.PathValue("request"))
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
	var sent engine.WireImport
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil || httpx.CheckAddress(sent.Source) != nil {
		http.Error(w, "bad import", http.StatusBadRequest)
		return
	}
	var kv engine.WireImportResult
	if err := httpx.CallJSON(r.Context(), s.client, http.MethodGet, "http://"+sent.Source+"/v1/kv/"+sent.Request, nil, &kv); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	s.engine.importTokens(sent.Request, kv.Tokens)
	httpx.WriteJSON(w, http.StatusOK, kv)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, s.currentReport())
}

// currentReport renews the report once it is older than the lag.
func (s *Server) currentReport() engine.WireReport {
	held := s.report.Load()
	now := time.Now()
	if held != nil && now.Sub(time.UnixMilli(held.Sequence)) < s.engine.options.ReportMaxAge {
		return *held
	}
	fresh := s.engine.report(now)
	s.report.Store(&fresh)
	return fresh
}

// report describes the engine; its sequence is the time in milliseconds.
func (e *Engine) report(now time.Time) engine.WireReport {
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
		Leaving:    e.leaving, Counter: e.counter, Epoch: e.epoch,
	}
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var sent engine.WireOrder
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := s.engine.order(sent.Epoch, ModelRef{sent.Model, sent.Version, sent.Adapter})
	if errors.Is(err, errStale) {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var sent StreamFaults
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(sent)
	w.WriteHeader(http.StatusNoContent)
}

// Counters is what an engine has done so far.
type Counters struct {
	Generated  int64   `json:"generated"`
	Recomputed int64   `json:"recomputed"`
	Orders     []int64 `json:"orders"`
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	generated, recomputed := s.engine.Counts()
	httpx.WriteJSON(w, http.StatusOK, Counters{generated, recomputed, s.engine.Orders()})
}
