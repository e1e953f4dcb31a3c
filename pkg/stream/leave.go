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

// Figures of a move, until endpoints report their own.
const (
	// bytesPerToken is the KV cache of one token of a mid-sized model.
	bytesPerToken = 128 << 10
	// bytesPerSecond is what an endpoint may send in all; each entry takes the
	// part below, as if four entries had streams on the endpoint.
	bytesPerSecond = 2 << 30
	ownPart        = 0.25
	// leadTime is how long before the end a stream that resumes elsewhere is
	// taken off: every token made before that is had for nothing.
	leadTime = 300 * time.Millisecond
)

// lastLook is the part of a notice after which what was to finish by itself and
// has not is planned for once more: lengths are guesses, and a cache that is
// moved for nothing costs less than one that is lost.
const lastLook = 0.6

// MigrateStreams moves this process's work off an endpoint that was given notice. It
// returns once the plan is carried out or the endpoint is gone. A naive plan
// leaves every stream to break off.
func (r *Runner) MigrateStreams(ctx context.Context, info endpoint.Info, naive bool) {
	if naive {
		return
	}
	notice := time.Until(info.LeaveBy)
	r.planOnce(ctx, info, 1)
	if !pause.For(ctx, time.Until(info.LeaveBy)-time.Duration((1-lastLook)*float64(notice))) {
		return
	}
	r.planOnce(ctx, info, caution)
}

// caution is how many times longer than reckoned streams are taken to run on
// at the last look.
const caution = 4

// planOnce plans for the streams that run on an endpoint now.
func (r *Runner) planOnce(ctx context.Context, info endpoint.Info, factor int) {
	now := time.Now()
	runs := r.active.on(info.Ref())
	if len(runs) == 0 {
		return
	}
	byID := map[string]*run{}
	works := make([]reclaim.Stream, 0, len(runs))
	for _, held := range runs {
		work := held.work()
		work.RemainingTokens *= factor
		byID[held.request] = held
		works = append(works, work)
	}
	steps := reclaim.Plan(works, r.destinations(info, now), reclaim.Limits{
		Notice:         info.LeaveBy.Sub(now),
		BytesPerSecond: bytesPerSecond * ownPart,
		BytesPerToken:  bytesPerToken,
	}, entropy.Rand)
	r.carryOut(ctx, info, steps, byID)
}

// destinations lists the endpoints that serve the same model.
func (r *Runner) destinations(info endpoint.Info, now time.Time) []reclaim.Destination {
	var list []reclaim.Destination
	for _, c := range r.router.Explain(route.Query{Target: route.TargetOf(info)}, now) {
		if c.Endpoint.ID == info.ID || !c.Usable {
			continue
		}
		place := hazard.Pool{DataCenter: c.Endpoint.DataCenter, Class: c.Endpoint.Class}
		d := reclaim.Destination{Endpoint: c.Endpoint, FreeTokens: c.FreeTokens, Running: c.Running, Slots: c.Slots}
		if c.Endpoint.Reclaimable {
			d.HazardPerHour = r.hazard.Rate(place, now)
		}
		list = append(list, d)
	}
	return list
}

// movesAtOnce bounds the KV caches under way from one endpoint.
const movesAtOnce = 4

func (r *Runner) carryOut(ctx context.Context, info endpoint.Info, steps []reclaim.Step, byID map[string]*run) {
	var moves sync.WaitGroup
	slots := make(chan struct{}, movesAtOnce)
	for _, step := range steps {
		held := byID[step.Stream.ID]
		switch action := step.Action.(type) {
		case reclaim.Finish:
		case reclaim.Move:
			slots <- struct{}{}
			moves.Go(func() {
				r.move(ctx, held, action.To)
				<-slots
			})
		case reclaim.Resume:
			time.AfterFunc(time.Until(info.LeaveBy.Add(-leadTime)), func() { held.cancel(errMoved{}) })
		}
	}
	moves.Wait()
}

// move fetches the KV cache at the destination, then takes the stream there.
// If the cache can't be had the stream stays: it breaks off at the end of the
// notice at the latest and is resumed from its tokens.
func (r *Runner) move(ctx context.Context, held *run, to endpoint.Info) {
	if _, err := r.engines.Import(ctx, to.Address, held.request, held.endpoint.Address); err != nil {
		r.counters.MoveFailed.Inc()
		return
	}
	r.counters.Moved.Inc()
	held.cancel(errMoved{to: &to})
}

// Preempt takes a request's running attempt off its endpoint, to go on later from
// its tokens. It reports false for a request that has no attempt running.
func (r *Runner) Preempt(request string) bool {
	held, ok := r.active.find(request)
	if !ok {
		return false
	}
	r.counters.Preempted.Inc()
	held.cancel(errMoved{})
	return true
}
