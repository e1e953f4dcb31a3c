package soak

import (
	"context"
	"time"

	"ironhollow/platform/standin"
)

// Figures of a run in which endpoints say in their answers that they leave or want rest.
const (
	// noticeSettle is how long callers send before anything happens.
	noticeSettle = time.Second
	// noticeServeOn is how long endpoints serve on that leave while the store is away.
	noticeServeOn = 7 * time.Second
	// turnAway is how long an endpoint turns requests away, noticeRest the rest that it
	// asks for each time.
	turnAway   = 5 * time.Second
	noticeRest = 2 * time.Second
)

// NoticesOutcome is what came of what endpoints said.
type NoticesOutcome struct {
	// Unheard is how many requests came to an endpoint that leaves, from any host, later
	// than the bound after its first answer that said so.
	Unheard int
	// Rests are the times of rest that were asked for.
	Rests []standin.Rest
	// Served and Failed are of requests sent while endpoints turned others away.
	Served, Failed int
}

// RunNotices has endpoints of each service say in their answers alone, while the store is
// away, that they leave, and others ask for rest afterwards.
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
	notices.Unheard = len(r.ledger.Unheard())
	notices.Rests = r.ledger.Rests()
	return r.outcome(), notices, ctx.Err()
}

// leaveUnwritten has an endpoint of each service leave while the store is away.
func (r *run) leaveUnwritten(ctx context.Context) {
	r.log("the store is away; an endpoint of each service leaves")
	r.harmAll(noticeServeOn + traces)
	r.store.SetTrouble(standin.Trouble{Down: true})
	r.endpoints[0].Leave(noticeServeOn)
	r.endpoints[plainEndpoints].Leave(noticeServeOn)
	r.wait(ctx, noticeServeOn)
	r.store.SetTrouble(standin.Trouble{})
}

// turnAway has another endpoint of each service turn requests away and returns what
// became of callers' requests meanwhile.
func (r *run) turnAway(ctx context.Context) (served, failed int) {
	r.log("an endpoint of each service turns requests away")
	servedBefore, failedBefore := r.report.totals()
	r.endpoints[1].TurnAway(turnAway, noticeRest)
	r.endpoints[plainEndpoints+1].TurnAway(turnAway, noticeRest)
	r.wait(ctx, turnAway+noticeRest)
	served, failed = r.report.totals()
	return served - servedBefore, failed - failedBefore
}
