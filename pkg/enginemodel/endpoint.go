package enginemodel

import (
	"math"
	"time"
)

// Parameters of an endpoint's own speed.
const (
	// speedAnswers is how many of an endpoint's answers make its own speed: the
	// median of five withstands two that met an unknown queue.
	speedAnswers = 5
	// speedFades is the time in which a speed that is not confirmed is forgotten:
	// an endpoint thought slow is sent little, and would stay so.
	speedFades = 5 * time.Second
	// leastSlowness and mostSlowness bound the factor: below, noise of queues that
	// are not known here; above, an endpoint is left out for its failures.
	leastSlowness, mostSlowness = 0.5, 8
)

// Endpoint is how much slower one endpoint answers than its service.
type Endpoint struct {
	ratios  [speedAnswers]float64
	count   int
	factor  float64
	learned time.Time
}

// Learn takes in an answer of the endpoint; service is the service's estimate.
func (e *Endpoint) Learn(a Answer, service Figures, now time.Time) {
	expected := service.FirstToken(a.Tokens)
	if a.First <= 0 || expected <= 0 {
		return
	}
	e.ratios[e.count%speedAnswers] = float64(a.First) / float64(expected)
	e.count++
	if e.count < speedAnswers {
		return
	}
	ratios := e.ratios
	e.factor = min(max(quantile(ratios[:], 0.5), leastSlowness), mostSlowness)
	e.learned = now
}

// Slowness returns the factor by which the endpoint is slower than its service
// at present; 1 if nothing is known.
func (e *Endpoint) Slowness(now time.Time) float64 {
	if e.factor == 0 {
		return 1
	}
	age := max(now.Sub(e.learned), 0)
	return 1 + (e.factor-1)*math.Exp(-float64(age)/float64(speedFades))
}
