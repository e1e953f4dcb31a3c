package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// severStream is the stream of random numbers that determines the severances of a run, maxSevers their
	// maximum number.
	severStream = 1 << 37
	maxSevers   = 5
	// severEventInterval lets an overlap of runs last longer than endpoints may take to end one.
	severEventInterval = 60 * time.Millisecond
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
		links, resets, repeats := r.nodes[random.IntN(len(r.nodes))].links, random.IntN(2) == 0, random.IntN(3) == 0
		r.schedule(time.Duration(random.Int64N(int64(r.options.Length))), func() {
			if repeats {
				r.log("responses of plain endpoints arrive twice for %v", faultPause)
				r.setRepeats(links, true)
				time.Sleep(faultPause)
				r.setRepeats(links, false)
				return
			}
			r.log("connections of a host to endpoints severed, reset %v", resets)
			links.detach(resets)
		})
	}
}

// setRepeats sets whether responses of plain endpoints arrive twice at a host.
func (r *run) setRepeats(links *endpointLinks, repeats bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.proxies[:plainEndpoints] {
		links.setRepeats(p.Address(), repeats)
	}
}

// lingers reports whether an endpoint continues streams after their connections have been closed.
func (r *run) lingers(i int) bool { return r.separateLinks && i%2 == 0 }

// restartsUnderID reports whether an endpoint that crashed starts again under its ID.
func (r *run) restartsUnderID(i int) bool { return r.separateLinks && i%2 == 1 }

// checkOverlaps checks that no request ran at two endpoints while no host had another fault.
func (r *run) checkOverlaps() {
	for _, overlap := range r.requestLog.Overlaps() {
		noFaults := true
		for _, n := range r.nodes {
			noFaults = noFaults && !n.faulty(overlap.At)
		}
		if noFaults {
			r.report.addViolation("%s ran at two endpoints for %v", overlap.Request, overlap.Lasted)
		}
	}
}
