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

// LimitKind is a kind of limit that endpoints set.
type LimitKind int

// The kinds of limit.
const (
	// RateLimit is Notice.Limit.
	RateLimit LimitKind = iota
	// RejectionLimit is Notice.MaxRejections.
	RejectionLimit
)

var limitKinds = []LimitKind{RateLimit, RejectionLimit}

func (k LimitKind) String() string {
	if k == RejectionLimit {
		return "rejections"
	}
	return "requests"
}

// limitIn returns the limit of a kind in a notice, 0 for none, and whether it cannot be parsed.
func (k LimitKind) limitIn(n endpoint.Notice) (limit float64, isBad bool) {
	if k == RejectionLimit {
		return float64(n.MaxRejections), n.BadMaxRejections
	}
	return float64(n.Limit), n.BadLimit
}

// notice returns a notice with a limit of the kind.
func (k LimitKind) notice(limit float64) endpoint.Notice {
	if k == RejectionLimit {
		return endpoint.Notice{MaxRejections: int(limit)}
	}
	return endpoint.Notice{Limit: endpoint.Limit(limit)}
}

// limitKey identifies a limit of an endpoint.
type limitKey struct {
	endpoint string
	kind     LimitKind
}

// limitState is what this host knows about the limit of one run of an endpoint.
type limitState struct {
	startedMS int64
	// limit is 0 after it was withdrawn or has expired.
	limit float64
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

// applyResponseLimits applies the limits in a verified response to a request that was sent at sent.
// It returns whether that changed any.
func (t *Tracker) applyResponseLimits(info endpoint.Info, n endpoint.Notice, sent, now time.Time) bool {
	isChanged := false
	for _, kind := range limitKinds {
		limit, isBad := kind.limitIn(n)
		if isBad {
			if _, isLogged := t.loggedBadLimits.LoadOrStore(info.Ref(), true); !isLogged {
				t.log.Warn().Str("endpoint", info.ID).Str("service", info.Service).Str("kind", kind.String()).Msg("ignored unreadable endpoint limit")
			}
			continue
		}
		isChanged = t.applyResponseLimit(info, kind, limit, sent, now) || isChanged
		if kind == RejectionLimit && limit == 0 {
			t.router.MarkSturdy(info.Ref(), sent)
		}
	}
	return isChanged
}

// applyResponseLimit applies a limit in a response and returns whether that changed it.
func (t *Tracker) applyResponseLimit(info endpoint.Info, kind LimitKind, limit float64, sent, now time.Time) bool {
	if limit == 0 && t.limitCount.Load() == 0 {
		return false
	}
	t.limitsMu.Lock()
	defer t.limitsMu.Unlock()
	key := limitKey{info.ID, kind}
	state, ok := t.limits[key]
	if !ok || state.startedMS != info.StartedMS {
		if limit == 0 {
			return false
		}
		state = &limitState{startedMS: info.StartedMS}
		t.limits[key] = state
	}
	isChanged := state.isChange(limit, sent)
	if isChanged {
		*state = limitState{startedMS: state.startedMS, limit: limit, version: state.version + 1, changedAt: now, confirmedAt: now, respondedAt: now}
		t.applyLimit(info, kind, limit, "answer", now)
	} else if limit > 0 && limit == state.limit {
		state.confirmedAt, state.respondedAt = now, now
	}
	t.limitCount.Store(int64(len(t.limits)))
	return isChanged
}

// isChange reports whether a response to a request that was sent at sent changes the limit.
// Responses may arrive out of order: one to a request from before the last change is ignored,
// unless it lowers the limit.
func (s *limitState) isChange(limit float64, sent time.Time) bool {
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
func (t *Tracker) applyLimit(info endpoint.Info, kind LimitKind, limit float64, source string, now time.Time) {
	if kind == RejectionLimit {
		t.router.SetMaxRejections(info.Ref(), int(limit), now)
	} else {
		t.router.SetLimit(info.Ref(), endpoint.Limit(limit), now)
	}
	t.log.Info().Str("endpoint", info.ID).Str("service", info.Service).Str("kind", kind.String()).Float64("limit", limit).Str("by", source).Msg("applied endpoint limit")
}

// applyReportedLimit applies another host's report of a limit.
func (t *Tracker) applyReportedLimit(info endpoint.Info, report Report, now time.Time) {
	t.limitsMu.Lock()
	defer t.limitsMu.Unlock()
	key := limitKey{info.ID, report.LimitKind}
	state, ok := t.limits[key]
	if !ok || state.startedMS != info.StartedMS {
		state = &limitState{startedMS: info.StartedMS}
		t.limits[key] = state
		t.limitCount.Store(int64(len(t.limits)))
	}
	limit, _ := report.LimitKind.limitIn(report.Notice)
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
		t.applyLimit(info, report.LimitKind, limit, "another host", now)
	}
}

// supersededBy reports whether another host's report replaces the known limit. Of two limits with
// the same version the lower one applies until the endpoint's next response.
func (s *limitState) supersededBy(limit float64, version uint64) bool {
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
	for key, state := range t.limits {
		info, ok := t.directory.Get(key.endpoint)
		switch {
		case !ok || info.State == endpoint.Gone || info.StartedMS != state.startedMS, state.limit == 0 && now.Sub(state.changedAt) > withdrawnTTL:
			delete(t.limits, key)
		case state.limit > 0 && now.Sub(state.confirmedAt) > t.limitTTLOf(key.endpoint):
			state.limit, state.changedAt = 0, now
			t.applyLimit(info, key.kind, 0, "lapse", now)
		}
	}
	t.limitCount.Store(int64(len(t.limits)))
}

// Limits returns all limits in force, for a host that starts.
func (t *Tracker) Limits(now time.Time) []Report {
	t.ExpireLimits(now)
	t.limitsMu.Lock()
	defer t.limitsMu.Unlock()
	var list []Report
	for key, state := range t.limits {
		if state.limit > 0 && state.version > 0 {
			list = append(list, state.report(key))
		}
	}
	return list
}

// limitReports returns the limits to be reported in this round, at most maxCount.
func (t *Tracker) limitReports(maxCount int, now time.Time) []Report {
	t.ExpireLimits(now)
	t.limitsMu.Lock()
	defer t.limitsMu.Unlock()
	var list []Report
	for key, state := range t.limits {
		if len(list) == maxCount {
			break
		}
		if state.isDue(now) {
			state.rounds++
			state.reportedAt = now
			list = append(list, state.report(key))
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

func (s *limitState) report(key limitKey) Report {
	return Report{Endpoint: key.endpoint, StartedMS: s.startedMS, Notice: key.kind.notice(s.limit), LimitVersion: s.version, LimitKind: key.kind}
}

// limitTTLOf returns how long this host keeps the limit of an endpoint without confirmation.
func (t *Tracker) limitTTLOf(id string) time.Duration {
	jitter := float64(xxhash.Sum64String(t.router.Node()+"\x00"+id)%1000) / 1000
	return limitTTL + time.Duration(jitter*float64(limitTTL))
}

// pendingLimits returns the reports of an endpoint's limits that are to be sent at once, at most
// maxCount.
func (t *Tracker) pendingLimits(id string, maxCount int) []Report {
	t.limitsMu.Lock()
	defer t.limitsMu.Unlock()
	var list []Report
	for _, kind := range limitKinds {
		key := limitKey{id, kind}
		if state, ok := t.limits[key]; ok && state.rounds < resendRounds && len(list) < maxCount {
			list = append(list, state.report(key))
		}
	}
	return list
}
