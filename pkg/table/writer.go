package table

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ironhollow/pkg/pause"
)

// Writer commits writes and resolves unknown outcomes by reading back the rows.
type Writer struct {
	store Store
	// incarnation is unique to this run of the process.
	incarnation string
	sequence    atomic.Int64
}

// NewWriter returns a writer. The incarnation must be unique to this run of the process.
func NewWriter(store Store, incarnation string) *Writer {
	return &Writer{store: store, incarnation: incarnation}
}

// Store returns the store that the writer commits to.
func (w *Writer) Store() Store { return w.store }

// Incarnation returns the value that identifies the writer in its tokens.
func (w *Writer) Incarnation() string { return w.incarnation }

// errOverwritten is the error of a commit whose outcome cannot be determined by
// reading, because another writer has since changed its first row.
var errOverwritten = errors.New("row was overwritten before the outcome was known")

// Commit commits the writes. While the outcome is unknown, it reads the first row
// that the commit writes to determine the outcome, and sends the commit again if
// that row is unchanged, until ctx ends. Sending it again is safe because every
// write is conditional; a write with an Always condition must be idempotent.
//
// After an unknown outcome Commit returns Refused only if that is certain: the
// row no longer meets the condition, so that no copy of this commit in transit can
// still take effect, and the row does not have this commit's token. This is not
// certain for rows that other writers may overwrite after this commit; then
// the outcome stays Unknown.
func (w *Writer) Commit(ctx context.Context, writes ...Write) Outcome {
	c := Commit{Token: Token{w.incarnation, w.sequence.Add(1)}, Writes: writes}
	outcome := w.store.Commit(ctx, c)
	delays := newBackoff()
	for {
		unknown, ok := outcome.(Unknown)
		if !ok {
			return outcome
		}
		if !pause.For(ctx, delays.NextBackOff()) {
			return unknown
		}
		outcome = w.resolve(ctx, c)
	}
}

// resolve determines an unknown outcome by reading the first written row, and
// sends the commit again if that row still meets its condition.
func (w *Writer) resolve(ctx context.Context, c Commit) Outcome {
	first := firstUpsert(c.Writes)
	row, ok, err := w.store.Get(ctx, first.Key)
	if err != nil {
		return Unknown{err}
	}
	if ok && row.Token == c.Token {
		return Committed{row.Version}
	}
	if !conditionHolds(first.If, row, ok) {
		return outcomeAfterOverwrite(first, row, ok)
	}
	return w.resend(ctx, c, first)
}

// resend sends the commit once more. A conflict may then be caused by an earlier
// copy that took effect in the meantime, even if it has been overwritten since.
func (w *Writer) resend(ctx context.Context, c Commit, first Write) Outcome {
	outcome := w.store.Commit(ctx, c)
	refused, ok := outcome.(Refused)
	if !ok {
		return outcome
	}
	if len(refused.Conflicts) == 0 {
		// This copy was refused, but an earlier one may still be in transit.
		return Unknown{refused.Err}
	}
	for _, row := range refused.Conflicts {
		if row.Token == c.Token {
			return Committed{row.Version}
		}
		if row.Key == first.Key {
			return outcomeAfterOverwrite(first, row, row.Version != 0)
		}
	}
	// The first row is unchanged, so no copy took effect. None will, because
	// versions are not reused and the conflicting rows cannot return to the
	// versions that the commit requires.
	return refused
}

// outcomeAfterOverwrite returns the outcome for a row that another writer has
// changed. If the condition was Absent and the row exists, the other writer
// created it first and this commit never took effect, because no one deletes a row
// created under that condition while its creator waits for the outcome. With a
// version condition, this commit may have taken effect before the row was
// overwritten.
func outcomeAfterOverwrite(first Write, row Row, exists bool) Outcome {
	_, wasInsert := first.If.(Absent)
	if wasInsert && exists {
		return Refused{Conflicts: []Row{row}}
	}
	return Unknown{errOverwritten}
}

func firstUpsert(writes []Write) Write {
	for _, write := range writes {
		if !write.CheckOnly && !write.Delete {
			return write
		}
	}
	return writes[0]
}

func conditionHolds(c Condition, row Row, exists bool) bool {
	switch c := c.(type) {
	case Absent:
		return !exists
	case AtVersion:
		return exists && row.Version == c.Version
	default:
		return true
	}
}

// Bounds of the backoff between attempts to resolve an unknown outcome.
const (
	initialResolveDelay = 50 * time.Millisecond
	maxResolveDelay     = 2 * time.Second
)

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialResolveDelay
	b.MaxInterval = maxResolveDelay
	b.RandomizationFactor = 0.5
	return b
}
