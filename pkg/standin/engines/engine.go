// Package engines implements a stand-in for the platform's model engines. Responses are
// synthetic, but the same prompt, seed and model version always give the same response, so
// that a test can detect an incomplete or altered one.
package engines

import (
	"container/heap"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options configure the behaviour of an engine. The zero value is not usable.
type Options struct {
	// Slots is how many streams run at once; more wait in a queue.
	Slots int
	// TokenGap is the time between tokens of one stream without BatchSlowdown;
	// PrefillPerToken is the time for each prompt token that is not cached.
	TokenGap        time.Duration
	PrefillPerToken time.Duration
	// BatchSlowdown is the relative increase of TokenGap when all slots are taken, and
	// proportionally less when fewer are: a step of a larger batch takes longer.
	BatchSlowdown float64
	// TokensPerStep is how many tokens are generated in one step; a larger value makes
	// long experiments cheaper. 0 means 1.
	TokensPerStep int
	// CacheBlocks is the capacity of the prefix cache, in blocks of blockBytes.
	CacheBlocks int
	// LoadTime is how long a model takes to load.
	LoadTime time.Duration
	// ReportMaxAge is the age at which a load report is renewed.
	ReportMaxAge time.Duration
	// StreamRetention is how long a stream without a reader, or a finished one, is kept.
	StreamRetention time.Duration
	// ChecksOrders makes the engine refuse orders of an older epoch.
	ChecksOrders bool
	// TransferPerToken is the time to fetch one token's KV cache.
	TransferPerToken time.Duration
}

// DefaultOptions returns the options of a small, fast engine.
func DefaultOptions() Options {
	return Options{
		Slots:            16,
		TokenGap:         5 * time.Millisecond,
		PrefillPerToken:  100 * time.Microsecond,
		CacheBlocks:      4096,
		LoadTime:         200 * time.Millisecond,
		ReportMaxAge:     300 * time.Millisecond,
		StreamRetention:  10 * time.Second,
		ChecksOrders:     true,
		TransferPerToken: 10 * time.Microsecond,
	}
}

// ModelRef identifies a model with its version and adapter.
type ModelRef struct{ Model, Version, Adapter string }

// Engine is a simulated engine, without its HTTP server.
type Engine struct {
	options     Options
	incarnation int64

	mu          sync.Mutex
	loaded      ModelRef
	loading     bool
	loadCount   int64
	epoch       int64
	leaving     bool
	streams     map[string]*stream
	running     int
	waiting     waitQueue
	lastArrival int64
	cache       *prefixCache
	// imported holds the number of tokens whose KV cache was fetched, by request.
	imported map[string]int
	// generated and recomputed count tokens, for reports of experiments.
	generated, recomputed int64
	orders                []int64
}

// New returns an engine without a model.
func New(incarnation int64, options Options) *Engine {
	return &Engine{
		options:     options,
		incarnation: incarnation,
		streams:     map[string]*stream{},
		cache:       newPrefixCache(options.CacheBlocks),
		imported:    map[string]int{},
	}
}

// Completion returns all tokens that an engine generates for a prompt.
func Completion(model ModelRef, messages string, seed int64, maxTokens int) []string {
	key := completionKey(model, messages, seed)
	count := completionLength(key, maxTokens)
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = token(key, i)
	}
	return tokens
}

// Completions have from minCompletionTokens to minCompletionTokens+completionTokenRange-1
// tokens, unless the request's limit is lower.
const (
	minCompletionTokens  = 24
	completionTokenRange = 2000
)

func completionKey(model ModelRef, messages string, seed int64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s|%s|%s|%d|%s", model.Model, model.Version, model.Adapter, seed, messages))
}

func completionLength(key uint64, maxTokens int) int {
	return min(maxTokens, minCompletionTokens+int(key%completionTokenRange))
}

// vocabulary has few words, so that responses read as text.
var vocabulary = [...]string{"season", "loan", "market", "herd", "rival", "lap", "title", "repaid", "harvest", "grid", "steady", "vendor", "seat", "late", "strong", "final"}

func token(key uint64, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%d", key, i))
	return fmt.Sprintf("%s%d ", vocabulary[h%uint64(len(vocabulary))], h>>8%1000)
}

// Errors returned to callers of an engine.
var (
	errLeaving    = errors.New("leaving")
	errNotLoaded  = errors.New("model is not loaded")
	errStaleEpoch = errors.New("order of an old epoch")
	errNoStream   = errors.New("no such stream")
)

// applyOrder applies an order to load a model.
func (e *Engine) applyOrder(epoch int64, model ModelRef) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksOrders && epoch < e.epoch {
		return errStaleEpoch
	}
	e.epoch = max(e.epoch, epoch)
	e.orders = append(e.orders, epoch)
	if e.loaded == model || e.loading {
		return nil
	}
	e.loading = true
	time.AfterFunc(e.options.LoadTime, func() { e.finishLoad(model) })
	return nil
}

func (e *Engine) finishLoad(model ModelRef) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	e.loaded = model
	e.loadCount++
	e.cache = newPrefixCache(e.options.CacheBlocks)
}

// SetLeaving makes the engine refuse new attempts, as when its host shuts down.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// promptSpec is an attempt as received.
type promptSpec struct {
	request         string
	attempt         int
	model           ModelRef
	messages        string
	seed            int64
	maxTokens       int
	priority        int
	continuedTokens int
}

// start queues an attempt and returns its stream.
func (e *Engine) start(p promptSpec) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return nil, errLeaving
	}
	if e.loaded != p.model {
		return nil, errNotLoaded
	}
	key := completionKey(p.model, p.messages, p.seed)
	s := newStream(p, key, completionLength(key, p.maxTokens))
	e.streams[p.request] = s
	e.lastArrival++
	heap.Push(&e.waiting, queuedStream{s, p.priority, e.lastArrival})
	e.admit()
	return s, nil
}

// admit starts waiting streams while slots are free. The caller holds e.mu.
func (e *Engine) admit() {
	for e.running < e.options.Slots && e.waiting.Len() > 0 {
		next := heap.Pop(&e.waiting).(queuedStream).stream
		if next.isCancelled() {
			continue
		}
		e.running++
		go e.run(next)
	}
}

// run prefills and generates until the response is complete, or the stream is cancelled or
// has had no reader for StreamRetention.
func (e *Engine) run(s *stream) {
	defer func() {
		e.mu.Lock()
		// The computed tokens stay cached until they are evicted.
		e.cache.lookUpAndAdd(s.cacheText(s.available()))
		e.running--
		e.admit()
		e.mu.Unlock()
		time.AfterFunc(e.options.StreamRetention, func() { e.removeStream(s) })
	}()
	if !s.sleep(e.prefill(s)) {
		return
	}
	for s.available() < s.length {
		step := min(max(e.options.TokensPerStep, 1), s.length-s.available())
		if !s.sleep(time.Duration(step)*e.tokenGap()) || s.abandoned(e.options.StreamRetention) {
			s.cancel()
			return
		}
		s.addTokens(step)
		e.mu.Lock()
		e.generated += int64(step)
		e.mu.Unlock()
	}
	s.finish()
}

// prefill records the stream's cached and recomputed tokens and returns the duration of the
// prefill.
func (e *Engine) prefill(s *stream) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	promptTokens := countTokens(s.spec.messages)
	cached := min(e.cache.lookUpAndAdd(s.cacheText(s.spec.continuedTokens)), promptTokens+s.spec.continuedTokens)
	if imported, ok := e.imported[s.spec.request]; ok {
		cached = min(imported, promptTokens+s.spec.continuedTokens)
		delete(e.imported, s.spec.request)
	}
	total := promptTokens + s.spec.continuedTokens
	s.setUsage(promptTokens, cached)
	if s.spec.attempt > 1 {
		e.recomputed += int64(total - cached)
	}
	return time.Duration(total-cached) * e.options.PrefillPerToken
}

// tokenGap returns the current time between tokens of each running stream.
func (e *Engine) tokenGap() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	slowdown := 1 + e.options.BatchSlowdown*float64(e.running)/float64(e.options.Slots)
	return time.Duration(slowdown * float64(e.options.TokenGap))
}

func (e *Engine) removeStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.spec.request] == s {
		delete(e.streams, s.spec.request)
	}
}

func (e *Engine) findStream(request string) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[request]
	if !ok {
		return nil, errNoStream
	}
	return s, nil
}

// kvTokens returns the size of a stream's KV cache in tokens.
func (e *Engine) kvTokens(request string) (int, error) {
	s, err := e.findStream(request)
	if err != nil {
		return 0, err
	}
	return countTokens(s.spec.messages) + s.available(), nil
}

func (e *Engine) importKV(request string, tokens int) {
	time.Sleep(time.Duration(tokens) * e.options.TransferPerToken)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imported[request] = tokens
}

// Counts returns the number of tokens generated, and of prompt and completion tokens
// recomputed by attempts after the first.
func (e *Engine) Counts() (generated, recomputed int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generated, e.recomputed
}

// Orders returns the epochs of the accepted orders, in order of arrival.
func (e *Engine) Orders() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]int64(nil), e.orders...)
}

// bytesPerToken is a common approximation for text.
const bytesPerToken = 4

func countTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }
