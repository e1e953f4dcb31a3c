package capacity

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Change is hosts to buy (more than 0) or to give back (less) of one offer.
type Change struct {
	Offer Offer
	Hosts int
}

// Reconciler turns plans into changes: up at once, down only after the surplus
// has lasted, a few hosts at a time, so that a lull in a burst gives nothing
// back that is needed a minute later.
type Reconciler struct {
	// surplusSince is when each offer's surplus began.
	surplusSince map[key]time.Time
	refusals     map[key]refusal
}

type refusal struct {
	count int
	until time.Time
}

// Parameters of the steps.
const (
	// holdDown is how long a surplus must last.
	holdDown = 5 * time.Minute
	// downAtOnce bounds the hosts given back of one offer in one step.
	downAtOnce = 2
	// firstRefusal and mostRefusal bound the wait after a refused start.
	firstRefusal = 30 * time.Second
	mostRefusal  = 15 * time.Minute
)

// NewReconciler returns a stepper that has seen nothing.
func NewReconciler() *Reconciler {
	return &Reconciler{surplusSince: map[key]time.Time{}, refusals: map[key]refusal{}}
}

// RecordRefusal notes that a start was refused: the offer is left alone for a while
// that doubles with each refusal in a row.
func (s *Reconciler) RecordRefusal(o Offer, now time.Time, random *rand.Rand) {
	held := s.refusals[o.key()]
	bound := min(firstRefusal<<min(held.count, 8), mostRefusal)
	held.count++
	held.until = now.Add(bound/2 + time.Duration(random.Int64N(int64(bound/2)+1)))
	s.refusals[o.key()] = held
}

// RecordStart notes that a start succeeded.
func (s *Reconciler) RecordStart(o Offer) { delete(s.refusals, o.key()) }

// SetRefusedUntil sets the offers' RefusedUntil.
func (s *Reconciler) SetRefusedUntil(offers []Offer) {
	for i := range offers {
		offers[i].RefusedUntil = s.refusals[offers[i].key()].until
	}
}

// Reconcile compares a plan with the hosts there are and returns what to change.
func (s *Reconciler) Reconcile(plan []HostCount, have []HostCount, now time.Time) []Change {
	held := map[key]int{}
	for _, n := range have {
		held[n.Offer.key()] += n.Hosts
	}
	var changes []Change
	for _, n := range plan {
		k := n.Offer.key()
		difference := n.Hosts - held[k]
		delete(held, k)
		if hosts := s.step(k, difference, now); hosts != 0 {
			changes = append(changes, Change{n.Offer, hosts})
		}
	}
	for _, n := range have {
		// Offers that are no longer planned at all shrink the same way.
		if count, left := held[n.Offer.key()]; left {
			delete(held, n.Offer.key())
			if hosts := s.step(n.Offer.key(), -count, now); hosts != 0 {
				changes = append(changes, Change{n.Offer, hosts})
			}
		}
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].Hosts > changes[j].Hosts })
	return changes
}

func (s *Reconciler) step(k key, difference int, now time.Time) int {
	if difference >= 0 {
		delete(s.surplusSince, k)
		return difference
	}
	since, known := s.surplusSince[k]
	if !known {
		s.surplusSince[k] = now
		return 0
	}
	if now.Sub(since) < holdDown {
		return 0
	}
	return max(difference, -downAtOnce)
}

// DeferrableWork is one piece of work that can wait.
type DeferrableWork struct {
	Tokens   float64
	Deadline time.Time
}

// Parameters of work that waits.
const (
	// slack is kept before a deadline: a reclaim may cost time on the way.
	slack = 0.8
	// dear is the price, as a part of the usual, from which on only what must
	// run now is run; below cheap all of it is.
	dear  = 1.05
	cheap = 0.95
)

// DeferrableRate returns the rate at which to work off what can wait: at least what
// the deadlines ask for, and more where the price now is low for the day.
// price and usual are for the same host.
func DeferrableRate(work []DeferrableWork, price, usual float64, now time.Time) float64 {
	sorted := append([]DeferrableWork(nil), work...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Deadline.Before(sorted[j].Deadline) })
	must, total := 0.0, 0.0
	for _, w := range sorted {
		total += w.Tokens
		left := max(slack*w.Deadline.Sub(now).Seconds(), 1)
		must = max(must, total/left)
	}
	switch {
	case usual <= 0 || price >= dear*usual:
		return must
	case price <= cheap*usual:
		return max(must, total/whileCheap.Seconds())
	}
	return max(must, total/whileUsual.Seconds())
}

// Times over which waiting work is spread when nothing presses.
const (
	whileCheap = time.Hour
	whileUsual = 4 * time.Hour
)
