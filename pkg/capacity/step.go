package capacity

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Change is the number of hosts of one offer to buy (positive) or give up (negative).
type Change struct {
	Offer Offer
	Hosts int
}

// Reconciler turns plans into changes. It adds hosts at once, but gives them up only after
// a surplus has lasted, a few at a time, so that a short lull between bursts gives up no
// hosts that are needed a minute later.
type Reconciler struct {
	// surplusSince is when the surplus of each offer began.
	surplusSince map[offerKey]time.Time
	refusals     map[offerKey]refusal
}

type refusal struct {
	count int
	until time.Time
}

// Parameters of changes.
const (
	// scaleDownDelay is how long a surplus must last before hosts are given up.
	scaleDownDelay = 5 * time.Minute
	// maxReleasedPerStep bounds the hosts of one offer given up in one call of Reconcile.
	maxReleasedPerStep = 2
	// initialBackoff and maxBackoff bound the backoff after a refused start.
	initialBackoff = 30 * time.Second
	maxBackoff     = 15 * time.Minute
)

// NewReconciler returns a Reconciler without any observations.
func NewReconciler() *Reconciler {
	return &Reconciler{surplusSince: map[offerKey]time.Time{}, refusals: map[offerKey]refusal{}}
}

// RecordRefusal records a refused start. The offer is then not used for a randomized time
// that doubles with each consecutive refusal.
func (r *Reconciler) RecordRefusal(o Offer, now time.Time, random *rand.Rand) {
	state := r.refusals[o.key()]
	bound := min(initialBackoff<<min(state.count, 8), maxBackoff)
	state.count++
	state.until = now.Add(bound/2 + time.Duration(random.Int64N(int64(bound/2)+1)))
	r.refusals[o.key()] = state
}

// RecordStart records a successful start, which ends the offer's backoff.
func (r *Reconciler) RecordStart(o Offer) { delete(r.refusals, o.key()) }

// SetRefusedUntil sets RefusedUntil of the offers.
func (r *Reconciler) SetRefusedUntil(offers []Offer) {
	for i := range offers {
		offers[i].RefusedUntil = r.refusals[offers[i].key()].until
	}
}

// Reconcile compares a plan with the present hosts and returns the changes to make, hosts
// to buy first.
func (r *Reconciler) Reconcile(plan []HostCount, current []HostCount, now time.Time) []Change {
	present := map[offerKey]int{}
	for _, n := range current {
		present[n.Offer.key()] += n.Hosts
	}
	var changes []Change
	for _, n := range plan {
		k := n.Offer.key()
		difference := n.Hosts - present[k]
		delete(present, k)
		if hosts := r.hostChange(k, difference, now); hosts != 0 {
			changes = append(changes, Change{n.Offer, hosts})
		}
	}
	for _, n := range current {
		// Offers that are not in the plan at all scale down the same way.
		if count, unplanned := present[n.Offer.key()]; unplanned {
			delete(present, n.Offer.key())
			if hosts := r.hostChange(n.Offer.key(), -count, now); hosts != 0 {
				changes = append(changes, Change{n.Offer, hosts})
			}
		}
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].Hosts > changes[j].Hosts })
	return changes
}

func (r *Reconciler) hostChange(k offerKey, difference int, now time.Time) int {
	if difference >= 0 {
		delete(r.surplusSince, k)
		return difference
	}
	since, known := r.surplusSince[k]
	if !known {
		r.surplusSince[k] = now
		return 0
	}
	if now.Sub(since) < scaleDownDelay {
		return 0
	}
	return max(difference, -maxReleasedPerStep)
}

// DeferrableWork is a piece of work that can wait until its deadline.
type DeferrableWork struct {
	Tokens   float64
	Deadline time.Time
}

// Parameters of the rate of deferrable work.
const (
	// usableDeadlineShare is the share of the time to a deadline that is used: a reclaim may
	// cost some of it.
	usableDeadlineShare = 0.8
	// highPrice and lowPrice are relative to the usual price. From highPrice on only the
	// work that must run now is run; up to lowPrice all of it is run within
	// lowPriceSpread.
	highPrice = 1.05
	lowPrice  = 0.95
)

// DeferrableRate returns the rate, in tokens a second, at which to process deferrable work:
// at least what the deadlines require, and more the lower the price is compared with the
// usual one. price and usual are for the same host.
func DeferrableRate(work []DeferrableWork, price, usual float64, now time.Time) float64 {
	sorted := append([]DeferrableWork(nil), work...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Deadline.Before(sorted[j].Deadline) })
	required, total := 0.0, 0.0
	for _, w := range sorted {
		total += w.Tokens
		seconds := max(usableDeadlineShare*w.Deadline.Sub(now).Seconds(), 1)
		required = max(required, total/seconds)
	}
	switch {
	case usual <= 0 || price >= highPrice*usual:
		return required
	case price <= lowPrice*usual:
		return max(required, total/lowPriceSpread.Seconds())
	}
	return max(required, total/usualPriceSpread.Seconds())
}

// Times over which deferrable work is spread if no deadline requires a higher rate.
const (
	lowPriceSpread   = time.Hour
	usualPriceSpread = 4 * time.Hour
)
