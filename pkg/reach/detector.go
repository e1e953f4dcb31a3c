// Package reach detects that this host has lost its own links to endpoints while other hosts still
// reach them, as opposed to endpoints that are dead or slow. The Detector decides; it does no I/O and
// times are passed in. The Monitor connects to endpoints and asks other hosts when the Detector says
// that a check is due.
package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the detection.
const (
	// maxSilence is how long requests may wait while no endpoint sends any byte before a check is due.
	// With checkTimeout a cut is detected after some 1 s. Sound endpoints fall silent for as long,
	// so that a check and not the silence decides.
	maxSilence = 600 * time.Millisecond
	// minSilence is the time since the last byte from which failed connections require a check. Streams on
	// connections that are alive have an event in this time.
	minSilence = 150 * time.Millisecond
	// failedEndpoints is the number of endpoints with failed connections, without a byte from any
	// endpoint since, from which a check is due.
	failedEndpoints = 2
	// minCheckInterval is the time between two checks, which doubles up to maxCheckInterval with each
	// check that shows no cut. A cut that begins right after a check is still detected after
	// maxCheckInterval and one check.
	minCheckInterval = 250 * time.Millisecond
	maxCheckInterval = time.Second
	// calmTime is the time without checks after which the interval is minCheckInterval again.
	calmTime = 10 * time.Second
	// silentChecks is the number of checks in a row in which endpoints accept connections and do not answer,
	// while another host reaches endpoints, from which a host is cut: sound endpoints fall silent for as long
	// as one check.
	silentChecks = 2
	// minAccepting is the number of endpoints that have to answer for a cut to end, or
	// all that are known if they are fewer.
	minAccepting = 2
	// acceptingChecks is the number of checks in a row, some 6 s, after which a cut ends although only one
	// endpoint answers: the others are dead, and their rows would have expired if the store
	// could be read.
	acceptingChecks = 20
	// maxAlone is the number of checks in a row without another host that reaches endpoints after which
	// a host no longer counts as cut: the endpoints are dead, or all hosts are cut.
	maxAlone = 3
	// deadChecks is the number of checks in a row without an endpoint or a host in touch from which no
	// endpoint counts as reachable from any host. One check may fall into the second for which a sound
	// endpoint is silent.
	deadChecks = 2
)

// Detector holds what this host's connections to endpoints show. It is safe for concurrent use.
type Detector struct {
	base time.Time
	// receivedAt is when a byte of any endpoint last arrived, as the time since base; it is 0 before
	// the first.
	receivedAt atomic.Int64
	cut        atomic.Bool
	// deadAt is the value of receivedAt when no endpoint was found reachable from any host, -1 while one
	// is. A byte that has arrived since shows that one is.
	deadAt atomic.Int64

	mu sync.Mutex
	// epoch grows when a byte makes the fields below up to failedAt obsolete; seenAt is the value of
	// receivedAt to which they belong.
	epoch, seenAt int64
	// waiting is the number of requests sent since epoch that wait for a response; waitingSince is
	// when it last rose from 0. waited is the time for which requests waited before that.
	waiting      int
	waitingSince time.Time
	waited       time.Duration
	// failed are the addresses with failed connections, failedEndpoints at most; failedAt is when the
	// first of them failed.
	failed   []string
	failedAt time.Time
	// checkedAt is when the latest check began, zero before the first. interval is the least time
	// from it to the next.
	checkedAt time.Time
	interval  time.Duration
	// cutSince is a lower bound of the beginning of the latest cut: the last byte before it.
	cutSince, detectedAt time.Time
	// accepting is the number of the latest checks in a row during a cut in which an endpoint answered,
	// silent that of those without a cut in which endpoints accepted and did not answer.
	accepting, silent int
	// dead is the number of the latest checks in a row that found neither an endpoint nor a host in
	// touch.
	dead int
	// alone is the number of the latest checks in a row during a cut in which no other host reached
	// endpoints.
	alone int
}

// NewDetector returns a Detector that has seen nothing.
func NewDetector(now time.Time) *Detector {
	d := &Detector{base: now, interval: minCheckInterval}
	d.deadAt.Store(-1)
	return d
}

// Wait identifies a request that waits for a response.
type Wait int64

// Started records a request that is sent and now waits.
func (d *Detector) Started(now time.Time) Wait {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sync()
	if d.waiting == 0 {
		d.waitingSince = now
	}
	d.waiting++
	return Wait(d.epoch)
}

// Ended records that a request no longer waits.
func (d *Detector) Ended(w Wait, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sync()
	if int64(w) != d.epoch {
		// A byte has arrived since it was sent.
		return
	}
	d.waiting--
	if d.waiting == 0 {
		d.waited += now.Sub(d.waitingSince)
	}
}

// Received records that a byte of an endpoint has arrived.
func (d *Detector) Received(now time.Time) { d.receivedAt.Store(int64(now.Sub(d.base)) + 1) }

// Failed records a failed connection to an address. It reports whether that is enough for a check.
func (d *Detector) Failed(address string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sync()
	if len(d.failed) == 0 {
		d.failedAt = now
	}
	for _, known := range d.failed {
		if known == address {
			return false
		}
	}
	if len(d.failed) < failedEndpoints {
		d.failed = append(d.failed, address)
	}
	return len(d.failed) == failedEndpoints
}

// sync discards what a byte that has arrived since makes obsolete. The caller must hold d.mu.
func (d *Detector) sync() {
	if received := d.receivedAt.Load(); received != d.seenAt {
		d.seenAt = received
		d.forget()
	}
}

// forget discards what requests and failures have shown. The caller must hold d.mu.
func (d *Detector) forget() {
	d.epoch++
	d.waiting, d.waited, d.failed = 0, 0, nil
}

// IsCut reports whether this host has lost its links to endpoints.
func (d *Detector) IsCut() bool { return d.cut.Load() }

// NoneReachable reports whether no endpoint can be reached from any host: all are dead, or all hosts are
// cut. A request that is sent then waits until its deadline.
func (d *Detector) NoneReachable() bool {
	at := d.deadAt.Load()
	return at >= 0 && at == d.receivedAt.Load()
}

// IsDoubtful reports whether failures may come from a cut: the host is cut, or connections have failed
// without a byte from any endpoint since, for less than the time in which a check decides.
func (d *Detector) IsDoubtful(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sync()
	return d.cut.Load() || len(d.failed) > 0 && now.Sub(d.failedAt) < maxDoubt
}

// maxDoubt is the time in which a check decides whether failures come from a cut.
const maxDoubt = 2 * time.Second

// SinceAnswer returns the time since a byte of any endpoint last arrived, false if none has.
func (d *Detector) SinceAnswer(now time.Time) (time.Duration, bool) {
	received := d.receivedAt.Load()
	return now.Sub(d.base) - time.Duration(received), received != 0
}

// lastAnswer returns when a byte of any endpoint last arrived, or the start of the Detector.
func (d *Detector) lastAnswer() time.Time { return d.base.Add(time.Duration(d.receivedAt.Load())) }

// UntilCheck returns the time until a check is due. It returns false while nothing requires one.
func (d *Detector) UntilCheck(now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sync()
	wait, due := d.untilEvidence(now)
	if due && !d.checkedAt.IsZero() {
		wait = max(wait, d.interval-now.Sub(d.checkedAt))
	}
	return max(wait, 0), due
}

// untilEvidence returns the time until what requests and failures show requires a check, if nothing
// arrives until then. The caller must hold d.mu.
func (d *Detector) untilEvidence(now time.Time) (wait time.Duration, due bool) {
	switch {
	case d.waited >= maxSilence:
		return 0, true
	case len(d.failed) >= failedEndpoints:
		return minSilence - now.Sub(d.lastAnswer()), true
	case len(d.failed) > 0 && d.waiting > 0:
		return min(maxSilence-now.Sub(d.failedAt), maxSilence-d.waited-now.Sub(d.waitingSince)), true
	case len(d.failed) > 0:
		return maxSilence - now.Sub(d.failedAt), true
	case d.waiting > 0:
		return maxSilence - d.waited - now.Sub(d.waitingSince), true
	default:
		return 0, false
	}
}

// CheckStarted records that a check begins.
func (d *Detector) CheckStarted(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.checkedAt) > calmTime {
		d.interval = minCheckInterval
	}
	d.checkedAt = now
}

// Check is the result of a check.
type Check struct {
	// Known is the number of known endpoints; Tried, Accepted and Answered are the numbers of those that
	// were connected to, that accepted, and that answered.
	Known, Tried, Accepted, Answered int
	// Asked is the number of other hosts asked, InTouch the number of those that reach endpoints.
	Asked, InTouch int
}

// Change is the effect of a check.
type Change int

// The changes.
const (
	// Unchanged means that the host is cut, or not, as before.
	Unchanged Change = iota
	// CutDetected means that the host has lost its links to endpoints.
	CutDetected
	// CutEnded means that it has them again.
	CutEnded
)

// CheckDone applies the result of a check that began at startedAt. The host is cut if no endpoint
// accepted a connection or sent a byte meanwhile although another host reaches endpoints, or if
// endpoints accepted and did not answer in silentChecks checks. Otherwise all
// endpoints are dead, or all hosts are cut, which changes nothing.
func (d *Detector) CheckDone(c Check, startedAt, now time.Time) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	answered := d.lastAnswer().After(startedAt)
	d.countDead(c, answered)
	if d.cut.Load() {
		return d.checkEnd(c)
	}
	isSilent := c.Accepted > 0 && c.Answered == 0 && !answered && c.InTouch > 0
	d.silent++
	if !isSilent {
		d.silent = 0
	}
	if c.Tried == 0 || c.Answered > 0 || answered || c.InTouch == 0 || isSilent && d.silent < silentChecks {
		d.interval = min(2*d.interval, maxCheckInterval)
		if d.dead > 0 || isSilent {
			// The next check decides whether requests are refused, or whether the host is cut.
			d.interval = minCheckInterval
		}
		if c.Accepted > 0 && !isSilent {
			// What required the check has another cause.
			d.failed, d.waited, d.waitingSince = nil, 0, now
		}
		return Unchanged
	}
	d.cutSince, d.detectedAt, d.interval, d.alone, d.accepting, d.silent = d.lastAnswer(), now, minCheckInterval, 0, 0, 0
	d.cut.Store(true)
	return CutDetected
}

// countDead records whether any host reaches an endpoint. The caller must hold d.mu.
func (d *Detector) countDead(c Check, answered bool) {
	d.dead++
	if c.Tried == 0 || c.Accepted > 0 || c.InTouch > 0 || answered {
		d.dead = 0
	}
	if d.dead < deadChecks {
		d.deadAt.Store(-1)
		return
	}
	d.deadAt.Store(d.receivedAt.Load())
}

// checkEnd applies the result of a check to a host that is cut. The caller must hold d.mu.
func (d *Detector) checkEnd(c Check) Change {
	d.alone++
	if c.InTouch > 0 {
		d.alone = 0
	}
	d.accepting++
	if c.Answered == 0 {
		d.accepting = 0
	}
	linked := c.Answered >= min(minAccepting, c.Known) || d.accepting >= acceptingChecks || d.lastAnswer().After(d.detectedAt)
	if !linked && d.alone < maxAlone {
		return Unchanged
	}
	// What was observed during the cut shows nothing about the time after it.
	d.forget()
	d.cut.Store(false)
	return CutEnded
}

// CutSince returns when an endpoint last answered before the latest cut: failures since then may come
// from it.
func (d *Detector) CutSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutSince
}
