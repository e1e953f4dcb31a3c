package engines

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
)

// MemoryClient calls engines in memory, without a network. It implements engine.API for
// tests in virtual time and can inject host and stream faults.
type MemoryClient struct {
	mu      sync.Mutex
	engines map[string]*host
}

// host is one engine with the faults injected into its host.
type host struct {
	engine *Engine
	faults StreamFaults
	// killed is closed when the host is killed: new calls are refused and
	// open streams interrupted.
	killed chan struct{}
	// frozen makes every call hang until its context ends.
	frozen bool
	// refuse makes the engine refuse new attempts without running them; refusal is the
	// notice it sends with the refusal.
	refuse  bool
	refusal endpoint.Notice
	// limit is the limit that the engine reports in its responses, 0 for none.
	limit    endpoint.Limit
	attempts int
}

// NewMemoryClient returns a client without engines.
func NewMemoryClient() *MemoryClient { return &MemoryClient{engines: map[string]*host{}} }

// Add makes an engine reachable at an address.
func (c *MemoryClient) Add(address string, e *Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines[address] = &host{engine: e, killed: make(chan struct{})}
}

// Kill stops the host at an address and interrupts its streams.
func (c *MemoryClient) Kill(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.engines[address]
	select {
	case <-h.killed:
	default:
		close(h.killed)
	}
}

// Freeze freezes the host at an address, so that all calls to it hang, or unfreezes it.
func (c *MemoryClient) Freeze(address string, frozen bool) {
	c.updateHost(address, func(h *host) { h.frozen = frozen })
}

// Refuse makes an engine refuse new attempts, or accept them again.
func (c *MemoryClient) Refuse(address string, refuse bool) {
	c.updateHost(address, func(h *host) { h.refuse, h.refusal = refuse, endpoint.Notice{} })
}

// RefuseWithNotice makes an engine refuse new attempts and send notice with each refusal.
func (c *MemoryClient) RefuseWithNotice(address string, notice endpoint.Notice) {
	c.updateHost(address, func(h *host) { h.refuse, h.refusal = true, notice })
}

// SetLimit makes an engine report a limit in its responses, 0 for none. The engine does not
// enforce the limit.
func (c *MemoryClient) SetLimit(address string, limit endpoint.Limit) {
	c.updateHost(address, func(h *host) { h.limit = limit })
}

// SetFaults sets the faults of the frames that an engine sends.
func (c *MemoryClient) SetFaults(address string, f StreamFaults) {
	c.updateHost(address, func(h *host) { h.faults = f })
}

// AttemptCount returns how many attempts reached an engine, refused ones included.
func (c *MemoryClient) AttemptCount(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines[address].attempts
}

func (c *MemoryClient) updateHost(address string, update func(*host)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(c.engines[address])
}

var errConnectionRefused = fmt.Errorf("standin: %w", syscall.ECONNREFUSED)

// connect returns the host at an address. It blocks until ctx ends if the host is frozen.
func (c *MemoryClient) connect(ctx context.Context, address string) (*host, error) {
	c.mu.Lock()
	h, ok := c.engines[address]
	frozen := ok && h.frozen
	c.mu.Unlock()
	if !ok {
		return nil, errConnectionRefused
	}
	select {
	case <-h.killed:
		return nil, errConnectionRefused
	default:
	}
	if frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return h, nil
}

// Generate starts an attempt.
func (c *MemoryClient) Generate(ctx context.Context, address string, a engine.Attempt) (engine.Stream, error) {
	h, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	h.attempts++
	refuse, notice := h.refuse, h.refusal
	c.mu.Unlock()
	if refuse {
		notice.Refused = true
		return nil, &engine.Refusal{Reason: "refusal configured", Notice: notice}
	}
	s, err := h.engine.start(promptSpec{
		request: a.Prompt.RequestID, attempt: a.Number, model: ModelRef{a.Prompt.Model, a.Prompt.Version, a.Prompt.Adapter},
		messages: string(a.Prompt.Messages), seed: a.Prompt.Seed, maxTokens: a.Prompt.MaxTokens, priority: a.Prompt.Priority,
		continuedTokens: len(a.Continue),
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrRefused, err)
	}
	return c.openStream(ctx, h, s, len(a.Continue)), nil
}

// Attach resumes reading a retained stream at offset.
func (c *MemoryClient) Attach(ctx context.Context, address, request string, offset int) (engine.Stream, error) {
	h, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	s, err := h.engine.findStream(request)
	if err != nil || offset < s.spec.continuedTokens {
		return nil, engine.ErrNoStream
	}
	return c.openStream(ctx, h, s, offset), nil
}

// Cancel ends a stream.
func (c *MemoryClient) Cancel(ctx context.Context, address, request string) error {
	h, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	if s, err := h.engine.findStream(request); err == nil {
		s.cancel()
	}
	return nil
}

// Import fetches a stream's KV cache from another engine and returns its size in tokens.
func (c *MemoryClient) Import(ctx context.Context, address, request, source string) (int, error) {
	target, err := c.connect(ctx, address)
	if err != nil {
		return 0, err
	}
	origin, err := c.connect(ctx, source)
	if err != nil {
		return 0, err
	}
	tokens, err := origin.engine.kvTokens(request)
	if err != nil {
		return 0, err
	}
	target.engine.importKV(request, tokens)
	return tokens, nil
}

// Load returns a current load report.
func (c *MemoryClient) Load(ctx context.Context, address string) (engine.Report, error) {
	h, err := c.connect(ctx, address)
	if err != nil {
		return engine.Report{}, err
	}
	return h.engine.loadReport(time.Now()).ToReport(), nil
}

// Order sends an order to load a model.
func (c *MemoryClient) Order(ctx context.Context, address string, o engine.Order) error {
	h, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	if err := h.engine.applyOrder(o.Epoch, ModelRef{o.Model, o.Version, o.Adapter}); err != nil {
		return engine.ErrStaleEpoch
	}
	return nil
}

// memoryStream reads the stream of an engine in memory.
type memoryStream struct {
	ctx        context.Context
	client     *MemoryClient
	host       *host
	stream     *stream
	offset     int
	frames     []engine.Frame
	framesSent int
	ended      bool
}

func (c *MemoryClient) openStream(ctx context.Context, h *host, s *stream, offset int) engine.Stream {
	s.attach()
	return &memoryStream{ctx: ctx, client: c, host: h, stream: s, offset: offset}
}

// Close detaches the reader from the stream.
func (s *memoryStream) Close() { s.stream.detach() }

// Buffered reports whether a frame can be read without blocking.
func (s *memoryStream) Buffered() bool {
	return len(s.frames) > 0 || s.offset < s.stream.progress().tokenCount
}

// Report returns the engine's load report.
func (s *memoryStream) Report() (engine.Report, bool) {
	return s.host.engine.loadReport(time.Now()).ToReport(), true
}

// Notice returns the engine's current notice.
func (s *memoryStream) Notice() endpoint.Notice {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	return endpoint.Notice{Limit: s.host.limit}
}

// Next returns the next frame, subject to the injected faults.
func (s *memoryStream) Next() (engine.Frame, error) {
	for len(s.frames) == 0 {
		if s.ended {
			return engine.Frame{}, io.EOF
		}
		if err := s.appendFrames(); err != nil {
			return engine.Frame{}, err
		}
	}
	frame := s.frames[0]
	s.frames = s.frames[1:]
	return frame, nil
}

// appendFrames appends the frames of the next token or of the end. It may return without
// any when the stream has changed; the caller calls it again.
func (s *memoryStream) appendFrames() error {
	p := s.stream.progress()
	if err := s.checkFaults(p); err != nil {
		return err
	}
	switch {
	case s.offset < p.tokenCount:
		return s.appendToken()
	case p.finished:
		s.appendFinish(p)
		return nil
	}
	select {
	case <-s.ctx.Done():
		return s.ctx.Err()
	case <-s.host.killed:
		return io.ErrUnexpectedEOF
	case <-p.changed:
		return nil
	}
}

func (s *memoryStream) checkFaults(p progress) error {
	select {
	case <-s.host.killed:
		return io.ErrUnexpectedEOF
	default:
	}
	s.client.mu.Lock()
	frozen := s.host.frozen
	s.client.mu.Unlock()
	if frozen {
		<-s.ctx.Done()
		return s.ctx.Err()
	}
	if p.cancelled {
		return io.ErrUnexpectedEOF
	}
	return nil
}

func (s *memoryStream) appendToken() error {
	s.client.mu.Lock()
	f := s.host.faults
	s.client.mu.Unlock()
	spec := s.stream.spec
	frame := engine.Frame{Attempt: spec.attempt, Offset: s.offset, Text: token(s.stream.key, s.offset)}
	s.offset++
	s.framesSent++
	if f.CutAfter > 0 && s.framesSent > f.CutAfter {
		return io.ErrUnexpectedEOF
	}
	if f.SkipOffset > 0 && f.SkipOffset == frame.Offset {
		return nil
	}
	if f.StaleAttempt {
		s.frames = append(s.frames, engine.Frame{Attempt: spec.attempt - 1, Offset: frame.Offset, Text: "OLD "})
	}
	s.frames = append(s.frames, frame)
	if f.Duplicate {
		s.frames = append(s.frames, frame)
	}
	return nil
}

func (s *memoryStream) appendFinish(p progress) {
	s.ended = true
	reason := "stop"
	if s.offset == s.stream.spec.maxTokens {
		reason = "length"
	}
	s.frames = append(s.frames, engine.Frame{
		Attempt: s.stream.spec.attempt, Offset: s.offset, FinishReason: reason,
		Usage: engine.Usage{PromptTokens: p.promptTokens, CompletionTokens: s.offset, CachedTokens: p.cachedTokens},
	})
}
