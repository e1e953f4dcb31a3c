package roster

import (
	"math"
	"time"
)

// workMaxAge is the age up to which the work that a process has sent counts. It is longer than the
// intervals at which hosts send it.
const workMaxAge = 4 * time.Second

// ApplyWork applies the work that a process sends separately from its status. Work of an unknown
// process is ignored, as the process sends it again.
func (r *Roster) ApplyWork(incarnation string, work []Work, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.members[incarnation]; ok {
		m.work, m.workAt = work, now
	}
}

// Work returns the work that callers offer to all processes, by service. Invalid values of a process
// are ignored.
func (r *Roster) Work(now time.Time) map[string]Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := map[string]Work{}
	for _, m := range r.live() {
		sent := m.row.Work
		if now.Sub(m.workAt) < workMaxAge {
			sent = m.work
		}
		for _, w := range sent {
			if w.isValid() {
				sums[w.Service] = sums[w.Service].add(w)
			}
		}
	}
	return sums
}

func (w Work) add(other Work) Work {
	return Work{other.Service, w.SlotTime + other.SlotTime, w.TokenTime + other.TokenTime, w.Offered + other.Offered, w.Refused + other.Refused}
}

// isValid reports whether the values are numbers from 0 and no more work is refused than offered.
func (w Work) isValid() bool {
	for _, value := range []float64{w.SlotTime, w.TokenTime, w.Offered, w.Refused} {
		if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return false
		}
	}
	return w.Refused <= w.Offered
}
