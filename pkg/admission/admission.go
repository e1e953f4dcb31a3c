// Package admission decides whether a stream is sent to the endpoint that was chosen
// for it or rejected at once, and the Retry-After of a rejection. It handles periods of
// seconds in which more prompts arrive than the engines can read: a burst, the loss of a
// data centre's endpoints, a team far beyond its usual load. The package reads no clock
// and does no I/O.
package admission

import (
	"time"

	"ironhollow/pkg/route"
)

// Stream is a stream that has not been sent to an endpoint yet.
type Stream struct {
	// Objective is the target time to the first event, 0 for none.
	Objective time.Duration
	// Priority is the priority of the stream's route; 0 is the most urgent.
	Priority int
}

// QueueEstimate holds the time estimates of an endpoint choice.
type QueueEstimate struct {
	// Queue is the time spent behind other requests at the chosen endpoint; Processing is
	// the time from then to the stream's first event.
	Queue, Processing time.Duration
	// MinQueue is the shortest queue time of all endpoints that were considered.
	MinQueue time.Duration
}

// EstimateOf returns the time estimates of a choice.
func EstimateOf(c route.Choice) QueueEstimate {
	return QueueEstimate{Queue: c.Queued, Processing: c.Wait - c.Queued, MinQueue: c.LeastQueued}
}

// Thresholds of a rejection, for reviews, summaries and questions on engines that are half
// as many as needed to several times as many (TestOverload simulates them).
const (
	// idleQueueShare is the share of the objective up to which a queue counts as empty.
	// While any endpoint has such a short queue, the engines are not overloaded, and
	// rejecting a stream that was sent to a busier endpoint for its cached prompt prefix
	// would not get it served sooner.
	idleQueueShare = 0.02
	// maxShare is the share of the objective within which the first event of the most
	// urgent streams must be expected. The margin covers estimates that are up to 0.4 s too
	// short for 1 stream in 10 when all engines are full.
	maxShare = 0.8
	// priorityStep is subtracted from the share for each further step of priority, down to
	// minShare, so that less urgent streams are rejected first. Without it, short
	// questions, the least urgent, would be served more often than reviews, as they need
	// little processing time.
	priorityStep = 0.15
	minShare     = 0.3
	// longPromptShare is the share of the objective that a prompt may always queue, even if
	// its own processing takes longer than the objective. Such a stream is late in any case
	// but still useful, and it delays all streams behind it. With a lower share the longest
	// prompts would hardly ever be served.
	longPromptShare = 0.1
	// minRetryAfter is the shortest Retry-After: prompts that are being read are done in
	// some 300 ms.
	minRetryAfter = 300 * time.Millisecond
)

// maxQueue returns how long a stream with the given processing time may queue.
func (s Stream) maxQueue(processing time.Duration) time.Duration {
	share := max(maxShare-float64(s.Priority)*priorityStep, minShare)
	remaining := time.Duration(share*float64(s.Objective)) - processing
	return max(remaining, time.Duration(longPromptShare*float64(s.Objective)))
}

// ShouldReject reports whether a stream's first event would be too late while all engines
// have a queue. retryAfter is the time until the queue is short enough for the stream.
func (s Stream) ShouldReject(e QueueEstimate) (retryAfter time.Duration, reject bool) {
	if s.Objective <= 0 || e.MinQueue <= time.Duration(idleQueueShare*float64(s.Objective)) {
		return 0, false
	}
	maxQueue := s.maxQueue(e.Processing)
	if e.Queue <= maxQueue {
		return 0, false
	}
	return max(e.Queue-maxQueue, minRetryAfter), true
}
