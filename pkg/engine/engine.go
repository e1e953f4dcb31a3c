// Package engine is the client of the model engines. It streams tokens, resumes and cancels
// streams, moves KV cache, reads load reports, which may be outdated, and sends orders, which
// are fenced by the epoch of a lease.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"ironhollow/pkg/endpoint"
)

// Prompt is the input of a model request. It is the same for all attempts of the request.
type Prompt struct {
	// RequestID is unique across the fleet.
	RequestID string
	// Model, Version and Adapter identify what the engine must have loaded.
	Model, Version, Adapter string
	// Messages is the caller's JSON array of messages, byte for byte.
	Messages json.RawMessage
	// Options is the JSON object with the caller's other members, which are forwarded to the
	// engine.
	Options json.RawMessage
	// MaxTokens is the maximum length of the complete answer, across all attempts.
	MaxTokens int
	// Seed makes the engine generate the same answer in each attempt, if it is deterministic.
	Seed     int64
	Priority int
	// Deadline is the time after which the caller no longer needs the answer.
	Deadline time.Time
}

// Attempt is an attempt to run a prompt at one endpoint.
type Attempt struct {
	Prompt Prompt
	// Number is the number of the attempt within its request, counted from 1.
	Number int
	// Continue holds the tokens of the answer that were received already, in order. The engine
	// continues after them.
	Continue []string
}

// Frame is a part of a streamed answer.
type Frame struct {
	// Attempt is the number of the attempt that the frame belongs to.
	Attempt int
	// Offset is the number of tokens of the complete answer before this frame.
	Offset int
	// Text is the text of one token; empty in the last frame.
	Text string
	// FinishReason is the reason why the answer ended; set in the last frame only.
	FinishReason string
	Usage        Usage
}

// Usage is the number of tokens as counted by the engine; set in the last frame only.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	// CachedTokens is the number of tokens of the prompt and of Attempt.Continue that the
	// engine had in its KV cache.
	CachedTokens int
}

// Stream yields frames in the order of their arrival.
type Stream interface {
	// Next returns the next frame. The error is io.EOF after the last frame, and any other one
	// if the stream was interrupted.
	Next() (Frame, error)
	// Buffered reports whether Next returns without waiting for the engine.
	Buffered() bool
	// Report returns the load report that came with the stream, and false if there was none.
	Report() (Report, bool)
	// Notice returns the engine's notice from the response headers.
	Notice() endpoint.Notice
	// Close closes the connection. The engine keeps the stream for a while, so that it can be
	// attached again.
	Close()
}

// Report is the load report of an engine. It may be outdated.
type Report struct {
	// Sequence increases with each report of an incarnation.
	Sequence    int64
	Incarnation int64
	// Model, Version and Adapter identify what the engine has loaded.
	Model, Version, Adapter string
	// Running and Waiting are numbers of requests; Slots is the maximum of Running.
	Running, Waiting, Slots int
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens int
	// QueuedAt is the time to which QueuedTokens applies; zero for the time of the report.
	QueuedAt time.Time
	// FreeTokens is the free KV cache memory, in tokens.
	FreeTokens int
	// Leaving is set if the engine accepts no new work as it stops soon.
	Leaving bool
	// Counter increases with each change of Model, Version or Adapter.
	Counter int64
	// Epoch is the highest epoch of the orders that the engine has received.
	Epoch int64
}

// Order sets the model that an engine serves.
type Order struct {
	// Epoch is the epoch of the lease of the sender. The engine rejects orders with an epoch
	// lower than one it has received.
	Epoch                   int64
	Model, Version, Adapter string
}

// Errors of calls to engines.
var (
	// ErrRefused is returned if the engine rejected the request without running it.
	ErrRefused = errors.New("engine: turned away")
	// ErrStaleEpoch is returned if the engine has received an order with a higher epoch.
	ErrStaleEpoch = errors.New("engine: order of an old epoch")
	// ErrNoStream is returned if the engine does not have the stream.
	ErrNoStream = errors.New("engine: no such stream")
	// ErrBadRequest is returned if the engine can never serve the request.
	ErrBadRequest = errors.New("engine: bad request")
)

// Refusal is an ErrRefused with the reason and the notice of the engine.
type Refusal struct {
	Reason string
	Notice endpoint.Notice
}

// Error returns ErrRefused with the engine's reason.
func (r *Refusal) Error() string { return ErrRefused.Error() + ": " + r.Reason }

// Unwrap makes every refusal an ErrRefused.
func (r *Refusal) Unwrap() error { return ErrRefused }

// API is the interface of an engine. An address is an IP address and a port.
type API interface {
	Generate(ctx context.Context, address string, attempt Attempt) (Stream, error)
	Attach(ctx context.Context, address, requestID string, offset int) (Stream, error)
	Cancel(ctx context.Context, address, requestID string) error
	Import(ctx context.Context, address, requestID, source string) (tokens int, err error)
	Load(ctx context.Context, address string) (Report, error)
	Order(ctx context.Context, address string, order Order) error
}
