package table

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ironhollow/pkg/pause"
)

// Writer makes commits whose unknown outcomes are resolved by reading back.
type Writer struct {
	store Store
	// incarnation is unique to this start of the process.
	incarnation string
	sequence    atomic.Int64
}

// NewWriter returns a writer; incarnation must be unique to this process start.
func NewWriter(store Store, incarnation string) *Writer {
	return &Writer{store: store, incarnation: incarnation}
}

// Store returns the store the writer writes to.
func (w *Writer) Store() Store { return w.store }

// Incarnation returns the writer's name in tokens.
func (w *Writer) Incarnation() string { return w.incarnation }

// errOverwritten marks a commit whose first row another writer has since
// changed, so that its fate can't be read back.
var errOverwritten = errors.New("row was overwritten before the outcome was known")

// Commit commits the writes. After an unknown outcome it reads the first row
// that was to be written and decides, resending while the row is unchanged,
// until ctx ends. Resending is safe because every write is conditional; a
// commit with an Always condition must be harmless when repeated.
//
// Refused after an unknown outcome is returned only where it is certain: the
// row is at a version other than the one asked for, so that no copy of this
// commit still under way can take effect, and it does not bear our token. For
// rows that others may overwrite after us that is not certain, and the
// outcome stays Unknown.
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

// resolve decides an unknown outcome by reading, resending if still possible.
func (w *Writer) resolve(ctx context.Context, c Commit) Outcome {
	first := firstWritten(c.Writes)
	row, ok, err := w.store.Get(ctx, first.Key)
	if err != nil {
		return Unknown{err}
	}
	if ok && row.Token == c.Token {
		return Committed{row.Version}
	}
	if !stillPossible(first.If, row, ok) {
		return afterOverwrite(first, row, ok)
	}
	return w.resend(ctx, c, first)
}

// resend sends the commit once more. A conflict now may come of an earlier copy
// that took effect in between, even one that was overwritten since.
func (w *Writer) resend(ctx context.Context, c Commit, first Write) Outcome {
	outcome := w.store.Commit(ctx, c)
	refused, ok := outcome.(Refused)
	if !ok {
		return outcome
	}
	if len(refused.Conflicts) == 0 {
		// This copy was turned away, but an earlier one may still be under way.
		return Unknown{refused.Err}
	}
	for _, row := range refused.Conflicts {
		if row.Token == c.Token {
			return Committed{row.Version}
		}
		if row.Key == first.Key {
			return afterOverwrite(first, row, row.Version != 0)
		}
	}
	// The first row is as it was, so no copy took effect, and the other rows'
	// versions never come back.
	return refused
}

// afterOverwrite judges a row that moved on under another writer's token. An
// Absent row that another created first was never ours: rows made under that
// condition are not deleted by anyone while their maker waits. A versioned row
// may have been ours in between.
func afterOverwrite(first Write, row Row, exists bool) Outcome {
	_, wasInsert := first.If.(Absent)
	if wasInsert && exists {
		return Refused{Conflicts: []Row{row}}
	}
	return Unknown{errOverwritten}
}

func firstWritten(writes []Write) Write {
	for _, write := range writes {
		if !write.CheckOnly && !write.Delete {
			return write
		}
	}
	return writes[0]
}

func stillPossible(c Condition, row Row, exists bool) bool {
	switch c := c.(type) {
	case Absent:
		return !exists
	case AtVersion:
		return exists && row.Version == c.Version
	default:
		return true
	}
}

// Delays between attempts to resolve an unknown outcome.
const (
	firstPause = 50 * time.Millisecond
	mostPause  = 2 * time.Second
)

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstPause
	b.MaxInterval = mostPause
	b.RandomizationFactor = 0.5
	return b
}
