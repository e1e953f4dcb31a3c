// Package table is the edge to the platform's transactional table service.
// A commit ends in one of three ways that are three types: Done, Refused and
// Unknown. Nothing else in ironhollow may guess which of them it was.
package table

import "context"

// Row is one row as read.
type Row struct {
	// Key is never empty.
	Key   string
	Value []byte
	// Version grows with every write of the row and is never reused.
	Version int64
	// Token names the commit that wrote the row.
	Token Token
}

// Token identifies one commit: the incarnation of its writer and a sequence
// that the writer never reuses.
type Token struct {
	Writer   string
	Sequence int64
}

// Condition is what must hold of a row for a write to take effect.
type Condition interface{ condition() }

// Always puts no condition on the row.
type Always struct{}

// Absent asks that the row does not exist.
type Absent struct{}

// AtVersion asks that the row exists at exactly this version.
type AtVersion struct{ Version int64 }

func (Always) condition()    {}
func (Absent) condition()    {}
func (AtVersion) condition() {}

// Write is one conditional write of a commit.
type Write struct {
	Key   string
	Value []byte
	If    Condition
	// Delete removes the row; Value is then ignored.
	Delete bool
	// CheckOnly tests the condition and writes nothing.
	CheckOnly bool
}

// Commit is a set of writes that take effect together or not at all.
type Commit struct {
	Token  Token
	Writes []Write
}

// Outcome is the end of a commit.
type Outcome interface{ outcome() }

// Committed says that the commit took effect.
type Committed struct{ Version int64 }

// Refused says that the commit did not take effect and never will. Conflicts
// is empty when the service turned it away for another reason, given in Err.
type Refused struct {
	Conflicts []Row
	Err       error
}

// Unknown says that the commit may have taken effect, or may yet.
type Unknown struct{ Err error }

func (Committed) outcome() {}
func (Refused) outcome()   {}
func (Unknown) outcome()   {}

// Store is the table service. For a missing row, Get returns ok false and a Version
// less than that of any row written later. List
// returns rows with the prefix and a key greater than after, in key order, at
// most limit of them. Errors are those of the transport or an outage.
type Store interface {
	Commit(ctx context.Context, c Commit) Outcome
	Get(ctx context.Context, key string) (row Row, ok bool, err error)
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}
