package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Parameters of the quarantine.
const (
	// crashThreshold is the number of endpoint crashes after which a request is
	// quarantined. It is the limit of the users, who count each attempt beyond it.
	crashThreshold = 3
	// quarantineDuration is measured from the latest crash. After it, a single further
	// crash quarantines the request again; a fix of the endpoint's software takes effect
	// within an hour.
	quarantineDuration = time.Hour
	// crashRetention is how long crashes are remembered, also for requests that are sent
	// rarely.
	crashRetention = 24 * time.Hour
	// successGrace is the time after a complete answer in which crashes do not count
	// against the request: when a data centre fails, all its endpoints crash at once while
	// running any request that many callers send. A request that is sent less than once in
	// this time runs at one of those endpoints at most.
	successGrace = 10 * time.Second
	// sameCrashWindow is the maximum time between reports of one crash of an endpoint: two
	// attempts may have run there. An endpoint takes seconds to restart.
	sameCrashWindow = 2 * time.Second
	// maxCases bounds the requests remembered, some 300 bytes each: all requests that run
	// at 60 endpoints that crash at once.
	maxCases = 4096
	// evictionDivisor gives the part of the cases, 1/evictionDivisor, that is evicted at
	// once when there are too many.
	evictionDivisor = 16
	// maxSuccesses bounds the latest complete answers remembered: those of successGrace at
	// 400 a second, several times what one host answers.
	maxSuccesses = 4096
)

// Crash is the unplanned end of an endpoint while it ran a request.
type Crash struct {
	Endpoint string
	At       time.Time
}

// Case is what is known of one request. It is a value; Crashes is not modified once the
// case is returned.
type Case struct {
	Fingerprint Fingerprint
	// Crashes are the latest crashes, crashThreshold at most, in the order of their times.
	Crashes []Crash
	// LastSuccess is when the request was last answered completely, zero if not known.
	// Crashes up to successGrace later are left out.
	LastSuccess time.Time
}

// entry is a case with its state of replication and storage.
type entry struct {
	Case
	// local is set if this process saw one of the crashes, saved if the store holds the
	// case as it is now, stored if the store holds any row of it.
	local, saved, stored bool
	// changed is when the case last changed, sent how often it was sent since.
	changed time.Time
	sent    int
}

// Quarantine blocks requests during which several endpoints have crashed. Cases received
// from other hosts are merged such that neither order nor repetition matters. It is safe
// for concurrent use.
//
// One lock is enough: a request takes it twice, and a host has some hundred requests a
// second.
type Quarantine struct {
	mu    sync.Mutex
	cases map[Fingerprint]*entry
	// successes are the latest complete answers in two generations. The older one is
	// dropped when the newer one is full or older than successGrace.
	successes      [2]map[Fingerprint]time.Time
	successesSince time.Time
	// nextQuarantined is the position in the rotation of quarantined cases to send again.
	nextQuarantined int
	// round counts the calls of Reports.
	round int
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{cases: map[Fingerprint]*entry{}, successes: [2]map[Fingerprint]time.Time{{}, {}}}
}

// Quarantined returns how much longer a request is quarantined, false if it is not.
func (q *Quarantine) Quarantined(f Fingerprint, now time.Time) (left time.Duration, quarantined bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.cases[f]
	if !ok {
		return 0, false
	}
	return e.quarantined(now)
}

// LastAttempt reports whether one more crash would quarantine a request. An interrupted
// run of such a request is not retried elsewhere before its cause is known.
func (q *Quarantine) LastAttempt(f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.cases[f]
	return ok && len(e.Crashes) >= crashThreshold-1
}

// quarantined returns how much longer the case is quarantined, false if it is not.
func (c Case) quarantined(now time.Time) (left time.Duration, quarantined bool) {
	if len(c.Crashes) < crashThreshold {
		return 0, false
	}
	left = quarantineDuration - now.Sub(c.Crashes[len(c.Crashes)-1].At)
	return left, left > 0
}

// Expired reports whether all crashes of a case are older than crashRetention.
func Expired(c Case, now time.Time) bool {
	return len(c.Crashes) == 0 || now.Sub(c.Crashes[len(c.Crashes)-1].At) > crashRetention
}

// RecordCrash records that this process saw an endpoint crash while it ran a request. It
// returns the case, and whether this crash quarantined it.
func (q *Quarantine) RecordCrash(f Fingerprint, crash Crash, now time.Time) (c Case, quarantined bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, before := q.getOrCreate(f, now)
	if e.add(crash) {
		e.local = true
		e.markChanged(now)
	}
	_, quarantined = e.quarantined(now)
	return e.Case, quarantined && !before
}

// RecordSuccess records that a request was answered completely, so that it does not crash
// endpoints.
func (q *Quarantine) RecordSuccess(f Fingerprint, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rememberSuccess(f, now)
	if e, ok := q.cases[f]; ok && e.applySuccess(now) {
		e.markChanged(now)
	}
}

// Merge applies cases from another host or from the store. It returns those that are
// quarantined by it.
func (q *Quarantine) Merge(received []Case, now time.Time) []Case {
	q.mu.Lock()
	defer q.mu.Unlock()
	var quarantined []Case
	for _, c := range received {
		e, before := q.getOrCreate(c.Fingerprint, now)
		changed := e.applySuccess(c.LastSuccess)
		for _, crash := range c.Crashes {
			// A host that sends a crash which does not count has not received the success.
			changed = e.add(crash) || e.discounts(crash) || changed
		}
		if changed {
			e.markChanged(now)
		}
		if _, after := e.quarantined(now); after && !before {
			quarantined = append(quarantined, e.Case)
		}
	}
	return quarantined
}

// Discard removes the crashes since a given time from the requests of which this process has seen a
// crash. Crashes that other hosts have seen in that time are removed too; these hosts repeat them.
func (q *Quarantine) Discard(since, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, e := range q.cases {
		if !e.local {
			continue
		}
		crashes := slices.DeleteFunc(slices.Clone(e.Crashes), func(c Crash) bool { return !c.At.Before(since) })
		if len(crashes) == len(e.Crashes) {
			continue
		}
		e.Crashes = crashes
		e.markChanged(now)
		if len(crashes) == 0 && !e.stored {
			delete(q.cases, f)
		}
	}
}

// getOrCreate returns the case of a request and whether it is quarantined. The caller
// holds the lock.
func (q *Quarantine) getOrCreate(f Fingerprint, now time.Time) (e *entry, quarantined bool) {
	e, ok := q.cases[f]
	if !ok {
		q.evict(now)
		e = &entry{Case: Case{Fingerprint: f, LastSuccess: q.lastSuccess(f)}}
		q.cases[f] = e
	}
	_, quarantined = e.quarantined(now)
	return e, quarantined
}

// add adds a crash unless it is known or discounted, and reports whether the case changed.
func (e *entry) add(crash Crash) bool {
	if e.discounts(crash) {
		return false
	}
	for _, known := range e.Crashes {
		if known.Endpoint == crash.Endpoint && known.At.Sub(crash.At).Abs() <= sameCrashWindow {
			return false
		}
	}
	crashes := append(slices.Clone(e.Crashes), crash)
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint)) })
	latest := crashes[len(crashes)-1].At
	crashes = slices.DeleteFunc(crashes, func(crash Crash) bool { return latest.Sub(crash.At) > crashRetention })
	if len(crashes) > crashThreshold {
		crashes = crashes[len(crashes)-crashThreshold:]
	}
	changed := !slices.Equal(crashes, e.Crashes)
	e.Crashes = crashes
	return changed
}

// discounts reports whether a crash does not count, because the request was answered
// completely after it or less than successGrace before it.
func (e *entry) discounts(crash Crash) bool {
	return !e.LastSuccess.IsZero() && crash.At.Before(e.LastSuccess.Add(successGrace))
}

// applySuccess sets the time of the last success and drops the crashes that it discounts.
// It reports whether crashes were dropped, which other hosts have to know.
func (e *entry) applySuccess(success time.Time) bool {
	if !success.After(e.LastSuccess) {
		return false
	}
	e.LastSuccess = success
	crashes := slices.DeleteFunc(slices.Clone(e.Crashes), e.discounts)
	dropped := len(crashes) < len(e.Crashes)
	e.Crashes = crashes
	return dropped
}

func (e *entry) markChanged(now time.Time) {
	e.changed = now
	e.sent = 0
	e.saved = false
}

// rememberSuccess stores the time of a complete answer. The caller holds the lock.
func (q *Quarantine) rememberSuccess(f Fingerprint, now time.Time) {
	if now.Sub(q.successesSince) > successGrace || len(q.successes[0]) >= maxSuccesses {
		q.successes[0], q.successes[1] = map[Fingerprint]time.Time{}, q.successes[0]
		q.successesSince = now
	}
	q.successes[0][f] = now
}

// lastSuccess returns when this process last answered a request completely, zero if it is
// not remembered. The caller holds the lock.
func (q *Quarantine) lastSuccess(f Fingerprint) time.Time {
	if at, ok := q.successes[0][f]; ok {
		return at
	}
	return q.successes[1][f]
}

// evict does nothing below maxCases. Otherwise it deletes expired cases and a part of the
// rest: those with the fewest crashes, and among these the ones that changed longest ago.
// The caller holds the lock.
func (q *Quarantine) evict(now time.Time) {
	if len(q.cases) < maxCases {
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
		if i < len(list)/evictionDivisor || now.Sub(e.changed) > crashRetention {
			delete(q.cases, e.Fingerprint)
		}
	}
}
