// Package hazard learns how often hosts of a data centre and class are
// reclaimed, from notices, refused starts and losses, starting from the
// operators' figures and forgetting what is long ago.
package hazard

import (
	"math"
	"sync"
	"time"
)

// Pool is a class of hosts in one data centre.
type Pool struct {
	DataCenter string
	Class      string
}

// Parameters of the estimate.
const (
	// halfLife is how fast what was seen is forgotten.
	halfLife = 2 * time.Hour
	// priorWeight is how many host-hours the operator's figure counts for.
	priorWeight = 5.0
	// refusalWeight is what a refused start counts for, as a part of a
	// reclaim: capacity that can't be bought is about to be taken back.
	refusalWeight = 0.3
	// waveHalfLife is how fast the surge after a wave dies away.
	waveHalfLife = 5 * time.Minute
	// waveRate is the hazard an hour, added for a whole data centre's loss.
	waveRate = 20.0
	// neighbourShare is the part of that surge the other data centres get:
	// waves often go on to the next.
	neighbourShare = 0.25
)

// Estimator holds the estimates. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	places map[Pool]*estimate
}

// estimate is a rate with exponential forgetting.
type estimate struct {
	prior float64
	// events and hours are weighted sums as of the time at.
	events, hours float64
	hosts         int
	surge         float64
	at            time.Time
}

// New returns an estimator that knows nothing.
func New() *Estimator { return &Estimator{places: map[Pool]*estimate{}} }

// defaultPrior is used for a place without an operator's figure.
const defaultPrior = 0.05

// SetPrior sets the operator's figure, in reclaims for one host an hour.
func (e *Estimator) SetPrior(p Pool, rate float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.get(p, now).prior = rate
}

// SetHosts tells how many hosts of a place are running.
func (e *Estimator) SetHosts(p Pool, hosts int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.get(p, now).hosts = hosts
}

// RecordReclaim notes that hosts of a place got notice or were lost.
func (e *Estimator) RecordReclaim(p Pool, hosts int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.get(p, now)
	held.events += float64(hosts)
	share := float64(hosts) / math.Max(float64(held.hosts), float64(hosts))
	held.surge += share * waveRate
	for other := range e.places {
		if other.DataCenter != p.DataCenter {
			e.get(other, now).surge += share * waveRate * neighbourShare
		}
	}
}

// RecordRefusal notes that the cloud refused to start a host.
func (e *Estimator) RecordRefusal(p Pool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.get(p, now).events += refusalWeight
}

// Rate returns reclaims expected for one host of the place an hour.
func (e *Estimator) Rate(p Pool, now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.get(p, now)
	return (held.prior*priorWeight+held.events)/(priorWeight+held.hours) + held.surge
}

// get returns a place's estimate brought forward to now. The lock is held.
func (e *Estimator) get(p Pool, now time.Time) *estimate {
	held, ok := e.places[p]
	if !ok {
		held = &estimate{prior: defaultPrior, at: now}
		e.places[p] = held
	}
	elapsed := now.Sub(held.at)
	if elapsed <= 0 {
		return held
	}
	fade := math.Exp2(-float64(elapsed) / float64(halfLife))
	held.events *= fade
	held.hours = held.hours*fade + elapsed.Hours()*float64(held.hosts)
	held.surge *= math.Exp2(-float64(elapsed) / float64(waveHalfLife))
	held.at = now
	return held
}
