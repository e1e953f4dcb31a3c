package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"ironhollow/platform/standin"
)

// Figures of a run in which endpoints say in their answers that they leave or ask for backoff.
const (
	// noticeSettle is how long callers send before anything happens.
	noticeSettle = time.Second
	// noticeServeOn is how long endpoints serve on that leave while the store is away.
	noticeServeOn = 7 * time.Second
	// turnAway is how long an endpoint turns requests away, noticeBackoff the backoff that it
	// asks for each time.
	turnAway      = 5 * time.Second
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
	defer r.end()
	if err := r.start(); err != nil {
		return Outcome{}, NoticesOutcome{}, err
	}
	stopCallers := r.startCallers(ctx)
	r.wait(ctx, noticeSettle)
	r.leaveUnwritten(ctx)
	r.wait(ctx, recovery)
	var notices NoticesOutcome
	notices.Served, notices.Failed = r.turnAway(ctx)
	stopCallers()
	r.checkRuns()
	notices.LateRequests = len(r.ledger.LateAfterNotice())
	notices.Backoffs = r.ledger.Backoffs()
	return r.outcome(), notices, ctx.Err()
}

// leaveUnwritten has an endpoint of each service leave while the store is away.
func (r *run) leaveUnwritten(ctx context.Context) {
	r.log("the store is away; an endpoint of each service leaves")
	r.harmAll(noticeServeOn + traces)
	r.store.SetFaults(standin.StoreFaults{Down: true})
	r.endpoints[0].Drain(noticeServeOn)
	r.endpoints[plainEndpoints].Drain(noticeServeOn)
	r.wait(ctx, noticeServeOn)
	r.store.SetFaults(standin.StoreFaults{})
}

// turnAway has another endpoint of each service turn requests away and returns what
// became of callers' requests meanwhile.
func (r *run) turnAway(ctx context.Context) (served, failed int) {
	r.log("an endpoint of each service turns requests away")
	servedBefore, failedBefore := r.report.totals()
	r.endpoints[1].RejectRequests(turnAway, noticeBackoff)
	r.endpoints[plainEndpoints+1].RejectRequests(turnAway, noticeBackoff)
	r.wait(ctx, turnAway+noticeBackoff)
	served, failed = r.report.totals()
	return served - servedBefore, failed - failedBefore
}

// turnsAway has an endpoint turn requests away, asking for backoff.
type turnsAway struct {
	after            time.Duration
	endpoint         int
	lasting, backoff time.Duration
}

const (
	// noticeStream is the stream of random numbers of such times, mostTurnsAway how many
	// there are in a run at most.
	noticeStream  = 1 << 33
	mostTurnsAway = 3
)

// drawTurnsAway draws them by numbers of their own: the other faults of a seed stay.
func drawTurnsAway(o Options, endpoints int) []turnsAway {
	random := rand.New(rand.NewPCG(o.Seed, noticeStream))
	drawn := make([]turnsAway, random.IntN(mostTurnsAway+1))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	for i := range drawn {
		drawn[i] = turnsAway{
			after: upTo(o.Length), endpoint: random.IntN(endpoints),
			lasting: time.Second + upTo(4*time.Second), backoff: time.Second + upTo(3*time.Second),
		}
	}
	return drawn
}

// startTurnsAway begins the times drawn.
func (r *run) startTurnsAway() {
	for _, f := range drawTurnsAway(r.options, len(r.endpoints)) {
		r.later(f.after, func() {
			r.log("endpoint %d turns requests away for %v, asking for a backoff of %v", f.endpoint, f.lasting, f.backoff)
			r.mu.Lock()
			e := r.endpoints[f.endpoint]
			r.mu.Unlock()
			e.RejectRequests(f.lasting, f.backoff)
		})
	}
}

// checkNotices checks that what endpoints said in answers was kept by all hosts, but for
// what a host forgot that was stopped since.
func (r *run) checkNotices() {
	for _, late := range r.ledger.LateAfterNotice() {
		if !r.anyStopped(late.At.Add(-late.After), late.At) {
			r.report.wrong("%s came to an endpoint %v after an answer had said that it leaves", late.Request, late.After)
		}
	}
	for _, backoff := range r.ledger.Backoffs() {
		if most := 2 * len(r.nodes); backoff.Requests > most && !r.anyStopped(backoff.Start, backoff.End) {
			r.report.wrong("%s had asked for a backoff of %v and got %d requests from %d hosts", backoff.Endpoint, backoff.End.Sub(backoff.Start), backoff.Requests, len(r.nodes))
		}
	}
}

// noteStop notes that a host is stopped now.
func (r *run) noteStop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, time.Now())
}

// anyStopped reports whether a host was stopped, killed or frozen between two moments,
// or shortly before: its way to the endpoint may have held requests up.
func (r *run) anyStopped(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.stops {
		if at.After(from.Add(-grace)) && at.Before(to) {
			return true
		}
	}
	return false
}
