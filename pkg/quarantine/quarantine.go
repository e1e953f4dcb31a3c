package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Parameters of the quarantine.
const (
	// heldAfter is how many endpoints must have ended under a request before it is held
	// back: the users' bound, from which on they count each further try.
	heldAfter = 3
	// heldFor is how long it is held back from the last end on. Then one more end is
	// enough; software that was mended meanwhile is found out within an hour.
	heldFor = time.Hour
	// forgetAfter is how long ends are remembered, of requests that come rarely too.
	forgetAfter = 24 * time.Hour
	// soundFor is how long after a whole answer an end tells nothing of the request:
	// where a data centre goes, all endpoints end at once under a request that many
	// send. One that is asked less than once in this time runs at one of them at most.
	soundFor = 10 * time.Second
	// sameEnd is how far apart ends of one endpoint are told at most that are the same
	// end: two tries may have run there. An endpoint is back after seconds.
	sameEnd = 2 * time.Second
	// mostCases bounds the requests remembered, some 300 bytes each: all that run at 60
	// endpoints which end at once.
	mostCases = 4096
	// roomPart is the part of them that is forgotten at once where there are too many.
	roomPart = 16
	// mostSound bounds the latest whole answers remembered: those of soundFor at 400 a
	// second, several times what one host answers.
	mostSound = 4096
)

// Crash is an endpoint that ended while it ran a request.
type Crash struct {
	Endpoint string
	At       time.Time
}

// Case is what is known of one request. It is a value; Ends are not changed once it is
// handed out.
type Case struct {
	Fingerprint Fingerprint
	// Crashes are in the order of their times, heldAfter at most: the latest.
	Crashes []Crash
	// LastSuccess is when the request was last answered whole, zero if not known. Ends up to
	// soundFor later are left out.
	LastSuccess time.Time
}

// entry is a case as it is kept.
type entry struct {
	Case
	// own says that this process saw one of the ends, kept that the case is in the store
	// as it is, inStore that some row of it is.
	own, kept, inStore bool
	// changed is when it last changed, told how often it was told since.
	changed time.Time
	told    int
}

// Quarantine holds requests back under which several endpoints have ended. What hosts
// tell each other is merged by rule, so that order and repeats make no difference. It is
// safe for concurrent use.
//
// One lock is enough: a request asks twice, and a host has some hundred a second.
type Quarantine struct {
	mu    sync.Mutex
	cases map[Fingerprint]*entry
	// sound is the latest whole answers in two parts, of which the older is dropped
	// when the newer is full or has lasted for soundFor.
	sound      [2]map[Fingerprint]time.Time
	soundSince time.Time
	// nextHeld is where the turn of those held stands that are told again.
	nextHeld int
	// round counts what was asked to be told.
	round int
}

// NewQuarantine returns a quarantine that holds nothing back.
func NewQuarantine() *Quarantine {
	return &Quarantine{cases: map[Fingerprint]*entry{}, sound: [2]map[Fingerprint]time.Time{{}, {}}}
}

// Quarantined returns how much longer a request is held back, false if it is not.
func (q *Quarantine) Quarantined(f Fingerprint, now time.Time) (left time.Duration, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.cases[f]
	if !ok {
		return 0, false
	}
	return e.held(now)
}

// LastAttempt reports whether one more end would hold a request back: a run of it that broke
// off goes on nowhere else before it is known why.
func (q *Quarantine) LastAttempt(f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.cases[f]
	return ok && len(e.Crashes) >= heldAfter-1
}

// held is Quarantine.Held of a case.
func (c Case) held(now time.Time) (left time.Duration, held bool) {
	if len(c.Crashes) < heldAfter {
		return 0, false
	}
	left = heldFor - now.Sub(c.Crashes[len(c.Crashes)-1].At)
	return left, left > 0
}

// Expired reports whether a case's ends are so old that they are forgotten.
func Expired(c Case, now time.Time) bool {
	return len(c.Crashes) == 0 || now.Sub(c.Crashes[len(c.Crashes)-1].At) > forgetAfter
}

// RecordCrash notes that an endpoint ended while it ran a request, seen by this process. It
// returns the case, and whether it is held back by this.
func (q *Quarantine) RecordCrash(f Fingerprint, end Crash, now time.Time) (c Case, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, before := q.get(f, now)
	if e.add(end) {
		e.own = true
		e.change(now)
	}
	_, held = e.held(now)
	return e.Case, held && !before
}

// RecordSuccess notes that a request was answered whole: it does not end endpoints.
func (q *Quarantine) RecordSuccess(f Fingerprint, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.noteSound(f, now)
	if e, ok := q.cases[f]; ok && e.clear(now) {
		e.change(now)
	}
}

// Merge takes in what another host tells, or the store. It returns the cases that are held
// back by it.
func (q *Quarantine) Merge(told []Case, now time.Time) []Case {
	q.mu.Lock()
	defer q.mu.Unlock()
	var held []Case
	for _, c := range told {
		e, before := q.get(c.Fingerprint, now)
		changed := e.clear(c.LastSuccess)
		for _, end := range c.Crashes {
			// Who tells an end that tells nothing has not heard of the whole answer.
			changed = e.add(end) || e.clears(end) || changed
		}
		if changed {
			e.change(now)
		}
		if _, after := e.held(now); after && !before {
			held = append(held, e.Case)
		}
	}
	return held
}

// get returns the case of a request, a new one if there is none, and whether it is held
// back. The lock is held.
func (q *Quarantine) get(f Fingerprint, now time.Time) (e *entry, held bool) {
	e, ok := q.cases[f]
	if !ok {
		q.makeRoom(now)
		e = &entry{Case: Case{Fingerprint: f, LastSuccess: q.lastSound(f)}}
		q.cases[f] = e
	}
	_, held = e.held(now)
	return e, held
}

// add adds an end unless it is known or tells nothing, and reports whether that is news.
func (e *entry) add(end Crash) bool {
	if e.clears(end) {
		return false
	}
	for _, known := range e.Crashes {
		if known.Endpoint == end.Endpoint && known.At.Sub(end.At).Abs() <= sameEnd {
			return false
		}
	}
	ends := append(slices.Clone(e.Crashes), end)
	slices.SortFunc(ends, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint)) })
	latest := ends[len(ends)-1].At
	ends = slices.DeleteFunc(ends, func(end Crash) bool { return latest.Sub(end.At) > forgetAfter })
	if len(ends) > heldAfter {
		ends = ends[len(ends)-heldAfter:]
	}
	changed := !slices.Equal(ends, e.Crashes)
	e.Crashes = ends
	return changed
}

// clears reports whether an end tells nothing, by when the request was answered whole.
func (e *entry) clears(end Crash) bool {
	return !e.LastSuccess.IsZero() && end.At.Before(e.LastSuccess.Add(soundFor))
}

// clear takes in when the request was answered whole and drops the ends that tell
// nothing by it; it reports whether that is news worth telling.
func (e *entry) clear(sound time.Time) bool {
	if !sound.After(e.LastSuccess) {
		return false
	}
	e.LastSuccess = sound
	ends := slices.DeleteFunc(slices.Clone(e.Crashes), e.clears)
	dropped := len(ends) < len(e.Crashes)
	e.Crashes = ends
	return dropped
}

func (e *entry) change(now time.Time) {
	e.changed = now
	e.told = 0
	e.kept = false
}

// noteSound remembers a whole answer. The lock is held.
func (q *Quarantine) noteSound(f Fingerprint, now time.Time) {
	if now.Sub(q.soundSince) > soundFor || len(q.sound[0]) >= mostSound {
		q.sound[0], q.sound[1] = map[Fingerprint]time.Time{}, q.sound[0]
		q.soundSince = now
	}
	q.sound[0][f] = now
}

// lastSound returns when a request was last answered whole here, zero if that is not
// remembered. The lock is held.
func (q *Quarantine) lastSound(f Fingerprint) time.Time {
	if at, ok := q.sound[0][f]; ok {
		return at
	}
	return q.sound[1][f]
}

// makeRoom forgets old cases, and where there are too many some of those with the fewest
// ends that changed longest ago. The lock is held.
func (q *Quarantine) makeRoom(now time.Time) {
	if len(q.cases) < mostCases {
		return
	}
	list := make([]*entry, 0, len(q.cases))
	for _, e := range q.cases {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(len(a.Crashes), len(b.Crashes)), a.changed.Compare(b.changed))
	})
	for i, e := range list {
		if i < len(list)/roomPart || now.Sub(e.changed) > forgetAfter {
			delete(q.cases, e.Fingerprint)
		}
	}
}
