package admission_test

import (
	"testing"
	"time"

	"ironhollow/pkg/admission"
)

const (
	second = time.Second
	ms     = time.Millisecond
)

func TestLate(t *testing.T) {
	urgent, less := admission.Stream{Objective: second}, admission.Stream{Objective: second, Priority: 4}
	for _, c := range []struct {
		what     string
		stream   admission.Stream
		expected admission.Expected
		late     bool
		comeBack time.Duration
	}{
		{"no objective", admission.Stream{}, admission.Expected{Queued: time.Hour, Least: time.Hour}, false, 0},
		{"nothing queued", urgent, admission.Expected{Own: 100 * ms}, false, 0},
		{"behind others, others are free", urgent, admission.Expected{Queued: 2 * second, Own: 100 * ms, Least: 10 * ms}, false, 0},
		{"all are behind, in time", urgent, admission.Expected{Queued: 690 * ms, Own: 100 * ms, Least: 400 * ms}, false, 0},
		{"all are behind, too long", urgent, admission.Expected{Queued: 1500 * ms, Own: 100 * ms, Least: 400 * ms}, true, 800 * ms},
		{"its own part counts", urgent, admission.Expected{Queued: 690 * ms, Own: 300 * ms, Least: 400 * ms}, true, 300 * ms},
		{"the less urgent gives way first", less, admission.Expected{Queued: 690 * ms, Own: 100 * ms, Least: 400 * ms}, true, 490 * ms},
		{"a long prompt behind little", urgent, admission.Expected{Queued: 90 * ms, Own: 2 * second, Least: 100 * ms}, false, 0},
		{"a long prompt behind much", urgent, admission.Expected{Queued: 200 * ms, Own: 2 * second, Least: 100 * ms}, true, 300 * ms},
	} {
		comeBack, late := c.stream.Late(c.expected)
		if late != c.late || comeBack != c.comeBack {
			t.Errorf("%s: got late %v, back after %v, want late %v, back after %v", c.what, late, comeBack, c.late, c.comeBack)
		}
	}
}

// Whoever comes back as told finds a queue that it bears, where nothing is added.
func TestComesBackToABearableQueue(t *testing.T) {
	for priority := range 5 {
		s := admission.Stream{Objective: second, Priority: priority}
		for queued := time.Duration(0); queued < 5*second; queued += 50 * ms {
			e := admission.Expected{Queued: queued, Own: 200 * ms, Least: queued}
			comeBack, late := s.Late(e)
			if !late {
				continue
			}
			e.Queued -= comeBack
			if _, again := s.Late(e); again {
				t.Errorf("priority %d, %v queued: refused again after %v", priority, queued, comeBack)
			}
		}
	}
}
