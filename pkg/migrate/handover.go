package migrate

import (
	"context"
	"sync"
	"time"
)

// Place is where a stopped run continues.
type Place int

// Places where a stopped run continues.
const (
	// Nowhere means that the run was not stopped by a move.
	Nowhere Place = iota
	// AtTarget means that the target has the whole memory of the run.
	AtTarget
	// AtSource means that only the source, which still serves, has the whole memory of the run.
	AtSource
	// Uncertain means that the run may have stopped. If its stream breaks off, only the source knows
	// whether it has.
	Uncertain
)

// Continuation states where a stopped run continues.
type Continuation struct {
	Place  Place
	Handle string
}

// Handover is the state of the move of one stream. The relay is the goroutine that forwards the
// stream's events, the mover the one that moves it. The run is stopped only while the relay reads the
// stream, and the target is asked only after the run has stopped.
type Handover struct {
	mu sync.Mutex
	// ended is set once the relay reads the stream no more.
	ended bool
	// stopping is set from BeginStop until the answer is known.
	stopping     bool
	continuation Continuation
	// settled is closed when stopping is unset; it is nil before BeginStop.
	settled chan struct{}
	// finished is closed by Finish; used is valid after that.
	finished chan struct{}
	once     sync.Once
	used     bool
}

// NewHandover returns the state of a stream that is not being moved.
func NewHandover() *Handover { return &Handover{finished: make(chan struct{})} }

// BeginStop is called by the mover before it asks the source to stop the run. It returns false if the
// run must not be stopped, because the stream has ended or the run was stopped before.
func (h *Handover) BeginStop() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || h.stopping || h.continuation.Place != Nowhere {
		return false
	}
	h.stopping = true
	h.settled = make(chan struct{})
	return true
}

// Settle is called by the mover with the result of the call that stops the run.
func (h *Handover) Settle(c Continuation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = false
	h.continuation = c
	close(h.settled)
}

// End is called by the relay when the stream has ended or broken off. While the run is being stopped,
// it waits for the result until ctx ends.
func (h *Handover) End(ctx context.Context) Continuation {
	h.mu.Lock()
	h.ended = true
	settled := h.settled
	h.mu.Unlock()
	if settled == nil {
		return Continuation{}
	}
	select {
	case <-settled:
	case <-ctx.Done():
		return Continuation{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.continuation
}

// Finish is called by the relay once it needs the copy no more; used is set if an endpoint has
// continued the run with it.
func (h *Handover) Finish(used bool) {
	h.once.Do(func() {
		h.used = used
		close(h.finished)
	})
}

// WasUsed waits for Finish and reports whether the copy was used.
func (h *Handover) WasUsed() bool {
	<-h.finished
	return h.used
}

// Result is the result of an attempt to move a stream.
type Result int

// Results of an attempt.
const (
	// Failed means that nothing was copied, and the run continues.
	Failed Result = iota
	// Refused means that the target has no room or cannot be reached.
	Refused
	// Ended means that the stream ended before it was stopped.
	Ended
	// Kept means that the run continues because it may end in time, or too little time is left.
	Kept
	// Stopped means that the run was stopped and continues at the target.
	Stopped
	// Returned means that the run was stopped and continues at the source.
	Returned
	// Lost means that the answer to the call that stops the run was lost, or does not state whether the
	// run has stopped.
	Lost
	// Unplaced means that there is no target.
	Unplaced
)

// String returns the label of the result in counters.
func (r Result) String() string {
	return [...]string{"failed", "refused", "ended", "kept", "stopped", "returned", "lost", "unplaced"}[r]
}

// Move is one attempt to move a stream.
type Move struct {
	Calls    Calls
	Handover *Handover
	Source   Source
	RunID    string
	// Target is the address of the endpoint that takes the run.
	Target string
	// Left returns the time until the source stops.
	Left func() time.Duration
	// CanReach reports, after the first copy, whether this host can send the target a request.
	CanReach func(ctx context.Context) bool
	// MayStop reports, after the first copy, whether the run is still to be stopped. took is the
	// time that the copy took.
	MayStop func(took time.Duration) bool
	Clock   func() time.Time
	// FreeFailed is called if a copy that is not needed could not be freed; it expires then.
	FreeFailed func(error)
}

const (
	// maxStopTime bounds the call that stops a run, during which the caller gets no events.
	maxStopTime = time.Second
	// freeTimeout bounds the call that frees a copy.
	freeTimeout = time.Second
)

// Run copies the run's memory while the run continues, and then stops the run. A copy that is not needed
// is freed.
func (m Move) Run(ctx context.Context) Result {
	startedAt := m.Clock()
	copyCtx, cancel := context.WithTimeout(ctx, m.Left())
	first := m.Calls.Copy(copyCtx, m.request(false))
	cancel()
	if first.Result != Copied {
		if first.Result == NoRoom {
			return Refused
		}
		return Failed
	}
	if !m.CanReach(ctx) {
		m.free(ctx, first.Handle)
		return Refused
	}
	if !m.MayStop(m.Clock().Sub(startedAt)) {
		m.free(ctx, first.Handle)
		return Kept
	}
	if !m.Handover.BeginStop() {
		m.free(ctx, first.Handle)
		return Ended
	}
	stopCtx, cancel := context.WithTimeout(ctx, min(m.Left(), maxStopTime))
	last := m.Calls.Copy(stopCtx, m.request(true))
	cancel()
	return m.settle(ctx, first.Handle, last)
}

func (m Move) request(stop bool) CopyRequest {
	return CopyRequest{Source: m.Source, RunID: m.RunID, Target: m.Target, Stop: stop}
}

// settle records the answer to the call that stops the run. firstHandle names the copy that was made
// before; an answer names the same or a later one.
func (m Move) settle(ctx context.Context, firstHandle string, last CopyAnswer) Result {
	handle := last.Handle
	if handle == "" {
		handle = firstHandle
	}
	var result Result
	place := Nowhere
	switch last.Result {
	case Copied:
		place, result = AtTarget, Stopped
	case NoRoom:
		place, result = AtSource, Returned
		if last.Handle == "" {
			// The answer of an endpoint that stopped the run names the handle. Others refuse the call.
			place, result = Uncertain, Lost
		}
	case Unknown:
		place, result = Uncertain, Lost
	case NoRun:
		result = Ended
	default:
		// Busy and NotSent: the run continues.
		result = Failed
	}
	m.Handover.Settle(Continuation{place, handle})
	if place == Nowhere {
		m.free(ctx, handle)
		return result
	}
	go func() {
		if !m.Handover.WasUsed() {
			m.free(ctx, handle)
		}
	}()
	return result
}

// free frees a copy, if there is one. It waits for the answer: the next copy of the run may have the
// same handle, and would be freed by a call that takes effect late.
func (m Move) free(ctx context.Context, handle string) {
	if handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), freeTimeout)
	defer cancel()
	if err := m.Calls.Free(ctx, m.Source, handle); err != nil {
		m.FreeFailed(err)
	}
}
