package forward

import (
	"context"
	"slices"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/upstream"
)

// evacuation empties one endpoint. Its moves run one after another, as they share the endpoint's link.
type evacuation struct {
	*Mover
	info      endpoint.Info
	offered   routetable.Moves
	startedAt time.Time
	// runs are the runs that the endpoint last reported; stopsAt is when it then said that it stops,
	// zero if it did not.
	runs    []migrate.Run
	stopsAt time.Time
	// nextReport is when the endpoint may be asked for its report again.
	nextReport time.Time
	counts     [migrate.Unplaced + 1]int
}

// run moves streams until none is relayed from the endpoint.
func (e *evacuation) run() {
	for !e.isEmpty(e.info.Ref()) {
		s, ok := e.next(e.movable(e.info.Ref()))
		if !ok {
			time.Sleep(planInterval)
			continue
		}
		result := e.move(s)
		switch result {
		case migrate.Kept, migrate.Failed:
			// The estimates have changed since the plan, or the source did not make the copy.
			time.Sleep(planInterval)
		case migrate.Unplaced:
			if s.refusals > 0 {
				// Other streams may still find a target: they may be smaller, or avoid fewer endpoints.
				s.pausedUntil = e.clock().Add(targetInterval)
			} else {
				time.Sleep(targetInterval)
			}
		}
		e.counts[result]++
		e.metrics.moves.WithLabelValues(e.info.Service, result.String()).Inc()
	}
	if moved := e.counts[migrate.Stopped] + e.counts[migrate.Returned] + e.counts[migrate.Lost]; moved > 0 || e.counts[migrate.Refused]+e.counts[migrate.Failed] > 0 {
		e.log.Info().Str("endpoint", e.info.ID).Str("service", e.info.Service).Int("moved", e.counts[migrate.Stopped]).Int("returned", e.counts[migrate.Returned]).
			Int("lost", e.counts[migrate.Lost]).Int("refused", e.counts[migrate.Refused]).Int("failed", e.counts[migrate.Failed]).Msg("moved streams from leaving endpoint")
	}
}

// refresh reads what is known of the endpoint and reports whether it is still there.
func (e *evacuation) refresh() bool {
	info, ok := e.router.Lookup(e.info.ID)
	if !ok || info.Ref() != e.info.Ref() || info.State != endpoint.Leaving {
		return false
	}
	e.info = info
	return e.left() > 0
}

// left returns the time until the endpoint stops, by its row or its report, whichever is sooner: the
// time in a row is as of when it was written.
func (e *evacuation) left() time.Duration {
	stopsAt := e.info.LeaveBy
	if stopsAt.IsZero() || !e.stopsAt.IsZero() && e.stopsAt.Before(stopsAt) {
		stopsAt = e.stopsAt
	}
	if stopsAt.IsZero() {
		stopsAt = e.startedAt.Add(migrate.DefaultNotice)
	}
	return stopsAt.Sub(e.clock())
}

func (e *evacuation) conditions() migrate.Conditions {
	return migrate.Conditions{
		Left:            e.left(),
		Link:            migrate.Link{BytesPerToken: e.offered.BytesPerToken, BytesPerSecond: e.offered.BytesPerSecond},
		PrefillPerToken: e.timings().PrefillPerToken,
	}
}

// next returns the stream to be moved next.
func (e *evacuation) next(own map[string]*relayedStream) (*relayedStream, bool) {
	if !e.refresh() || len(own) == 0 {
		return nil, false
	}
	// The report states which runs share the link, and when the endpoint stops if its row does not.
	if e.info.LeaveBy.IsZero() || len(e.plan(own, nil)) > 0 {
		e.fetchReport(own)
	}
	candidates := e.plan(own, e.others(own))
	if len(candidates) == 0 {
		return nil, false
	}
	return own[candidates[0].ID], true
}

func (e *evacuation) plan(own map[string]*relayedStream, others []migrate.Run) []migrate.Stream {
	now, timings := e.clock(), e.timings()
	streams := make([]migrate.Stream, 0, len(own))
	for _, s := range own {
		streams = append(streams, s.describe(now, timings.TokenGap))
	}
	return migrate.Plan(streams, others, e.conditions())
}

// fetchReport asks the endpoint for its runs, at most every reportInterval.
func (e *evacuation) fetchReport(own map[string]*relayedStream) {
	now := e.clock()
	if now.Before(e.nextReport) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var source migrate.Source
	for _, s := range own {
		source = s.source()
		break
	}
	report, err := e.calls.Report(ctx, source)
	if err != nil {
		// The plan uses this host's streams alone.
		e.metrics.failedReports.Inc()
		e.runs, e.nextReport = nil, now.Add(reportRetry)
		return
	}
	e.runs, e.nextReport = report.Runs, now.Add(reportInterval)
	if report.HasLeft {
		e.stopsAt = now.Add(report.Left)
	}
}

// others returns the reported runs that other hosts relay.
func (e *evacuation) others(own map[string]*relayedStream) []migrate.Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	mine := e.streams[e.info.Ref()]
	var others []migrate.Run
	for _, run := range e.runs {
		if mine[run.ID] == nil && own[run.ID] == nil {
			others = append(others, run)
		}
	}
	return others
}

// move tries to move one stream to an endpoint that the router chooses.
func (e *evacuation) move(s *relayedStream) migrate.Result {
	target, ok := e.chooseTarget(s)
	if !ok {
		return migrate.Unplaced
	}
	s.attempts++
	crosses := target.Endpoint.DataCenter != e.info.DataCenter
	described := s.describe(e.clock(), e.timings().TokenGap)
	if c := e.conditions(); !c.IsWorthMoving(described, crosses) || !c.FitsInTime(c.Link.CopyTime(described.Tokens, crosses)) {
		e.router.Done(target, route.Result{Refused: true}, e.clock())
		return migrate.Kept
	}
	s.setTarget(target)
	result := migrate.Move{
		Calls: e.calls, Handover: s.handover, Source: s.source(), RunID: s.id, Target: target.Endpoint.Address,
		Left: e.left, Clock: e.clock, FreeFailed: e.freeFailed,
		CanReach: func(ctx context.Context) bool {
			ctx, cancel := context.WithTimeout(ctx, reachTimeout)
			defer cancel()
			return e.pool.Probe(ctx, target.Endpoint.Address, s.limit) == upstream.Accepting
		},
		MayStop: func(took time.Duration) bool {
			c := e.conditions()
			// The rest of the copy may take as long as the first copy, as it waits on the same link.
			return e.refresh() && !s.unnumbered.Load() && !migrate.FinishesInTime(s.describe(e.clock(), e.timings().TokenGap).Remaining, c.Left) &&
				c.FitsInTime(took) && took < e.offered.HandleLifetime
		},
	}.Run(context.Background())
	e.afterMove(s, target, result)
	return result
}

// afterMove completes the choice of the target unless the relay takes it over. After a stop it ends
// the reading of a stream that the source does not close.
func (e *evacuation) afterMove(s *relayedStream, target route.Choice, result migrate.Result) {
	switch result {
	case migrate.Stopped, migrate.Returned:
		s.attempts = maxMoveAttempts
		time.AfterFunc(abortDelay, s.abort)
	case migrate.Ended, migrate.Lost:
		s.attempts = maxMoveAttempts
	case migrate.Refused:
		s.refusals++
		s.avoid(target.Endpoint.Ref())
	}
	if s.attempts == maxMoveAttempts {
		e.runs = slices.DeleteFunc(e.runs, func(r migrate.Run) bool { return r.ID == s.id })
	}
	if result != migrate.Stopped {
		e.router.Done(target, route.Result{Refused: true}, e.clock())
		return
	}
	go func() {
		s.handover.WasUsed()
		if !s.isTargetTaken() {
			e.router.Done(target, route.Result{Refused: true}, e.clock())
		}
	}()
}

func (m *Mover) freeFailed(err error) {
	m.metrics.failedFrees.Inc()
	m.log.Warn().Err(err).Msg("a copy that is not needed could not be freed and expires")
}

// chooseTarget chooses an endpoint of the same release, as a run's memory can be used only with the
// same model. It does not accept leaving endpoints, which the router offers if no other has room: the
// run would have to be moved again.
func (e *evacuation) chooseTarget(s *relayedStream) (route.Choice, bool) {
	query := s.targetQuery()
	query.Continues = true
	query.Confirms = func(info endpoint.Info) bool { return isConfirmed(e.pool, info) }
	query.Rule.OnlyRelease, query.Rule.IsPinned = e.info.Release, true
	query.Avoid = append(query.Avoid, e.info.Ref())
	query.Accepts = func(c route.Choice) bool {
		return c.Endpoint.AcceptsWork() && c.Endpoint.Release == e.info.Release
	}
	return e.router.Choose(query, route.Expected, e.clock())
}

func (e *evacuation) timings() timings {
	t := e.router.Timings(route.TargetOf(e.info))
	return timings{t.PrefillPerToken, t.TokenGap}
}

// timings are the parts of the engines' speed that the plan uses.
type timings struct{ PrefillPerToken, TokenGap time.Duration }
