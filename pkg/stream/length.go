package stream

import (
	"math"
	"sync"
)

// Figures of the expected length of an answer.
const (
	// firstLength is assumed until answers of a model have been seen.
	firstLength  = 200.0
	lengthWeight = 0.05
	// longDeviations is how many mean deviations above the mean count as long.
	longDeviations = 2.0
)

// length learns how long a service's answers are, and how far they spread.
type length struct {
	mu sync.Mutex
	// deviation is the mean distance from the mean.
	mean, deviation float64
}

func (l *length) learn(tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	difference := float64(tokens) - l.mean
	l.mean += lengthWeight * difference
	l.deviation += lengthWeight * (math.Abs(difference) - l.deviation)
}

// long returns a length that few answers exceed.
func (l *length) long() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.mean + longDeviations*l.deviation)
}

func (l *length) expected() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.mean)
}

func (r *Runner) lengthOf(service string) *length {
	held, ok := r.lengths.Load(service)
	if !ok {
		held, _ = r.lengths.LoadOrStore(service, &length{mean: firstLength, deviation: firstLength})
	}
	return held.(*length)
}

func (r *Runner) learnLength(service string, tokens int) { r.lengthOf(service).learn(tokens) }

// longLength returns a length that this request's answer will hardly exceed.
func (r *Runner) longLength(p *progress) int {
	return min(max(r.lengthOf(p.request.Service).long(), r.expectedLength(p)), p.request.Prompt.MaxTokens)
}

// expectedLength returns how long the whole answer is expected to be. One that
// is longer already is expected to go on for half as long again: lengths have
// heavy tails.
func (r *Runner) expectedLength(p *progress) int {
	expected := r.lengthOf(p.request.Service).expected()
	if had := len(p.tokens); had >= expected {
		expected = had + had/2 + 1
	}
	return min(expected, p.request.Prompt.MaxTokens)
}
