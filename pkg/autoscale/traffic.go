package autoscale

import (
	"math"
	"time"
)

// Demand is what a service has to carry.
type Demand struct {
	// Load is engine time asked for a second, over all entries.
	Load float64
	// Measured is false until the traffic has been seen for a while: until then the
	// need is guessed from how many endpoints are allowed.
	Measured bool
	// MaxLoad is the engine time a second that the teams' limits let callers ask for, 0 if
	// they are not all limited.
	MaxLoad float64
}

// Parameters of the traffic seen.
const (
	// knownAfter is how long work must have been asked for until it is taken for
	// the service's traffic; its average looks back some seconds itself.
	knownAfter = 12 * time.Second
	// workFades is the time in which work that was asked for fades from the
	// demand: it drops at once when hosts die, though their callers come back.
	workFades = 20 * time.Second
)

// DemandTracker is the work that the holder of the lease has seen. It is used by one
// goroutine.
type DemandTracker struct {
	services map[string]*seenWork
}

// seenWork is the work seen of one service.
type seenWork struct {
	// since is when work was first asked for; zero before.
	since time.Time
	// peak is the most, fading, as of at.
	peak float64
	at   time.Time
}

// NewDemandTracker returns traffic of which nothing has been seen.
func NewDemandTracker() *DemandTracker { return &DemandTracker{services: map[string]*seenWork{}} }

// Observe takes in the work asked for now and returns a service's demand.
func (t *DemandTracker) Observe(service string, work float64, now time.Time) Demand {
	seen, ok := t.services[service]
	if !ok {
		seen = &seenWork{at: now}
		t.services[service] = seen
	}
	if work > 0 && seen.since.IsZero() {
		seen.since = now
	}
	faded := seen.peak * math.Exp(-now.Sub(seen.at).Seconds()/workFades.Seconds())
	seen.peak = max(work, faded)
	seen.at = now
	return Demand{Load: seen.peak, Measured: !seen.since.IsZero() && now.Sub(seen.since) > knownAfter}
}
