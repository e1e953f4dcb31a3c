package routetable

import (
	"sync/atomic"
	"time"
)

// Holder holds the route table in force and never replaces it with an older version. It is safe for
// concurrent use.
type Holder struct {
	// staleAfter is the time since the store's last answer after which the store may have a newer
	// version that has not been received.
	staleAfter time.Duration
	now        func() time.Time

	table       atomic.Pointer[Table]
	confirmedAt atomic.Int64
}

// NewHolder returns a holder without a table.
func NewHolder(staleAfter time.Duration, now func() time.Time) *Holder {
	return &Holder{staleAfter: staleAfter, now: now}
}

// Unconfirmed returns the time since the store last answered about the configuration, 0 if it never
// did.
func (h *Holder) Unconfirmed() time.Duration {
	confirmedAt := h.confirmedAt.Load()
	if confirmedAt == 0 {
		return 0
	}
	return h.now().Sub(time.Unix(0, confirmedAt))
}

// MarkConfirmed records that the store has just answered about the configuration, with or without a
// change.
func (h *Holder) MarkConfirmed() { h.confirmedAt.Store(h.now().UnixNano()) }

// Adopt puts a configuration version in force if it is newer than the current one, and reports
// whether it did. It must be called from one goroutine only.
func (h *Holder) Adopt(spec Spec) bool {
	if current := h.table.Load(); current != nil && spec.Version <= current.Version() {
		return false
	}
	h.table.Store(New(spec))
	return true
}

// Current returns the table in force, or nil if there is none yet. fresh is false while the store
// may have a newer version.
func (h *Holder) Current() (table *Table, fresh bool) {
	confirmedAt := time.Unix(0, h.confirmedAt.Load())
	return h.table.Load(), h.now().Sub(confirmedAt) < h.staleAfter
}
