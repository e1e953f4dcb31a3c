package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"ironhollow/platform/standin"
)

// Timing of a run in which endpoints announce in responses that they leave or ask for backoff.
const (
	// warmUpTime is how long callers send before the first event.
	warmUpTime = time.Second
	// noticeDrainTime is how long leaving endpoints keep serving while the store is down.
	noticeDrainTime = 7 * time.Second
	// rejectTime is how long an endpoint rejects requests, noticeBackoff the backoff that it
	// asks for in each rejection.
	rejectTime    = 5 * time.Second
	noticeBackoff = 2 * time.Second
)

// NoticesOutcome is how hosts followed the notices of endpoints.
type NoticesOutcome struct {
	// LateRequests is how many requests reached a leaving endpoint, from any host, later than
	// the bound after its first response that announced that it leaves.
	LateRequests int
	// Backoffs are the backoffs that endpoints asked for.
	Backoffs []standin.Backoff
	// Served and Failed count requests sent while endpoints rejected some.
	Served, Failed int
}

// RunNotices lets one endpoint of each service leave while the store is down, so that only its
// responses announce it, and afterwards lets another one ask for backoff.
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

// leaveWithoutStore lets one endpoint of each service leave while the store is down.
func (r *run) leaveWithoutStore(ctx context.Context) {
	r.log("store down; an endpoint of each service leaves")
	r.markAllFaulty(noticeDrainTime + residualEffectTime)
	r.store.SetFaults(standin.StoreFaults{Down: true})
	r.endpoints[0].Drain(noticeDrainTime)
	r.endpoints[plainEndpoints].Drain(noticeDrainTime)
	r.wait(ctx, noticeDrainTime)
	r.store.SetFaults(standin.StoreFaults{})
}

// rejectRequests lets another endpoint of each service reject requests and returns the numbers of
// requests that were served and failed meanwhile.
func (r *run) rejectRequests(ctx context.Context) (served, failed int) {
	r.log("an endpoint of each service rejects requests")
	servedBefore, failedBefore := r.report.totals()
	r.endpoints[1].RejectRequests(rejectTime, noticeBackoff)
	r.endpoints[plainEndpoints+1].RejectRequests(rejectTime, noticeBackoff)
	r.wait(ctx, rejectTime+noticeBackoff)
	served, failed = r.report.totals()
	return served - servedBefore, failed - failedBefore
}

// rejectFault makes an endpoint reject requests and ask for backoff.
type rejectFault struct {
	after             time.Duration
	endpoint          int
	duration, backoff time.Duration
}

const (
	// noticeStream is the stream of random numbers that determines the rejections of a run,
	// maxRejections their maximum number.
	noticeStream  = 1 << 33
	maxRejections = 3
)

// randomRejections returns the rejections of a run. It uses a separate random number generator, so
// that rejections do not change the other faults of a seed.
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

// startRejections schedules the rejections of a run.
func (r *run) startRejections() {
	for _, f := range randomRejections(r.options, len(r.endpoints)) {
		r.schedule(f.after, func() {
			r.log("endpoint %d rejects requests for %v and asks for a backoff of %v", f.endpoint, f.duration, f.backoff)
			r.mu.Lock()
			e := r.endpoints[f.endpoint]
			r.mu.Unlock()
			e.RejectRequests(f.duration, f.backoff)
		})
	}
}

// checkNotices checks that all hosts followed the notices in endpoints' responses. It ignores times
// in which a host was stopped, because a stopped host loses the notices.
func (r *run) checkNotices() {
	for _, late := range r.requestLog.LateAfterNotice() {
		if !r.anyStopped(late.At.Add(-late.After), late.At) {
			r.report.addViolation("%s reached an endpoint %v after a response announced that it leaves", late.Request, late.After)
		}
	}
	for _, backoff := range r.requestLog.Backoffs() {
		if allowed := 2 * len(r.nodes); backoff.Requests > allowed && !r.anyStopped(backoff.Start, backoff.End) {
			r.report.addViolation("%s asked for a backoff of %v: got %d requests from %d hosts", backoff.Endpoint, backoff.End.Sub(backoff.Start), backoff.Requests, len(r.nodes))
		}
	}
}

// recordStop records that a host is being stopped now.
func (r *run) recordStop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopTimes = append(r.stopTimes, time.Now())
}

// anyStopped reports whether a host was stopped, killed or suspended between two times, or less than
// gracePeriod before: requests may have been delayed on the way from that host to the endpoint.
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
