package route

import (
	"time"

	"ironhollow/pkg/hazard"
)

// score is the sum behind one candidate.
type score struct {
	wait, queued, decode, risk, total time.Duration
	// least is the least queued of all that were looked at; for the best one only.
	least  time.Duration
	cached int
	// ahead is the prompt tokens read before the request's own.
	ahead int
}

// MayWaitShare is the part of an endpoint's slots that work that can wait may
// fill; the rest is for callers who wait, also after a data centre is lost and
// before anything new is bought.
const MayWaitShare = 0.6

// hasRoomForWaiting reports whether work that can wait may be sent.
func (l *load) hasRoomForWaiting(stale bool) bool {
	return l.waiting == 0 && float64(l.estimate(stale)) < MayWaitShare*float64(l.slots)
}

// estimate is how many requests are thought to run, by the latest report and,
// unless only that is to count, by what was sent and ended since.
func (l *load) estimate(stale bool) int {
	if stale {
		return l.running
	}
	return max(l.running+l.sentSince-l.endedSince, l.ownRunning)
}

// crowdingWeight is by how much a full batch is estimated to slow a request's decoding. It is less
// than it really does, as requests would go to the emptiest batch and not to the endpoint that
// has their prompt's shared parts.
const crowdingWeight = 0.2

// readWeight is what a prompt token that must be read counts for in addition to the time until it
// is read: it delays all requests behind it.
const readWeight = 1

// homeWeight is what the tokens of a shared part that nobody is known to have read count for at
// its preferred endpoint, in the choice alone. All hosts compute the same one, so that parts are
// found again by hosts that have all restarted. More would crowd preferred endpoints, which are
// not spread as evenly as loads.
const homeWeight = 1

// connectWeight is what an endpoint counts for more to which a connection must be opened
// first: endpoints pay for each, and a host that spreads a request in six seconds over 90
// of them opens one for most. More would have shared parts of prompts read again for it.
const connectWeight = 5 * time.Millisecond

// score works out the expected time at one endpoint.
func (r *Router) score(s *slot, q Query, now time.Time) score {
	l := &s.load
	f := s.group.model.Timings()
	running := l.estimate(q.stale)
	waiting := l.waiting
	if running > l.slots {
		waiting += running - l.slots
		running = l.slots
	}
	cached := int(l.trust * float64(min(s.cached, q.PromptTokens)))
	uncached := q.PromptTokens - cached + q.GeneratedTokens
	own := f.TimeToFirstToken(uncached)
	wait := own
	if running >= l.slots {
		wait += l.meanDuration * time.Duration(waiting+1) / time.Duration(max(l.slots, 1))
	}
	ahead := l.ahead(f.PrefillPerToken, now)
	wait += time.Duration(ahead) * f.PrefillPerToken
	queued := wait - own
	// A fuller batch decodes slower: this also spreads load that fits.
	crowding := 1 + crowdingWeight*float64(running)/float64(max(l.slots, 1))
	decode := time.Duration(float64(q.AnswerTokens) * crowding * float64(f.TokenGap))
	if s.info.DataCenter != r.home.DataCenter {
		wait += crossPlaceWeight
	}
	needsConnection := q.Connected != nil && !q.Connected(s.info.Address)
	if needsConnection {
		wait += connectWeight
	}
	total := wait + decode + readWeight*time.Duration(uncached)*f.PrefillPerToken
	total -= homeWeight * time.Duration(min(s.homeTokens, uncached)) * f.PrefillPerToken
	if needsConnection && q.mayExplore && l.isIdle(now) {
		total -= exploreWeight
	}
	if !q.allPenalized {
		total += max(l.backoff.penalty.Sub(now), 0)
	}
	risk := r.riskOf(s, q, total, now)
	return score{wait: wait, queued: queued, decode: decode, risk: risk, total: total + risk, cached: cached, ahead: ahead}
}

// riskOf is the work a reclaim would lose times its probability, in time.
func (r *Router) riskOf(s *slot, q Query, duration time.Duration, now time.Time) time.Duration {
	if !s.info.Reclaimable || q.RiskWeight == 0 {
		return 0
	}
	l := &s.load
	if now.Sub(l.rateAt) > hazardKept || l.rateAt.IsZero() {
		l.rate = r.hazard.Rate(hazard.Pool{DataCenter: s.info.DataCenter, Class: s.info.Class}, now)
		l.rateAt = now
	}
	probability := min(1, l.rate*duration.Seconds()/secondsAnHour)
	// Half the answer is lost on average, and all of the prompt.
	lost := duration/2 + time.Duration(q.PromptTokens+q.GeneratedTokens)*s.group.model.Timings().PrefillPerToken
	return time.Duration(probability * q.RiskWeight * float64(lost))
}
