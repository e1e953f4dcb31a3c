package stream

import (
	"context"
	"sync"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/entropy"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/reclaim"
	"ironhollow/pkg/route"
)

// Parameters of moves, used until endpoints report their own.
const (
	// kvBytesPerToken is the KV cache size of one token of a mid-sized model.
	kvBytesPerToken = 128 << 10
	// endpointBytesPerSecond is the bandwidth of an endpoint for all moves. Each entry uses
	// entryShare of it, as if four entries had streams on the endpoint.
	endpointBytesPerSecond = 2 << 30
	entryShare             = 0.25
	// resumeLeadTime is the time before the end of the notice at which a stream that is to
	// be resumed elsewhere is cancelled. The tokens generated until then need not be
	// generated elsewhere.
	resumeLeadTime = 300 * time.Millisecond
)

// secondPlanTime is the fraction of the notice after which the streams that still run are
// planned for a second time. Expected lengths are estimates, and an unnecessary move of a
// cache costs less than the loss of a cache.
const secondPlanTime = 0.6

// MigrateStreams moves this process's streams off an endpoint with a reclaim notice. It
// returns once the plan is executed or ctx ends. If naive is set it does nothing, and every
// stream is interrupted when the endpoint stops.
func (r *Runner) MigrateStreams(ctx context.Context, info endpoint.Info, naive bool) {
	if naive {
		return
	}
	notice := time.Until(info.LeaveBy)
	r.migrateOnce(ctx, info, 1)
	if !pause.For(ctx, time.Until(info.LeaveBy)-time.Duration((1-secondPlanTime)*float64(notice))) {
		return
	}
	r.migrateOnce(ctx, info, secondPlanLengthFactor)
}

// secondPlanLengthFactor multiplies the expected remaining tokens of a stream in the second
// plan, so that it lets only those streams finish that are very likely to.
const secondPlanLengthFactor = 4

// migrateOnce makes and executes a plan for the streams that run on an endpoint now. The
// expected remaining tokens of each are multiplied by factor.
func (r *Runner) migrateOnce(ctx context.Context, info endpoint.Info, factor int) {
	now := time.Now()
	attempts := r.active.runningOn(info.Ref())
	if len(attempts) == 0 {
		return
	}
	byID := map[string]*activeAttempt{}
	streams := make([]reclaim.Stream, 0, len(attempts))
	for _, current := range attempts {
		stream := current.reclaimStream(r.cachedElsewhere(current, now))
		stream.RemainingTokens *= factor
		byID[current.requestID] = current
		streams = append(streams, stream)
	}
	steps := reclaim.Plan(streams, r.destinations(info, now), reclaim.Limits{
		Notice:         info.LeaveBy.Sub(now),
		BytesPerSecond: endpointBytesPerSecond * entryShare,
		BytesPerToken:  kvBytesPerToken,
	}, entropy.Rand)
	r.executePlan(ctx, info, steps, byID)
}

// cachedElsewhere returns the largest number of the prompt's tokens that another usable endpoint is
// estimated to have cached. A stream that is resumed there computes the rest of its prompt only.
func (r *Runner) cachedElsewhere(current *activeAttempt, now time.Time) int {
	if len(current.prefixHashes) == 0 {
		return 0
	}
	most := 0
	query := route.Query{Target: route.TargetOf(current.endpoint), PrefixHashes: current.prefixHashes, PromptTokens: current.promptTokens}
	for _, c := range r.router.Explain(query, now) {
		if c.Usable && c.Endpoint.ID != current.endpoint.ID {
			most = max(most, c.CachedTokens)
		}
	}
	return most
}

// destinations returns the other usable endpoints that serve the same model.
func (r *Runner) destinations(info endpoint.Info, now time.Time) []reclaim.Destination {
	var usable []reclaim.Destination
	for _, c := range r.router.Explain(route.Query{Target: route.TargetOf(info)}, now) {
		if c.Endpoint.ID == info.ID || !c.Usable {
			continue
		}
		pool := hazard.Pool{DataCenter: c.Endpoint.DataCenter, Class: c.Endpoint.Class}
		d := reclaim.Destination{Endpoint: c.Endpoint, FreeTokens: c.FreeTokens, Running: c.Running, Slots: c.Slots}
		if c.Endpoint.Reclaimable {
			d.HazardPerHour = r.hazard.Rate(pool, now)
		}
		usable = append(usable, d)
	}
	return usable
}

// maxConcurrentMoves is the maximum number of KV caches that are sent from one endpoint at a
// time.
const maxConcurrentMoves = 4

// executePlan executes the steps of a plan and returns when all moves are done.
func (r *Runner) executePlan(ctx context.Context, info endpoint.Info, steps []reclaim.Step, byID map[string]*activeAttempt) {
	var moves sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentMoves)
	for _, step := range steps {
		current := byID[step.Stream.ID]
		switch action := step.Action.(type) {
		case reclaim.Finish:
		case reclaim.Move:
			slots <- struct{}{}
			moves.Go(func() {
				r.move(ctx, current, action.To)
				<-slots
			})
		case reclaim.Resume:
			time.AfterFunc(time.Until(info.LeaveBy.Add(-resumeLeadTime)), func() { current.cancel(errMoved{}) })
		}
	}
	moves.Wait()
}

// move makes the destination fetch the KV cache and then continues the stream there. If
// that fails the stream stays: it is interrupted at the latest when the notice ends, and is
// then resumed from its tokens.
func (r *Runner) move(ctx context.Context, current *activeAttempt, to endpoint.Info) {
	if _, err := r.engines.Import(ctx, to.Address, current.requestID, current.endpoint.Address); err != nil {
		r.counters.MoveFailed.Inc()
		return
	}
	r.counters.Moved.Inc()
	current.cancel(errMoved{to: &to})
}

// Preempt cancels a request's running attempt, which is later resumed from its tokens. It
// returns false if the request has no running attempt.
func (r *Runner) Preempt(requestID string) bool {
	current, ok := r.active.find(requestID)
	if !ok {
		return false
	}
	r.counters.Preempted.Inc()
	current.cancel(errMoved{})
	return true
}
