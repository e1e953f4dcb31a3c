package notice

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/endpoint"
)

// Parameters of what is known of limits.
const (
	// refreshPause is the time between two reports of a limit that answers to this host
	// still name.
	refreshPause = 5 * time.Second
	// limitKept is how long a limit holds that no answer and no report has confirmed; up
	// to twice as long by host, so that not all hosts ask the endpoint at once.
	limitKept = 30 * time.Second
	// withdrawnKept is how long it is remembered that a limit was withdrawn: until no late
	// report of it can come.
	withdrawnKept = 10 * time.Minute
)

// limitState is what is known of the limit of an endpoint's life.
type limitState struct {
	born int64
	// limit is 0 once it was withdrawn or has lapsed.
	limit endpoint.Limit
	// version grows with each change that an answer shows, so that late reports of other
	// hosts change nothing.
	version uint64
	// changed is when this host learned of limit, confirmed when an answer or a report
	// last named it, answered when an answer to this host did.
	changed, confirmed, answered time.Time
	// rounds is in how many it has been reported, reported when it last was.
	rounds   int
	reported time.Time
}

// applyAnswerLimit applies what a verified answer, to a request that was sent at a time, says of
// its endpoint's limit. It reports whether that is news.
func (b *Tracker) applyAnswerLimit(held endpoint.Info, n endpoint.Notice, sent, now time.Time) bool {
	if n.BadLimit {
		if _, isLogged := b.badLimits.LoadOrStore(held.Ref(), true); !isLogged {
			b.log.Warn().Str("endpoint", held.ID).Str("service", held.Service).Msg("ignored unreadable endpoint limit")
		}
		return false
	}
	if n.Limit == 0 && b.limitCount.Load() == 0 {
		return false
	}
	b.limitsMu.Lock()
	defer b.limitsMu.Unlock()
	state, ok := b.limits[held.ID]
	if !ok || state.born != held.StartedMS {
		if n.Limit == 0 {
			return false
		}
		state = &limitState{born: held.StartedMS}
		b.limits[held.ID] = state
	}
	changes := state.changedBy(n.Limit, sent)
	if changes {
		*state = limitState{born: state.born, limit: n.Limit, version: state.version + 1, changed: now, confirmed: now, answered: now}
		b.applyLimit(held, n.Limit, "answer", now)
	} else if n.Limit > 0 && n.Limit == state.limit {
		state.confirmed, state.answered = now, now
	}
	b.limitCount.Store(int64(len(b.limits)))
	return changes
}

// changedBy reports whether an answer to a request that was sent at a time changes the
// limit. Answers overtake each other: one to a request from before the last change says
// nothing new, except where it lowers the limit.
func (s *limitState) changedBy(limit endpoint.Limit, sent time.Time) bool {
	switch {
	case limit == s.limit:
		return false
	case s.version == 0:
		return true
	default:
		return limit > 0 && limit < s.limit || sent.After(s.changed)
	}
}

// applyLimit has the choice keep to a limit. The limits' lock is held, so that the choice gets
// changes in their order.
func (b *Tracker) applyLimit(held endpoint.Info, limit endpoint.Limit, by string, now time.Time) {
	b.router.SetLimit(held.Ref(), limit, now)
	b.log.Info().Str("endpoint", held.ID).Str("service", held.Service).Float64("limit", float64(limit)).Str("by", by).Msg("applied endpoint limit")
}

// applyReportedLimit applies another host's report of a limit.
func (b *Tracker) applyReportedLimit(held endpoint.Info, report Report, now time.Time) {
	b.limitsMu.Lock()
	defer b.limitsMu.Unlock()
	state, ok := b.limits[held.ID]
	if !ok || state.born != held.StartedMS {
		state = &limitState{born: held.StartedMS}
		b.limits[held.ID] = state
		b.limitCount.Store(int64(len(b.limits)))
	}
	limit := report.Notice.Limit
	changes := state.supersededBy(limit, report.LimitVersion)
	before := state.limit
	switch {
	case changes:
		*state = limitState{born: state.born, limit: limit, version: report.LimitVersion, changed: now, confirmed: now, rounds: reportRounds}
	case limit > 0 && limit == state.limit:
		state.confirmed = now
	case report.LimitVersion < state.version:
		// The other host does not know the latest: it is reported again.
		state.rounds = 0
	}
	if changes && limit != before {
		b.applyLimit(held, limit, "another host", now)
	}
}

// supersededBy reports whether another host's report is newer. Of two at odds, the one that
// has the endpoint get less holds until its next answer.
func (s *limitState) supersededBy(limit endpoint.Limit, version uint64) bool {
	if version != s.version {
		return version > s.version
	}
	return limit > 0 && (s.limit == 0 || limit < s.limit)
}

// ExpireLimits ends limits that nothing has confirmed for long. Reports does so too.
func (b *Tracker) ExpireLimits(now time.Time) {
	b.limitsMu.Lock()
	defer b.limitsMu.Unlock()
	for id, state := range b.limits {
		info, ok := b.directory.Get(id)
		switch {
		case !ok || info.State == endpoint.Gone || info.StartedMS != state.born, state.limit == 0 && now.Sub(state.changed) > withdrawnKept:
			delete(b.limits, id)
		case state.limit > 0 && now.Sub(state.confirmed) > b.keptFor(id):
			state.limit, state.changed = 0, now
			b.applyLimit(info, 0, "lapse", now)
		}
	}
	b.limitCount.Store(int64(len(b.limits)))
}

// limitReports returns the limits to report in this round, at most a number of them.
func (b *Tracker) limitReports(most int, now time.Time) []Report {
	b.ExpireLimits(now)
	b.limitsMu.Lock()
	defer b.limitsMu.Unlock()
	var list []Report
	for id, state := range b.limits {
		if len(list) == most {
			break
		}
		if state.due(now) {
			state.rounds++
			state.reported = now
			list = append(list, state.report(id))
		}
	}
	return list
}

// due reports whether the limit is to be reported: in the first rounds, and now and then
// while answers to this host name it.
func (s *limitState) due(now time.Time) bool {
	if s.version == 0 {
		return false
	}
	if s.rounds < reportRounds {
		return true
	}
	return s.limit > 0 && now.Sub(s.answered) < refreshPause && now.Sub(s.reported) >= refreshPause
}

func (s *limitState) report(id string) Report {
	return Report{Endpoint: id, StartedMS: s.born, Notice: endpoint.Notice{Limit: s.limit}, LimitVersion: s.version}
}

// keptFor is how long this host keeps an endpoint's limit that nothing confirms.
func (b *Tracker) keptFor(id string) time.Duration {
	share := float64(xxhash.Sum64String(b.router.Node()+"\x00"+id)%1000) / 1000
	return limitKept + time.Duration(share*float64(limitKept))
}

// pendingLimit returns the report of an endpoint's limit that is sent at once; ok is false
// where there is none to send.
func (b *Tracker) pendingLimit(id string) (Report, bool) {
	b.limitsMu.Lock()
	defer b.limitsMu.Unlock()
	state, ok := b.limits[id]
	if !ok || state.rounds >= reportRounds {
		return Report{}, false
	}
	return state.report(id), true
}
