package notice

import (
	"sync"
	"time"

	"ironhollow/pkg/endpoint"
)

// Parameters of the reports of rows.
const (
	// leavingReportTime is how long an endpoint is reported after its first row that states that it
	// leaves. A host whose calls to the store hang notices that after 2.5 s, and it may have read
	// the rows for the last time 1.3 s before.
	leavingReportTime = 4 * time.Second
	// leavingRetention is how long after its last row an endpoint that leaves is remembered. Rows
	// are renewed about every second.
	leavingRetention = 10 * time.Second
	// maxLeavingReports bounds the reports of one round: a reclaim takes up to 48 endpoints of each
	// of three data centres.
	maxLeavingReports = 150
)

// LeavingRows holds the endpoints whose rows have just begun to state that they leave, to be reported
// to a host that cannot read the rows. Endpoints without a row are not held: a row may also be
// missing because it could not be renewed. It is safe for concurrent use.
type LeavingRows struct {
	mu   sync.Mutex
	rows map[string]*leavingRow
	// receiver is the incarnation of the host to which the rounds were sent.
	receiver string
}

// leavingRow is an endpoint whose row states that it leaves.
type leavingRow struct {
	startedMS int64
	// beganAt and seenAt are when the first and the last such row were read.
	beganAt, seenAt time.Time
	// rounds is the number of rounds in which the endpoint has been reported to the receiver.
	rounds int
}

// NewLeavingRows returns an empty LeavingRows.
func NewLeavingRows() *LeavingRows { return &LeavingRows{rows: map[string]*leavingRow{}} }

// Observe records a row that states that its endpoint leaves, and returns whether it is the first one
// of the endpoint's run. Endpoints that do not state when they started are ignored, as a late report
// would also apply to their next run.
func (l *LeavingRows) Observe(info endpoint.Info, now time.Time) bool {
	if info.StartedMS == 0 || info.State != endpoint.Leaving {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, row := range l.rows {
		if now.Sub(row.seenAt) > leavingRetention {
			delete(l.rows, id)
		}
	}
	if row, ok := l.rows[info.ID]; ok && row.startedMS >= info.StartedMS {
		row.seenAt = now
		return false
	}
	l.rows[info.ID] = &leavingRow{startedMS: info.StartedMS, beganAt: now, seenAt: now}
	return true
}

// isDue reports whether the endpoint is to be reported, now or to a receiver that appears later.
func (r *leavingRow) isDue(now time.Time) bool { return now.Sub(r.beganAt) < leavingReportTime }

// Pending reports whether an endpoint has begun to leave recently.
func (l *LeavingRows) Pending(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range l.rows {
		if row.isDue(now) {
			return true
		}
	}
	return false
}

// Reports returns the reports to be sent to a receiver in this round. Each endpoint is reported in
// resendRounds rounds.
func (l *LeavingRows) Reports(receiver string, now time.Time) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew := receiver != l.receiver
	l.receiver = receiver
	var list []Report
	for id, row := range l.rows {
		if isNew {
			row.rounds = 0
		}
		if !row.isDue(now) || row.rounds >= resendRounds || len(list) == maxLeavingReports {
			continue
		}
		row.rounds++
		list = append(list, Report{Endpoint: id, StartedMS: row.startedMS, Notice: endpoint.Notice{Leaving: true}})
	}
	return list
}
