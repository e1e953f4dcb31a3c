// Package notice applies what endpoints report about themselves in responses (that they leave, ask
// for backoff or limit requests) to this host's choice of endpoints at once, and exchanges it with
// the other hosts as reports. The endpoints' rows in the store show some of this later, or not at
// all while the store is unavailable. The package does no I/O except logging; the current time is
// passed in.
package notice

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
)

// Report is a notice that one host received from an endpoint, as sent to another host. StartedMS
// identifies the run of the endpoint; incarnations cannot, because each host counts its own.
type Report struct {
	Endpoint  string
	StartedMS int64
	// Notice holds the backoff that remains when the report is sent.
	Notice endpoint.Notice
	// LimitVersion orders the reports of the endpoint's limit of LimitKind; 0 if the report is not
	// about a limit.
	LimitVersion uint64
	LimitKind    LimitKind
}

// Parameters of reports.
const (
	// resendRounds is the number of rounds in which a notice is sent again after it was first sent
	// at once, because datagrams may be lost.
	resendRounds = 3
	// maxReportsPerRound bounds the reports of one round, so that they fit into a datagram.
	maxReportsPerRound = 30
)

// movedBackoff is the backoff from an endpoint whose address now belongs to another instance.
// Within that time its row is removed, or a later row corrects the address.
const movedBackoff = 4 * time.Second

// Tracker applies notices and keeps those that are to be reported. It is safe for concurrent use.
type Tracker struct {
	directory    *endpoint.Directory
	router       *route.Router
	log          *log.Logger
	leaveHandler atomic.Pointer[func(endpoint.Info)]

	mu sync.Mutex
	// pending holds the notices still to be reported, by endpoint ID.
	pending map[string]*pendingNotice

	limitsMu sync.Mutex
	// limits holds the limits that endpoints set and those recently withdrawn; limitCount is their
	// number.
	limits     map[limitKey]*limitState
	limitCount atomic.Int64
	// loggedBadLimits holds the endpoints for which an unreadable limit has been logged.
	loggedBadLimits sync.Map
}

// pendingNotice is a notice of an endpoint that is still to be reported to the other hosts.
type pendingNotice struct {
	startedMS int64
	leaving   bool
	// backoffUntil is the end of the endpoint's backoff, zero for none.
	backoffUntil time.Time
	// rounds is the number of rounds in which the notice has been reported.
	rounds int
}

// New returns a tracker for a host's endpoints and the router that chooses among them.
func New(directory *endpoint.Directory, router *route.Router, logger *log.Logger) *Tracker {
	return &Tracker{directory: directory, router: router, log: logger, pending: map[string]*pendingNotice{}, limits: map[limitKey]*limitState{}}
}

// OnLeave sets the function that marks an endpoint as leaving, in the directory and at the other
// hosts. It is for hosts that do not exchange reports; the tracker then keeps nothing to report.
func (t *Tracker) OnLeave(handler func(endpoint.Info)) { t.leaveHandler.Store(&handler) }

// ApplyResponse applies the notice in a verified response to this host; sent is when the request
// was sent. A response without a limit withdraws the endpoint's limit.
func (t *Tracker) ApplyResponse(info endpoint.Info, n endpoint.Notice, sent, now time.Time) {
	if n.IsZero() && t.limitCount.Load() == 0 && !t.router.HasFragile(now) {
		return
	}
	// The row may have expired and been written again since the endpoint was chosen. The
	// incarnation is then higher, but an equal start time shows that it is the same run.
	current, ok := t.directory.Get(info.ID)
	if !ok || current.StartedMS != info.StartedMS {
		return
	}
	if !n.Moved && t.applyResponseLimits(current, n, sent, now) && t.leaveHandler.Load() == nil {
		t.router.MarkUrgent(current.ID)
	}
	isLeaving := n.Leaving && t.applyLeaving(current, "answer")
	backoffUntil := t.applyBackoff(current, n, now)
	if n.Refused {
		t.router.RecordRejection(current.Ref(), sent, now)
	}
	if n.Refused && n.Backoff == 0 {
		t.router.Penalize(current.Ref(), now)
	}
	if !isLeaving && backoffUntil.IsZero() {
		return
	}
	if t.leaveHandler.Load() != nil {
		return
	}
	t.addPending(info, isLeaving, backoffUntil)
	t.router.MarkUrgent(info.ID)
}

// applyBackoff applies a backoff that an endpoint asked for, or the one that follows if the
// endpoint is no longer at its address. It returns the end of the backoff, zero if none begins.
func (t *Tracker) applyBackoff(info endpoint.Info, n endpoint.Notice, now time.Time) time.Time {
	backoff, reason := n.Backoff, "asked"
	if n.Moved {
		backoff, reason = movedBackoff, "moved"
	}
	if backoff <= 0 || !t.router.SetBackoff(info.Ref(), now.Add(backoff), now) {
		return time.Time{}
	}
	t.log.Info().Str("endpoint", info.ID).Str("service", info.Service).Dur("backoff", backoff).Str("reason", reason).Msg("backing off from endpoint")
	return now.Add(backoff)
}

// applyLeaving marks an endpoint as leaving and reports whether it was not marked before.
func (t *Tracker) applyLeaving(info endpoint.Info, source string) bool {
	if info.State >= endpoint.Leaving {
		return false
	}
	info.State = endpoint.Leaving
	if handler := t.leaveHandler.Load(); handler != nil {
		(*handler)(info)
	} else {
		t.directory.Merge(info)
	}
	t.log.Info().Str("endpoint", info.ID).Str("service", info.Service).Str("address", info.Address).Str("by", source).Msg("marked endpoint as leaving")
	return true
}

// addPending adds a notice to be reported.
func (t *Tracker) addPending(info endpoint.Info, isLeaving bool, backoffUntil time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pending[info.ID]
	if !ok || p.startedMS != info.StartedMS {
		p = &pendingNotice{startedMS: info.StartedMS}
		t.pending[info.ID] = p
	}
	p.leaving = p.leaving || isLeaving
	if backoffUntil.After(p.backoffUntil) {
		p.backoffUntil = backoffUntil
	}
	p.rounds = 0
}

// report returns the notice as sent at now.
func (p *pendingNotice) report(id string, now time.Time) Report {
	return Report{Endpoint: id, StartedMS: p.startedMS, Notice: endpoint.Notice{Leaving: p.leaving, Backoff: max(p.backoffUntil.Sub(now), 0)}}
}

// Reports returns the reports to be sent to the other hosts in this round.
func (t *Tracker) Reports(now time.Time) []Report {
	limits := t.limitReports(maxReportsPerRound, now)
	return append(limits, t.noticeReports(maxReportsPerRound-len(limits), now)...)
}

// noticeReports returns the reports of this round except those of limits, at most maxCount.
func (t *Tracker) noticeReports(maxCount int, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for id, p := range t.pending {
		report := p.report(id, now)
		if p.rounds >= resendRounds || report.Notice.IsZero() {
			delete(t.pending, id)
			continue
		}
		if len(list) >= maxCount {
			continue
		}
		p.rounds++
		list = append(list, report)
	}
	return list
}

// ReportsFor returns the reports to be sent at once about some endpoints.
func (t *Tracker) ReportsFor(endpoints []string, now time.Time) []Report {
	var list []Report
	for _, id := range endpoints {
		list = append(list, t.pendingLimits(id, maxReportsPerRound-len(list))...)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range endpoints {
		if p, ok := t.pending[id]; ok && len(list) < maxReportsPerRound {
			list = append(list, p.report(id, now))
		}
	}
	return list
}

// ApplyReports applies the reports of another host. It skips those about unknown endpoints and
// about another run of an endpoint.
func (t *Tracker) ApplyReports(list []Report, now time.Time) {
	for _, report := range list {
		info, ok := t.directory.Get(report.Endpoint)
		if !ok || info.StartedMS != report.StartedMS {
			continue
		}
		if report.LimitVersion > 0 {
			t.applyReportedLimit(info, report, now)
		}
		if report.Notice.Leaving {
			t.applyLeaving(info, "another host")
		}
		if report.Notice.Backoff > 0 {
			t.router.SetPeerBackoff(info.Ref(), now.Add(report.Notice.Backoff), now)
		}
	}
}
