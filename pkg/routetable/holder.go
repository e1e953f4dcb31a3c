package routetable

import (
	"sync/atomic"
	"time"
)

// Holder keeps the table in force. It never goes back to an older version. It
// is safe for concurrent use.
type Holder struct {
	// staleAfter is how long after the store's last word a newer version may be
	// in force unheard.
	staleAfter time.Duration
	now        func() time.Time

	table       atomic.Pointer[Table]
	confirmedAt atomic.Int64
}

// NewHolder returns a holder of nothing.
func NewHolder(staleAfter time.Duration, now func() time.Time) *Holder {
	return &Holder{staleAfter: staleAfter, now: now}
}

// MarkConfirmed notes that the store has answered about the configuration, with or without a change.
func (h *Holder) MarkConfirmed() { h.confirmedAt.Store(h.now().UnixNano()) }

// Adopt puts a version in force and reports whether it is newer than the one
// before. It is called from one goroutine.
func (h *Holder) Adopt(spec Spec) bool {
	if current := h.table.Load(); current != nil && spec.Version <= current.Version() {
		return false
	}
	h.table.Store(New(spec))
	return true
}

// Current returns the table in force, nil while none is known. fresh is false while the store
// may have a newer one.
func (h *Holder) Current() (table *Table, fresh bool) {
	heard := time.Unix(0, h.confirmedAt.Load())
	return h.table.Load(), h.now().Sub(heard) < h.staleAfter
}
