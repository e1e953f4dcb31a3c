package stream

import "sync"

// Figures of the expected length of an answer.
const (
	// firstLength is assumed until answers of a model have been seen.
	firstLength  = 200.0
	lengthWeight = 0.05
)

// length learns how long a model's answers are.
type length struct {
	mu   sync.Mutex
	mean float64
}

func (l *length) learn(tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mean += lengthWeight * (float64(tokens) - l.mean)
}

func (l *length) expected() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.mean)
}

func (r *Runner) lengthOf(model string) *length {
	held, ok := r.lengths.Load(model)
	if !ok {
		held, _ = r.lengths.LoadOrStore(model, &length{mean: firstLength})
	}
	return held.(*length)
}

func (r *Runner) learnLength(model string, tokens int) { r.lengthOf(model).learn(tokens) }

// expectedLength returns how long the whole answer is expected to be. One that
// is longer already is expected to go on for half as long again: lengths have
// heavy tails.
func (r *Runner) expectedLength(p *progress) int {
	expected := r.lengthOf(p.request.Prompt.Model).expected()
	if had := len(p.tokens); had >= expected {
		expected = had + had/2 + 1
	}
	return min(expected, p.request.Prompt.MaxTokens)
}
