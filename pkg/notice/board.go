// Package notice applies what endpoints say of themselves in answers (that they leave, ask
// for backoff or limit requests) to this host's choice at once, and exchanges it with the
// other hosts as reports. Rows in the store say some of it later, or not at all while the
// store is away. It does no I/O but log lines; times are passed in.
package notice

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
)

// Report is what an endpoint has said to one host, as sent to another. Each host counts
// incarnations for itself, so that Born identifies the endpoint's life.
type Report struct {
	Endpoint  string
	StartedMS int64
	// Notice has the backoff that is left when the report is sent.
	Notice endpoint.Notice
	// LimitVersion orders reports of the endpoint's limit; 0 where this is none.
	LimitVersion uint64
}

// Parameters of reports.
const (
	// reportRounds is in how many rounds a notice is sent after it was sent at once, since
	// datagrams may be lost.
	reportRounds = 3
	// maxReports bounds the reports of one round, so that they fit a datagram.
	maxReports = 30
)

// movedBackoff is the backoff from an endpoint whose address another instance has. Its row
// goes within that time, or a later row corrects the address.
const movedBackoff = 4 * time.Second

// Tracker applies notices and keeps those to be reported. It is safe for concurrent use.
type Tracker struct {
	directory *endpoint.Directory
	router    *route.Router
	log       *log.Logger
	onLeave   atomic.Pointer[func(endpoint.Info)]

	mu sync.Mutex
	// pending has the notices still to be reported, by endpoint.
	pending map[string]*entry

	limitsMu sync.Mutex
	// limits are those that endpoints name, and those recently withdrawn, by endpoint;
	// limitCount is how many.
	limits     map[string]*limitState
	limitCount atomic.Int64
	// badLimits are the endpoints of which an unreadable limit was logged.
	badLimits sync.Map
}

// entry is what an endpoint has said to this host.
type entry struct {
	born    int64
	leaving bool
	// backoffUntil is when its backoff ends, zero for none.
	backoffUntil time.Time
	// rounds counts those in which it was reported.
	rounds int
}

// New returns a board for a host's endpoints and its choice among them.
func New(directory *endpoint.Directory, router *route.Router, logger *log.Logger) *Tracker {
	return &Tracker{directory: directory, router: router, log: logger, pending: map[string]*entry{}, limits: map[string]*limitState{}}
}

// OnLeave sets the function that marks an endpoint as leaving in the directory and at the
// other hosts, for hosts that do not exchange reports; nothing is kept for reports then.
func (b *Tracker) OnLeave(spread func(endpoint.Info)) { b.onLeave.Store(&spread) }

// ApplyResponse applies what a verified answer to this host says of its endpoint; sent is when
// the request was sent. An answer that says nothing withdraws a limit.
func (b *Tracker) ApplyResponse(from endpoint.Info, n endpoint.Notice, sent, now time.Time) {
	if n.IsZero() && b.limitCount.Load() == 0 {
		return
	}
	// A row may have lapsed and come back since the choice: that is the same life.
	held, ok := b.directory.Get(from.ID)
	if !ok || held.StartedMS != from.StartedMS {
		return
	}
	if !n.Moved && b.applyAnswerLimit(held, n, sent, now) && b.onLeave.Load() == nil {
		b.router.MarkUrgent(held.ID)
	}
	leaves := n.Leaving && b.applyLeaving(held, "answer")
	backoffUntil := b.applyBackoff(held, n, now)
	if n.Refused && n.Backoff == 0 {
		b.router.Penalize(held.Ref(), now)
	}
	if !leaves && backoffUntil.IsZero() {
		return
	}
	if b.onLeave.Load() != nil {
		return
	}
	b.addPending(from, leaves, backoffUntil)
	b.router.MarkUrgent(from.ID)
}

// applyBackoff applies a backoff that an endpoint asked for, or that is due as it is not at its
// address. It returns its end, zero where it begins no backoff.
func (b *Tracker) applyBackoff(held endpoint.Info, n endpoint.Notice, now time.Time) time.Time {
	backoff, reason := n.Backoff, "asked"
	if n.Moved {
		backoff, reason = movedBackoff, "moved"
	}
	if backoff <= 0 || !b.router.SetBackoff(held.Ref(), now.Add(backoff), now) {
		return time.Time{}
	}
	b.log.Info().Str("endpoint", held.ID).Str("service", held.Service).Dur("backoff", backoff).Str("reason", reason).Msg("backing off from endpoint")
	return now.Add(backoff)
}

// applyLeaving marks an endpoint as leaving and reports whether it was not before.
func (b *Tracker) applyLeaving(held endpoint.Info, by string) bool {
	if held.State >= endpoint.Leaving {
		return false
	}
	held.State = endpoint.Leaving
	if spread := b.onLeave.Load(); spread != nil {
		(*spread)(held)
	} else {
		b.directory.Merge(held)
	}
	b.log.Info().Str("endpoint", held.ID).Str("service", held.Service).Str("address", held.Address).Str("by", by).Msg("marked endpoint as leaving")
	return true
}

// addPending adds a notice to be reported.
func (b *Tracker) addPending(from endpoint.Info, leaves bool, backoffUntil time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.pending[from.ID]
	if !ok || e.born != from.StartedMS {
		e = &entry{born: from.StartedMS}
		b.pending[from.ID] = e
	}
	e.leaving = e.leaving || leaves
	if backoffUntil.After(e.backoffUntil) {
		e.backoffUntil = backoffUntil
	}
	e.rounds = 0
}

// report returns the entry as sent now.
func (e *entry) report(id string, now time.Time) Report {
	return Report{Endpoint: id, StartedMS: e.born, Notice: endpoint.Notice{Leaving: e.leaving, Backoff: max(e.backoffUntil.Sub(now), 0)}}
}

// Reports returns what is sent to the other hosts in this round.
func (b *Tracker) Reports(now time.Time) []Report {
	limits := b.limitReports(maxReports, now)
	return append(limits, b.noticeReports(maxReports-len(limits), now)...)
}

// noticeReports returns the reports but those of limits for this round, at most a number.
func (b *Tracker) noticeReports(most int, now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Report
	for id, e := range b.pending {
		report := e.report(id, now)
		if e.rounds >= reportRounds || report.Notice.IsZero() {
			delete(b.pending, id)
			continue
		}
		if len(list) >= most {
			continue
		}
		e.rounds++
		list = append(list, report)
	}
	return list
}

// ReportsFor returns what is sent at once about some endpoints.
func (b *Tracker) ReportsFor(endpoints []string, now time.Time) []Report {
	var list []Report
	for _, id := range endpoints {
		if report, ok := b.pendingLimit(id); ok && len(list) < maxReports {
			list = append(list, report)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range endpoints {
		if e, ok := b.pending[id]; ok && len(list) < maxReports {
			list = append(list, e.report(id, now))
		}
	}
	return list
}

// ApplyReports applies another host's reports. Those about another life of an endpoint, or an
// unknown one, are skipped.
func (b *Tracker) ApplyReports(list []Report, now time.Time) {
	for _, report := range list {
		info, ok := b.directory.Get(report.Endpoint)
		if !ok || info.StartedMS != report.StartedMS {
			continue
		}
		if report.LimitVersion > 0 {
			b.applyReportedLimit(info, report, now)
		}
		if report.Notice.Leaving {
			b.applyLeaving(info, "another host")
		}
		if report.Notice.Backoff > 0 {
			b.router.SetPeerBackoff(info.Ref(), now.Add(report.Notice.Backoff), now)
		}
	}
}
