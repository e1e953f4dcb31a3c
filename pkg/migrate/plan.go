// Package migrate moves running streams away from endpoints that leave, together with their memory,
// so that prompts and answers need not be prefilled again. Plan decides which streams are moved and
// in which order; it reads no clock and no socket. Handover is the state of one move, which the
// goroutine that relays the stream shares with the one that moves it.
package migrate

import (
	"sort"
	"time"
)

// Parameters of the plan.
const (
	// finishFactor and finishMargin are the margin of the estimate that a stream ends in time: the
	// pace of a stream varies by some percent, and the last event takes a few milliseconds to arrive.
	finishFactor = 1.1
	finishMargin = 100 * time.Millisecond
	// stopReserve is the time that must be left after a copy, for the call that stops the run and for
	// the request at the target: three round trips of a few milliseconds, and the step in progress at
	// each end, of up to 100 ms.
	stopReserve = 200 * time.Millisecond
	// crossingFactor is how much longer a copy takes between data centres.
	crossingFactor = 2
	// paceEvents is the number of events of a stream that weigh as much as the mean pace of its
	// service: the first gaps also contain the prefills of other requests in the same steps.
	paceEvents = 4
	// overrunShare is the part of what a stream has made that is assumed to be left once it is longer
	// than expected.
	overrunShare = 0.1
	// DefaultNotice is assumed as the time left to an endpoint that does not state it. It is shorter
	// than the notices that endpoints usually give, so that no run is stopped too late.
	DefaultNotice = 1500 * time.Millisecond
)

// Link is the cost of a copy.
type Link struct {
	BytesPerToken, BytesPerSecond float64
}

// CopyTime returns the time that a copy takes on an otherwise idle link.
func (l Link) CopyTime(tokens int, crossesDataCenters bool) time.Duration {
	seconds := float64(tokens) * l.BytesPerToken / l.BytesPerSecond
	if crossesDataCenters {
		seconds *= crossingFactor
	}
	return time.Duration(min(seconds, maxCopyTime.Seconds()) * float64(time.Second))
}

// maxCopyTime bounds the estimate of a copy, so that sums of estimates do not overflow.
const maxCopyTime = 24 * time.Hour

// Stream is a running stream at a leaving endpoint.
type Stream struct {
	ID string
	// Tokens is the number of tokens of the prompt and of the answer so far.
	Tokens int
	// Remaining is the estimated time until the stream ends at its endpoint.
	Remaining time.Duration
	// Resumable is set if the stream can continue elsewhere after a break, with all its tokens
	// prefilled again. Otherwise a break is the end of it.
	Resumable bool
}

// Conditions are those under which streams are moved.
type Conditions struct {
	// Left is the time until the endpoint stops.
	Left time.Duration
	Link Link
	// PrefillPerToken is the time to prefill one token again.
	PrefillPerToken time.Duration
}

// FinishesInTime reports whether a stream ends before its endpoint.
func FinishesInTime(remaining, left time.Duration) bool {
	return time.Duration(finishFactor*float64(remaining))+finishMargin <= left
}

// IsWorthMoving reports whether a move costs less than what is lost without it.
func (c Conditions) IsWorthMoving(s Stream, crossesDataCenters bool) bool {
	if FinishesInTime(s.Remaining, c.Left) {
		return false
	}
	return !s.Resumable || c.Link.CopyTime(s.Tokens, crossesDataCenters) < time.Duration(s.Tokens)*c.PrefillPerToken
}

// FitsInTime reports whether a copy that takes copyTime can be followed by the handover.
func (c Conditions) FitsInTime(copyTime time.Duration) bool { return copyTime+stopReserve <= c.Left }

// Plan returns the streams to be moved, those with most tokens first. others are the runs at the same
// endpoint that other hosts relay. They share its link, and all hosts plan in the same order, so
// that the hosts together start no more copies than fit in the time left. Copies are assumed to
// cross data centres, because an endpoint is usually reclaimed together with those near it.
func Plan(own []Stream, others []Run, c Conditions) []Stream {
	ordered := append([]Stream(nil), own...)
	sort.Slice(ordered, func(i, j int) bool {
		return precedes(ordered[i].Tokens, ordered[i].ID, ordered[j].Tokens, ordered[j].ID)
	})
	others = append([]Run(nil), others...)
	sort.Slice(others, func(i, j int) bool { return precedes(others[i].Tokens, others[i].ID, others[j].Tokens, others[j].ID) })
	var planned []Stream
	busy := time.Duration(0)
	for _, s := range ordered {
		for len(others) > 0 && precedes(others[0].Tokens, others[0].ID, s.Tokens, s.ID) {
			busy += c.Link.CopyTime(others[0].Tokens, true)
			others = others[1:]
		}
		if !c.IsWorthMoving(s, true) {
			continue
		}
		if copyTime := c.Link.CopyTime(s.Tokens, true); c.FitsInTime(busy + copyTime) {
			busy += copyTime
			planned = append(planned, s)
		}
	}
	return planned
}

// precedes reports whether a run comes before another one in the order that all hosts use.
func precedes(tokens int, id string, otherTokens int, otherID string) bool {
	if tokens != otherTokens {
		return tokens > otherTokens
	}
	return id < otherID
}

// TokenGap returns the estimated time between tokens of a stream. events is the number of events
// after the first one, and elapsed the time that they took. The estimate is the stream's own gap,
// which shows how slow its endpoint is, smoothed with mean, that of the service.
func TokenGap(elapsed time.Duration, events, tokensPerEvent int, mean time.Duration) time.Duration {
	tokens := max(events, 0) * tokensPerEvent
	meanTokens := paceEvents * tokensPerEvent
	return (elapsed + time.Duration(meanTokens)*mean) / time.Duration(tokens+meanTokens)
}

// RemainingTokens returns the estimated number of tokens that a stream has still to make. expected
// and longest, the caller's estimate and limit, are 0 if not stated.
func RemainingTokens(made, expected, longest int) int {
	if expected <= 0 {
		expected = longest
	}
	if expected <= 0 {
		// An answer of unknown length is as likely to last as long again as to end before.
		return max(made, 1)
	}
	remaining := max(expected-made, int(overrunShare*float64(made)), 1)
	if longest > 0 {
		remaining = min(remaining, max(longest-made, 1))
	}
	return remaining
}
