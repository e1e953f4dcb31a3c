package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is why a request is rejected.
type Verdict struct {
	// Case is the quarantined case that the request is rejected for. Part is the ID of the part, empty if
	// it is the request as a whole.
	Case Case
	Part string
	// Left is how much longer the case is quarantined. RetryAfter is the time until a trial may have
	// cleared it.
	Left, RetryAfter time.Duration
}

// trialTime is the time in which a trial that is due usually has a result.
const trialTime = time.Second

// Admit reports whether a request may run. If it may not, it returns why. isTrial is set if the request is
// admitted although it would be rejected, to find out whether its case still crashes endpoints.
func (q *Quarantine) Admit(r Request, now time.Time) (v Verdict, admitted, isTrial bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.blame(r.subjects, now)
	if e == nil {
		return Verdict{}, true, false
	}
	if e.granted && now.Sub(e.TrialAt) < trialTTL {
		e.granted = false
		return Verdict{}, true, true
	}
	e.wantedAt = now
	left, _ := q.quarantined(e, now)
	retryAfter := min(max(e.trialDue().Sub(now), 0)+trialTime, left)
	return Verdict{Case: e.Case, Part: e.part, Left: left, RetryAfter: retryAfter}, false, false
}

// Blocks reports whether a request may not run, without side effects.
func (q *Quarantine) Blocks(r Request, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.blame(r.subjects, now) != nil
}

// IsLastAttempt reports whether one more crash may quarantine a request whose run was interrupted. It is
// not retried elsewhere before the cause is known, also if other cases explain the crashes so far.
func (q *Quarantine) IsLastAttempt(r Run, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(r.suspected(), func(s subject) bool {
		e, ok := q.cases[s.fingerprint]
		return ok && e.isImplicated(crashThreshold-1, now) && q.crashTimes.isNotable(e.Case)
	})
}

// blame returns the case with the most crashes among the quarantined ones of a request that cases of other
// requests do not explain. It returns nil if there is none. The caller holds the lock.
func (q *Quarantine) blame(subjects []subject, now time.Time) *entry {
	var blamed *entry
	for _, s := range subjects {
		e, ok := q.cases[s.fingerprint]
		if !ok {
			continue
		}
		if _, quarantined := q.quarantined(e, now); !quarantined || q.isExplained(e, subjects, now) {
			continue
		}
		e.part = s.part
		if blamed == nil || e.compareWeight(blamed) > 0 {
			blamed = e
		}
	}
	return blamed
}

// compareWeight compares two cases by the evidence against them. The result is the same on all hosts.
func (e *entry) compareWeight(other *entry) int {
	return cmp.Or(cmp.Compare(e.crashCount(), other.crashCount()), slices.Compare(e.Fingerprint[:], other.Fingerprint[:]))
}

// DueTrials returns the quarantined cases for which this host has rejected a request recently and that may
// be tried again.
func (q *Quarantine) DueTrials(now time.Time) []Case {
	q.mu.Lock()
	defer q.mu.Unlock()
	var due []Case
	for _, e := range q.cases {
		if e.wantedAt.IsZero() || now.Sub(e.wantedAt) > trialDemandTTL || now.Before(e.trialDue()) {
			continue
		}
		if _, quarantined := q.quarantined(e, now); quarantined {
			due = append(due, e.Case)
		}
	}
	return due
}

// GrantTrial lets this host admit one request for a trial, the given number for all hosts.
func (q *Quarantine) GrantTrial(f Fingerprint, trials int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.cases[f]
	if !ok || trials <= e.Trials {
		return
	}
	e.Trials, e.TrialAt, e.granted = trials, now, true
	e.markChanged(now)
}
