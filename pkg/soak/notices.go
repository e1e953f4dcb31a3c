package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"ironhollow/platform/standin"
)

// Figures of a run in which endpoints say in their answers that they leave or ask for backoff.
const (
	// warmUpTime is how long callers send before anything happens.
	warmUpTime = time.Second
	// noticeDrainTime is how long endpoints serve on that leave while the store is away.
	noticeDrainTime = 7 * time.Second
	// rejectTime is how long an endpoint turns requests away, noticeBackoff the backoff that it
	// asks for each time.
	rejectTime    = 5 * time.Second
	noticeBackoff = 2 * time.Second
)

// NoticesOutcome is what came of what endpoints said.
type NoticesOutcome struct {
	// LateRequests is how many requests came to an endpoint that leaves, from any host, later
	// than the bound after its first answer that said so.
	LateRequests int
	// Backoffs are those that were asked for.
	Backoffs []standin.Backoff
	// Served and Failed are of requests sent while endpoints turned others away.
	Served, Failed int
}

// RunNotices has endpoints of each service say in their answers alone, while the store is
// away, that they leave, and others ask for backoff afterwards.
func RunNotices(ctx context.Context, o Options) (Outcome, NoticesOutcome, error) {
	r := newRun(o)
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, NoticesOutcome{}, err
	}
	stopCallers := r.startCallers(ctx)
	r.wait(ctx, warmUpTime)
	r.leaveWithoutStore(ctx)
	r.wait(ctx, recoveryTime)
	var notices NoticesOutcome
	notices.Served, notices.Failed = r.rejectRequests(ctx)
	stopCallers()
	r.checkInvariants()
	notices.LateRequests = len(r.requestLog.LateAfterNotice())
	notices.Backoffs = r.requestLog.Backoffs()
	return r.outcome(), notices, ctx.Err()
}

// leaveWithoutStore has an endpoint of each service leave while the store is away.
func (r *run) leaveWithoutStore(ctx context.Context) {
	r.log("the store is away; an endpoint of each service leaves")
	r.markAllFaulty(noticeDrainTime + residualEffectTime)
	r.store.SetFaults(standin.StoreFaults{Down: true})
	r.endpoints[0].Drain(noticeDrainTime)
	r.endpoints[plainEndpoints].Drain(noticeDrainTime)
	r.wait(ctx, noticeDrainTime)
	r.store.SetFaults(standin.StoreFaults{})
}

// rejectRequests has another endpoint of each service turn requests away and returns what
// became of callers' requests meanwhile.
func (r *run) rejectRequests(ctx context.Context) (served, failed int) {
	r.log("an endpoint of each service turns requests away")
	servedBefore, failedBefore := r.report.totals()
	r.endpoints[1].RejectRequests(rejectTime, noticeBackoff)
	r.endpoints[plainEndpoints+1].RejectRequests(rejectTime, noticeBackoff)
	r.wait(ctx, rejectTime+noticeBackoff)
	served, failed = r.report.totals()
	return served - servedBefore, failed - failedBefore
}

// rejectFault has an endpoint turn requests away, asking for backoff.
type rejectFault struct {
	after             time.Duration
	endpoint          int
	duration, backoff time.Duration
}

const (
	// noticeStream is the stream of random numbers of such times, mostTurnsAway how many
	// there are in a run at most.
	noticeStream  = 1 << 33
	maxRejections = 3
)

// randomRejections draws them by numbers of their own: the other faults of a seed stay.
func randomRejections(o Options, endpoints int) []rejectFault {
	random := rand.New(rand.NewPCG(o.Seed, noticeStream))
	rejections := make([]rejectFault, random.IntN(maxRejections+1))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	for i := range rejections {
		rejections[i] = rejectFault{
			after: upTo(o.Length), endpoint: random.IntN(endpoints),
			duration: time.Second + upTo(4*time.Second), backoff: time.Second + upTo(3*time.Second),
		}
	}
	return rejections
}

// startRejections begins the times drawn.
func (r *run) startRejections() {
	for _, f := range randomRejections(r.options, len(r.endpoints)) {
		r.schedule(f.after, func() {
			r.log("endpoint %d turns requests away for %v, asking for a backoff of %v", f.endpoint, f.duration, f.backoff)
			r.mu.Lock()
			e := r.endpoints[f.endpoint]
			r.mu.Unlock()
			e.RejectRequests(f.duration, f.backoff)
		})
	}
}

// checkNotices checks that what endpoints said in answers was kept by all hosts, but for
// what a host forgot that was stopped since.
func (r *run) checkNotices() {
	for _, late := range r.requestLog.LateAfterNotice() {
		if !r.anyStopped(late.At.Add(-late.After), late.At) {
			r.report.addViolation("%s came to an endpoint %v after an answer had said that it leaves", late.Request, late.After)
		}
	}
	for _, backoff := range r.requestLog.Backoffs() {
		if allowed := 2 * len(r.nodes); backoff.Requests > allowed && !r.anyStopped(backoff.Start, backoff.End) {
			r.report.addViolation("%s had asked for a backoff of %v and got %d requests from %d hosts", backoff.Endpoint, backoff.End.Sub(backoff.Start), backoff.Requests, len(r.nodes))
		}
	}
}

// recordStop notes that a host is stopped now.
func (r *run) recordStop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopTimes = append(r.stopTimes, time.Now())
}

// anyStopped reports whether a host was stopped, killed or frozen between two moments,
// or shortly before: its way to the endpoint may have held requests up.
func (r *run) anyStopped(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.stopTimes {
		if at.After(from.Add(-gracePeriod)) && at.Before(to) {
			return true
		}
	}
	return false
}
