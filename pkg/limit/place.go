package limit

import (
	"context"
	"time"
)

// Place is one request's place at a gate, to be entered, left and entered anew.
// It is not safe for concurrent use.
type Place struct {
	gate   *Gate
	ask    Ask
	ticket Ticket
	held   bool
}

// NewPlace returns a place that is not held yet.
func NewPlace(gate *Gate, ask Ask) *Place { return &Place{gate: gate, ask: ask} }

// Enter waits for the place; see Gate.Acquire.
func (p *Place) Enter(ctx context.Context) error {
	ticket, err := p.gate.Acquire(ctx, p.ask, time.Now())
	p.ticket, p.held = ticket, err == nil
	return err
}

// Leave gives the place up; one that is not held is left alone.
func (p *Place) Leave() {
	if p.held {
		p.ticket.Release(time.Now())
		p.held = false
	}
}

// Reenter gives the place up and queues for another one.
func (p *Place) Reenter(ctx context.Context) error {
	p.Leave()
	return p.Enter(ctx)
}
