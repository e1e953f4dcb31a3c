package migrate

import (
	"context"
	"errors"
	"syscall"
	"time"

	"ironhollow/pkg/pause"
)

// RunState is what is known of a run whose connection has ended.
type RunState int

// The states of such a run.
const (
	// MayContinue means that the endpoint did not say that the run has ended.
	MayContinue RunState = iota
	// HasEnded means that the endpoint does not run the request.
	HasEnded
	// WasCopied means that the run was stopped and that the target has its memory.
	WasCopied
	// WasStopped means that the run was stopped and that only its endpoint has its memory.
	WasStopped
	// IsGone means that no process accepts connections at the endpoint's address.
	IsGone
)

// String returns the label of the state in counters.
func (s RunState) String() string {
	return [...]string{"may-continue", "ended", "copied", "stopped", "gone"}[s]
}

// stopPauses are the pauses before each repetition of the call that stops a run. The call may be lost with its
// connection, or be rejected while another call for the run is in progress.
var stopPauses = []time.Duration{10 * time.Millisecond, 40 * time.Millisecond, 160 * time.Millisecond}

// Stop stops a run whose connection has ended, so that it may continue elsewhere. The endpoint drops most
// such runs by itself. handle names the run's memory if the run was stopped.
func Stop(ctx context.Context, calls Calls, request CopyRequest) (state RunState, handle string) {
	request.Stop, request.NewConnection = true, true
	// Idle connections may use up the limit, although the run's own connection is closed.
	request.Source.ConnectionLimit = 0
	for try := 0; ; try++ {
		answer := calls.Copy(ctx, request)
		switch {
		case answer.Result == Copied:
			return WasCopied, answer.Handle
		case answer.Result == NoRoom && answer.Handle != "":
			return WasStopped, answer.Handle
		case answer.Result == NoRun:
			return HasEnded, ""
		case answer.Result == NotSent && errors.Is(answer.Err, syscall.ECONNREFUSED):
			return IsGone, ""
		}
		if try == len(stopPauses) || !pause.For(ctx, stopPauses[try]) {
			return MayContinue, ""
		}
	}
}
