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
		expected admission.QueueEstimate
		late     bool
		comeBack time.Duration
	}{
		{"no objective", admission.Stream{}, admission.QueueEstimate{Queue: time.Hour, MinQueue: time.Hour}, false, 0},
		{"nothing queued", urgent, admission.QueueEstimate{Processing: 100 * ms}, false, 0},
		{"behind others, others are free", urgent, admission.QueueEstimate{Queue: 2 * second, Processing: 100 * ms, MinQueue: 10 * ms}, false, 0},
		{"all are behind, in time", urgent, admission.QueueEstimate{Queue: 690 * ms, Processing: 100 * ms, MinQueue: 400 * ms}, false, 0},
		{"all are behind, too long", urgent, admission.QueueEstimate{Queue: 1500 * ms, Processing: 100 * ms, MinQueue: 400 * ms}, true, 800 * ms},
		{"its own part counts", urgent, admission.QueueEstimate{Queue: 690 * ms, Processing: 300 * ms, MinQueue: 400 * ms}, true, 300 * ms},
		{"the less urgent gives way first", less, admission.QueueEstimate{Queue: 690 * ms, Processing: 100 * ms, MinQueue: 400 * ms}, true, 490 * ms},
		{"a long prompt behind little", urgent, admission.QueueEstimate{Queue: 90 * ms, Processing: 2 * second, MinQueue: 100 * ms}, false, 0},
		{"a long prompt behind much", urgent, admission.QueueEstimate{Queue: 200 * ms, Processing: 2 * second, MinQueue: 100 * ms}, true, 300 * ms},
	} {
		comeBack, late := c.stream.ShouldReject(c.expected)
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
			e := admission.QueueEstimate{Queue: queued, Processing: 200 * ms, MinQueue: queued}
			comeBack, late := s.ShouldReject(e)
			if !late {
				continue
			}
			e.Queue -= comeBack
			if _, again := s.ShouldReject(e); again {
				t.Errorf("priority %d, %v queued: refused again after %v", priority, queued, comeBack)
			}
		}
	}
}
