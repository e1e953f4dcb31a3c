package quarantine

import (
	"slices"
	"time"
)

// Unsaved returns the quarantined requests with a crash that this process saw, unless the
// store holds them as they are now.
func (q *Quarantine) Unsaved(now time.Time) []Case {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Case
	for _, e := range q.cases {
		if _, quarantined := e.quarantined(now); quarantined && e.local && !e.saved {
			list = append(list, e.Case)
		}
	}
	return list
}

// MarkSaved records that the store holds a case, as returned by Unsaved or read from it.
func (q *Quarantine) MarkSaved(c Case) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.cases[c.Fingerprint]
	if !ok {
		return
	}
	e.stored = true
	e.saved = slices.Equal(e.Crashes, c.Crashes)
}

// StaleRows returns the requests that the store holds, as far as this process knows, and
// that have been answered completely since.
func (q *Quarantine) StaleRows() []Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Fingerprint
	for f, e := range q.cases {
		if e.stored && len(e.Crashes) < crashThreshold {
			list = append(list, f)
		}
	}
	return list
}

// MarkDeleted records that the store no longer holds a request.
func (q *Quarantine) MarkDeleted(f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e, ok := q.cases[f]; ok {
		e.stored = false
	}
}

// StoreRestored marks this process's own cases to be written again, and the rows of those
// answered completely to be deleted again: a restore of the store undoes changes made since
// the backup.
func (q *Quarantine) StoreRestored() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.cases {
		e.saved = false
		e.stored = e.stored || e.local && !e.LastSuccess.IsZero()
	}
}
