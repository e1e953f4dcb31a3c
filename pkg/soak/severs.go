package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// severStream is the stream of random numbers that determines the severances of a run, maxSevers their
	// maximum number.
	severStream = 1 << 37
	maxSevers   = 8
	// severEventInterval lets an overlap of runs last longer than endpoints may take to end one.
	severEventInterval = 60 * time.Millisecond
	// unreachableMargin is how long before and after a fault between hosts and endpoints overlaps are excused.
	unreachableMargin = 500 * time.Millisecond
	// repeatDelay is how long after a response its repetition arrives.
	repeatDelay = 5 * time.Millisecond
)

// startSevers schedules severances of hosts' connections to endpoints, of which some continue their runs then, and
// responses of plain endpoints that arrive twice. It uses a separate random number generator, so that they do
// not change the other faults of a seed.
func (r *run) startSevers() {
	random := rand.New(rand.NewPCG(r.options.Seed, severStream))
	r.requestLog.SetEventInterval(severEventInterval)
	for range 1 + random.IntN(maxSevers) {
		resets, repeats := random.IntN(3) > 0, random.IntN(4) == 0
		r.schedule(time.Duration(random.Int64N(int64(r.options.Length))), func() {
			if repeats {
				r.log("responses of plain endpoints arrive twice for %v", faultPause)
				r.setRepeats(true)
				time.Sleep(faultPause)
				r.setRepeats(false)
				return
			}
			r.log("connections of hosts to endpoints severed, reset %v", resets)
			for _, n := range r.nodes {
				n.links.detach(resets)
			}
		})
	}
}

// setRepeats sets whether responses of plain endpoints arrive twice.
func (r *run) setRepeats(repeats bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.proxies[:plainEndpoints] {
		for _, n := range r.nodes {
			n.links.setRepeats(p.Address(), repeats)
		}
	}
}

// lingers reports whether an endpoint continues streams after their connections have been closed.
func (r *run) lingers(i int) bool { return r.separateLinks && i%2 == 0 }

// restartsUnderID reports whether an endpoint that crashed starts again under its ID.
func (r *run) restartsUnderID(i int) bool { return r.separateLinks && i%2 == 1 }

// markUnreachable records that hosts may not reach endpoints, or are suspended, for some time.
func (r *run) markUnreachable(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.unreachable = append(r.unreachable, window{now.Add(-unreachableMargin), now.Add(duration + unreachableMargin)})
}

// window is a span of time.
type window struct{ from, until time.Time }

func (w window) contains(at time.Time) bool { return at.After(w.from) && at.Before(w.until) }

// checkOverlaps checks that no request ran at two endpoints while hosts reached endpoints.
func (r *run) checkOverlaps() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, overlap := range r.requestLog.Overlaps() {
		if !slices.ContainsFunc(r.unreachable, func(w window) bool { return w.contains(overlap.At) }) {
			r.report.addViolation("%s ran at two endpoints for %v", overlap.Request, overlap.Lasted)
		}
	}
}
