package lab

import (
	"time"
)

// EngineParams describes the speed and capacity of a simulated engine with continuous batching.
// Each step generates one token for every request that is past its prefill, and prefills a chunk of
// the remaining prompt tokens in the order of admission.
type EngineParams struct {
	// BatchSize is the number of requests that run at once, QueueSize the number of further
	// requests that may wait.
	BatchSize, QueueSize int
	// PrefillChunk is the maximum number of prompt tokens that a step prefills.
	PrefillChunk int
	// StepTime is the fixed duration of a step, StepTimePerRequest the addition for each running
	// request.
	StepTime, StepTimePerRequest time.Duration
	// PrefillTimePerToken is the prefill time of a prompt token, AttentionTimePerPair the addition
	// for each token that precedes it in the context.
	PrefillTimePerToken, AttentionTimePerPair time.Duration
	// OutputDelay is the time between the end of a step and the arrival of its first or last token.
	OutputDelay time.Duration
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int
}

// engineRequest is a request that is queued or running at an engine.
type engineRequest struct {
	*request
	// uncachedTokens is the number of prompt tokens that are not prefilled yet, contextTokens the
	// number of tokens in the context.
	uncachedTokens, contextTokens int
	generatedTokens               int
	onFirstToken, onDone          func()
	// onLost is called instead of onDone if the engine is stopped.
	onLost func()
}

// engine simulates the engine of one endpoint.
type engine struct {
	params   EngineParams
	sim      *simulation
	running  []*engineRequest
	waiting  []*engineRequest
	cache    *prefixCache
	stepping bool
	// stopped means that the engine has ended.
	stopped bool
	// relativeTime is the duration of a step relative to that of the parameters.
	relativeTime float64
}

func newEngine(s *simulation, params EngineParams, relativeTime float64) *engine {
	e := &engine{params: params, sim: s, cache: newPrefixCache(params.CacheTokens), relativeTime: relativeTime}
	if s.fleet.SlowPhases.Every > 0 {
		e.scheduleSlowPhase()
	}
	return e
}

// scheduleSlowPhase schedules the next period in which the engine is slower.
func (e *engine) scheduleSlowPhase() {
	phases := e.sim.fleet.SlowPhases
	e.sim.after(time.Duration(e.sim.random.ExpFloat64()*float64(phases.Every)), func() {
		e.relativeTime *= phases.Factor
		e.sim.after(phases.Length, func() {
			e.relativeTime /= phases.Factor
			e.scheduleSlowPhase()
		})
	})
}

// tryEnqueue queues a request. It returns false if the engine is full or stopped.
func (e *engine) tryEnqueue(r *engineRequest) bool {
	if e.stopped || len(e.running)+len(e.waiting) >= e.params.BatchSize+e.params.QueueSize {
		return false
	}
	e.waiting = append(e.waiting, r)
	if !e.stepping {
		e.startStep()
	}
	return true
}

// stop ends the engine. Its requests get no answer.
func (e *engine) stop() {
	e.stopped = true
	for _, r := range append(e.running, e.waiting...) {
		r.onLost()
	}
	e.running, e.waiting = nil, nil
}

// startStep admits queued requests to the batch and starts a step if the batch is not empty.
func (e *engine) startStep() {
	for len(e.waiting) > 0 && len(e.running) < e.params.BatchSize {
		e.admit(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	chunkLeft := e.params.PrefillChunk
	duration := e.params.StepTime + time.Duration(len(e.running))*e.params.StepTimePerRequest
	prefilled := make([]int, len(e.running))
	for i, r := range e.running {
		prefilled[i] = min(r.uncachedTokens, chunkLeft)
		chunkLeft -= prefilled[i]
		pairs := prefilled[i] * (r.contextTokens + prefilled[i]/2)
		duration += time.Duration(prefilled[i])*e.params.PrefillTimePerToken + time.Duration(pairs)*e.params.AttentionTimePerPair
	}
	e.sim.after(time.Duration(e.relativeTime*float64(duration)), func() { e.finishStep(prefilled) })
}

// admit moves a request into the batch. The part of its prompt that is cached needs no prefill.
func (e *engine) admit(r *engineRequest) {
	cached := e.cache.cachedTokens(r.prefixHashes, r.prefixTokens)
	r.contextTokens = cached
	r.uncachedTokens = r.promptTokens() - cached
	e.sim.recordPrefill(r, cached)
	e.running = append(e.running, r)
}

// finishStep applies the results of a step and starts the next one. prefilled is the number of
// prompt tokens prefilled for each running request.
func (e *engine) finishStep(prefilled []int) {
	if e.stopped {
		return
	}
	unfinished := e.running[:0]
	for i, r := range e.running {
		prefilling := r.uncachedTokens > 0
		r.uncachedTokens -= prefilled[i]
		r.contextTokens += prefilled[i]
		switch {
		case prefilling && r.uncachedTokens == 0:
			e.cache.add(r.prefixHashes, r.prefixTokens)
			e.sim.after(e.params.OutputDelay, r.onFirstToken)
			r.generatedTokens = 1
		case !prefilling:
			r.generatedTokens++
			r.contextTokens++
		}
		if r.generatedTokens > 0 && r.generatedTokens >= r.answerTokens {
			e.sim.after(e.params.OutputDelay, r.onDone)
			continue
		}
		unfinished = append(unfinished, r)
	}
	e.running = unfinished
	e.startStep()
}

// prefixCache holds blocks of prompts by prefix hash and evicts the least recently used ones.
type prefixCache struct {
	capacity, tokens int
	blocks           map[uint64]*cacheBlock
	useCount         int
}

type cacheBlock struct {
	tokens, lastUse int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*cacheBlock{}}
}

// cachedTokens returns the number of tokens in the longest cached prefix of a prompt.
func (c *prefixCache) cachedTokens(hashes []uint64, ends []int) int {
	cached := 0
	for i, hash := range hashes {
		block, ok := c.blocks[hash]
		if !ok {
			break
		}
		c.useCount++
		block.lastUse = c.useCount
		cached = ends[i]
	}
	return cached
}

func (c *prefixCache) add(hashes []uint64, ends []int) {
	previousEnd := 0
	for i, hash := range hashes {
		c.useCount++
		if block, ok := c.blocks[hash]; ok {
			block.lastUse = c.useCount
		} else {
			c.blocks[hash] = &cacheBlock{tokens: ends[i] - previousEnd, lastUse: c.useCount}
			c.tokens += ends[i] - previousEnd
		}
		previousEnd = ends[i]
	}
	for c.tokens > c.capacity {
		c.evictLeastRecentlyUsed()
	}
}

func (c *prefixCache) evictLeastRecentlyUsed() {
	var oldest uint64
	oldestUse := c.useCount + 1
	for hash, block := range c.blocks {
		if block.lastUse < oldestUse {
			oldest, oldestUse = hash, block.lastUse
		}
	}
	c.tokens -= c.blocks[oldest].tokens
	delete(c.blocks, oldest)
}
