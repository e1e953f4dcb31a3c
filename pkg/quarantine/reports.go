package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of what hosts tell each other.
const (
	// tellFor is how long a change is told: two rounds at least to each host of any
	// fleet, which are told every 2.4 s at the rarest.
	tellFor = 5 * time.Second
	// mostTold bounds the changes in one datagram, some 70 bytes each, mostSingleTold
	// those of requests under which one endpoint has ended, 13 bytes each: with four a
	// datagram, hosts of a fleet of 30 did not know after 3 s of a request that ended
	// three endpoints while 100 others broke off beside it at each of three hosts.
	mostTold       = 4
	mostSingleTold = 24
	// mostHeldTold bounds the requests held back that are told beside, in turn, for hosts
	// that have started since.
	mostHeldTold = 2
	// heldRounds is the rounds from one datagram of them to the next where nothing else
	// is told: a host that starts asks callers in after a second or so.
	heldRounds = 5
)

// Reports returns the cases for one datagram: those that changed, those sent least often first,
// and some of those held back.
func (q *Quarantine) Reports(now time.Time) []Case {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.cases) == 0 {
		return nil
	}
	var singles, others, held []*entry
	for _, e := range q.cases {
		_, isHeld := e.held(now)
		switch {
		case now.Sub(e.changed) < tellFor && len(e.Crashes) == 1 && e.LastSuccess.IsZero():
			singles = append(singles, e)
		case now.Sub(e.changed) < tellFor:
			others = append(others, e)
		case isHeld:
			held = append(held, e)
		}
	}
	told := append(leastTold(others, mostTold), leastTold(singles, mostSingleTold)...)
	q.round++
	if len(told) == 0 && q.round%heldRounds != 0 {
		return nil
	}
	slices.SortFunc(held, compareFingerprints)
	for range min(len(held), mostHeldTold) {
		q.nextHeld = (q.nextHeld + 1) % len(held)
		told = append(told, held[q.nextHeld].Case)
	}
	return told
}

// leastTold returns those that were told least often, at most so many, and counts them
// as told.
func leastTold(list []*entry, most int) []Case {
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Or(cmp.Compare(a.told, b.told), compareFingerprints(a, b)) })
	var told []Case
	for _, e := range list[:min(len(list), most)] {
		e.told++
		told = append(told, e.Case)
	}
	return told
}

func compareFingerprints(a, b *entry) int {
	return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
}
