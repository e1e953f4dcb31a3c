package stream

import (
	"math"
	"sync"
)

// Parameters of the length estimate.
const (
	// initialLength is the initial mean and deviation, in tokens.
	initialLength = 200.0
	// lengthWeight is the weight of a new length in the moving averages.
	lengthWeight = 0.05
	// upperBoundDeviations is the number of mean deviations above the mean that few answers
	// exceed.
	upperBoundDeviations = 2.0
)

// lengthEstimate estimates the mean and the spread of the lengths of a service's answers, in
// tokens.
type lengthEstimate struct {
	mu sync.Mutex
	// deviation is the mean absolute deviation.
	mean, deviation float64
}

// observe adds the length of an answer to the estimate.
func (l *lengthEstimate) observe(tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	difference := float64(tokens) - l.mean
	l.mean += lengthWeight * difference
	l.deviation += lengthWeight * (math.Abs(difference) - l.deviation)
}

// upperBound returns a length that few answers exceed.
func (l *lengthEstimate) upperBound() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.mean + upperBoundDeviations*l.deviation)
}

// expected returns the mean length.
func (l *lengthEstimate) expected() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.mean)
}

func (r *Runner) lengthEstimateOf(service string) *lengthEstimate {
	loaded, ok := r.lengths.Load(service)
	if !ok {
		loaded, _ = r.lengths.LoadOrStore(service, &lengthEstimate{mean: initialLength, deviation: initialLength})
	}
	return loaded.(*lengthEstimate)
}

func (r *Runner) recordLength(service string, tokens int) {
	r.lengthEstimateOf(service).observe(tokens)
}

// maxExpectedLength returns a length that this request's answer is unlikely to exceed.
func (r *Runner) maxExpectedLength(p *progress) int {
	return min(max(r.lengthEstimateOf(p.request.Service).upperBound(), r.expectedLength(p)), p.request.Prompt.MaxTokens)
}

// expectedLength returns the expected length of the complete answer. An answer that is
// already longer than the mean is expected to continue for half its present length, as
// lengths have a heavy tail.
func (r *Runner) expectedLength(p *progress) int {
	expected := r.lengthEstimateOf(p.request.Service).expected()
	if generated := len(p.tokens); generated >= expected {
		expected = generated + generated/2 + 1
	}
	return min(expected, p.request.Prompt.MaxTokens)
}
