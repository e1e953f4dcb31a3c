package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Parameters of the quarantine.
const (
	// crashThreshold is the number of endpoint crashes after which a request or part is quarantined. It is
	// the limit of the users, who count each attempt beyond it.
	crashThreshold = 3
	// soundCrashes is added to it for what was sound just before: at random crashes, popular parts run at
	// several of the endpoints.
	soundCrashes = 1
	// quarantineDuration is measured from the latest crash. After it, a single further
	// crash quarantines the request again; a fix of the endpoint's software takes effect
	// within an hour.
	quarantineDuration = time.Hour
	// crashRetention is how long crashes are remembered, also for requests that are sent
	// rarely.
	crashRetention = 24 * time.Hour
	// soundWindow is the time from a success in which a first crash is unexpected. Crashes within
	// burstWindow of it then count once.
	soundWindow = 10 * time.Second
	burstWindow = time.Second
	// sameCrashWindow is the maximum time between reports of one crash of an endpoint: two
	// attempts may have run there. An endpoint takes seconds to restart.
	sameCrashWindow = 2 * time.Second
	// maxCrashes bounds the crashes of a case. Cases are compared by them.
	maxCrashes = 8
	// maxCases bounds the cases, some 500 bytes each: what runs without an answer at 60 endpoints that
	// crash at once.
	maxCases = 4096
	// evictionDivisor gives the part of the cases, 1/evictionDivisor, that is evicted at
	// once when there are too many.
	evictionDivisor = 16
	// maxSuccesses bounds the latest successes remembered: those of soundWindow for
	// 400 subjects a second, several times what one host answers.
	maxSuccesses = 4096
	// trialDemandTTL is how long a rejected request shows that there is work for a trial, trialTTL how long
	// a granted trial can be used.
	trialDemandTTL = 2 * time.Second
	trialTTL       = 5 * time.Second
	// unsoundTrialDelays is the number of delays skipped for a case that was not known to be sound.
	unsoundTrialDelays = 1
)

// trialDelays are the times from the latest crash or trial to the next trial, by the number of trials.
var trialDelays = []time.Duration{2 * time.Second, 20 * time.Second, 10 * time.Minute}

// entry is a case with its state of replication and storage.
type entry struct {
	Case
	// part is the ID of the part, empty for a whole request or if this host has seen no request with it.
	part string
	// local is set if this process saw one of the crashes, stored if the store holds a row of the case.
	local, stored bool
	// savedCrashes and savedTrials are those that the row was last known to have.
	savedCrashes []Crash
	savedTrials  int
	// changed is when the case last changed, sent how often it was sent since.
	changed time.Time
	sent    int
	// wantedAt is when a request was last rejected because of the case, granted is set while this host may
	// admit one request for a trial.
	wantedAt time.Time
	granted  bool
}

// Quarantine blocks requests during which several endpoints have crashed, and those whose prompts have a
// part that several endpoints crashed under. Cases received from other hosts are merged such that neither
// order nor repetition matters. It is safe for concurrent use.
//
// One lock is enough: a request takes it some three times, and a host has some hundred requests a
// second.
type Quarantine struct {
	mu    sync.Mutex
	cases map[Fingerprint]*entry
	// successes are the latest successes in two generations. The older one is
	// dropped when the newer one is full or older than soundWindow.
	successes      [2]map[Fingerprint]time.Time
	successesSince time.Time
	crashTimes     crashTimes
	explanations   explanations
	// nextQuarantined is the position in the rotation of quarantined cases to send again.
	nextQuarantined int
	// round counts the calls of Reports.
	round int
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{cases: map[Fingerprint]*entry{}, successes: [2]map[Fingerprint]time.Time{{}, {}}}
}

// Quarantined returns how much longer the case with a fingerprint is quarantined, false if it is not.
func (q *Quarantine) Quarantined(f Fingerprint, now time.Time) (left time.Duration, quarantined bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.cases[f]
	if !ok {
		return 0, false
	}
	return q.quarantined(e, now)
}

// quarantined returns how much longer a case is quarantined, false if it is not. The caller holds the lock.
func (q *Quarantine) quarantined(e *entry, now time.Time) (left time.Duration, quarantined bool) {
	if !e.isImplicated(crashThreshold, now) || !q.crashTimes.isNotable(e.Case) {
		return 0, false
	}
	return quarantineDuration - now.Sub(e.Crashes[len(e.Crashes)-1].At), true
}

// RecordCrash records that this process saw an endpoint crash under a case. It
// returns the case, and whether this crash quarantined it.
func (q *Quarantine) RecordCrash(f Fingerprint, crash Crash, now time.Time) (c Case, quarantined bool) {
	return q.recordCrash(subject{fingerprint: f}, crash, now)
}

func (q *Quarantine) recordCrash(s subject, crash Crash, now time.Time) (c Case, quarantined bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, before := q.getOrCreate(s.fingerprint, now)
	e.part, e.IsPart = s.part, s.part != ""
	crash.Team = s.team
	q.explanations.isOutdated = true
	q.crashTimes.add(crash)
	if e.add(crash) {
		e.local = true
		e.markChanged(now)
	}
	_, quarantined = q.quarantined(e, now)
	return e.Case, quarantined && !before
}

// RecordSuccess records that a request was answered completely, so that it does not crash
// endpoints. It returns whether the request is no longer quarantined by it.
func (q *Quarantine) RecordSuccess(f Fingerprint, now time.Time) (cleared bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.recordSuccess(f, now)
}

// RecordAnswer records that the answer to a request has begun, so that no part of its prompt crashes
// endpoints. It returns the parts that are no longer quarantined by it.
func (q *Quarantine) RecordAnswer(r Request, now time.Time) (cleared []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range r.partSubjects() {
		if q.recordSuccess(s.fingerprint, now) {
			cleared = append(cleared, s.part)
		}
	}
	return slices.Compact(cleared)
}

// recordSuccess returns whether the case was quarantined. The caller holds the lock.
func (q *Quarantine) recordSuccess(f Fingerprint, now time.Time) (cleared bool) {
	q.rememberSuccess(f, now)
	e, ok := q.cases[f]
	if !ok {
		return false
	}
	_, before := q.quarantined(e, now)
	wasSound := e.wasSound()
	if e.applySuccess(now) {
		e.markChanged(now)
		q.explanations.isOutdated = true
	}
	q.explanations.isOutdated = q.explanations.isOutdated || e.wasSound() != wasSound
	_, after := q.quarantined(e, now)
	return before && !after
}

// Merge applies cases from another host or from the store. It returns those that are
// quarantined by it.
func (q *Quarantine) Merge(received []Case, now time.Time) []Case {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.explanations.isOutdated = q.explanations.isOutdated || len(received) > 0
	var quarantined []Case
	for _, c := range received {
		e, before := q.getOrCreate(c.Fingerprint, now)
		e.IsPart = e.IsPart || c.IsPart
		changed := e.applySuccess(c.LastSuccess)
		for _, crash := range c.Crashes {
			q.crashTimes.add(crash)
			changed = e.add(crash) || changed
		}
		changed = e.applyTrials(c.Trials, c.TrialAt) || changed
		if changed || e.isMissingFrom(c) {
			e.markChanged(now)
		}
		if _, after := q.quarantined(e, now); after && !before {
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
	q.explanations.isOutdated = true
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
	_, quarantined = q.quarantined(e, now)
	return e, quarantined
}

func (e *entry) markChanged(now time.Time) {
	e.changed = now
	e.sent = 0
}

// rememberSuccess stores the time of a success. The caller holds the lock.
func (q *Quarantine) rememberSuccess(f Fingerprint, now time.Time) {
	if now.Sub(q.successesSince) > soundWindow || len(q.successes[0]) >= maxSuccesses {
		q.successes[0], q.successes[1] = map[Fingerprint]time.Time{}, q.successes[0]
		q.successesSince = now
	}
	q.successes[0][f] = now
}

// lastSuccess returns when this process last saw a success, zero if it is not remembered. The caller holds the lock.
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
	q.explanations.isOutdated = true
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
