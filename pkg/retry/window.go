package retry

import (
	"sync"
	"time"
)

// WindowBudget bounds what one node sends again to a service, so that all nodes
// together stay under a share of the service's requests plus a slack in
// any span of one window's length. It needs no word from other nodes: the share
// is of this node's own requests, the slack is divided by their number. It
// is safe for concurrent use.
type WindowBudget struct {
	share, slack float64
	step         time.Duration

	mu       sync.Mutex
	services map[string]*counts
}

// steps is how many parts a window is counted in. A part more than the window
// is looked at, so that a span that begins within a part is covered.
const steps = 20

// margin is the part of the bound that is used: nodes differ in their clocks'
// steps and in how many others they know.
const margin = 0.8

type counts struct {
	first, again [steps + 1]int
	// at numbers the newest part.
	at int64
}

// NewWindowBudget returns a budget of share x requests + slack in each window.
func NewWindowBudget(share, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{share: share, slack: slack, step: window / steps, services: map[string]*counts{}}
}

// RecordFirstSend notes a first send to a service.
func (w *WindowBudget) RecordFirstSend(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service, now)
	c.first[c.at%(steps+1)]++
}

// Take reports whether a request may be sent to a service again, and counts it
// if so. nodes is how many nodes share the slack, at least 1.
func (w *WindowBudget) Take(service string, nodes int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service, now)
	first, again := 0, 0
	for i := range c.first {
		first += c.first[i]
		again += c.again[i]
	}
	bound := margin * (w.share*float64(first) + w.slack/float64(max(nodes, 1)))
	if float64(again+1) > bound {
		return false
	}
	c.again[c.at%(steps+1)]++
	return true
}

// counts returns a service's counts moved on to now.
func (w *WindowBudget) counts(service string, now time.Time) *counts {
	at := now.UnixNano() / int64(w.step)
	c := w.services[service]
	if c == nil {
		c = &counts{at: at}
		w.services[service] = c
	}
	for range min(at-c.at, steps+1) {
		c.at++
		c.first[c.at%(steps+1)] = 0
		c.again[c.at%(steps+1)] = 0
	}
	c.at = max(c.at, at)
	return c
}
