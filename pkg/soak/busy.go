package soak

import (
	"context"
	"time"
)

// underLoadPause is the mean time between two requests of a caller in RunUnderLoad.
const underLoadPause = 15 * time.Millisecond

// deadlineSlack is how long after its deadline a request may still be answered.
const deadlineSlack = time.Second

// overdueRequest is a request that was not answered by its deadline plus deadlineSlack.
type overdueRequest struct {
	id, address string
	sent, ended time.Time
}

// RunUnderLoad runs callers with a short pause between requests and injects no faults. Every
// request must be answered by its deadline.
func RunUnderLoad(ctx context.Context, o Options) (Outcome, error) {
	o.RequestPause = underLoadPause
	r := newRun(o)
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, err
	}
	stopCallers := r.startCallers(ctx)
	r.wait(ctx, o.Length)
	stopCallers()
	r.checkInvariants()
	if err := r.waitReady(readyTimeout); err != nil {
		r.report.addViolation("after %v under load: %v", o.Length, err)
	}
	return r.outcome(), ctx.Err()
}

// checkDeadlines checks that each request was answered by its deadline, unless its host had a
// fault or any host was stopped.
func (r *run) checkDeadlines() {
	for _, u := range r.report.overdue {
		if !r.anyStopped(u.sent, u.ended) && !r.faultyAt(u.address, u.sent) {
			r.report.addViolation("%s was not answered by %s within %v", u.id, u.address, u.ended.Sub(u.sent))
		}
	}
}

// faultyAt reports whether the host with the given address had a fault at the given time.
func (r *run) faultyAt(address string, at time.Time) bool {
	for _, n := range r.nodes {
		if n.settings.Callers == address {
			return n.faulty(at)
		}
	}
	return false
}
