package migrate

import (
	"context"
	"time"
)

// Source is the endpoint that runs a request.
type Source struct {
	Address string
	// ConnectionLimit is the number of connections that this host may have to the endpoint; 0 for no
	// limit.
	ConnectionLimit int
}

// CopyRequest asks a source to copy the memory of a run to another endpoint.
type CopyRequest struct {
	Source Source
	// RunID is the id of the request that the source runs.
	RunID string
	// Target is the address of the other endpoint.
	Target string
	// Stop is set if the run stops before the rest is copied.
	Stop bool
	// NewConnection is set if no idle connection is used, as it may have failed like that of the run.
	NewConnection bool
	// OnConnected is called once the source has accepted the connection of the call; it may be nil.
	OnConnected func()
}

// CopyResult is the result of a CopyRequest.
type CopyResult int

// Results of a CopyRequest.
const (
	// Unknown means that no usable answer arrived: the request may have taken effect.
	Unknown CopyResult = iota
	// Copied means that the target has the run's memory as of the copy. If Stop was set, the run has
	// stopped.
	Copied
	// NoRun means that the source does not run the request.
	NoRun
	// Busy means that another call for the same run is in progress.
	Busy
	// NoRoom means that the target has no room or cannot be reached. If Stop was set and the answer
	// names a handle, the run has stopped and the source keeps its memory.
	NoRoom
	// NotSent means that the source did not receive the request.
	NotSent
)

// String returns the label of the result in counters.
func (r CopyResult) String() string {
	switch r {
	case Copied:
		return "copied"
	case NoRun:
		return "no-run"
	case Busy:
		return "busy"
	case NoRoom:
		return "no-room"
	case NotSent:
		return "not-sent"
	default:
		return "unknown"
	}
}

// CopyAnswer is the answer to a CopyRequest.
type CopyAnswer struct {
	Result CopyResult
	// Handle names the copy, and the memory of a run that has stopped; empty if not known.
	Handle string
	// Events is the number of events that the run has made.
	Events int
	// Err is the reason for Unknown and NotSent.
	Err error
}

// Run is a run that an endpoint reports.
type Run struct {
	ID string
	// Tokens is the number of tokens in memory, Events the number of events made.
	Tokens, Events int
	Priority       int
}

// Report is what an endpoint reports of itself.
type Report struct {
	// Left is the time until a leaving endpoint stops, if HasLeft.
	Left    time.Duration
	HasLeft bool
	Runs    []Run
}

// Calls are the calls to endpoints that a move needs. Each is ended by its context.
type Calls interface {
	Copy(ctx context.Context, request CopyRequest) CopyAnswer
	// Free frees a copy at both ends.
	Free(ctx context.Context, source Source, handle string) error
	Report(ctx context.Context, source Source) (Report, error)
}
