// Package admission decides whether a stream is sent to the endpoint that was chosen
// for it or refused at once, and when its caller is told to come back. It answers
// the seconds in which more prompts come than the engines read: a burst, a data
// centre's endpoints gone, a team far beyond its usual. Nothing here reads a clock
// or does I/O.
package admission

import "time"

// Stream is a stream that has not been sent anywhere.
type Stream struct {
	// Objective is the time to its first event, 0 for none.
	Objective time.Duration
	// Priority is its route's; 0 is the most urgent.
	Priority int
}

// Thresholds of a refusal.
const (
	// mostQueueShare is the part of the objective that may pass behind other prompts
	// for the most urgent; what is left is for the stream's own prompt and the way.
	mostQueueShare = 0.8
	// queueShareStep is what each further step of priority bears less, so that what
	// is less urgent gives way first, down to leastQueueShare: a third of the
	// objective is no sign of overload yet.
	queueShareStep  = 0.15
	leastQueueShare = 0.3
	// comeBackSoon is the least time that a caller is told to stay away: prompts that
	// are being read are done in some 300 ms.
	comeBackSoon = 300 * time.Millisecond
)

// queueShare is the part of an objective that may pass behind other prompts.
func queueShare(priority int) float64 {
	return max(mostQueueShare-float64(priority)*queueShareStep, leastQueueShare)
}

// Late reports whether a stream's first event would come too late behind what is
// queued at the best endpoint, and after what time its caller should be back: when
// the queue is down to half of what the stream bears.
func (s Stream) Late(queued time.Duration) (comeBack time.Duration, late bool) {
	if s.Objective <= 0 {
		return 0, false
	}
	bearable := time.Duration(queueShare(s.Priority) * float64(s.Objective))
	if queued <= bearable {
		return 0, false
	}
	return max(queued-bearable/2, comeBackSoon), true
}
