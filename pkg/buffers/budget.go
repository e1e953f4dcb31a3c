// Package buffers bounds the memory that requests hold in buffers, over all requests of a process.
package buffers

import "sync/atomic"

// Budget is a number of bytes that the holders of buffers share. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Take takes bytes from the budget. It returns false, and takes none, if fewer are left.
func (b *Budget) Take(bytes int64) bool {
	if b.used.Add(bytes) <= b.limit {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// Return returns bytes that were taken.
func (b *Budget) Return(bytes int64) { b.used.Add(-bytes) }

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }
