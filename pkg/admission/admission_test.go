package admission_test

import (
	"testing"
	"time"

	"ironhollow/pkg/admission"
)

func TestLate(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		what         string
		stream       admission.Stream
		queued       time.Duration
		late         bool
		leastWaiting time.Duration
	}{
		{"no objective", admission.Stream{}, time.Hour, false, 0},
		{"nothing queued", admission.Stream{Objective: second}, 0, false, 0},
		{"most urgent, bearable", admission.Stream{Objective: second}, 790 * time.Millisecond, false, 0},
		{"most urgent, too long", admission.Stream{Objective: second}, 810 * time.Millisecond, true, 400 * time.Millisecond},
		{"less urgent gives way first", admission.Stream{Objective: second, Priority: 1}, 700 * time.Millisecond, true, 300 * time.Millisecond},
		{"a third of the objective is borne by all", admission.Stream{Objective: second, Priority: 9}, 290 * time.Millisecond, false, 0},
	} {
		comeBack, late := c.stream.Late(c.queued)
		if late != c.late || comeBack < c.leastWaiting {
			t.Errorf("%s: got late %v, back after %v, want late %v, back after %v or more", c.what, late, comeBack, c.late, c.leastWaiting)
		}
	}
}

// Whoever comes back as told finds a queue that it bears, where nothing is added.
func TestComesBackToABearableQueue(t *testing.T) {
	for priority := range 5 {
		s := admission.Stream{Objective: time.Second, Priority: priority}
		for queued := time.Duration(0); queued < 5*time.Second; queued += 50 * time.Millisecond {
			comeBack, late := s.Late(queued)
			if !late {
				continue
			}
			if _, again := s.Late(queued - comeBack); again {
				t.Errorf("priority %d, %v queued: refused again after %v", priority, queued, comeBack)
			}
		}
	}
}
