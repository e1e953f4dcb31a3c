package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"ironhollow/platform/standin"
)

// limitDuration is how long each limit in RunLimits is advertised.
const limitDuration = 8 * time.Second

// LimitsOutcome is what endpoints received while they advertised limits.
type LimitsOutcome struct {
	Limits []standin.AdvertisedLimit
	// ServedAfterWithdrawal is how many requests reached the plain endpoint that withdrew its limit
	// during calmTime, which starts recoveryTime after the withdrawal.
	ServedAfterWithdrawal int
	// Served and Failed count requests sent while limits were advertised.
	Served, Failed int
}

// RunLimits lets one endpoint of each service advertise a limit of requests per second, lower it,
// raise it while the store is down, and withdraw it.
func RunLimits(ctx context.Context, o Options) (Outcome, LimitsOutcome, error) {
	r := newRun(o)
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, LimitsOutcome{}, err
	}
	stopCallers := r.startCallers(ctx)
	r.wait(ctx, warmUpTime)
	servedBefore, failedBefore := r.report.totals()
	limited := []*standin.Endpoint{r.endpoints[0], r.endpoints[plainEndpoints]}
	for _, perSecond := range []float64{4, 1, 8} {
		r.log("an endpoint of each service advertises a limit of %v requests per second", perSecond)
		r.store.SetFaults(standin.StoreFaults{Down: perSecond == 8})
		for _, e := range limited {
			e.AdvertiseLimit(perSecond)
		}
		r.wait(ctx, limitDuration)
	}
	r.store.SetFaults(standin.StoreFaults{})
	served, failed := r.report.totals()
	for _, e := range limited {
		e.AdvertiseLimit(0)
	}
	r.wait(ctx, recoveryTime)
	before := r.requestLog.ArrivalCount(limited[0].ID())
	r.wait(ctx, calmTime)
	after := r.requestLog.ArrivalCount(limited[0].ID()) - before
	stopCallers()
	r.checkInvariants()
	return r.outcome(), LimitsOutcome{r.requestLog.AdvertisedLimits(), after, served - servedBefore, failed - failedBefore}, ctx.Err()
}

// limitFault makes an endpoint advertise a limit for some time.
type limitFault struct {
	after     time.Duration
	endpoint  int
	duration  time.Duration
	perSecond float64
}

const (
	// limitStream is the stream of random numbers that determines the limits of a run, maxLimits
	// the maximum number of limits.
	limitStream = 1 << 34
	maxLimits   = 3
)

// randomLimits returns the limits of a run. It uses a separate random number generator, so that
// limits do not change the other faults of a seed.
func randomLimits(o Options, endpoints int) []limitFault {
	random := rand.New(rand.NewPCG(o.Seed, limitStream))
	limits := make([]limitFault, random.IntN(maxLimits+1))
	for i := range limits {
		limits[i] = limitFault{
			after: time.Duration(random.Int64N(int64(o.Length))), endpoint: random.IntN(endpoints),
			duration: limitDuration + time.Duration(random.Int64N(int64(limitDuration))), perSecond: 0.2 + 4*random.Float64(),
		}
	}
	return limits
}

// startLimits schedules the limits of a run.
func (r *run) startLimits() {
	for _, f := range randomLimits(r.options, len(r.endpoints)) {
		r.schedule(f.after, func() {
			r.log("endpoint %d names a limit of %.2f a second for %v", f.endpoint, f.perSecond, f.duration)
			r.mu.Lock()
			e := r.endpoints[f.endpoint]
			r.mu.Unlock()
			e.AdvertiseLimit(f.perSecond)
			r.schedule(f.duration, func() { e.AdvertiseLimit(0) })
		})
	}
}

// checkLimits checks that no endpoint received more requests than its advertised limit allows. It
// ignores times after a host was stopped, because a restarted host has to learn the limit again.
func (r *run) checkLimits() {
	for _, l := range r.requestLog.AdvertisedLimits() {
		received, allowed := l.MaxArrivalsExcept(func(from, to time.Time) bool { return r.anyStopped(from, to) })
		if received > allowed {
			r.report.addViolation("%s advertised a limit of %.2f requests per second: got %d requests in a window, want %d at most", l.Endpoint, l.Limit, received, allowed)
		}
	}
}
