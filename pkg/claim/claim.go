// Package claim runs calls that must not be repeated: at most once per key, across all
// entry processes and their failures. A claim on the key is committed to the table
// service before the call is sent, and a process that finds a claim does not send,
// unless the claim records that its call did not run.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"ironhollow/pkg/table"
)

// Key identifies a call by its team, its service and the caller's idempotency key.
type Key struct {
	Team, Service, Key string
}

// rowKey returns the key in the table. The caller's key is hashed, as it may contain any bytes.
func (k Key) rowKey() string {
	sum := sha256.Sum256([]byte(k.Key))
	return "claim/" + k.Team + "/" + k.Service + "/" + hex.EncodeToString(sum[:16])
}

// Response is the response to a call, stored for repeats of the call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// EndUnmarked is set if the endpoint did not mark the end of the body, which may be truncated.
	EndUnmarked bool
}

// Outcome is the outcome of a call.
type Outcome interface{ isOutcome() }

// Ran means that the call ran and returned a response.
type Ran struct {
	Response Response
	// Replayed is set if the call ran for an earlier request with the same key.
	Replayed bool
}

// NotRun means that the call did not run for this request and never will.
type NotRun struct{ Err error }

// Unknown means that the call may have run, at most once.
type Unknown struct{ Err error }

// InProgress means that a call with the key is in progress.
type InProgress struct{}

// KeyReused means that the key was used before for a different call.
type KeyReused struct{}

func (Ran) isOutcome()        {}
func (NotRun) isOutcome()     {}
func (Unknown) isOutcome()    {}
func (InProgress) isOutcome() {}
func (KeyReused) isOutcome()  {}

// SendFunc sends the call once. It returns ErrNotSent, joined with the cause, only if the
// call has not run and never will.
type SendFunc func(ctx context.Context) (Response, error)

// ErrNotSent is returned by a SendFunc if the call certainly did not run.
var ErrNotSent = errors.New("claim: not sent")

// The states of a row.
const (
	stateClaimed = "claimed"
	stateDone    = "done"
	// stateDoneUnmarked is stateDone for a response whose end was not marked. Processes of versions
	// without this state report the outcome as unknown and do not replay the response as complete.
	stateDoneUnmarked = "done-unmarked"
	stateNotRun       = "not-run"
	stateUnknown      = "unknown"
)

// claimRow is the JSON value of a row.
type claimRow struct {
	State string `json:"state"`
	// Request is a hash of the call, which distinguishes a repeat from a reused key.
	Request string `json:"request"`
	// OwnerDeadline is when the owner's call has ended at the latest, in Unix milliseconds. A
	// row still in stateClaimed after that belongs to an owner that failed.
	OwnerDeadline int64  `json:"until"`
	Status        int    `json:"status,omitempty"`
	ContentType   string `json:"content_type,omitempty"`
	Body          []byte `json:"body,omitempty"`
}

// Timeouts of a claim.
const (
	// claimTimeout limits the commit of a claim. After it the call counts as not run.
	claimTimeout = 1500 * time.Millisecond
	// recordWait limits how long the recording of the outcome delays the response.
	recordWait = 300 * time.Millisecond
	// recordTimeout limits the recording of an outcome, which continues after the response.
	recordTimeout = 2 * time.Minute
	// clockSkewMargin is added to a call's deadline, as the clocks of two hosts may differ.
	clockSkewMargin = 5 * time.Second
)

// Claims runs calls at most once per key.
type Claims struct {
	writer *table.Writer
	// pendingRecords counts the outcomes being written.
	pendingRecords sync.WaitGroup
}

// New returns claims that are kept in the writer's store.
func New(writer *table.Writer) *Claims { return &Claims{writer: writer} }

// Run runs a call at most once for its key. request is a hash of the call's method, path
// and body; deadline is when the call is abandoned.
func (c *Claims) Run(ctx context.Context, key Key, request string, deadline time.Time, send SendFunc) Outcome {
	claimed := claimRow{State: stateClaimed, Request: request, OwnerDeadline: deadline.Add(clockSkewMargin).UnixMilli()}
	version, outcome := c.acquire(ctx, key, claimed)
	if outcome != nil {
		return outcome
	}
	if err := ctx.Err(); err != nil {
		// The claim is committed and nothing was sent. Without a recorded outcome it would
		// later be read as unknown, which is safe, but "not run" lets the call be repeated.
		c.record(key, version, claimRow{State: stateNotRun, Request: request})
		return NotRun{err}
	}
	response, err := send(ctx)
	switch {
	case err == nil:
		state := stateDone
		if response.EndUnmarked {
			state = stateDoneUnmarked
		}
		c.record(key, version, claimRow{
			State: state, Request: request, Status: response.Status, ContentType: response.ContentType, Body: response.Body,
		})
		return Ran{Response: response}
	case errors.Is(err, ErrNotSent):
		c.record(key, version, claimRow{State: stateNotRun, Request: request})
		return NotRun{err}
	}
	c.record(key, version, claimRow{State: stateUnknown, Request: request})
	return Unknown{err}
}

// acquire commits the claim and returns its version. The outcome is nil if this process
// owns the claim.
func (c *Claims) acquire(ctx context.Context, key Key, claimed claimRow) (int64, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var condition table.Condition = table.Absent{}
	for {
		outcome := c.writer.Commit(ctx, table.Write{Key: key.rowKey(), Value: encode(claimed), If: condition})
		switch outcome := outcome.(type) {
		case table.Committed:
			return outcome.Version, nil
		case table.Unknown:
			return 0, NotRun{fmt.Errorf("claim: store: %w", outcome.Err)}
		case table.Refused:
			if len(outcome.Conflicts) == 0 {
				return 0, NotRun{fmt.Errorf("claim: store: %w", outcome.Err)}
			}
			existing := outcome.Conflicts[0]
			result := c.resolveExisting(ctx, key, existing, claimed)
			if result != nil {
				return 0, result
			}
			// The earlier call did not run, so its claim is replaced.
			condition = table.AtVersion{Version: existing.Version}
		}
	}
}

// resolveExisting returns the outcome that an existing claim represents, or nil if its call
// did not run and the key may be claimed again.
func (c *Claims) resolveExisting(ctx context.Context, key Key, existing table.Row, claimed claimRow) Outcome {
	var held claimRow
	if err := json.Unmarshal(existing.Value, &held); err != nil {
		return Unknown{fmt.Errorf("claim: unreadable: %w", err)}
	}
	if held.Request != claimed.Request {
		return KeyReused{}
	}
	switch held.State {
	case stateNotRun:
		return nil
	case stateDone, stateDoneUnmarked:
		response := Response{Status: held.Status, ContentType: held.ContentType, Body: held.Body, EndUnmarked: held.State == stateDoneUnmarked}
		return Ran{Response: response, Replayed: true}
	case stateClaimed:
		if time.Now().UnixMilli() < held.OwnerDeadline {
			return InProgress{}
		}
		return c.markUnknown(ctx, key, existing, held)
	}
	return Unknown{errors.New("claim: its end was not known")}
}

// markUnknown records the outcome of a claim whose owner failed as unknown, because the owner
// may or may not have sent the call.
func (c *Claims) markUnknown(ctx context.Context, key Key, existing table.Row, held claimRow) Outcome {
	held.State = stateUnknown
	c.writer.Commit(ctx, table.Write{Key: key.rowKey(), Value: encode(held), If: table.AtVersion{Version: existing.Version}})
	return Unknown{errors.New("claim: its owner was lost")}
}

// record writes the outcome of a call and waits for the write for recordWait at most. The
// outcome returned to the caller is correct even if the write fails: a claim without a
// recorded outcome is later read as unknown, never as not run.
func (c *Claims) record(key Key, version int64, final claimRow) {
	done := make(chan struct{})
	c.pendingRecords.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		c.writer.Commit(ctx, table.Write{Key: key.rowKey(), Value: encode(final), If: table.AtVersion{Version: version}})
	})
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// Wait returns once every outcome has been written or its write has timed out, for a planned
// stop.
func (c *Claims) Wait() { c.pendingRecords.Wait() }

func encode(r claimRow) []byte {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic(err) // Cannot fail: the row has only strings, numbers and bytes.
	}
	return encoded
}
