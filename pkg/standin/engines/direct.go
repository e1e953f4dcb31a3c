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

// MemoryClient reaches engines in memory, without a network: a fake at the engine
// interface for tests in virtual time, with the faults that hosts have.
type MemoryClient struct {
	mu      sync.Mutex
	engines map[string]*host
}

// host is one engine and what is wrong with its machine.
type host struct {
	engine *Engine
	faults StreamFaults
	// dead refuses connections and cuts those there are.
	dead chan struct{}
	// frozen makes every call hang.
	frozen bool
	// refuse turns new attempts away unrun, refusal is what the engine says then.
	refuse  bool
	refusal endpoint.Notice
	// limit is what the engine names in its answers, 0 for none.
	limit endpoint.Limit
	sent  int
}

// NewMemoryClient returns a way to no engine yet.
func NewMemoryClient() *MemoryClient { return &MemoryClient{engines: map[string]*host{}} }

// Add makes an engine reachable at an address.
func (d *MemoryClient) Add(address string, e *Engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engines[address] = &host{engine: e, dead: make(chan struct{})}
}

// Kill ends the machine at an address: its streams are cut.
func (d *MemoryClient) Kill(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.engines[address]
	select {
	case <-h.dead:
	default:
		close(h.dead)
	}
}

// Freeze makes the machine at an address hang, or go on.
func (d *MemoryClient) Freeze(address string, frozen bool) {
	d.change(address, func(h *host) { h.frozen = frozen })
}

// Refuse makes an engine turn new attempts away, or take them again.
func (d *MemoryClient) Refuse(address string, refuse bool) {
	d.change(address, func(h *host) { h.refuse, h.refusal = refuse, endpoint.Notice{} })
}

// RefuseWithNotice makes an engine turn new attempts away and say something of itself.
func (d *MemoryClient) RefuseWithNotice(address string, says endpoint.Notice) {
	d.change(address, func(h *host) { h.refuse, h.refusal = true, says })
}

// SetLimit makes an engine name a limit in its answers, 0 for none; it takes more all the same.
func (d *MemoryClient) SetLimit(address string, limit endpoint.Limit) {
	d.change(address, func(h *host) { h.limit = limit })
}

// SetFaults sets an engine's faults of frames.
func (d *MemoryClient) SetFaults(address string, f StreamFaults) {
	d.change(address, func(h *host) { h.faults = f })
}

// AttemptCount returns how many attempts reached an engine.
func (d *MemoryClient) AttemptCount(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engines[address].sent
}

func (d *MemoryClient) change(address string, do func(*host)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do(d.engines[address])
}

var errDead = fmt.Errorf("standin: %w", syscall.ECONNREFUSED)

// reach returns a live machine, or hangs on a frozen one until ctx ends.
func (d *MemoryClient) reach(ctx context.Context, address string) (*host, error) {
	d.mu.Lock()
	h, ok := d.engines[address]
	frozen := ok && h.frozen
	d.mu.Unlock()
	if !ok {
		return nil, errDead
	}
	select {
	case <-h.dead:
		return nil, errDead
	default:
	}
	if frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return h, nil
}

// Generate starts an attempt.
func (d *MemoryClient) Generate(ctx context.Context, address string, a engine.Attempt) (engine.Stream, error) {
	h, err := d.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	h.sent++
	refuse, says := h.refuse, h.refusal
	d.mu.Unlock()
	if refuse {
		says.Refused = true
		return nil, &engine.Refusal{Reason: "told to", Notice: says}
	}
	s, err := h.engine.start(promptSpec{
		request: a.Prompt.RequestID, attempt: a.Number, loaded: ModelRef{a.Prompt.Model, a.Prompt.Version, a.Prompt.Adapter},
		messages: string(a.Prompt.Messages), seed: a.Prompt.Seed, maxTokens: a.Prompt.MaxTokens, priority: a.Prompt.Priority,
		done: len(a.Continue),
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrRefused, err)
	}
	return d.read(ctx, h, s, len(a.Continue)), nil
}

// Attach goes on with a stream that is kept.
func (d *MemoryClient) Attach(ctx context.Context, address, request string, offset int) (engine.Stream, error) {
	h, err := d.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	s, err := h.engine.find(request)
	if err != nil || offset < s.spec.done {
		return nil, engine.ErrNoStream
	}
	return d.read(ctx, h, s, offset), nil
}

// Cancel ends a stream.
func (d *MemoryClient) Cancel(ctx context.Context, address, request string) error {
	h, err := d.reach(ctx, address)
	if err != nil {
		return err
	}
	if s, err := h.engine.find(request); err == nil {
		s.cancel()
	}
	return nil
}

// Import fetches a stream's KV cache from another engine.
func (d *MemoryClient) Import(ctx context.Context, address, request, source string) (int, error) {
	to, err := d.reach(ctx, address)
	if err != nil {
		return 0, err
	}
	from, err := d.reach(ctx, source)
	if err != nil {
		return 0, err
	}
	tokens, err := from.engine.kvTokens(request)
	if err != nil {
		return 0, err
	}
	to.engine.importTokens(request, tokens)
	return tokens, nil
}

// Load reads a fresh report.
func (d *MemoryClient) Load(ctx context.Context, address string) (engine.Report, error) {
	h, err := d.reach(ctx, address)
	if err != nil {
		return engine.Report{}, err
	}
	return h.engine.report(time.Now()).ToReport(), nil
}

// Order gives an order.
func (d *MemoryClient) Order(ctx context.Context, address string, o engine.Order) error {
	h, err := d.reach(ctx, address)
	if err != nil {
		return err
	}
	if err := h.engine.order(o.Epoch, ModelRef{o.Model, o.Version, o.Adapter}); err != nil {
		return engine.ErrStaleEpoch
	}
	return nil
}

// directStream reads an engine's stream.
type directStream struct {
	ctx    context.Context
	direct *MemoryClient
	host   *host
	stream *stream
	offset int
	frames []engine.Frame
	sent   int
	ended  bool
}

func (d *MemoryClient) read(ctx context.Context, h *host, s *stream, offset int) engine.Stream {
	s.attach()
	return &directStream{ctx: ctx, direct: d, host: h, stream: s, offset: offset}
}

// Close lets go of the stream.
func (s *directStream) Close() { s.stream.detach() }

// Buffered reports whether a frame is there already.
func (s *directStream) Buffered() bool {
	return len(s.frames) > 0 || s.offset < s.stream.progress().count
}

// Report returns the engine's report.
func (s *directStream) Report() (engine.Report, bool) {
	return s.host.engine.report(time.Now()).ToReport(), true
}

// Notice returns what the engine says of itself.
func (s *directStream) Notice() endpoint.Notice {
	s.direct.mu.Lock()
	defer s.direct.mu.Unlock()
	return endpoint.Notice{Limit: s.host.limit}
}

// Next returns the next frame, with the faults that are set.
func (s *directStream) Next() (engine.Frame, error) {
	for len(s.frames) == 0 {
		if s.ended {
			return engine.Frame{}, io.EOF
		}
		if err := s.fill(); err != nil {
			return engine.Frame{}, err
		}
	}
	frame := s.frames[0]
	s.frames = s.frames[1:]
	return frame, nil
}

// fill waits for the next token and makes frames of it.
func (s *directStream) fill() error {
	p := s.stream.progress()
	if err := s.broken(p); err != nil {
		return err
	}
	switch {
	case s.offset < p.count:
		return s.token()
	case p.finished:
		s.finish(p)
		return nil
	}
	select {
	case <-s.ctx.Done():
		return s.ctx.Err()
	case <-s.host.dead:
		return io.ErrUnexpectedEOF
	case <-p.changed:
		return nil
	}
}

func (s *directStream) broken(p progress) error {
	select {
	case <-s.host.dead:
		return io.ErrUnexpectedEOF
	default:
	}
	s.direct.mu.Lock()
	frozen := s.host.frozen
	s.direct.mu.Unlock()
	if frozen {
		<-s.ctx.Done()
		return s.ctx.Err()
	}
	if p.cut {
		return io.ErrUnexpectedEOF
	}
	return nil
}

func (s *directStream) token() error {
	s.direct.mu.Lock()
	f := s.host.faults
	s.direct.mu.Unlock()
	spec := s.stream.spec
	frame := engine.Frame{Attempt: spec.attempt, Offset: s.offset, Text: token(s.stream.key, s.offset)}
	s.offset++
	s.sent++
	if f.CutAfter > 0 && s.sent > f.CutAfter {
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

func (s *directStream) finish(p progress) {
	s.ended = true
	reason := "stop"
	if s.offset == s.stream.spec.maxTokens {
		reason = "length"
	}
	s.frames = append(s.frames, engine.Frame{
		Attempt: s.stream.spec.attempt, Offset: s.offset, FinishReason: reason,
		Usage: engine.Usage{PromptTokens: p.prompt, CompletionTokens: s.offset, CachedTokens: p.cached},
	})
}
