package soak

import (
	"context"
	"time"
)

// busyPause is the mean time between two requests of a caller in a run of RunBusy.
const busyPause = 15 * time.Millisecond

// answerTime is how long after its deadline a request must have been answered.
const answerTime = time.Second

// unanswered is a request that was not answered in time.
type unanswered struct {
	id, address string
	sent, ended time.Time
}

// RunUnderLoad has callers send without pause and injects no faults: every request must be
// answered by its deadline.
func RunUnderLoad(ctx context.Context, o Options) (Outcome, error) {
	o.RequestPause = busyPause
	r := newRun(o)
	defer r.end()
	if err := r.start(); err != nil {
		return Outcome{}, err
	}
	stopCallers := r.startCallers(ctx)
	r.wait(ctx, o.Length)
	stopCallers()
	r.checkRuns()
	if err := r.waitReady(readyTime); err != nil {
		r.report.wrong("after %v of load: %v", o.Length, err)
	}
	return r.outcome(), ctx.Err()
}

// checkAnswered checks that each request was answered by its deadline, unless its host was
// harmed or any was stopped.
func (r *run) checkAnswered() {
	for _, u := range r.report.unanswered {
		if !r.anyStopped(u.sent, u.ended) && !r.harmedAt(u.address, u.sent) {
			r.report.wrong("%s was not answered by %s within %v", u.id, u.address, u.ended.Sub(u.sent))
		}
	}
}

// harmedAt reports whether the host with an address was harmed at a moment.
func (r *run) harmedAt(address string, at time.Time) bool {
	for _, n := range r.nodes {
		if n.file.Callers == address {
			return n.harmed(at)
		}
	}
	return false
}
