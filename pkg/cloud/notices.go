package cloud

import (
	"slices"
	"time"

	"ironhollow/pkg/endpoint"
)

// noticeRetention is how long after its endpoint should have left a notice is kept for an endpoint
// that is not known yet. The clocks of cloud and hosts may differ by less.
const noticeRetention = time.Minute

// NoticeQueue keeps the notices that could not be applied because their endpoint was not known: the
// list of hosts lags behind the notices. It is not safe for concurrent use.
type NoticeQueue struct {
	// lastSequence is the sequence number of the last notice added.
	lastSequence int64
	// added are the notices that Apply has not looked at yet, waiting those that it has kept.
	added, waiting []Notice
}

// LastSequence returns the sequence number after which notices have not been added yet.
func (q *NoticeQueue) LastSequence() int64 { return q.lastSequence }

// Add adds notices that were read after LastSequence.
func (q *NoticeQueue) Add(notices []Notice) {
	for _, n := range notices {
		if n.Sequence > q.lastSequence {
			q.lastSequence = n.Sequence
			q.added = append(q.added, n)
		}
	}
}

// Apply returns the endpoints that leave because of a notice, and how many notices were dropped
// because their endpoint did not become known while they waited. Notices of earlier incarnations,
// and those that were read too late, do not count.
func (q *NoticeQueue) Apply(get func(id string) (endpoint.Info, bool), now time.Time) (leaving []endpoint.Info, expired int) {
	var waiting []Notice
	for i, n := range slices.Concat(q.waiting, q.added) {
		info, known := get(n.Endpoint.ID)
		switch {
		case !known && now.Before(n.LeaveBy.Add(noticeRetention)):
			waiting = append(waiting, n)
		case !known && i < len(q.waiting):
			expired++
		case !known:
		case info.Incarnation <= n.Endpoint.Incarnation:
			info.Incarnation = n.Endpoint.Incarnation
			info.State = endpoint.Leaving
			info.LeaveBy = n.LeaveBy
			leaving = append(leaving, info)
		}
	}
	q.waiting, q.added = waiting, nil
	return leaving, expired
}
