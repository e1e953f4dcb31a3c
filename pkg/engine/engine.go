// Package engine is the edge to the model engines: streams of tokens that can
// be resumed and cancelled, KV cache that can be moved, load reports that lag
// and fenced orders.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"ironhollow/pkg/endpoint"
)

// Prompt is what an engine is asked to answer. It does not change over the
// attempts of a request.
type Prompt struct {
	// RequestID is unique over the fleet.
	RequestID string
	// Model and Adapter name what must be loaded.
	Model, Version, Adapter string
	// Messages is the caller's JSON array, passed on byte for byte.
	Messages json.RawMessage
	// Options holds the caller's other members that the engine understands.
	Options json.RawMessage
	// MaxTokens bounds the whole answer, over all attempts.
	MaxTokens int
	// Seed makes the answer the same on each attempt where the engine can.
	Seed     int64
	Priority int
	// Deadline is when the answer is of no more use.
	Deadline time.Time
}

// Attempt is one try of a prompt at one endpoint.
type Attempt struct {
	Prompt Prompt
	// Number counts the attempts of a request from 1.
	Number int
	// Continue holds the tokens already had, in order; the engine goes on
	// after them.
	Continue []string
}

// Frame is one piece of an answer.
type Frame struct {
	// Attempt is the attempt's number the frame belongs to.
	Attempt int
	// Offset is the number of tokens of the whole answer before this frame.
	Offset int
	// Text is one token's text, empty in the last frame.
	Text string
	// FinishReason is the reason the answer ended, empty before.
	FinishReason string
	Usage        Usage
}

// Usage is the engine's account, in the last frame only.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	// CachedTokens is how many of the prompt's and continued tokens the engine
	// did not compute anew.
	CachedTokens int
}

// Stream yields frames in the order they arrive.
type Stream interface {
	// Next returns the next frame; io.EOF after the last, any other error where
	// the stream broke.
	Next() (Frame, error)
	// Buffered reports whether Next will not wait for the engine.
	Buffered() bool
	// Report returns the load report that came with the stream, if one did.
	Report() (Report, bool)
	// Notice returns what the engine said of itself beside its load.
	Notice() endpoint.Notice
	// Close lets go of the stream; the engine keeps it for a while.
	Close()
}

// Report is what an engine says of itself, late.
type Report struct {
	// Sequence grows with each report of an incarnation.
	Sequence    int64
	Incarnation int64
	// Model, Version and Adapter are what is loaded.
	Model, Version, Adapter string
	// Running and Waiting count requests; Slots bounds Running.
	Running, Waiting, Slots int
	// QueuedTokens is prompt tokens waiting for prefill.
	QueuedTokens int
	// QueuedAt is when that was so, zero for the time of the report.
	QueuedAt time.Time
	// FreeTokens is KV memory left, in tokens.
	FreeTokens int
	// Leaving is the endpoint's own word that it takes no new work.
	Leaving bool
	// Counter grows with each change of Model, Version or Adapter.
	Counter int64
	// Epoch is the highest epoch of an order the engine has seen.
	Epoch int64
}

// Order tells an engine what to serve.
type Order struct {
	// Epoch is that of the lease under which the order is given.
	Epoch                   int64
	Model, Version, Adapter string
}

// Errors of an engine.
var (
	// ErrRefused says that the engine turned the request away unrun.
	ErrRefused = errors.New("engine: turned away")
	// ErrStaleEpoch says that an order's epoch is behind one the engine has seen.
	ErrStaleEpoch = errors.New("engine: order of an old epoch")
	// ErrNoStream says that the engine does not know the stream.
	ErrNoStream = errors.New("engine: no such stream")
	// ErrBadRequest says that the engine can't ever serve the request.
	ErrBadRequest = errors.New("engine: bad request")
)

// Refusal is an ErrRefused with what the engine says of itself.
type Refusal struct {
	Reason string
	Notice endpoint.Notice
}

// Error gives the engine's reason.
func (r *Refusal) Error() string { return ErrRefused.Error() + ": " + r.Reason }

// Unwrap makes every refusal an ErrRefused.
func (r *Refusal) Unwrap() error { return ErrRefused }

// API is all that is asked of engines; address is an IP number and port.
type API interface {
	Generate(ctx context.Context, address string, attempt Attempt) (Stream, error)
	Attach(ctx context.Context, address, request string, offset int) (Stream, error)
	Cancel(ctx context.Context, address, request string) error
	Import(ctx context.Context, address, request, source string) (tokens int, err error)
	Load(ctx context.Context, address string) (Report, error)
	Order(ctx context.Context, address string, order Order) error
}
