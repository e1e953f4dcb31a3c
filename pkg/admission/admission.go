// Package admission decides whether a stream is sent to the endpoint that was chosen
// for it or refused at once, and when its caller is told to come back. It answers
// the seconds in which more prompts come than the engines read: a burst, a data
// centre's endpoints gone, a team far beyond its usual. Nothing here reads a clock
// or does I/O.
package admission

import (
	"time"

	"ironhollow/pkg/route"
)

// Stream is a stream that has not been sent anywhere.
type Stream struct {
	// Objective is the time to its first event, 0 for none.
	Objective time.Duration
	// Priority is its route's; 0 is the most urgent.
	Priority int
}

// QueueEstimate is what the choice of an endpoint reckons with.
type QueueEstimate struct {
	// Queue is the time behind other requests at the endpoint that was chosen, Processing
	// the time from then to the stream's first event.
	Queue, Processing time.Duration
	// MinQueue is the least time behind other requests at any endpoint that was looked at.
	MinQueue time.Duration
}

// EstimateOf returns what a choice reckons with.
func EstimateOf(c route.Choice) QueueEstimate {
	return QueueEstimate{Queue: c.Queued, Processing: c.Wait - c.Queued, MinQueue: c.LeastQueued}
}

// Thresholds of a refusal, for reviews, summaries and questions on engines that are half
// as many as they need to several times that (TestOverload plays them).
const (
	// freeShare is the part of the objective up to which a queue is none: where any
	// endpoint has so little to read, the engines are not overloaded, and a stream that
	// goes where its prompt's parts are rather than there is served no sooner by a
	// refusal.
	freeShare = 0.02
	// mostShare is the part of the objective by which the first event must be expected
	// for the most urgent: what is reckoned is short by up to 0.4 s for 1 in 10 when all
	// engines are full.
	mostShare = 0.8
	// shareStep is what each further step of priority has less, down to leastShare, so
	// that what is less urgent gives way first: short questions, the least urgent, need
	// little time of their own, and would be served more often than reviews.
	shareStep  = 0.15
	leastShare = 0.3
	// longShare is the part of the objective that may pass behind others for a prompt
	// that alone takes longer: it is late in any case, and worth something yet, but
	// holds up all that come after it. With less the longest would get hardly any.
	longShare = 0.1
	// comeBackSoon is the least time that a caller is told to stay away: prompts that
	// are being read are done in some 300 ms.
	comeBackSoon = 300 * time.Millisecond
)

// bearable is how long a stream whose own part takes a time may be behind others.
func (s Stream) bearable(own time.Duration) time.Duration {
	share := max(mostShare-float64(s.Priority)*shareStep, leastShare)
	left := time.Duration(share*float64(s.Objective)) - own
	return max(left, time.Duration(longShare*float64(s.Objective)))
}

// ShouldReject reports whether a stream's first event would come too late while all engines
// are behind, and after what time its caller should be back: when the queue is down
// to what the stream bears.
func (s Stream) ShouldReject(e QueueEstimate) (comeBack time.Duration, late bool) {
	if s.Objective <= 0 || e.MinQueue <= time.Duration(freeShare*float64(s.Objective)) {
		return 0, false
	}
	bearable := s.bearable(e.Processing)
	if e.Queue <= bearable {
		return 0, false
	}
	return max(e.Queue-bearable, comeBackSoon), true
}
