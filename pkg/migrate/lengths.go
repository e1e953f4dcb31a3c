package migrate

import "sync"

// Parameters of the mean lengths.
const (
	// lengthSmoothing is the weight of a new answer; minLengths is the number of answers from which the
	// mean is used, whose error is then about a third of the spread of the lengths.
	lengthSmoothing = 0.1
	minLengths      = 10
)

// Lengths holds the mean length of the answers of each route. It is safe for concurrent use.
type Lengths struct {
	mu     sync.Mutex
	routes map[string]*meanLength
}

type meanLength struct {
	tokens float64
	count  int
}

// NewLengths returns Lengths without any answers.
func NewLengths() *Lengths { return &Lengths{routes: map[string]*meanLength{}} }

// Record records the length of a complete answer in tokens.
func (l *Lengths) Record(route string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean := l.routes[route]
	if mean == nil {
		mean = &meanLength{}
		l.routes[route] = mean
	}
	mean.count++
	weight := max(lengthSmoothing, 1/float64(mean.count))
	mean.tokens += weight * (float64(tokens) - mean.tokens)
}

// Mean returns the mean length of a route's answers in tokens, 0 while too few are known.
func (l *Lengths) Mean(route string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean := l.routes[route]
	if mean == nil || mean.count < minLengths {
		return 0
	}
	return int(mean.tokens)
}
