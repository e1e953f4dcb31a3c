package quarantine

import (
	"slices"
	"time"
)

// Unsaved returns the requests held back of which this process has seen an end and that
// are not in the store as they are.
func (q *Quarantine) Unsaved(now time.Time) []Case {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Case
	for _, e := range q.cases {
		if _, held := e.held(now); held && e.own && !e.kept {
			list = append(list, e.Case)
		}
	}
	return list
}

// MarkSaved notes that a case is in the store as it was handed out, or read there.
func (q *Quarantine) MarkSaved(c Case) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.cases[c.Fingerprint]
	if !ok {
		return
	}
	e.inStore = true
	e.kept = slices.Equal(e.Crashes, c.Crashes)
}

// StaleRows returns the requests that are in the store, as this process knows, and have
// been answered whole since.
func (q *Quarantine) StaleRows() []Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Fingerprint
	for f, e := range q.cases {
		if e.inStore && len(e.Crashes) < heldAfter {
			list = append(list, f)
		}
	}
	return list
}

// MarkDeleted notes that a request is no more in the store.
func (q *Quarantine) MarkDeleted(f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e, ok := q.cases[f]; ok {
		e.inStore = false
	}
}

// StoreRestored marks this process's own cases to be written again, and the rows of those
// answered whole to be removed again: a restore of the store undoes changes made since the
// backup.
func (q *Quarantine) StoreRestored() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.cases {
		e.kept = false
		e.inStore = e.inStore || e.own && !e.LastSuccess.IsZero()
	}
}
