package quarantine

import (
	"slices"
	"time"
)

// Unsaved returns the quarantined cases with a crash that this process saw, unless the
// store holds them as they are now.
func (q *Quarantine) Unsaved(now time.Time) []Case {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Case
	for _, e := range q.cases {
		if _, quarantined := q.quarantined(e, now); quarantined && e.local && !e.isSaved() {
			list = append(list, e.Case)
		}
	}
	return list
}

func (e *entry) isSaved() bool {
	return slices.Equal(e.Crashes, e.savedCrashes) && e.Trials == e.savedTrials
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
	e.savedCrashes, e.savedTrials = c.Crashes, c.Trials
}

// StaleRows returns the requests that the store holds, as far as this process knows, and
// that are not quarantined any more because of a success.
func (q *Quarantine) StaleRows() []Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Fingerprint
	for f, e := range q.cases {
		if e.stored && e.crashCount() < crashThreshold {
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
		e.savedCrashes = nil
		e.stored = e.stored || e.local && !e.LastSuccess.IsZero()
	}
}
