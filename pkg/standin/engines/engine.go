// Package engines is the stand-in of the platform's model engines. Answers are
// made up, but the same prompt, seed and model version always give the same
// answer, so that a test can tell a whole answer from one that is not.
package engines

import (
	"container/heap"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options say how an engine behaves. The zero value is not usable.
type Options struct {
	// Slots is how many streams run at once; more wait.
	Slots int
	// TokenGap is the time between tokens of one stream when Slots are not
	// exceeded, PrefillPerToken the time for each prompt token not cached.
	TokenGap        time.Duration
	PrefillPerToken time.Duration
	// BatchSlowdown slows every stream by this part when all slots are taken, and by
	// less when fewer are: a fuller batch takes longer a step.
	BatchSlowdown float64
	// TokensPerStep is how many tokens come at a time; it makes long experiments
	// cheaper. 0 is 1.
	TokensPerStep int
	// CacheBlocks bounds the prefix cache, in blocks of blockBytes.
	CacheBlocks int
	// LoadTime is how long a model takes to load.
	LoadTime time.Duration
	// ReportMaxAge is how old a load report may be.
	ReportMaxAge time.Duration
	// StreamRetention is how long a stream without a reader is kept.
	StreamRetention time.Duration
	// ChecksOrders makes the engine refuse orders of an old epoch.
	ChecksOrders bool
	// TransferPerToken is the time to fetch one token's KV cache.
	TransferPerToken time.Duration
}

// DefaultOptions are those of a small, quick engine.
func DefaultOptions() Options {
	return Options{
		Slots:            16,
		TokenGap:         5 * time.Millisecond,
		PrefillPerToken:  100 * time.Microsecond,
		CacheBlocks:      4096,
		LoadTime:         200 * time.Millisecond,
		ReportMaxAge:        300 * time.Millisecond,
		StreamRetention:           10 * time.Second,
		ChecksOrders:     true,
		TransferPerToken: 10 * time.Microsecond,
	}
}

// ModelRef names what an engine serves.
type ModelRef struct{ Model, Version, Adapter string }

// Engine is the stand-in's state, without its HTTP side.
type Engine struct {
	options     Options
	incarnation int64

	mu      sync.Mutex
	loaded  ModelRef
	loading bool
	counter int64
	epoch   int64
	leaving bool
	streams map[string]*stream
	running int
	waiting waitQueue
	arrival int64
	cache   *prefixCache
	// imported holds, by request, tokens whose KV cache was fetched.
	imported map[string]int
	// generated and recomputed count tokens, for reports of experiments.
	generated, recomputed int64
	orders                []int64
}

// New returns an engine with nothing loaded.
func New(incarnation int64, options Options) *Engine {
	return &Engine{
		options:     options,
		incarnation: incarnation,
		streams:     map[string]*stream{},
		cache:       newPrefixCache(options.CacheBlocks),
		imported:    map[string]int{},
	}
}

// Completion returns the tokens an engine gives to a prompt, whole.
func Completion(loaded ModelRef, messages string, seed int64, maxTokens int) []string {
	key := answerKey(loaded, messages, seed)
	count := answerLength(key, maxTokens)
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = token(key, i)
	}
	return tokens
}

// leastAnswer and answerSpread bound an answer's length in tokens.
const (
	leastAnswer  = 24
	answerSpread = 2000
)

func answerKey(loaded ModelRef, messages string, seed int64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s|%s|%s|%d|%s", loaded.Model, loaded.Version, loaded.Adapter, seed, messages))
}

func answerLength(key uint64, maxTokens int) int {
	return min(maxTokens, leastAnswer+int(key%answerSpread))
}

// words per token are few, so that answers read as text.
var words = [...]string{"season", "loan", "market", "herd", "rival", "lap", "title", "repaid", "harvest", "grid", "steady", "vendor", "seat", "late", "strong", "final"}

func token(key uint64, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%d", key, i))
	return fmt.Sprintf("%s%d ", words[h%uint64(len(words))], h>>8%1000)
}

// Errors of the stand-in.
var (
	errLeaving   = errors.New("leaving")
	errNotLoaded = errors.New("model is not loaded")
	errStale     = errors.New("order of an old epoch")
	errNoStream  = errors.New("no such stream")
)

// order takes an order to load a model.
func (e *Engine) order(epoch int64, want ModelRef) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksOrders && epoch < e.epoch {
		return errStale
	}
	e.epoch = max(e.epoch, epoch)
	e.orders = append(e.orders, epoch)
	if e.loaded == want || e.loading {
		return nil
	}
	e.loading = true
	time.AfterFunc(e.options.LoadTime, func() { e.finishLoad(want) })
	return nil
}

func (e *Engine) finishLoad(want ModelRef) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	e.loaded = want
	e.counter++
	e.cache = newPrefixCache(e.options.CacheBlocks)
}

// SetLeaving makes the engine turn new work away, as its host shuts down.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// promptSpec is one attempt as received.
type promptSpec struct {
	request   string
	attempt   int
	loaded    ModelRef
	messages  string
	seed      int64
	maxTokens int
	priority  int
	done      int
}

// start admits an attempt and returns its stream.
func (e *Engine) start(p promptSpec) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return nil, errLeaving
	}
	if e.loaded != p.loaded {
		return nil, errNotLoaded
	}
	key := answerKey(p.loaded, p.messages, p.seed)
	s := newStream(p, key, answerLength(key, p.maxTokens))
	e.streams[p.request] = s
	e.arrival++
	heap.Push(&e.waiting, waiter{s, p.priority, e.arrival})
	e.admit()
	return s, nil
}

// admit starts waiting streams while there are slots. The lock is held.
func (e *Engine) admit() {
	for e.running < e.options.Slots && e.waiting.Len() > 0 {
		next := heap.Pop(&e.waiting).(waiter).stream
		if next.isCancelled() {
			continue
		}
		e.running++
		go e.run(next)
	}
}

// run prefills and generates until the answer is whole or nobody wants it.
func (e *Engine) run(s *stream) {
	defer func() {
		e.mu.Lock()
		// What was computed stays cached until it is evicted.
		e.cache.use(s.text(s.available()))
		e.running--
		e.admit()
		e.mu.Unlock()
		time.AfterFunc(e.options.StreamRetention, func() { e.forget(s) })
	}()
	if !s.sleep(e.prefill(s)) {
		return
	}
	for s.available() < s.length {
		step := min(max(e.options.TokensPerStep, 1), s.length-s.available())
		if !s.sleep(time.Duration(step)*e.gap()) || s.abandoned(e.options.StreamRetention) {
			s.cancel()
			return
		}
		s.append(step)
		e.mu.Lock()
		e.generated += int64(step)
		e.mu.Unlock()
	}
	s.finish()
}

// prefill accounts for the prompt and returns the time it takes.
func (e *Engine) prefill(s *stream) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	promptTokens := countTokens(s.spec.messages)
	cached := min(e.cache.use(s.text(s.spec.done)), promptTokens+s.spec.done)
	if moved, ok := e.imported[s.spec.request]; ok {
		cached = min(moved, promptTokens+s.spec.done)
		delete(e.imported, s.spec.request)
	}
	total := promptTokens + s.spec.done
	s.setUsage(promptTokens, cached)
	if s.spec.attempt > 1 {
		e.recomputed += int64(total - cached)
	}
	return time.Duration(total-cached) * e.options.PrefillPerToken
}

// gap returns the time to the next token of each running stream.
func (e *Engine) gap() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	crowding := 1 + e.options.BatchSlowdown*float64(e.running)/float64(e.options.Slots)
	return time.Duration(crowding * float64(e.options.TokenGap))
}

func (e *Engine) forget(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.spec.request] == s {
		delete(e.streams, s.spec.request)
	}
}

func (e *Engine) find(request string) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[request]
	if !ok {
		return nil, errNoStream
	}
	return s, nil
}

// kvTokens returns how many tokens of KV cache a stream has.
func (e *Engine) kvTokens(request string) (int, error) {
	s, err := e.find(request)
	if err != nil {
		return 0, err
	}
	return countTokens(s.spec.messages) + s.available(), nil
}

func (e *Engine) importTokens(request string, tokens int) {
	time.Sleep(time.Duration(tokens) * e.options.TransferPerToken)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imported[request] = tokens
}

// Counts returns tokens generated, and prompt or answer tokens computed again
// because an attempt was not the first.
func (e *Engine) Counts() (generated, recomputed int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generated, e.recomputed
}

// Orders returns the epochs of the orders that were obeyed, in order.
func (e *Engine) Orders() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]int64(nil), e.orders...)
}

// bytesPerToken is the usual rule of thumb for text.
const bytesPerToken = 4

func countTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }
