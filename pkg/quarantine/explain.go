package quarantine

import (
	"slices"
	"time"
)

// explanationTTL is how long the quarantined cases are used without a change: they expire an hour after their last crash.
const explanationTTL = time.Second

// explanations are the quarantined cases by the endpoints that crashed, so that a request is compared with few of them.
type explanations struct {
	byEndpoint map[string][]explanation
	builtAt    time.Time
	// isOutdated is set once a case has changed.
	isOutdated bool
}

// explanation is a quarantined case and its number of crashes.
type explanation struct {
	*entry
	count int
}

// explanationsAt returns the cases that may explain crashes of others, by endpoint. The caller holds the lock.
func (q *Quarantine) explanationsAt(now time.Time) map[string][]explanation {
	x := &q.explanations
	if x.byEndpoint != nil && !x.isOutdated && now.Sub(x.builtAt).Abs() < explanationTTL {
		return x.byEndpoint
	}
	x.byEndpoint, x.builtAt, x.isOutdated = map[string][]explanation{}, now, false
	for _, e := range q.cases {
		if len(e.Crashes) < crashThreshold {
			continue
		}
		if _, isQuarantined := q.quarantined(e, now); !isQuarantined {
			continue
		}
		item := explanation{e, e.crashCount()}
		for i, crash := range e.Crashes {
			isKnown := slices.ContainsFunc(e.Crashes[:i], func(other Crash) bool { return other.Endpoint == crash.Endpoint })
			if !isKnown {
				x.byEndpoint[crash.Endpoint] = append(x.byEndpoint[crash.Endpoint], item)
			}
		}
	}
	return x.byEndpoint
}

// isExplained reports whether each crash of a case is also a crash of another case with as much evidence
// that is not one of the given subjects. A request without those cases is then not known to crash
// endpoints: if it does, its own cases have more crashes than those that explained them. The caller holds
// the lock.
func (q *Quarantine) isExplained(e *entry, subjects []subject, now time.Time) bool {
	byEndpoint, count := q.explanationsAt(now), e.crashCount()
	for _, crash := range e.Crashes {
		if !slices.ContainsFunc(byEndpoint[crash.Endpoint], func(other explanation) bool {
			return other.count >= count && slices.ContainsFunc(other.Crashes, crash.isSame) &&
				!slices.ContainsFunc(subjects, func(s subject) bool { return s.fingerprint == other.Fingerprint })
		}) {
			return false
		}
	}
	return true
}
