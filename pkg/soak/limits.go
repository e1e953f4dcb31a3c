package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"ironhollow/platform/standin"
)

// limitDuration is how long each limit of a run of RunLimits is named.
const limitDuration = 8 * time.Second

// LimitsOutcome is what endpoints that named limits received.
type LimitsOutcome struct {
	Limits []standin.AdvertisedLimit
	// ServedAfterWithdrawal is how many requests the endpoint that withdrew its limit served in the end.
	ServedAfterWithdrawal int
	// Served and Failed are of requests sent while limits were named.
	Served, Failed int
}

// RunLimits has one endpoint of each service name a limit of requests a second, lower it,
// raise it while the store is away, and withdraw it.
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
		r.log("an endpoint of each service names a limit of %v a second", perSecond)
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

// limitFault has an endpoint name a limit.
type limitFault struct {
	after     time.Duration
	endpoint  int
	duration  time.Duration
	perSecond float64
}

const (
	// limitStream is the stream of random numbers of limits, mostLimits how many there are in
	// a run at most.
	limitStream = 1 << 34
	maxLimits   = 3
)

// randomLimits draws them by numbers of their own: the other faults of a seed stay.
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

// startLimits begins the limits drawn.
func (r *run) startLimits() {
	for _, f := range randomLimits(r.options, len(r.endpoints)) {
		r.schedule(f.after, func() {
			r.log("endpoint %d names a limit of %.2f a second for %v", f.endpoint, f.perSecond, f.duration)
			r.mu.Lock()
			e := r.endpoints[f.endpoint]
			r.mu.Unlock()
			e.AdvertiseLimit(f.perSecond)
			time.AfterFunc(f.duration, func() { e.AdvertiseLimit(0) })
		})
	}
}

// checkLimits checks that no endpoint got more than the limit that it named allows, but for
// times after a host was stopped, which has to be told again.
func (r *run) checkLimits() {
	for _, l := range r.requestLog.AdvertisedLimits() {
		received, allowed := l.MaxArrivalsExcept(func(from, to time.Time) bool { return r.anyStopped(from, to) })
		if received > allowed {
			r.report.addViolation("%s named a limit of %.2f a second and got %d requests in a window, %d allowed", l.Endpoint, l.Limit, received, allowed)
		}
	}
}
