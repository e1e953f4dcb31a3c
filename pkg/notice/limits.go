package notice

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
)

// Parameters of the limits that this host knows.
const (
	// refreshInterval is the time between two reports of a limit that responses to this host still
	// set.
	refreshInterval = 5 * time.Second
	// limitTTL is how long a limit applies without a response or a report that confirms it. Each
	// host keeps it for one to two times as long, so that the hosts do not all try the endpoint
	// again at once.
	limitTTL = 30 * time.Second
	// withdrawnTTL is how long a withdrawn limit is remembered: no report of the limit arrives
	// later than that.
	withdrawnTTL = 10 * time.Minute
)

// limitState is what this host knows about the limit of one run of an endpoint.
type limitState struct {
	startedMS int64
	// limit is 0 after it was withdrawn or has expired.
	limit endpoint.Limit
	// version grows with each change that a response shows, so that late reports of other hosts
	// have no effect.
	version uint64
	// changedAt is when this host received limit, confirmedAt when a response or a report last
	// confirmed it, and respondedAt when a response to this host last did.
	changedAt, confirmedAt, respondedAt time.Time
	// rounds is the number of rounds in which limit has been reported, reportedAt the last time
	// that it was.
	rounds     int
	reportedAt time.Time
}

// applyResponseLimit applies the limit in a verified response to a request that was sent at sent.
// It returns whether that changed the limit.
func (t *Tracker) applyResponseLimit(info endpoint.Info, n endpoint.Notice, sent, now time.Time) bool {
	if n.BadLimit {
		if _, isLogged := t.loggedBadLimits.LoadOrStore(info.Ref(), true); !isLogged {
			t.log.Warn().Str("endpoint", info.ID).Str("service", info.Service).Msg("ignored unreadable endpoint limit")
		}
		return false
	}
	if n.Limit == 0 && t.limitCount.Load() == 0 {
		return false
	}
	t.limitsMu.Lock()
	defer t.limitsMu.Unlock()
	state, ok := t.limits[info.ID]
	if !ok || state.startedMS != info.StartedMS {
		if n.Limit == 0 {
			return false
		}
		state = &limitState{startedMS: info.StartedMS}
		t.limits[info.ID] = state
	}
	isChanged := state.isChange(n.Limit, sent)
	if isChanged {
		*state = limitState{startedMS: state.startedMS, limit: n.Limit, version: state.version + 1, changedAt: now, confirmedAt: now, respondedAt: now}
		t.applyLimit(info, n.Limit, "answer", now)
	} else if n.Limit > 0 && n.Limit == state.limit {
		state.confirmedAt, state.respondedAt = now, now
	}
	t.limitCount.Store(int64(len(t.limits)))
	return isChanged
}

// isChange reports whether a response to a request that was sent at sent changes the limit.
// Responses may arrive out of order: one to a request from before the last change is ignored,
// unless it lowers the limit.
func (s *limitState) isChange(limit endpoint.Limit, sent time.Time) bool {
	switch {
	case limit == s.limit:
		return false
	case s.version == 0:
		return true
	default:
		return limit > 0 && limit < s.limit || sent.After(s.changedAt)
	}
}

// applyLimit sets a limit in the router. limitsMu is held, so that the router gets the changes in
// order.
func (t *Tracker) applyLimit(info endpoint.Info, limit endpoint.Limit, source string, now time.Time) {
	t.router.SetLimit(info.Ref(), limit, now)
	t.log.Info().Str("endpoint", info.ID).Str("service", info.Service).Float64("limit", float64(limit)).Str("by", source).Msg("applied endpoint limit")
}

// applyReportedLimit applies another host's report of a limit.
func (t *Tracker) applyReportedLimit(info endpoint.Info, report Report, now time.Time) {
	t.limitsMu.Lock()
	defer t.limitsMu.Unlock()
	state, ok := t.limits[info.ID]
	if !ok || state.startedMS != info.StartedMS {
		state = &limitState{startedMS: info.StartedMS}
		t.limits[info.ID] = state
		t.limitCount.Store(int64(len(t.limits)))
	}
	limit := report.Notice.Limit
	isNewer := state.supersededBy(limit, report.LimitVersion)
	previous := state.limit
	switch {
	case isNewer:
		*state = limitState{startedMS: state.startedMS, limit: limit, version: report.LimitVersion, changedAt: now, confirmedAt: now, rounds: resendRounds}
	case limit > 0 && limit == state.limit:
		state.confirmedAt = now
	case report.LimitVersion < state.version:
		// The other host does not have the latest limit, so report it again.
		state.rounds = 0
	}
	if isNewer && limit != previous {
		t.applyLimit(info, limit, "another host", now)
	}
}

// supersededBy reports whether another host's report replaces the known limit. Of two limits with
// the same version the lower one applies until the endpoint's next response.
func (s *limitState) supersededBy(limit endpoint.Limit, version uint64) bool {
	if version != s.version {
		return version > s.version
	}
	return limit > 0 && (s.limit == 0 || limit < s.limit)
}

// ExpireLimits lifts limits that have not been confirmed for too long, and removes withdrawn limits
// after withdrawnTTL and the limits of endpoints that are gone. Reports does so too.
func (t *Tracker) ExpireLimits(now time.Time) {
	t.limitsMu.Lock()
	defer t.limitsMu.Unlock()
	for id, state := range t.limits {
		info, ok := t.directory.Get(id)
		switch {
		case !ok || info.State == endpoint.Gone || info.StartedMS != state.startedMS, state.limit == 0 && now.Sub(state.changedAt) > withdrawnTTL:
			delete(t.limits, id)
		case state.limit > 0 && now.Sub(state.confirmedAt) > t.limitTTLOf(id):
			state.limit, state.changedAt = 0, now
			t.applyLimit(info, 0, "lapse", now)
		}
	}
	t.limitCount.Store(int64(len(t.limits)))
}

// limitReports returns the limits to be reported in this round, at most maxCount.
func (t *Tracker) limitReports(maxCount int, now time.Time) []Report {
	t.ExpireLimits(now)
	t.limitsMu.Lock()
	defer t.limitsMu.Unlock()
	var list []Report
	for id, state := range t.limits {
		if len(list) == maxCount {
			break
		}
		if state.isDue(now) {
			state.rounds++
			state.reportedAt = now
			list = append(list, state.report(id))
		}
	}
	return list
}

// isDue reports whether the limit is to be reported: in the first rounds, and every
// refreshInterval while responses to this host confirm it.
func (s *limitState) isDue(now time.Time) bool {
	if s.version == 0 {
		return false
	}
	if s.rounds < resendRounds {
		return true
	}
	return s.limit > 0 && now.Sub(s.respondedAt) < refreshInterval && now.Sub(s.reportedAt) >= refreshInterval
}

func (s *limitState) report(id string) Report {
	return Report{Endpoint: id, StartedMS: s.startedMS, Notice: endpoint.Notice{Limit: s.limit}, LimitVersion: s.version}
}

// limitTTLOf returns how long this host keeps the limit of an endpoint without confirmation.
func (t *Tracker) limitTTLOf(id string) time.Duration {
	jitter := float64(xxhash.Sum64String(t.router.Node()+"\x00"+id)%1000) / 1000
	return limitTTL + time.Duration(jitter*float64(limitTTL))
}

// pendingLimit returns the report of an endpoint's limit that is to be sent at once, or false if
// there is none.
func (t *Tracker) pendingLimit(id string) (Report, bool) {
	t.limitsMu.Lock()
	defer t.limitsMu.Unlock()
	state, ok := t.limits[id]
	if !ok || state.rounds >= resendRounds {
		return Report{}, false
	}
	return state.report(id), true
}
