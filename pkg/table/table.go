// Package table is the interface to the platform's transactional table service.
// The outcome of a commit is one of three types: Committed, Refused and Unknown.
// Other packages must rely on that type and not infer an outcome on their own.
package table

import "context"

// Row is a row read from the store.
type Row struct {
	// Key is never empty.
	Key   string
	Value []byte
	// Version increases with every write of the row and is never reused.
	Version int64
	// Token identifies the commit that wrote the row.
	Token Token
}

// Token identifies one commit: the incarnation of its writer and a sequence
// number that the writer never reuses.
type Token struct {
	Writer   string
	Sequence int64
}

// Condition is a precondition on a row for a write to take effect.
type Condition interface{ condition() }

// Always holds for any row, and for a missing one.
type Always struct{}

// Absent requires that the row does not exist.
type Absent struct{}

// AtVersion requires that the row exists at exactly this version.
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
	// CheckOnly checks the condition without writing the row.
	CheckOnly bool
}

// Commit is a set of writes that take effect together or not at all.
type Commit struct {
	Token  Token
	Writes []Write
}

// Outcome is the result of a commit.
type Outcome interface{ outcome() }

// Committed means that the commit took effect.
type Committed struct{ Version int64 }

// Refused means that the commit did not take effect and never will. Conflicts
// holds the rows whose conditions failed; it is empty when the commit was refused
// for another reason, given in Err.
type Refused struct {
	Conflicts []Row
	Err       error
}

// Unknown means that the commit may have taken effect or may still do so.
type Unknown struct{ Err error }

func (Committed) outcome() {}
func (Refused) outcome()   {}
func (Unknown) outcome()   {}

// Store is the table service. For a missing row, Get returns ok false and a row
// whose Version is less than that of any row written later. List returns at most
// limit rows, in key order, that have the prefix and a key greater than after.
// Errors come from the transport or from an outage of the service.
type Store interface {
	Commit(ctx context.Context, c Commit) Outcome
	Get(ctx context.Context, key string) (row Row, ok bool, err error)
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}
