// Package hazard estimates how often hosts of a data centre and class are reclaimed. The
// estimates start from the operators' figures and follow notices, refused starts and
// losses; old observations are forgotten.
package hazard

import (
	"math"
	"sync"
	"time"
)

// Pool is the hosts of one class in one data centre.
type Pool struct {
	DataCenter string
	Class      string
}

// Parameters of the estimate.
const (
	// halfLife is the half-life of observed events and host-hours.
	halfLife = 2 * time.Hour
	// priorWeight is how many host-hours of observation the operator's figure weighs.
	priorWeight = 5.0
	// refusalWeight is the weight of a refused start relative to a reclaim: capacity that
	// the cloud does not sell is likely to be reclaimed soon.
	refusalWeight = 0.3
	// waveHalfLife is the half-life of the surge after a wave of reclaims.
	waveHalfLife = 5 * time.Minute
	// waveHazardPerHour is the surge after the loss of all of a pool's hosts, in reclaims
	// of one host an hour.
	waveHazardPerHour = 20.0
	// otherDataCenterShare is the share of the surge that is added in the other data
	// centres: waves often continue there.
	otherDataCenterShare = 0.25
)

// Estimator estimates the hazard of each pool. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	pools map[Pool]*estimate
}

// estimate is a rate with exponential forgetting.
type estimate struct {
	prior float64
	// events and hostHours are weighted sums at updatedAt.
	events, hostHours float64
	hosts             int
	surge             float64
	updatedAt         time.Time
}

// New returns an Estimator without any observations.
func New() *Estimator { return &Estimator{pools: map[Pool]*estimate{}} }

// defaultPrior is used for pools without an operator's figure.
const defaultPrior = 0.05

// SetPrior sets the operator's figure, in reclaims of one host an hour.
func (e *Estimator) SetPrior(p Pool, rate float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimateAt(p, now).prior = rate
}

// SetHosts sets the number of running hosts of a pool.
func (e *Estimator) SetHosts(p Pool, hosts int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimateAt(p, now).hosts = hosts
}

// RecordReclaim records that hosts of a pool got a notice or were lost.
func (e *Estimator) RecordReclaim(p Pool, hosts int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.estimateAt(p, now)
	state.events += float64(hosts)
	share := float64(hosts) / math.Max(float64(state.hosts), float64(hosts))
	state.surge += share * waveHazardPerHour
	for other := range e.pools {
		if other.DataCenter != p.DataCenter {
			e.estimateAt(other, now).surge += share * waveHazardPerHour * otherDataCenterShare
		}
	}
}

// RecordRefusal records that the cloud refused to start a host.
func (e *Estimator) RecordRefusal(p Pool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimateAt(p, now).events += refusalWeight
}

// Rate returns the expected number of reclaims of one host of the pool an hour.
func (e *Estimator) Rate(p Pool, now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.estimateAt(p, now)
	return (state.prior*priorWeight+state.events)/(priorWeight+state.hostHours) + state.surge
}

// estimateAt returns the pool's estimate, decayed to now. The caller must hold e.mu.
func (e *Estimator) estimateAt(p Pool, now time.Time) *estimate {
	state, ok := e.pools[p]
	if !ok {
		state = &estimate{prior: defaultPrior, updatedAt: now}
		e.pools[p] = state
	}
	elapsed := now.Sub(state.updatedAt)
	if elapsed <= 0 {
		return state
	}
	decay := math.Exp2(-float64(elapsed) / float64(halfLife))
	state.events *= decay
	state.hostHours = state.hostHours*decay + elapsed.Hours()*float64(state.hosts)
	state.surge *= math.Exp2(-float64(elapsed) / float64(waveHalfLife))
	state.updatedAt = now
	return state
}
