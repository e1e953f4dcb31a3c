package route

import (
	"time"

	"ironhollow/pkg/hazard"
)

// score is the estimate for one candidate.
type score struct {
	wait, queueTime, decode, risk, total time.Duration
	// leastQueueTime is the least queueTime of all candidates considered; set for the best one
	// only.
	leastQueueTime time.Duration
	cachedTokens   int
	// aheadTokens is the number of prompt tokens prefilled before the request's own.
	aheadTokens int
}

// MayWaitShare is the share of an endpoint's slots that work that can wait may fill. The rest is
// for callers who wait for their answer, also after a data centre is lost and before new capacity
// is bought.
const MayWaitShare = 0.6

// hasRoomForMayWait reports whether work that can wait may be sent to the endpoint.
func (l *load) hasRoomForMayWait(reportOnly bool) bool {
	return l.waiting == 0 && float64(l.estimateRunning(reportOnly)) < MayWaitShare*float64(l.slots)
}

// estimateRunning returns the estimated number of running requests: that of the latest report,
// corrected by what was sent and completed since unless reportOnly is set.
func (l *load) estimateRunning(reportOnly bool) int {
	if reportOnly {
		return l.running
	}
	return max(l.running+l.sentSinceReport-l.endedSinceReport, l.localRunning)
}

// batchShare returns the estimated share of the endpoint's slots in use.
func (s *slot) batchShare() float64 {
	return float64(s.load.estimateRunning(false)) / float64(max(s.load.slots, 1))
}

// crowdingWeight is the relative slowdown of a request's decoding that is assumed for a full
// batch. It is less than the actual slowdown, with which requests would go to the emptiest batch
// and not to the endpoint that has their shared prefixes cached.
const crowdingWeight = 0.2

// prefillWeight is the weight of the prefill time of a request's uncached tokens, in addition to
// the request's own wait for it: the prefill delays all requests queued behind it.
const prefillWeight = 1

// homeWeight is the weight, in the choice alone, of the prefill time of a shared prefix at its
// home, if no endpoint is known to have it cached. All hosts compute the same home, so that
// prefixes are found again after all hosts have restarted. A higher weight would crowd the homes,
// which are not spread as evenly as the load.
const homeWeight = 1

// connectWeight is the time added for an endpoint to which a connection must be opened first.
// Endpoints pay for each connection, and a host that spreads one request every six seconds over 90
// endpoints opens one for most requests. With a higher weight, shared prefixes would be prefilled
// again elsewhere to save a connection.
const connectWeight = 5 * time.Millisecond

// score computes the expected time at one endpoint.
func (r *Router) score(s *slot, q Query, now time.Time) score {
	l := &s.load
	f := s.timings()
	running := l.estimateRunning(q.reportOnly)
	waiting := l.waiting
	if running > l.slots {
		waiting += running - l.slots
		running = l.slots
	}
	cached := int(l.cacheTrust * float64(min(s.cachedTokens, q.PromptTokens)))
	uncached := q.PromptTokens - cached + q.GeneratedTokens
	prefillTime := f.TimeToFirstToken(uncached)
	wait := prefillTime
	if running >= l.slots {
		wait += l.meanDuration * time.Duration(waiting+1) / time.Duration(max(l.slots, 1))
	}
	ahead := l.prefillAhead(f.PrefillPerToken, now)
	wait += time.Duration(ahead) * f.PrefillPerToken
	queued := wait - prefillTime
	// A fuller batch decodes more slowly. This also spreads load that fits in one batch.
	crowding := 1 + crowdingWeight*float64(running)/float64(max(l.slots, 1))
	decode := time.Duration(float64(q.AnswerTokens) * crowding * float64(f.TokenGap))
	if s.info.DataCenter != r.location.DataCenter {
		wait += crossDataCenterWeight
	}
	needsConnection := q.Connected != nil && !q.Connected(s.info.Address)
	if needsConnection {
		wait += connectWeight
	}
	// The choice counts the service's decode time, not the endpoint's. With the endpoint's, long
	// answers fill all slots of the fast endpoints, and prompts wait there although slow endpoints
	// have free slots: 94 % instead of 100 % of long prompts were then on time at three quarters of
	// the capacity (mixedFleet in package lab).
	serviceDecode := time.Duration(float64(q.AnswerTokens) * crowding * float64(s.group.speed.Timings().TokenGap))
	total := wait + serviceDecode + prefillWeight*time.Duration(uncached)*f.PrefillPerToken
	total -= homeWeight * time.Duration(min(s.homeTokens, uncached)) * s.group.speed.Timings().PrefillPerToken
	if needsConnection && q.mayExplore && l.isIdle(now) {
		total -= exploreWeight
	}
	if !q.ignorePenalties {
		total += max(l.backoff.penaltyUntil.Sub(now), 0)
	}
	risk := r.riskOf(s, q, total, now)
	return score{wait: wait, queueTime: queued, decode: decode, risk: risk, total: total + risk, cachedTokens: cached, aheadTokens: ahead}
}

// riskOf returns the expected loss by a reclaim: the lost work, as time, times the probability.
func (r *Router) riskOf(s *slot, q Query, duration time.Duration, now time.Time) time.Duration {
	if !s.info.Reclaimable || q.RiskWeight == 0 {
		return 0
	}
	l := &s.load
	if now.Sub(l.hazardAt) > hazardCacheTime || l.hazardAt.IsZero() {
		l.hazardPerHour = r.hazard.Rate(hazard.Pool{DataCenter: s.info.DataCenter, Class: s.info.Class}, now)
		l.hazardAt = now
	}
	probability := min(1, l.hazardPerHour*duration.Seconds()/secondsPerHour)
	// On average half of the answer is lost, and all of the prompt.
	lost := duration/2 + time.Duration(q.PromptTokens+q.GeneratedTokens)*s.timings().PrefillPerToken
	return time.Duration(probability * q.RiskWeight * float64(lost))
}
