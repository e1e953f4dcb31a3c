package autoscale

import (
	"math"
	"time"
)

// Demand is the load that a service must be able to serve.
type Demand struct {
	// Load is the offered load over all entries, in engine seconds a second.
	Load float64
	// Measured is false until load has been observed for a while. Until then the need
	// is derived from the number of endpoints allowed.
	Measured bool
	// MaxLoad is the load that the teams' limits allow, in engine seconds a second; 0
	// if not all teams are limited.
	MaxLoad float64
}

// Parameters of the load measurement.
const (
	// measuredAfter is how long after its first load a service counts as measured. The
	// observed load is itself an average over some seconds.
	measuredAfter = 12 * time.Second
	// loadDecayTime is the time constant with which the peak load decays: when hosts
	// die the observed load drops at once, but their callers come back.
	loadDecayTime = 20 * time.Second
)

// DemandTracker tracks the load of each service that the holder of the lease has
// observed. It is not safe for concurrent use.
type DemandTracker struct {
	services map[string]*serviceLoad
}

// serviceLoad is the observed load of one service.
type serviceLoad struct {
	// firstLoadAt is when load was first observed; zero before.
	firstLoadAt time.Time
	// peak is the decaying peak load at updatedAt.
	peak      float64
	updatedAt time.Time
}

// NewDemandTracker returns a DemandTracker without any observations.
func NewDemandTracker() *DemandTracker { return &DemandTracker{services: map[string]*serviceLoad{}} }

// Observe records the load offered now and returns the service's demand.
func (t *DemandTracker) Observe(service string, load float64, now time.Time) Demand {
	state, ok := t.services[service]
	if !ok {
		state = &serviceLoad{updatedAt: now}
		t.services[service] = state
	}
	if load > 0 && state.firstLoadAt.IsZero() {
		state.firstLoadAt = now
	}
	decayed := state.peak * math.Exp(-now.Sub(state.updatedAt).Seconds()/loadDecayTime.Seconds())
	state.peak = max(load, decayed)
	state.updatedAt = now
	return Demand{Load: state.peak, Measured: !state.firstLoadAt.IsZero() && now.Sub(state.firstLoadAt) > measuredAfter}
}
