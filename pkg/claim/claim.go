// Package claim runs calls that may not be repeated: at most once for a key,
// over all entries and their deaths. A claim on the key is committed to the
// table service before the call is sent; whoever finds a claim never sends.
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

// Key names one call: who makes it, to what, under which key of the caller.
type Key struct {
	Team, Service, Key string
}

// row returns the table key. The caller's key is hashed: it may hold anything.
func (k Key) row() string {
	sum := sha256.Sum256([]byte(k.Key))
	return "claim/" + k.Team + "/" + k.Service + "/" + hex.EncodeToString(sum[:16])
}

// Response is what a call got, kept for repeats.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Outcome is how a call ended.
type Outcome interface{ end() }

// Ran says that the call ran and gave an answer.
type Ran struct {
	Response Response
	// Replayed says that it ran at an earlier request with the same key.
	Replayed bool
}

// NotRun says that the call did not run for this request and never will.
type NotRun struct{ Err error }

// Unknown says that the call may have run, once at most.
type Unknown struct{ Err error }

// InProgress says that a call with the key is under way.
type InProgress struct{}

// KeyReused says that the key was used for a different call.
type KeyReused struct{}

func (Ran) end()        {}
func (NotRun) end()     {}
func (Unknown) end()    {}
func (InProgress) end() {}
func (KeyReused) end()  {}

// SendFunc sends the call once. It returns ErrNotSent (joined to a reason) only
// where the call can't have run and won't.
type SendFunc func(ctx context.Context) (Response, error)

// ErrNotSent is what Send returns where the call provably did not run.
var ErrNotSent = errors.New("claim: not sent")

// states of a row.
const (
	stateClaimed = "claimed"
	stateDone    = "done"
	stateNotRun  = "not-run"
	stateUnknown = "unknown"
)

// record is a row's JSON.
type record struct {
	State string `json:"state"`
	// Request is a hash of the call, to tell a repeat from a reused key.
	Request string `json:"request"`
	// Until is when the claim's owner has ended for certain, in Unix
	// milliseconds; a claim found after that is of an owner that died.
	Until       int64  `json:"until"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Parameters of a claim.
const (
	// claimTime bounds the wait for the store before a call counts as not run.
	claimTime = 1500 * time.Millisecond
	// recordTime bounds the wait for the store after a call has ended, while
	// the caller waits for its answer.
	recordTime = 300 * time.Millisecond
	// lateRecordTime is how long the record is tried for afterwards.
	lateRecordTime = 2 * time.Minute
	// ownerGrace is added to a claim's deadline for clocks that differ.
	ownerGrace = 5 * time.Second
)

// Claims runs calls under claims.
type Claims struct {
	writer *table.Writer
	// records are those being written.
	records sync.WaitGroup
}

// New returns claims kept in the writer's store.
func New(writer *table.Writer) *Claims { return &Claims{writer: writer} }

// Run runs a call at most once for its key. request identifies the call's
// method, path and body; deadline is when the call is given up.
func (c *Claims) Run(ctx context.Context, key Key, request string, deadline time.Time, send SendFunc) Outcome {
	claimed := record{State: stateClaimed, Request: request, Until: deadline.Add(ownerGrace).UnixMilli()}
	version, end := c.acquire(ctx, key, claimed)
	if end != nil {
		return end
	}
	if err := ctx.Err(); err != nil {
		// The claim stands and nothing was sent. Left as it is, it reads as
		// "unknown" later, which is safe; saying so now is better.
		c.record(key, version, record{State: stateNotRun, Request: request})
		return NotRun{err}
	}
	answer, err := send(ctx)
	switch {
	case err == nil:
		c.record(key, version, record{
			State: stateDone, Request: request, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body,
		})
		return Ran{Response: answer}
	case errors.Is(err, ErrNotSent):
		c.record(key, version, record{State: stateNotRun, Request: request})
		return NotRun{err}
	}
	c.record(key, version, record{State: stateUnknown, Request: request})
	return Unknown{err}
}

// acquire commits the claim. A nil End means that it is ours.
func (c *Claims) acquire(ctx context.Context, key Key, claimed record) (int64, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	var condition table.Condition = table.Absent{}
	for {
		outcome := c.writer.Commit(ctx, table.Write{Key: key.row(), Value: encode(claimed), If: condition})
		switch outcome := outcome.(type) {
		case table.Done:
			return outcome.Version, nil
		case table.Unknown:
			return 0, NotRun{fmt.Errorf("claim: store: %w", outcome.Err)}
		case table.Refused:
			if len(outcome.Conflicts) == 0 {
				return 0, NotRun{fmt.Errorf("claim: store: %w", outcome.Err)}
			}
			held := outcome.Conflicts[0]
			end := c.found(ctx, key, held, claimed)
			if end != nil {
				return 0, end
			}
			// The call did not run the last time: claim it anew.
			condition = table.AtVersion{Version: held.Version}
		}
	}
}

// found says what a claim that stands already means; nil for one that did not
// run and may be claimed anew.
func (c *Claims) found(ctx context.Context, key Key, row table.Row, claimed record) Outcome {
	var held record
	if err := json.Unmarshal(row.Value, &held); err != nil {
		return Unknown{fmt.Errorf("claim: unreadable: %w", err)}
	}
	if held.Request != claimed.Request {
		return KeyReused{}
	}
	switch held.State {
	case stateNotRun:
		return nil
	case stateDone:
		return Ran{Response: Response{held.Status, held.ContentType, held.Body}, Replayed: true}
	case stateClaimed:
		if time.Now().UnixMilli() < held.Until {
			return InProgress{}
		}
		return c.settle(ctx, key, row, held)
	}
	return Unknown{errors.New("claim: its end was not known")}
}

// settle ends the claim of an owner that died. Whether it had sent the call
// can't be known, so the end is unknown, and written down as such.
func (c *Claims) settle(ctx context.Context, key Key, row table.Row, held record) Outcome {
	held.State = stateUnknown
	c.writer.Commit(ctx, table.Write{Key: key.row(), Value: encode(held), If: table.AtVersion{Version: row.Version}})
	return Unknown{errors.New("claim: its owner was lost")}
}

// record writes how the call ended. The caller does not wait for it for long:
// what it is told is true whether or not the record stands, and a claim
// without a record reads as "unknown" later, never as "not run".
func (c *Claims) record(key Key, version int64, ended record) {
	done := make(chan struct{})
	c.records.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), lateRecordTime)
		defer cancel()
		c.writer.Commit(ctx, table.Write{Key: key.row(), Value: encode(ended), If: table.AtVersion{Version: version}})
	})
	timer := time.NewTimer(recordTime)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// Wait returns once every record is written or given up, for a planned stop.
func (c *Claims) Wait() { c.records.Wait() }

func encode(r record) []byte {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic(err) // Plain strings, numbers and bytes.
	}
	return encoded
}
