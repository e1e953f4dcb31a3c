package limit

import (
	"sync"

	"ironhollow/pkg/route"
)

// Gates keeps a gate for each target.
type Gates struct {
	mu    sync.RWMutex
	gates map[route.Target]*Gate
}

// startCapacity is a gate's until the target's endpoints are known.
const startCapacity = 16

// NewGates returns gates for no target yet.
func NewGates() *Gates { return &Gates{gates: map[route.Target]*Gate{}} }

// For returns the gate of a target.
func (g *Gates) For(t route.Target) *Gate {
	g.mu.RLock()
	gate, ok := g.gates[t]
	g.mu.RUnlock()
	if ok {
		return gate
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if gate, ok = g.gates[t]; !ok {
		gate = NewGate(startCapacity)
		g.gates[t] = gate
	}
	return gate
}

// Resize sets every gate's capacity.
func (g *Gates) Resize(capacity func(route.Target) int) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for target, gate := range g.gates {
		gate.SetCapacity(capacity(target))
	}
}

// Load returns the load of the fullest gate.
func (g *Gates) Load() float64 {
	g.mu.RLock()
	defer g.mu.RUnlock()
	load := 0.0
	for _, gate := range g.gates {
		load = max(load, gate.Load())
	}
	return load
}
