package autoscale

import (
	"math"
	"time"
)

// Parameters of the detection and prediction of losses.
const (
	// lossShare is the share of a pool's endpoints whose loss within lossSpread is the loss
	// of the data centre: the cloud reclaims all of them at once, whereas single endpoints
	// fail now and then.
	lossShare  = 0.5
	lossSpread = 3 * time.Second
	// minLoss is the least number of endpoints of a loss. The loss of a single endpoint
	// does not show that its data centre is affected.
	minLoss = 2
	// sameLossWithin is the time within which a further loss in one data centre belongs to
	// the same event, as the rows of its endpoints change one after another.
	sameLossWithin = 5 * time.Second
	// waveWindow is the longest time between two losses of a wave. The cloud has no
	// reclaimable endpoints for up to 15 s after a reclaim.
	waveWindow = 15 * time.Second
	// priorFollowed and priorEnded are the weight of the prior: losses that were followed by
	// one in another data centre, and those that were not. With both equal and a boot time of
	// 4 s, the probabilities after the first loss in three data centres are 0.5 for no further
	// loss, 0.38 for one and 0.12 for two (see chainBoots).
	priorFollowed = 2.0
	priorEnded    = 2.0
	// priorDelay is the mean time to the next loss of a wave, with the weight of priorDelays
	// observations.
	priorDelay  = 5 * time.Second
	priorDelays = 2.0
	// chainBoots is the number of boot times after the next loss within which a further loss is
	// prepared for now. For a later one, the endpoints ordered at the next loss boot in time.
	chainBoots = 1
	// waveEndProbability is the probability of a further loss below which a wave is over.
	waveEndProbability = 0.05
)

// Losses records the losses of a service's reclaimable endpoints and estimates the
// probability that further data centres follow. It is not safe for concurrent use.
type Losses struct {
	watches map[string]*poolWatch
	// lossAt has the time of the last loss by data centre, over all waves.
	lossAt map[string]time.Time
	// lastAt is the time of the last loss in any data centre; zero before the first. pending
	// is set until it is known whether another data centre followed.
	lastAt  time.Time
	pending bool
	// followed and ended count the losses that were followed by one in another data centre
	// and those that were not; delays sums the times until the following loss.
	followed, ended int
	delays          time.Duration
	// refusedAt has the time of the last refused order by pool.
	refusedAt map[Pool]time.Time
	// inWave is the result of the last UpdateWave.
	inWave bool
}

// poolWatch is the number of a data centre's reclaimable endpoints that served recently.
type poolWatch struct {
	// serving is the highest number that served since at, less those ordered down.
	serving int
	at      time.Time
}

// NewLosses returns a Losses without any observations.
func NewLosses() *Losses {
	return &Losses{watches: map[string]*poolWatch{}, lossAt: map[string]time.Time{}, refusedAt: map[Pool]time.Time{}}
}

// LossTracker holds the losses of each service. It is not safe for concurrent use.
type LossTracker struct{ services map[string]*Losses }

// NewLossTracker returns a LossTracker without any observations.
func NewLossTracker() *LossTracker { return &LossTracker{services: map[string]*Losses{}} }

// Of returns the losses of a service.
func (t *LossTracker) Of(service string) *Losses {
	losses, ok := t.services[service]
	if !ok {
		losses = NewLosses()
		t.services[service] = losses
	}
	return losses
}

// Reset drops all observations, because another holder of the lease may have ordered
// endpoints since.
func (t *LossTracker) Reset() { clear(t.services) }

// ForgetServing drops the numbers of endpoints that served, so that a change of them is no
// loss.
func (l *Losses) ForgetServing() { clear(l.watches) }

// Observe records how many reclaimable endpoints of a data centre serve and how many are
// ordered. It returns the number lost if this shows the loss of the data centre.
func (l *Losses) Observe(dataCenter string, serving, ordered int, now time.Time) (lost int, isLoss bool) {
	l.settle(now)
	w, known := l.watches[dataCenter]
	if !known {
		w = &poolWatch{}
		l.watches[dataCenter] = w
	}
	// Endpoints beyond the ordered count were given up, not lost.
	w.serving = min(w.serving, ordered)
	lost = w.serving - serving
	switch {
	case lost >= minLoss && float64(lost) >= lossShare*float64(w.serving):
		w.serving, w.at = serving, now
		return lost, l.record(dataCenter, now)
	case lost <= 0 || now.Sub(w.at) > lossSpread:
		w.serving, w.at = serving, now
	}
	return 0, false
}

// record records the loss of a data centre and reports whether it is a new event.
func (l *Losses) record(dataCenter string, now time.Time) bool {
	previous, known := l.lossAt[dataCenter]
	if known && now.Sub(previous) < sameLossWithin {
		return false
	}
	if l.pending && !previous.Equal(l.lastAt) {
		l.followed++
		l.delays += now.Sub(l.lastAt)
	}
	l.lossAt[dataCenter] = now
	l.lastAt, l.pending = now, true
	return true
}

// settle counts the last loss as not followed once its wave is over.
func (l *Losses) settle(now time.Time) {
	if l.pending && now.Sub(l.lastAt) > waveWindow {
		l.pending = false
		l.ended++
	}
}

// RecordRefusal records an order that the cloud refused for lack of capacity.
func (l *Losses) RecordRefusal(p Pool, now time.Time) { l.refusedAt[p] = now }

// Outlook returns the probability of further losses as of now, given the boot time of endpoints.
func (l *Losses) Outlook(boot time.Duration, now time.Time) Outlook {
	l.settle(now)
	outlook := Outlook{Known: !l.lastAt.IsZero(), NoOnDemand: map[string]bool{}, NoReclaimable: map[string]bool{}}
	for pool, at := range l.refusedAt {
		switch {
		case now.Sub(at) >= refusalMemory:
		case pool.Reclaimable:
			outlook.NoReclaimable[pool.DataCenter] = true
		default:
			outlook.NoOnDemand[pool.DataCenter] = true
		}
	}
	if !l.pending {
		return outlook
	}
	follow := (priorFollowed + float64(l.followed)) / (priorFollowed + priorEnded + float64(l.followed+l.ended))
	notYet := follow * l.survival(now.Sub(l.lastAt))
	outlook.Next = notYet / (1 - follow + notYet)
	outlook.Chain = follow * (1 - l.survival(chainBoots*boot))
	return outlook
}

// UpdateWave reports whether a wave of losses is under way and whether this has changed since
// the last call.
func (l *Losses) UpdateWave(now time.Time) (inWave, changed bool) {
	inWave = l.Outlook(0, now).InWave()
	changed = inWave != l.inWave
	l.inWave = inWave
	return inWave, changed
}

// refusalMemory is how long after a refused order the data centre counts as having no
// endpoints of the class, so that others are ordered instead. The refused order is repeated
// sooner, after retryDelay.
const refusalMemory = 6 * time.Second

// survival returns the probability that a loss that will be followed by another one has not
// been followed after a time. The times to the next loss follow an Erlang distribution with
// two stages, as they are rarely much shorter than their mean.
func (l *Losses) survival(after time.Duration) float64 {
	mean := (priorDelays*priorDelay.Seconds() + l.delays.Seconds()) / (priorDelays + float64(l.followed))
	x := 2 * max(after, 0).Seconds() / mean
	return (1 + x) * math.Exp(-x)
}

// Outlook is what the recorded losses show about further ones.
type Outlook struct {
	// Known is set once a loss has been recorded.
	Known bool
	// Next is the probability that another data centre loses its reclaimable endpoints in
	// the present wave, Chain the probability that such a loss is followed by another one within
	// chainBoots boot times.
	Next, Chain float64
	// NoOnDemand and NoReclaimable have the data centres that recently refused orders of the
	// class.
	NoOnDemand, NoReclaimable map[string]bool
}

// InWave reports whether further losses are likely enough to count as a wave.
func (o Outlook) InWave() bool { return o.Next >= waveEndProbability }

// scenarios returns the probabilities of 0, 1, ... and all of the given number of data
// centres being lost next.
func (o Outlook) scenarios(dataCenters int) []float64 {
	probabilities := make([]float64, dataCenters+1)
	reached, next := 1.0, o.Next
	for i := range dataCenters {
		probabilities[i] = reached * (1 - next)
		reached *= next
		next = o.Chain
	}
	probabilities[dataCenters] = reached
	return probabilities
}
