package limit

import (
	"context"
	"time"
)

// PermitHolder is one request's place at a gate, to be entered, left and entered anew.
// It is not safe for concurrent use.
type PermitHolder struct {
	gate   *ConcurrencyLimiter
	ask    PermitRequest
	ticket Permit
	held   bool
}

// NewPermitHolder returns a place that is not held yet.
func NewPermitHolder(gate *ConcurrencyLimiter, ask PermitRequest) *PermitHolder {
	return &PermitHolder{gate: gate, ask: ask}
}

// Acquire waits for the place; see Gate.Acquire.
func (p *PermitHolder) Acquire(ctx context.Context) error {
	ticket, err := p.gate.Acquire(ctx, p.ask, time.Now())
	p.ticket, p.held = ticket, err == nil
	return err
}

// Release gives the place up; one that is not held is left alone.
func (p *PermitHolder) Release() {
	if p.held {
		p.ticket.Release(time.Now())
		p.held = false
	}
}

// Reacquire gives the place up and queues for another one.
func (p *PermitHolder) Reacquire(ctx context.Context) error {
	p.Release()
	return p.Acquire(ctx)
}
