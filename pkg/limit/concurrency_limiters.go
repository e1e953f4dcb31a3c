package limit

import (
	"sync"

	"ironhollow/pkg/route"
)

// ConcurrencyLimiters holds a concurrency limiter for each target.
type ConcurrencyLimiters struct {
	mu       sync.RWMutex
	limiters map[route.Target]*ConcurrencyLimiter
}

// initialCapacity is the capacity of a limiter until the target's endpoints are known.
const initialCapacity = 16

// NewConcurrencyLimiters returns an empty set of limiters.
func NewConcurrencyLimiters() *ConcurrencyLimiters {
	return &ConcurrencyLimiters{limiters: map[route.Target]*ConcurrencyLimiter{}}
}

// For returns the limiter of a target, and creates it if there is none.
func (l *ConcurrencyLimiters) For(t route.Target) *ConcurrencyLimiter {
	l.mu.RLock()
	limiter, ok := l.limiters[t]
	l.mu.RUnlock()
	if ok {
		return limiter
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if limiter, ok = l.limiters[t]; !ok {
		limiter = NewConcurrencyLimiter(initialCapacity)
		l.limiters[t] = limiter
	}
	return limiter
}

// Resize sets the capacity of every limiter.
func (l *ConcurrencyLimiters) Resize(capacity func(route.Target) int) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for target, limiter := range l.limiters {
		limiter.SetCapacity(capacity(target))
	}
}

// Load returns the highest load of all limiters.
func (l *ConcurrencyLimiters) Load() float64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	load := 0.0
	for _, limiter := range l.limiters {
		load = max(load, limiter.Load())
	}
	return load
}
