package limit

import (
	"sync"

	"ironhollow/pkg/route"
)

// ConcurrencyLimiters keeps a gate for each target.
type ConcurrencyLimiters struct {
	mu    sync.RWMutex
	gates map[route.Target]*ConcurrencyLimiter
}

// startCapacity is a gate's until the target's endpoints are known.
const startCapacity = 16

// NewConcurrencyLimiters returns gates for no target yet.
func NewConcurrencyLimiters() *ConcurrencyLimiters {
	return &ConcurrencyLimiters{gates: map[route.Target]*ConcurrencyLimiter{}}
}

// For returns the gate of a target.
func (g *ConcurrencyLimiters) For(t route.Target) *ConcurrencyLimiter {
	g.mu.RLock()
	gate, ok := g.gates[t]
	g.mu.RUnlock()
	if ok {
		return gate
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if gate, ok = g.gates[t]; !ok {
		gate = NewConcurrencyLimiter(startCapacity)
		g.gates[t] = gate
	}
	return gate
}

// Resize sets every gate's capacity.
func (g *ConcurrencyLimiters) Resize(capacity func(route.Target) int) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for target, gate := range g.gates {
		gate.SetCapacity(capacity(target))
	}
}

// Load returns the load of the fullest gate.
func (g *ConcurrencyLimiters) Load() float64 {
	g.mu.RLock()
	defer g.mu.RUnlock()
	load := 0.0
	for _, gate := range g.gates {
		load = max(load, gate.Load())
	}
	return load
}
