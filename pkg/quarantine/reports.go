package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the reports that hosts send each other.
const (
	// changeSendDuration is how long a change is sent: long enough for two rounds to each
	// host of a fleet of any size, as rounds are at most 2.4 s apart.
	changeSendDuration = 5 * time.Second
	// maxChanges bounds the changed cases in one datagram, some 25 bytes each. At most maxFrequent of
	// them are other than those with a single crash: one crash interrupts many requests, most of
	// which did not cause it. With four cases of a single crash in a datagram, hosts of a fleet of 30 did
	// not know after 3 s of a request that crashed three endpoints while 100 other requests were
	// interrupted at each of three hosts.
	maxChanges  = 28
	maxFrequent = 12
	// maxUnchanged bounds the unchanged quarantined cases that are added in rotation, for
	// hosts that have started since.
	maxUnchanged = 2
	// unchangedRounds is the interval, in rounds, of datagrams with unchanged cases only: a
	// host accepts callers about a second after its start.
	unchangedRounds = 5
)

// Reports returns the cases for one datagram: those that changed, those sent least often first,
// and some of the quarantined ones.
func (q *Quarantine) Reports(now time.Time) []Case {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.cases) == 0 {
		return nil
	}
	var singles, others, unchanged []*entry
	for _, e := range q.cases {
		_, isQuarantined := q.quarantined(e, now)
		switch {
		case now.Sub(e.changed) < changeSendDuration && len(e.Crashes) == 1 && e.Trials == 0:
			singles = append(singles, e)
		case now.Sub(e.changed) < changeSendDuration:
			others = append(others, e)
		case isQuarantined:
			unchanged = append(unchanged, e)
		}
	}
	reports := leastSent(others, maxFrequent)
	reports = append(reports, leastSent(singles, maxChanges-len(reports))...)
	q.round++
	if len(reports) == 0 && q.round%unchangedRounds != 0 {
		return nil
	}
	slices.SortFunc(unchanged, compareFingerprints)
	for range min(len(unchanged), maxUnchanged) {
		q.nextQuarantined = (q.nextQuarantined + 1) % len(unchanged)
		reports = append(reports, unchanged[q.nextQuarantined].Case)
	}
	return reports
}

// leastSent returns at most limit cases, those sent least often first, and counts them as
// sent.
func leastSent(list []*entry, limit int) []Case {
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Or(cmp.Compare(a.sent, b.sent), compareFingerprints(a, b)) })
	var cases []Case
	for _, e := range list[:min(len(list), limit)] {
		e.sent++
		cases = append(cases, e.Case)
	}
	return cases
}

func compareFingerprints(a, b *entry) int {
	return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
}
