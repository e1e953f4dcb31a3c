package roster

import (
	"maps"
	"time"
)

// workMaxAge is the age up to which the work that a process has sent counts. It is longer than the
// intervals at which hosts send it.
const workMaxAge = 4 * time.Second

// receivedWork is the work for one service and when it was received.
type receivedWork struct {
	Work
	at time.Time
}

// ApplyWork applies the work that a process sends separately from its status, for some of its services
// at a time. Work of an unknown process is ignored, as the process sends it again.
func (r *Roster) ApplyWork(incarnation string, work []Work, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[incarnation]
	if !ok {
		return
	}
	if m.work == nil {
		m.work = make(map[string]receivedWork, len(work))
	}
	maps.DeleteFunc(m.work, func(_ string, w receivedWork) bool { return now.Sub(w.at) >= workMaxAge })
	for _, w := range work {
		m.work[w.Service] = receivedWork{w, now}
	}
}

// Work returns the work that callers offer to all processes, by service. Invalid values of a process
// are ignored.
func (r *Roster) Work(now time.Time) map[string]Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := workSums{}
	for _, m := range r.live() {
		if m.isCut(now) {
			continue
		}
		isCurrent := false
		for _, w := range m.work {
			if now.Sub(w.at) < workMaxAge {
				isCurrent = true
				sums.add(w.Work)
			}
		}
		if isCurrent {
			continue
		}
		for _, w := range m.row.Work {
			sums.add(w)
		}
	}
	return sums
}

// workSums are sums of work by service.
type workSums map[string]Work

func (s workSums) add(w Work) {
	if w.isValid() {
		s[w.Service] = s[w.Service].add(w)
	}
}

func (w Work) add(other Work) Work {
	return Work{other.Service, w.SlotTime + other.SlotTime, w.TokenTime + other.TokenTime, w.Offered + other.Offered, w.Refused + other.Refused}
}

// isValid reports whether the values are numbers from 0 that a host can have, and no more work is refused than
// offered.
func (w Work) isValid() bool {
	for _, value := range []float64{w.SlotTime, w.TokenTime, w.Offered, w.Refused} {
		if !isWithin(value, maxWork) {
			return false
		}
	}
	return w.Refused <= w.Offered
}
