package route

import "time"

// Endpoints to which this entry has a connection are preferred. Without exploration, an endpoint that
// is new, was rate-limited or is back after an outage gets no request while the others are not busy,
// and the load and limits that it reports in its answers are not learned.
const (
	// exploreEvery is the number of choices for a target of which at most one explores an endpoint.
	exploreEvery = 100
	// exploreIdleTime is the minimum time since this entry last sent a request to an endpoint before
	// the endpoint can be explored.
	exploreIdleTime = time.Second
	// exploreWeight is subtracted from the expected time of an endpoint that can be explored. It
	// exceeds connectWeight, so that the endpoint ranks ahead of equal ones with a connection.
	exploreWeight = 2 * connectWeight
)

// countChoice counts a choice and reports whether it may explore an endpoint. The group's lock
// must be held.
func (g *group) countChoice() bool {
	g.choicesSinceExplored++
	return g.choicesSinceExplored >= exploreEvery
}

// recordSend records the time of a request sent to an endpoint, and restarts the count of choices
// if exploration was due and the endpoint was idle. The group's lock must be held.
func (g *group) recordSend(s *slot, now time.Time) {
	if g.choicesSinceExplored >= exploreEvery && s.load.isIdle(now) {
		g.choicesSinceExplored = 0
	}
	s.load.sentAt = now
}

// isIdle reports whether this entry has sent the endpoint no request within exploreIdleTime.
func (l *load) isIdle(now time.Time) bool { return now.Sub(l.sentAt) >= exploreIdleTime }
