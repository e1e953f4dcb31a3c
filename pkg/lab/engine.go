package lab

import (
	"time"
)

// EngineParams says how fast an engine is. It runs a batch step by step: each step makes a
// token of every answer and reads a chunk of the prompts that wait, in their order.
type EngineParams struct {
	// BatchSize is how many requests run at once, QueueSize how many more may wait.
	BatchSize, QueueSize int
	// PrefillChunk is the prompt tokens read in a step at most.
	PrefillChunk int
	// StepTime is the time of a step, StepTimePerRequest what each running request adds.
	StepTime, StepTimePerRequest time.Duration
	// PrefillTimePerToken is the time of a prompt token; AttentionTimePerPair what each token before it adds.
	PrefillTimePerToken, AttentionTimePerPair time.Duration
	// OutputDelay is how long a first token takes beside its step.
	OutputDelay time.Duration
	// CacheTokens is the tokens kept of prompts that were read.
	CacheTokens int
}

// run is a request at an engine.
type run struct {
	*request
	// todo is the prompt tokens not read yet, context those that are.
	todo, context int
	made          int
	first, done   func()
}

// engine is one endpoint's engine.
type engine struct {
	figures  EngineParams
	play     *play
	running  []*run
	waiting  []*run
	kept     *memory
	stepping bool
	// gone says that the engine has ended; its runs are broken off.
	gone bool
}

func newEngine(p *play, figures EngineParams) *engine {
	return &engine{figures: figures, play: p, kept: newMemory(figures.CacheTokens)}
}

// accept takes a request; it reports false where the engine is full.
func (e *engine) accept(r *run) bool {
	if e.gone || len(e.running)+len(e.waiting) >= e.figures.BatchSize+e.figures.QueueSize {
		return false
	}
	e.waiting = append(e.waiting, r)
	if !e.stepping {
		e.step()
	}
	return true
}

// step begins a step of the batch.
func (e *engine) step() {
	for len(e.waiting) > 0 && len(e.running) < e.figures.BatchSize {
		e.admit(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	left := e.figures.PrefillChunk
	took := e.figures.StepTime + time.Duration(len(e.running))*e.figures.StepTimePerRequest
	read := make([]int, len(e.running))
	for i, r := range e.running {
		read[i] = min(r.todo, left)
		left -= read[i]
		pairs := read[i] * (r.context + read[i]/2)
		took += time.Duration(read[i])*e.figures.PrefillTimePerToken + time.Duration(pairs)*e.figures.AttentionTimePerPair
	}
	e.play.after(took, func() { e.stepped(read) })
}

// admit looks what is kept of a prompt and counts what is read again.
func (e *engine) admit(r *run) {
	held := e.kept.covered(r.prefix, r.covered)
	r.context = held
	r.todo = r.promptTokens() - held
	e.play.noteRead(r, held)
	e.running = append(e.running, r)
}

// stepped ends a step.
func (e *engine) stepped(read []int) {
	if e.gone {
		return
	}
	still := e.running[:0]
	for i, r := range e.running {
		reading := r.todo > 0
		r.todo -= read[i]
		r.context += read[i]
		switch {
		case reading && r.todo == 0:
			e.kept.add(r.prefix, r.covered)
			e.play.after(e.figures.OutputDelay, r.first)
			r.made = 1
		case !reading:
			r.made++
			r.context++
		}
		if r.made > 0 && r.made >= r.answer {
			e.play.after(e.figures.OutputDelay, r.done)
			continue
		}
		still = append(still, r)
	}
	e.running = still
	e.step()
}

// memory is the prompts' parts that an engine keeps, those unused for longest
// given up first.
type memory struct {
	size, held int
	parts      map[uint64]*part
	uses       int
}

type part struct {
	tokens, used int
}

func newMemory(size int) *memory { return &memory{size: size, parts: map[uint64]*part{}} }

// covered returns the tokens that are kept of a prompt, from its start.
func (m *memory) covered(prefix []uint64, covered []int) int {
	held := 0
	for i, hash := range prefix {
		p, ok := m.parts[hash]
		if !ok {
			break
		}
		m.uses++
		p.used = m.uses
		held = covered[i]
	}
	return held
}

func (m *memory) add(prefix []uint64, covered []int) {
	before := 0
	for i, hash := range prefix {
		m.uses++
		if p, ok := m.parts[hash]; ok {
			p.used = m.uses
		} else {
			m.parts[hash] = &part{tokens: covered[i] - before, used: m.uses}
			m.held += covered[i] - before
		}
		before = covered[i]
	}
	for m.held > m.size {
		m.dropOldest()
	}
}

func (m *memory) dropOldest() {
	var oldest uint64
	least := m.uses + 1
	for hash, p := range m.parts {
		if p.used < least {
			oldest, least = hash, p.used
		}
	}
	m.held -= m.parts[oldest].tokens
	delete(m.parts, oldest)
}
